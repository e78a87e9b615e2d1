package verdict

import (
	"fmt"
	"slices"
	"time"

	"papayaport.dev/standin/outside"
)

// Rollout is an operator's order to move a service to another version, and what became of it.
type Rollout struct {
	// Span is from the order to its deadline, Now when all this was seen.
	Span
	Now time.Time
	// Bad tells that the ordered version is bad.
	Bad    bool
	States []outside.State
	Counts outside.Counts
	// Candidate are the requests that reached the ordered version.
	Candidate []Run
	// Shift is when all requests were first led to the ordered version, zero for never.
	Shift time.Time
	// Lingering tells that faults of backend servers kept requests there, or ended them.
	Lingering bool
}

// RolloutBounds are those of the users' first sites.
var RolloutBounds = outside.Bounds{Share: 0.1, Slack: 50, Rollback: 5 * time.Second}

const (
	// knownBad is the bad answer of a version after which it is known to be bad.
	knownBad = 50
	// enoughAnswers is the number of answers from which on a version may be found good; few
	// more, as some are on their way at the last moment.
	enoughAnswers = 25
	// telling is the number of bad answers in its trial from which on a version must not be
	// taken for good: 28 answers of a route of which 7 in 10 are bad, with the worst quarter of
	// the servers left out, and few answers of the old version to compare with.
	telling = 20
	// handover is the time in which another instance has taken the duty over and has written
	// what is due: the lease, the next round of the others, and the last moment of an order.
	handover = 5 * time.Second
)

// rollouts checks what became of the operator's orders.
func rollouts(r Record) (found []string) {
	entries := map[string]int{}
	for _, a := range r.Answers {
		entries[a.ID] = a.Entry
	}
	for _, one := range r.Rollouts {
		found = append(found, one.states()...)
		found = append(found, r.inTime(one)...)
		if one.Bad && !one.takenForGood() {
			found = append(found, r.bounded(one, entries)...)
		}
		if one.Counts.Cut > 0 && !one.Lingering && !r.troubled(one.Span) {
			found = append(found, fmt.Sprintf("roll-out: %d requests ran on the old servers at %q", one.Counts.Cut, outside.Completed))
		}
	}
	return found
}

// states checks that states only go forward, and that a bad version is never completed.
func (o Rollout) states() (found []string) {
	for i, state := range o.States {
		if i > 0 && o.States[i-1].State != outside.InProgress && o.States[i-1].State != state.State {
			found = append(found, fmt.Sprintf("roll-out: %q was written after %q", state.State, o.States[i-1].State))
		}
		if o.Bad && state.State == outside.Completed && !o.takenForGood() {
			found = append(found, "roll-out: a bad version was completed")
		}
	}
	return found
}

// takenForGood tells whether a bad version came to its shift by too few bad answers to tell.
func (o Rollout) takenForGood() bool {
	before := 0
	for _, at := range o.Counts.Bad {
		if at.Before(o.Shift) {
			before++
		}
	}
	return !o.Shift.IsZero() && before < telling
}

// inTime checks that an order is decided by its deadline, or soon after the last fault that
// kept the system from it, and that a good version is completed when there was none.
func (r Record) inTime(o Rollout) (found []string) {
	final := slices.IndexFunc(o.States, func(s outside.State) bool { return s.State != outside.InProgress })
	decided := o.Now
	if final >= 0 {
		decided = o.States[final].At
	}
	if due := r.due(o.To); decided.After(due) {
		found = append(found, fmt.Sprintf("roll-out: not decided %v behind its deadline, due was %v behind it", decided.Sub(o.To), due.Sub(o.To)))
	}
	if o.Bad || final < 0 || o.States[final].State == outside.Completed {
		return found
	}
	if !r.troubled(o.Span) && len(o.Candidate) >= enoughAnswers {
		found = append(found, "roll-out: a good version was reverted")
	}
	return found
}

// due returns by when an order with a deadline has to be decided: the time of a handover
// behind each fault that keeps the system from it.
func (r Record) due(deadline time.Time) time.Time {
	due := deadline
	for changed := true; changed; {
		changed = false
		for _, span := range r.troubles() {
			later := span.To.Add(handover)
			if span.From.Before(due) && later.After(due) && span.To.After(deadline.Add(-handover)) {
				due, changed = later, true
			}
		}
	}
	return due
}

// bounded checks what a bad version got through instances that were neither cut off nor
// frozen.
func (r Record) bounded(o Rollout, entries map[string]int) (found []string) {
	exposed, late := 0, 0
	for _, one := range o.Candidate {
		entry, answered := entries[one.ID]
		if !answered || r.cutOff(entry, Span{one.At.Add(-contact), one.At}) {
			continue
		}
		if one.At.After(o.From) && one.At.Before(o.To) {
			exposed++
		}
		if bad := o.Counts.Bad; len(bad) >= knownBad && one.At.After(bad[knownBad-1].Add(RolloutBounds.Rollback)) {
			late++
		}
	}
	if allowed := o.Counts.Allowed(RolloutBounds); float64(exposed) > allowed {
		found = append(found, fmt.Sprintf("roll-out: %d of %d requests reached the bad version, allowed are %.0f", exposed, o.Counts.Total, allowed))
	}
	if late > 0 {
		found = append(found, fmt.Sprintf("roll-out: %d requests reached the bad version %v after its bad answer number %d", late, RolloutBounds.Rollback, knownBad))
	}
	if again := o.Counts.Repeated; len(again) > 0 {
		found = append(found, fmt.Sprintf("roll-out: %d requests that the bad version failed reached it again, first %s", len(again), again[0]))
	}
	return found
}

// cutOff tells whether an instance was frozen, or cut from the store or its peers, in a span.
func (r Record) cutOff(entry int, span Span) bool {
	return slices.ContainsFunc(r.Blind, func(b Blind) bool {
		return b.Entry == entry && b.From.Before(span.To) && b.To.After(span.From)
	}) || slices.ContainsFunc(r.Held, func(h Held) bool {
		return h.Server == "" && h.Cut && h.Entry == entry && h.From.Before(span.To) && h.To.After(span.From)
	})
}

// troubles are the times in which the store or any entry instance was under a fault, which
// may have cost the holder of the duties its time.
func (r Record) troubles() (spans []Span) {
	for _, b := range r.Blind {
		spans = append(spans, b.Span)
	}
	for _, h := range r.Held {
		if h.Server == "" {
			spans = append(spans, h.Span)
		}
	}
	return spans
}

// troubled tells whether such a fault overlaps a span.
func (r Record) troubled(span Span) bool {
	return slices.ContainsFunc(r.troubles(), func(s Span) bool { return s.From.Before(span.To) && s.To.After(span.From) })
}
