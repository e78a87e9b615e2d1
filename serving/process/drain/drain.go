// Package drain decides the steps of a planned stop of an entry instance: when it stops
// being ready, when unfinished requests go to other entry instances, when callers must
// be sent there, and when the process may end.
//
// A Machine is pure. It cuts a caller's connection only when the instance itself is
// about to be taken away, and never in a stop without a deadline.
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
	// SettleTime is how long new requests are still answered after readiness went off, so
	// that the balancer notices first.
	SettleTime = 1500 * time.Millisecond
	// HandOverLead is the time before a deadline at which requests are handed over.
	HandOverLead = 3 * time.Second
	// CutLead is the time before a deadline at which callers' connections are cut.
	CutLead = 300 * time.Millisecond
	// handOverPeriod is the time between two hand-overs of what is left.
	handOverPeriod = time.Second
)

// Order is one step of a stop.
type Order int

// Orders.
const (
	// Unready turns readiness off and tells the peers. New requests are still answered.
	Unready Order = iota
	// CloseIdle closes callers' connections after their present response.
	CloseIdle
	// HandOver gives unfinished model requests to other entry instances. Their answers
	// are forwarded.
	HandOver
	// Cut breaks callers' connections without a final marker.
	Cut
	// End closes the listeners and ends the process.
	End
)

// String returns the order's name as it stands in logs.
func (o Order) String() string {
	return [...]string{"unready", "close_idle", "hand_over", "cut", "end"}[o]
}

// Limits bounds a stop.
type Limits struct {
	// Grace is the time for requests in flight before they are handed over.
	Grace time.Duration
	// Deadline is when the instance is taken away; zero for a stop that may last.
	Deadline time.Time
	// Settle replaces SettleTime when it is positive, for balancers that ask seldom.
	Settle time.Duration
}

// Load is what an entry instance still has to do.
type Load struct {
	// Callers is the number of callers without a whole answer.
	Callers int
	// Runs is the number of model requests that are not answered whole, with or without
	// a caller. Those that were handed over count until their answer is whole.
	Runs int
}

func (l Load) isIdle() bool { return l.Callers == 0 && l.Runs == 0 }

// Machine is one planned stop.
type Machine struct {
	limits     Limits
	started    time.Time
	unreadied  bool
	closed     bool
	cut        bool
	ended      bool
	handedOver time.Time
}

// New returns the machine of a stop that begins now.
func New(now time.Time, limits Limits) *Machine { return &Machine{limits: limits, started: now} }

// Ended tells whether End was ordered.
func (m *Machine) Ended() bool { return m.ended }

// Shorten brings the deadline forward, when a reclaim is announced during a stop.
func (m *Machine) Shorten(deadline time.Time) {
	if m.limits.Deadline.IsZero() || deadline.Before(m.limits.Deadline) {
		m.limits.Deadline = deadline
	}
}

// Step returns what is due. It should be called several times within CutLead.
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

// within tells whether the deadline is less than lead away.
func (m *Machine) within(now time.Time, lead time.Duration) bool {
	return !m.limits.Deadline.IsZero() && m.limits.Deadline.Sub(now) <= lead
}

// handOverDue tells whether unfinished requests go now. What arrived since, or could
// not be given to a peer, goes with a later one.
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
