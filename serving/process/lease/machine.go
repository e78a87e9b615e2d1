package lease

import (
	"math/rand/v2"
	"time"
)

// Shares and limits of a lease's life.
const (
	// renewals is the number of renewals tried in one TTL.
	renewals = 3
	// marginShare is the part of the TTL at whose start a holder stops to act. It covers
	// the time between the check and the effect, and clocks of different rates.
	marginShare = 4
	// contenders is the number of candidates that try for a lease held by another. It doubles
	// with each widenPeriod in which nobody was seen to hold the lease: the first ones may be
	// gone, and are taken for live for up to half a minute.
	contenders  = 2
	widenPeriod = time.Second
	// mostDoublings bounds the doublings, above any size of a fleet.
	mostDoublings = 16
	// seenFor is how long a lease that was seen with a holder is not asked for: a few looks
	// at the store.
	seenFor = 3 * time.Second
	// firstBackoff is the wait after the first call without an answer; it doubles up to
	// the TTL.
	firstBackoff = 500 * time.Millisecond
)

// Call is what a Machine asks of the store.
type Call int

// Calls.
const (
	// NoCall asks nothing.
	NoCall Call = iota
	// AcquireCall asks for the lease. Repeated by its holder it has no further effect.
	AcquireCall
	// RenewCall extends the lease under Order.Fencing.
	RenewCall
	// ReleaseCall gives the lease under Order.Fencing up.
	ReleaseCall
)

// Order is a call to make. The machine waits for Answered before it orders another.
type Order struct {
	Call    Call
	Fencing uint64
}

// Outcome is how a call ended.
type Outcome int

// Outcomes.
const (
	// Granted means that the lease was given, extended or released.
	Granted Outcome = iota
	// Refused means that another has the lease, or that it lapsed.
	Refused
	// Unavailable means that the call did not take effect.
	Unavailable
	// Unknown means that the call may have taken effect.
	Unknown
)

// Answer tells how a call ended.
type Answer struct {
	Outcome Outcome
	// Fencing is the fencing number of a granted lease.
	Fencing uint64
	// Left is the time that the other holder of a refused lease has left; 0 if not known.
	Left time.Duration
}

// Machine is the life of one lease at one candidate.
type Machine struct {
	// TTL is the time that a lease lasts without renewal.
	TTL time.Duration
	// Random spreads the retries of candidates.
	Random *rand.Rand

	fencing uint64
	until   time.Time // the lease counts as held before
	pending Call
	sent    time.Time
	next    time.Time
	backoff time.Duration
	// lapsed is since when nobody was seen to hold the lease, zero while somebody is or
	// nothing is known.
	lapsed time.Time
}

// Step returns the call that is due. Rank is the candidate's place in the order of
// candidates, from 0; wanted tells whether it should have the lease at all. Candidates
// behind the first ones make no calls.
func (m *Machine) Step(now time.Time, rank int, wanted bool) Order {
	if m.pending != NoCall || now.Before(m.next) {
		return Order{}
	}
	if !wanted {
		if m.fencing == 0 {
			return Order{}
		}
		return m.order(now, ReleaseCall)
	}
	if m.fencing != 0 {
		return m.order(now, RenewCall)
	}
	if rank >= m.contenders(now) {
		return Order{}
	}
	return m.order(now, AcquireCall)
}

func (m *Machine) contenders(now time.Time) int {
	if m.lapsed.IsZero() {
		return contenders
	}
	return contenders << min(int(now.Sub(m.lapsed)/widenPeriod), mostDoublings)
}

// Seen tells what a look at the store showed: whether anybody held the lease. It spares
// the calls for a lease that another has, and finds its end.
func (m *Machine) Seen(now time.Time, held bool) {
	began := !held && m.lapsed.IsZero()
	switch {
	case held:
		m.lapsed = time.Time{}
	case began:
		m.lapsed = now
	}
	if m.fencing != 0 || m.pending != NoCall {
		return
	}
	if until := now.Add(seenFor); held && until.After(m.next) {
		m.next = until
	}
	if began && m.backoff == 0 {
		m.next = now
	}
}

func (m *Machine) order(now time.Time, call Call) Order {
	m.pending = call
	m.sent = now
	return Order{Call: call, Fencing: m.fencing}
}

// Answered takes in how the ordered call ended.
func (m *Machine) Answered(now time.Time, answer Answer) {
	call := m.pending
	m.pending = NoCall
	switch {
	case call == NoCall:
		return
	case call == ReleaseCall:
		m.lose(now.Add(m.TTL))
	case answer.Outcome == Granted:
		m.grant(answer.Fencing)
	case answer.Outcome == Refused && call == RenewCall:
		m.lose(now.Add(m.jitter(firstBackoff)))
	case answer.Outcome == Refused:
		m.lose(now.Add(m.wait(answer.Left)))
	default:
		m.back(now)
	}
}

// grant counts the lease from the time the call was sent, the earliest at which the
// store can have granted it.
func (m *Machine) grant(fencing uint64) {
	m.fencing = fencing
	m.until = m.sent.Add(m.TTL - m.TTL/marginShare)
	m.next = m.sent.Add(m.TTL / renewals)
	m.backoff = 0
}

func (m *Machine) lose(next time.Time) {
	m.fencing = 0
	m.until = time.Time{}
	m.next = next
	m.backoff = 0
}

// wait returns the time until the lease of another is worth trying for.
func (m *Machine) wait(left time.Duration) time.Duration {
	if left <= 0 || left > m.TTL {
		left = m.TTL
	}
	return left + m.jitter(m.TTL/10)
}

// back waits longer after each call without an answer.
func (m *Machine) back(now time.Time) {
	m.backoff = min(max(2*m.backoff, firstBackoff), m.TTL)
	m.next = now.Add(m.backoff/2 + m.jitter(m.backoff))
}

// Regained tells that the store answers again after calls without an answer, so that the
// next one need not wait for the backoff.
func (m *Machine) Regained(now time.Time) {
	if m.pending == NoCall && m.backoff > 0 {
		m.backoff = 0
		m.next = now.Add(m.jitter(firstBackoff))
	}
}

func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.Random.Int64N(int64(d)/2 + 1))
}

// Held returns the fencing number while the lease counts as held. A holder asks anew
// right before each act.
func (m *Machine) Held(now time.Time) (uint64, bool) {
	if m.fencing == 0 || m.pending == ReleaseCall || !now.Before(m.until) {
		return 0, false
	}
	return m.fencing, true
}

// idle tells that the machine neither has the lease nor waits for an answer.
func (m *Machine) idle() bool { return m.fencing == 0 && m.pending == NoCall }
