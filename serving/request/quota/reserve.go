package quota

import "time"

const (
	// Unranked is the rank of a request that no reserve concerns: it costs next to nothing of
	// a limit in tokens.
	Unranked = -1
	// ranks is the number of ranks that are told apart; higher ones count as the last.
	ranks = 10
	// reserveStep is the part of a pool that a rank leaves to each more urgent rank that asks,
	// and largestReserve bounds their sum, so that the last rank still has a part of the pool.
	reserveStep    = 0.2
	maxReserve = 0.6
	// shortageTime is how long a pool counts as short behind a refusal: a pool refills within
	// about a second once the account is within its limit again.
	shortageTime = 3 * time.Second
	// rankTTL is how long a rank counts as present behind its last request.
	rankTTL = 5 * time.Second
	// floorShare is the part of what is paid in that less urgent ranks may use whatever is
	// reserved, so that none of them starves.
	floorShare = 0.1
)

// reserve keeps a part of a pool for an account's urgent requests while the account asks for
// more than its limit. Without it each request takes what is there, so that a few long
// prompts of the least urgent rank use up the limit of all others.
type reserve struct {
	refusedAt time.Time
	// lastSeen holds when each rank asked last.
	lastSeen [ranks]time.Time
	// floor is what less urgent ranks may use beside the reserve, in tokens.
	floor float64
}

// share returns the part of the pool that a request of a rank has to leave.
func (r *reserve) share(now time.Time, rank int) float64 {
	if rank <= 0 || r.refusedAt.IsZero() || now.Sub(r.refusedAt) > shortageTime {
		return 0
	}
	moreUrgent := 0
	for _, at := range r.lastSeen[:min(rank, ranks-1)] {
		if !at.IsZero() && now.Sub(at) <= rankTTL {
			moreUrgent++
		}
	}
	return min(reserveStep*float64(moreUrgent), maxReserve)
}

// recordRequest notes that a rank asked.
func (r *reserve) recordRequest(now time.Time, rank int) {
	if rank >= 0 {
		r.lastSeen[min(rank, ranks-1)] = now
	}
}

// addFloor adds the part of a payment that no reserve holds back, a second's worth of the rate at
// most.
func (r *reserve) deposit(amount, rate float64) {
	r.floor = min(r.floor+floorShare*amount, floorShare*rate)
}

// useFloor tells whether less urgent requests may still use an amount beside the reserve,
// and takes it. A single request may pass the floor, so that large ones are not left out.
func (r *reserve) useFloor(amount float64) bool {
	if r.floor <= 0 {
		return false
	}
	r.floor -= amount
	return true
}
