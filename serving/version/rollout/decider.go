package rollout

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// settleTime is how long an accepted write may take to show in the records that the holder is
// given. Views are renewed within a second; after this time the record is taken to be gone.
const settleTime = 3 * time.Second

// Decider decides about all roll-outs while its entry instance holds the duties.
//
// What it needs after a takeover is in the stored records and in the reports of the instances.
// On its own it keeps how long each order has run, what it decided and could not write yet, and
// the reports of processes that ended.
//
// Decider is safe for several goroutines. Its lock is the only one, and nothing is called with
// it. Decide and Written are meant to alternate: decisions of two calls that overlap may repeat
// each other, which the store's compare-and-swap makes harmless.
type Decider struct {
	mu         sync.Mutex
	courses    map[string]*course
	writes     map[string]write
	unreadable map[string]uint64 // revisions of orders that were found unreadable
}

// write is the last accepted write of a service's record.
type write struct {
	record Record
	// before is the revision that the record had, and after the one that it got, 0 if unknown.
	before, after uint64
	at            time.Time
}

// situation is what a decision about one service is made on.
type situation struct {
	now      time.Time
	fencing  uint64
	service  string
	order    Order
	ordered  bool
	stored   Stored
	held     bool
	versions map[string]Servers
	reports  []Report // of the service, all orders
	unheard  int
	// lagging tells that stored lacks a revision, because a write does not show yet.
	lagging bool
}

// NewDecider returns a decider that knows no roll-outs. Its times are fixed and do not depend on
// the limits, of which Rollback must be at least the sum that awakeSteady explains.
func NewDecider(_ Limits) *Decider {
	d := &Decider{}
	d.clear()
	return d
}

// Forget drops what was decided, for a process that takes the duty over.
func (d *Decider) Forget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.clear()
}

func (d *Decider) clear() {
	d.courses = make(map[string]*course)
	d.writes = make(map[string]write)
	d.unreadable = make(map[string]uint64)
}

// Decide returns the records to write and the permits to tell, by service. Now is the time of
// day. A service has more than one decision where a step without a write comes with another.
func (d *Decider) Decide(now time.Time, in Input) []Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	situations := d.situations(now, in)
	var decisions []Decision
	for _, service := range slices.Sorted(maps.Keys(situations)) {
		decisions = append(decisions, d.decide(situations[service])...)
	}
	maps.DeleteFunc(d.courses, func(service string, _ *course) bool {
		return situations[service] == nil
	})
	return decisions
}

// looks sorts the input by service.
func (d *Decider) situations(now time.Time, in Input) map[string]*situation {
	situations := make(map[string]*situation)
	of := func(service string) *situation {
		l := situations[service]
		if l == nil {
			l = &situation{
				now: now, fencing: in.Fencing, service: service,
				versions: in.Servers[service], unheard: in.Unheard,
			}
			situations[service] = l
		}
		return l
	}
	for _, order := range in.Orders {
		l := of(order.Service)
		l.order, l.ordered = order, true
	}
	for _, stored := range in.Records {
		l := of(stored.Service)
		l.stored, l.held = stored, true
	}
	for _, report := range in.Reports {
		if l := situations[report.Service]; l != nil {
			l.reports = append(l.reports, report)
		}
	}
	for _, l := range situations {
		d.overlay(l)
	}
	return situations
}

// overlay puts the last accepted write in place of a stored record that does not show it yet.
func (d *Decider) overlay(l *situation) {
	last, ok := d.writes[l.service]
	if !ok {
		return
	}
	age := l.now.Sub(last.at)
	shown := l.stored.Revision != last.before && l.stored.Revision >= last.after
	if shown || age < 0 || age > settleTime {
		delete(d.writes, l.service)
		return
	}
	l.stored, l.held = Stored{Record: last.record, Revision: last.after}, true
	l.lagging = last.after == 0
}

// decide decides about one service.
func (d *Decider) decide(l *situation) []Decision {
	if l.held && l.stored.Fencing > l.fencing {
		return nil // superseded
	}
	unreadable := l.ordered && !l.order.Readable()
	switch {
	case unreadable && !l.held:
		return d.notReadable(l)
	case unreadable:
		return append(d.notReadable(l), d.follow(l)...)
	case !l.ordered:
		return l.finish(d.course(l, l.stored.Order), l.withdrawn())
	case l.held && l.stored.Order == l.order.Revision:
		return d.follow(l)
	case l.held && l.stored.Order > l.order.Revision:
		return nil // the order is older than the record that answers a newer one
	}
	return l.finish(d.course(l, l.order.Revision), l.begin(d.course(l, l.order.Revision)))
}

// notReadable tells once of an order that can't be read.
func (d *Decider) notReadable(l *situation) []Decision {
	if d.unreadable[l.service] == l.order.Revision {
		return nil
	}
	d.unreadable[l.service] = l.order.Revision
	return []Decision{{
		Record:        Record{Service: l.service, Order: l.order.Revision},
		OrderRevision: l.order.Revision,
		Step:          StepUnreadable,
	}}
}

// course returns what is known of an order, and starts it with its first look.
func (d *Decider) course(l *situation, order uint64) *course {
	c := d.courses[l.service]
	if c == nil || c.order != order {
		c = newCourse(l, order)
		d.courses[l.service] = c
		return c
	}
	c.advance(l.now)
	return c
}

// follow continues a roll-out whose record is stored.
func (d *Decider) follow(l *situation) []Decision {
	if !l.stored.Phase.InProgress() {
		return nil
	}
	c := d.course(l, l.stored.Order)
	var decisions []Decision
	if !c.taken && l.stored.Fencing != l.fencing {
		decisions = append(decisions, Decision{
			Record: l.stored.Record, Revision: l.stored.Revision,
			OrderRevision: l.order.Revision, Step: StepTakeover,
		})
	}
	c.taken = true
	c.learn(l)
	if l.stored.Phase == Trial {
		return append(decisions, l.finish(c, c.trial(l))...)
	}
	return append(decisions, l.finish(c, c.shift(l))...)
}

// finish completes a decision: a write waits while the record's revision is unknown, and a step
// that was returned before is marked.
func (l *situation) finish(c *course, decision *Decision) []Decision {
	if decision == nil {
		return nil
	}
	decision.Revision = l.stored.Revision
	decision.OrderRevision = 0
	if l.ordered {
		decision.OrderRevision = l.order.Revision
	}
	if l.lagging && decision.Write {
		decision.Write, decision.Step = false, ""
		decision.Record = l.stored.Record
	}
	if !decision.Write && !decision.Permit {
		return nil
	}
	if decision.Write {
		decision.Record.Fencing = l.fencing
		decision.Again = c.step == decision.Step
		c.step = decision.Step
	}
	return []Decision{*decision}
}

// Written takes in what became of a write. A site that knows the revision of an accepted record
// puts it into decision.Written first.
func (d *Decider) Written(now time.Time, decision Decision, outcome Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	service := decision.Record.Service
	c := d.courses[service]
	if c != nil && c.order != decision.Record.Order {
		c = nil
	}
	switch outcome {
	case Accepted:
		d.writes[service] = write{
			record: decision.Record, before: decision.Revision, after: decision.Written, at: now,
		}
		if c != nil {
			c.step = ""
			c.uncertain = false
		}
	case Conflict:
		delete(d.writes, service)
	case Unknown:
		if c != nil && decision.Record.Phase == Completed {
			c.uncertain, c.uncertainAt = true, decision.Revision
		}
	case NotWritten:
	}
}
