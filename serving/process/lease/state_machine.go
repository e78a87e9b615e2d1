package lease

import (
	"math/rand/v2"
	"time"
)

const (
	// renewalsPerTTL is the number of renewals per TTL.
	renewalsPerTTL = 3
	// marginDivisor divides the TTL into the margin before the end of the lease in which the
	// holder no longer acts. It covers the time between the check and the effect, and clock
	// drift.
	marginDivisor = 4
	// activeCandidates is the number of candidates that try to acquire a lease. It doubles with
	// each widenPeriod in which the lease has no holder: the first candidates may be gone, and
	// still count as live for up to half a minute.
	activeCandidates = 2
	widenPeriod      = time.Second
	// maxDoublings limits the doublings, to more candidates than the largest fleet has.
	maxDoublings = 16
	// heldRecheckInterval is how long no candidate tries to acquire a lease that was read as
	// held: several intervals between reads.
	heldRecheckInterval = 3 * time.Second
	// initialBackoff is the back-off after the first call without an answer. It doubles up to
	// the TTL.
	initialBackoff = 500 * time.Millisecond
)

// Call is the kind of a call to the store.
type Call int

// Calls.
const (
	// NoCall means no call.
	NoCall Call = iota
	// AcquireCall acquires the lease. It is idempotent for the holder.
	AcquireCall
	// RenewCall extends the lease with the given fencing token.
	RenewCall
	// ReleaseCall releases the lease with the given fencing token.
	ReleaseCall
)

// Request is a call to make. No further call is requested before its result.
type Request struct {
	Call    Call
	Fencing uint64
}

// Outcome is the outcome of a call.
type Outcome int

// Outcomes.
const (
	// Granted means that the lease was acquired, extended or released.
	Granted Outcome = iota
	// Refused means that another candidate holds the lease, or that it expired.
	Refused
	// Unavailable means that the call failed without effect.
	Unavailable
	// Unknown means that the call failed and may have taken effect.
	Unknown
)

// Result is the result of a call.
type Result struct {
	Outcome Outcome
	// Fencing is the fencing token of a granted lease.
	Fencing uint64
	// Remaining is the remaining time of a lease held by another candidate, 0 if unknown.
	Remaining time.Duration
}

// StateMachine is the state of one lease at one candidate. It does no I/O and reads no clock.
type StateMachine struct {
	// TTL is the time to live of a lease without renewal.
	TTL time.Duration
	// Random is the source of the jitter of retries.
	Random *rand.Rand

	fencing   uint64    // fencing token, 0 while the lease is not held
	heldUntil time.Time // end of the lease minus the margin
	pending   Call
	// invalid is set if the lease was invalidated while the call was pending.
	invalid    bool
	sentAt     time.Time
	nextCallAt time.Time
	backoff    time.Duration
	// freeSince is since when the lease was read without a holder, zero if it has one or if its
	// state is unknown.
	freeSince time.Time
}

// Step returns the call that is due. Rank is the candidate's position in the order of candidates,
// from 0; a lease that is not wanted is released. Only the first candidates try to acquire the
// lease.
func (m *StateMachine) Step(now time.Time, rank int, wanted bool) Request {
	if m.pending != NoCall || now.Before(m.nextCallAt) {
		return Request{}
	}
	if !wanted {
		if m.fencing == 0 {
			return Request{}
		}
		return m.request(now, ReleaseCall)
	}
	if m.fencing != 0 {
		return m.request(now, RenewCall)
	}
	if rank >= m.activeCandidates(now) {
		return Request{}
	}
	return m.request(now, AcquireCall)
}

func (m *StateMachine) activeCandidates(now time.Time) int {
	if m.freeSince.IsZero() {
		return activeCandidates
	}
	return activeCandidates << min(int(now.Sub(m.freeSince)/widenPeriod), maxDoublings)
}

// Observe records whether the lease was held by any candidate when it was read from the store. It
// avoids calls for a lease held by another candidate, and starts them when that lease has ended.
func (m *StateMachine) Observe(now time.Time, held bool) {
	ended := !held && m.freeSince.IsZero()
	switch {
	case held:
		m.freeSince = time.Time{}
	case ended:
		m.freeSince = now
	}
	if m.fencing != 0 || m.pending != NoCall {
		return
	}
	if until := now.Add(heldRecheckInterval); held && until.After(m.nextCallAt) {
		m.nextCallAt = until
	}
	if ended && m.backoff == 0 {
		m.nextCallAt = now
	}
}

func (m *StateMachine) request(now time.Time, call Call) Request {
	m.pending = call
	m.sentAt = now
	return Request{Call: call, Fencing: m.fencing}
}

// HandleResult handles the result of the requested call.
func (m *StateMachine) HandleResult(now time.Time, result Result) {
	call, invalid := m.pending, m.invalid
	m.pending, m.invalid = NoCall, false
	switch {
	case call == NoCall:
		return
	case invalid:
		m.clear(now)
	case call == ReleaseCall:
		m.clear(now.Add(m.TTL))
	case result.Outcome == Granted:
		m.grant(result.Fencing)
	case result.Outcome == Refused && call == RenewCall:
		m.clear(now.Add(m.jitter(initialBackoff)))
	case result.Outcome == Refused:
		m.clear(now.Add(m.retryDelay(result.Remaining)))
	default:
		m.backOff(now)
	}
}

// grant marks the lease as held. The TTL starts when the call was sent, the earliest time at which
// the store can have granted it.
func (m *StateMachine) grant(fencing uint64) {
	m.fencing = fencing
	m.heldUntil = m.sentAt.Add(m.TTL - m.TTL/marginDivisor)
	m.nextCallAt = m.sentAt.Add(m.TTL / renewalsPerTTL)
	m.backoff = 0
}

func (m *StateMachine) clear(next time.Time) {
	m.fencing = 0
	m.heldUntil = time.Time{}
	m.nextCallAt = next
	m.backoff = 0
}

// retryDelay returns the time until the lease of another candidate may have expired, plus jitter.
func (m *StateMachine) retryDelay(remaining time.Duration) time.Duration {
	if remaining <= 0 || remaining > m.TTL {
		remaining = m.TTL
	}
	return remaining + m.jitter(m.TTL/10)
}

// backOff doubles the back-off after a call without an answer.
func (m *StateMachine) backOff(now time.Time) {
	m.backoff = min(max(2*m.backoff, initialBackoff), m.TTL)
	m.nextCallAt = now.Add(m.backoff/2 + m.jitter(m.backoff))
}

// StoreRecovered records that the store answers again, and ends the back-off of the next call.
func (m *StateMachine) StoreRecovered(now time.Time) {
	if m.pending == NoCall && m.backoff > 0 {
		m.backoff = 0
		m.nextCallAt = now.Add(m.jitter(initialBackoff))
	}
}

func (m *StateMachine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.Random.Int64N(int64(d)/2 + 1))
}

// Invalidate ends the lease at once, since the store may have lost it. The result of a pending call
// is ignored.
func (m *StateMachine) Invalidate(now time.Time) {
	m.clear(now)
	m.freeSince = time.Time{}
	m.invalid = m.pending != NoCall
}

// Held returns the fencing token and whether the lease is held. The holder calls it again
// immediately before each action.
func (m *StateMachine) Held(now time.Time) (uint64, bool) {
	if m.fencing == 0 || m.pending == ReleaseCall || !now.Before(m.heldUntil) {
		return 0, false
	}
	return m.fencing, true
}

// idle reports whether the lease is not held and no call is pending.
func (m *StateMachine) idle() bool { return m.fencing == 0 && m.pending == NoCall }
