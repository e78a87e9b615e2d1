// Package drain decides the steps of a graceful shutdown of an entry instance: when it stops being
// ready, when unfinished requests are handed over to other entry instances, when callers'
// connections are cut, and when the process may end.
//
// A Machine is a state machine without I/O or a clock. It cuts callers' connections only when the
// instance itself is about to be taken away, never in a shutdown without a deadline.
//
// # Usage
//
//	machine := drain.New(now, drain.Limits{Grace: grace, Deadline: deadline})
//	for !machine.Ended() {
//		for _, order := range machine.Step(time.Now(), drain.Load{Callers: n, Runs: m}) {
//			// Unready, CloseIdle, HandOver, Cut, End
//		}
//	}
package drain

import "time"

const (
	// SettleTime is how long new requests are still answered after the instance has become unready,
	// so that the load balancer can stop sending requests first.
	SettleTime = 1500 * time.Millisecond
	// HandOverLead is the time before a deadline at which requests are handed over.
	HandOverLead = 3 * time.Second
	// CutLead is the time before a deadline at which callers' connections are cut.
	CutLead = 300 * time.Millisecond
	// handOverPeriod is the time between two hand-overs of the remaining requests.
	handOverPeriod = time.Second
)

// Order is one step of a shutdown.
type Order int

// Orders of a shutdown.
const (
	// Unready makes the instance unready and notifies the peers. New requests are still answered.
	Unready Order = iota
	// CloseIdle closes callers' connections after their current response.
	CloseIdle
	// HandOver hands unfinished model requests over to other entry instances. Their answers are
	// forwarded.
	HandOver
	// Cut closes callers' connections without a final marker.
	Cut
	// End closes the listeners and ends the process.
	End
)

// String returns the order's name as used in logs.
func (o Order) String() string {
	return [...]string{"unready", "close_idle", "hand_over", "cut", "end"}[o]
}

// Limits holds the time limits of a shutdown.
type Limits struct {
	// Grace is the time for requests in flight to finish before they are handed over.
	Grace time.Duration
	// Deadline is when the instance is taken away; zero for a shutdown without a deadline.
	Deadline time.Time
	// Settle replaces SettleTime when it is positive, for load balancers with a long health-check
	// interval.
	Settle time.Duration
}

// Load is the unfinished work of an entry instance.
type Load struct {
	// Callers is the number of callers without a complete answer.
	Callers int
	// Runs is the number of model requests without a complete answer, with or without a caller.
	// Requests that were handed over count until their answer is complete.
	Runs int
}

func (l Load) isIdle() bool { return l.Callers == 0 && l.Runs == 0 }

// Machine is the state machine of one shutdown.
type Machine struct {
	limits     Limits
	started    time.Time
	unreadied  bool
	closed     bool
	cut        bool
	ended      bool
	handedOver time.Time
}

// New returns the machine of a shutdown that starts now.
func New(now time.Time, limits Limits) *Machine { return &Machine{limits: limits, started: now} }

// Ended reports whether End was ordered.
func (m *Machine) Ended() bool { return m.ended }

// Shorten moves the deadline forward when a reclaim is announced during a shutdown. A later
// deadline is ignored.
func (m *Machine) Shorten(deadline time.Time) {
	if m.limits.Deadline.IsZero() || deadline.Before(m.limits.Deadline) {
		m.limits.Deadline = deadline
	}
}

// Step returns the orders that are due. It must be called several times within CutLead.
func (m *Machine) Step(now time.Time, load Load) []Order {
	if m.ended {
		return nil
	}
	var orders []Order
	if !m.unreadied {
		m.unreadied = true
		orders = append(orders, Unready)
	}
	if !m.closed && m.settled(now) {
		m.closed = true
		orders = append(orders, CloseIdle)
	}
	if m.handOverDue(now, load) {
		m.handedOver = now
		orders = append(orders, HandOver)
	}
	return append(orders, m.finish(now, load)...)
}

func (m *Machine) settled(now time.Time) bool {
	settle := SettleTime
	if m.limits.Settle > 0 {
		settle = m.limits.Settle
	}
	return now.Sub(m.started) >= settle || m.within(now, CutLead)
}

// within reports whether at most lead is left until the deadline.
func (m *Machine) within(now time.Time, lead time.Duration) bool {
	return !m.limits.Deadline.IsZero() && m.limits.Deadline.Sub(now) <= lead
}

// handOverDue reports whether unfinished requests are to be handed over now. Requests that arrive
// later, or that no peer accepted, are included in the next hand-over.
func (m *Machine) handOverDue(now time.Time, load Load) bool {
	if load.Runs == 0 || now.Sub(m.handedOver) < handOverPeriod {
		return false
	}
	return now.Sub(m.started) >= m.limits.Grace || m.within(now, HandOverLead)
}

func (m *Machine) finish(now time.Time, load Load) []Order {
	if m.closed && load.isIdle() {
		m.ended = true
		return []Order{End}
	}
	if !m.within(now, CutLead) {
		return nil
	}
	if !m.cut {
		m.cut = true
		return []Order{Cut}
	}
	if !m.within(now, 0) {
		return nil
	}
	m.ended = true
	return []Order{End}
}
