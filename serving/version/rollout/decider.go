package rollout

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// writeVisibilityTimeout is how long an accepted write may take to appear in the records passed
// to the holder. Views are renewed within a second; after this time the record is assumed to be
// gone.
const writeVisibilityTimeout = 3 * time.Second

// Decider decides on all roll-outs while its entry instance holds the duties.
//
// The state that a takeover needs is in the stored records and in the reports of the instances.
// In memory it only keeps the run time of each order, decisions that are not written yet, and
// the reports of ended processes.
//
// Decider is safe for concurrent use. Its mutex is held alone and nothing is called under it.
// Calls of Decide and HandleWriteResult are meant to alternate: decisions of overlapping calls may repeat
// each other, which the store's compare-and-swap makes harmless.
type Decider struct {
	mu         sync.Mutex
	progress   map[string]*orderProgress
	writes     map[string]write
	unreadable map[string]uint64 // revisions of orders that could not be decoded, by service
}

// write is the last accepted write of a service's record.
type write struct {
	record Record
	// before is the record's revision before the write, and after that of the write, 0 if unknown.
	before, after uint64
	at            time.Time
}

// serviceInput is the part of the input that concerns one service.
type serviceInput struct {
	now            time.Time
	fencing        uint64
	service        string
	order          Order
	hasOrder       bool
	stored         Stored
	hasRecord      bool
	versions       map[string]Servers
	reports        []Report // for all orders of the service
	missingReports int
	// revisionUnknown is set if stored has no revision because a write is not visible yet.
	revisionUnknown bool
}

// NewDecider returns a decider without roll-outs. Its timing is fixed and does not depend on the
// limits; Limits.Rollback must be at least the sum given at maxCallGap.
func NewDecider(_ Limits) *Decider {
	d := &Decider{}
	d.reset()
	return d
}

// Reset drops all state, for a process that takes the duties over.
func (d *Decider) Reset() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reset()
}

func (d *Decider) reset() {
	d.progress = make(map[string]*orderProgress)
	d.writes = make(map[string]write)
	d.unreadable = make(map[string]uint64)
}

// Decide returns the records to write and the permits to send, by service. Now is wall-clock
// time. A service has more than one decision if a step without a write comes with another one.
func (d *Decider) Decide(now time.Time, in Input) []Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	situations := d.inputsByService(now, in)
	var decisions []Decision
	for _, service := range slices.Sorted(maps.Keys(situations)) {
		decisions = append(decisions, d.decide(situations[service])...)
	}
	maps.DeleteFunc(d.progress, func(service string, _ *orderProgress) bool {
		return situations[service] == nil
	})
	return decisions
}

// inputsByService splits the input by service.
func (d *Decider) inputsByService(now time.Time, in Input) map[string]*serviceInput {
	situations := make(map[string]*serviceInput)
	inputOf := func(service string) *serviceInput {
		s := situations[service]
		if s == nil {
			s = &serviceInput{
				now: now, fencing: in.Fencing, service: service,
				versions: in.Servers[service], missingReports: in.MissingReports,
			}
			situations[service] = s
		}
		return s
	}
	for _, order := range in.Orders {
		s := inputOf(order.Service)
		s.order, s.hasOrder = order, true
	}
	for _, stored := range in.Records {
		s := inputOf(stored.Service)
		s.stored, s.hasRecord = stored, true
	}
	for _, report := range in.Reports {
		if s := situations[report.Service]; s != nil {
			s.reports = append(s.reports, report)
		}
	}
	for _, s := range situations {
		d.applyLastWrite(s)
	}
	return situations
}

// applyLastWrite substitutes the last accepted write for a stored record that does not show it
// yet.
func (d *Decider) applyLastWrite(s *serviceInput) {
	last, ok := d.writes[s.service]
	if !ok {
		return
	}
	age := s.now.Sub(last.at)
	shown := s.stored.Revision != last.before && s.stored.Revision >= last.after
	if shown || age < 0 || age > writeVisibilityTimeout {
		delete(d.writes, s.service)
		return
	}
	s.stored, s.hasRecord = Stored{Record: last.record, Revision: last.after}, true
	s.revisionUnknown = last.after == 0
}

