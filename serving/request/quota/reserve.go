package quota

import "time"

const (
	// Unranked is the rank of a request that is exempt from the reserve because its token cost
	// is negligible.
	Unranked = -1
	// ranks is the number of distinct ranks; higher ones count as the last.
	ranks = 10
	// reserveStep is the fraction of a pool that a rank leaves to each more urgent rank with
	// recent requests, and maxReserve limits the sum, so that the last rank can use the rest.
	reserveStep = 0.2
	maxReserve  = 0.6
	// shortageTime is how long the reserve applies after a refusal. A pool refills within about
	// a second once the account is within its limit again.
	shortageTime = 3 * time.Second
	// rankTTL is how long a rank counts as active after its last request.
	rankTTL = 5 * time.Second
	// floorShare is the fraction of deposits that less urgent ranks may use regardless of the
	// reserve, so that none of them starves.
	floorShare = 0.1
)

// reserve keeps a part of a pool for an account's urgent requests while the account exceeds
// its limit. Without it, a few long prompts of the least urgent rank would use up the limit
// for all other requests.
type reserve struct {
	refusedAt time.Time
	// lastSeen is the time of the last request of each rank.
	lastSeen [ranks]time.Time
	// floor is the number of tokens that less urgent ranks may use despite the reserve.
	floor float64
}

// share returns the fraction of the pool that a request of the given rank must leave.
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

// recordRequest records that a request of the given rank arrived.
func (r *reserve) recordRequest(now time.Time, rank int) {
	if rank >= 0 {
		r.lastSeen[min(rank, ranks-1)] = now
	}
}

// deposit adds floorShare of a deposit to the floor, up to floorShare of one second of the
// rate.
func (r *reserve) deposit(amount, rate float64) {
	r.floor = min(r.floor+floorShare*amount, floorShare*rate)
}

// useFloor takes an amount from the floor and reports whether the floor was positive. A
// single request may take it below zero, so that large requests are not excluded.
func (r *reserve) useFloor(amount float64) bool {
	if r.floor <= 0 {
		return false
	}
	r.floor -= amount
	return true
}