// decide returns the decisions for one service.
func (d *Decider) decide(s *serviceInput) []Decision {
	if s.hasRecord && s.stored.Fencing > s.fencing {
		return nil // superseded
	}
	unreadable := s.hasOrder && !s.order.Readable()
	switch {
	case unreadable && !s.hasRecord:
		return d.reportUnreadable(s)
	case unreadable:
		return append(d.reportUnreadable(s), d.continueRollout(s)...)
	case !s.hasOrder:
		return s.finish(d.orderProgress(s, s.stored.Order), s.withdraw())
	case s.hasRecord && s.stored.Order == s.order.Revision:
		return d.continueRollout(s)
	case s.hasRecord && s.stored.Order > s.order.Revision:
		return nil // stale order: the record belongs to a newer one
	}
	return s.finish(d.orderProgress(s, s.order.Revision), s.startOrder(d.orderProgress(s, s.order.Revision)))
}

// reportUnreadable reports an order that cannot be decoded, once for each revision.
func (d *Decider) reportUnreadable(s *serviceInput) []Decision {
	if d.unreadable[s.service] == s.order.Revision {
		return nil
	}
	d.unreadable[s.service] = s.order.Revision
	return []Decision{{
		Record:        Record{Service: s.service, Order: s.order.Revision},
		OrderRevision: s.order.Revision,
		Step:          StepUnreadable,
	}}
}

// orderProgress returns the progress of an order, which its first call creates.
func (d *Decider) orderProgress(s *serviceInput, order uint64) *orderProgress {
	p := d.progress[s.service]
	if p == nil || p.order != order {
		p = newOrderProgress(s, order)
		d.progress[s.service] = p
		return p
	}
	p.advance(s.now)
	return p
}

// continueRollout decides on a roll-out that has a record.
func (d *Decider) continueRollout(s *serviceInput) []Decision {
	if !s.stored.Phase.InProgress() {
		return nil
	}
	p := d.orderProgress(s, s.stored.Order)
	var decisions []Decision
	if !p.examined && s.stored.Fencing != s.fencing {
		decisions = append(decisions, Decision{
			Record: s.stored.Record, Revision: s.stored.Revision,
			OrderRevision: s.order.Revision, Step: StepTakeover,
		})
	}
	p.examined = true
	p.update(s)
	if s.stored.Phase == Trial {
		return append(decisions, s.finish(p, p.trial(s))...)
	}
	return append(decisions, s.finish(p, p.shift(s))...)
}

// finish fills in the revisions of a decision. It holds writes back while the record's revision
// is unknown, and marks a step that was returned before.
func (s *serviceInput) finish(p *orderProgress, decision *Decision) []Decision {
	if decision == nil {
		return nil
	}
	decision.Revision = s.stored.Revision
	decision.OrderRevision = 0
	if s.hasOrder {
		decision.OrderRevision = s.order.Revision
	}
	if s.revisionUnknown && decision.Write {
		decision.Write, decision.Step = false, ""
		decision.Record = s.stored.Record
	}
	if !decision.Write && !decision.Permit {
		return nil
	}
	if decision.Write {
		decision.Record.Fencing = s.fencing
		decision.Repeated = p.pendingStep == decision.Step
		p.pendingStep = decision.Step
	}
	return []Decision{*decision}
}

// HandleWriteResult handles the result of a write. A caller that knows the revision of an accepted record
// stores it in decision.WrittenRevision first.
func (d *Decider) HandleWriteResult(now time.Time, decision Decision, outcome WriteResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	service := decision.Record.Service
	p := d.progress[service]
	if p != nil && p.order != decision.Record.Order {
		p = nil
	}
	switch outcome {
	case Accepted:
		d.writes[service] = write{
			record: decision.Record, before: decision.Revision, after: decision.WrittenRevision, at: now,
		}
		if p != nil {
			p.pendingStep = ""
			p.completionUnknown = false
		}
	case Conflict:
		delete(d.writes, service)
	case Unknown:
		if p != nil && decision.Record.Phase == Completed {
			p.completionUnknown, p.completionRevision = true, decision.Revision
		}
	case NotWritten:
	}
}
