package invariant

import (
	"fmt"
	"slices"
	"time"

	"papayaport.dev/standin/fakeplatform"
)

// Rollout is an operator's order to move a service to another version, and its outcome.
type Rollout struct {
	// Span is from the order to its deadline; Now is the time of the observation.
	Span
	Now time.Time
	// Bad is true if the ordered version is bad.
	Bad    bool
	States []fakeplatform.State
	Counts fakeplatform.Counts
	// Candidate are the requests that reached the ordered version.
	Candidate []Run
	// Shift is the time from which all requests went to the ordered version, zero for never.
	Shift time.Time
	// ServersDisturbed is true if faults of backend servers delayed or aborted requests.
	ServersDisturbed bool
}

// RolloutBounds are the bounds of the users' first sites.
var RolloutBounds = fakeplatform.Bounds{Share: 0.1, Slack: 50, RollbackTime: 5 * time.Second}

const (
	// detectedAfter is the number of bad responses after which a version counts as detected.
	detectedAfter = 50
	// minResponses is the number of requests from which on a good version must be completed. It is
	// slightly above the product's threshold, since some responses are in flight at the deadline.
	minResponses = 25
	// minBadResponses is the number of bad responses in the trial from which on a version must be
	// detected. It corresponds to 28 responses on a route with 70 % bad ones, without the worst
	// quarter of the servers and with few responses of the old version for comparison.
	minBadResponses = 20
	// takeoverTime is the time within which another instance takes over the duty and writes the
	// pending state: the expiry of the lease, the next acquisition attempt, and the final write.
	takeoverTime = 5 * time.Second
)

// rollouts checks the outcomes of the operator's orders.
func rollouts(r Record) (found []string) {
	entries := map[string]int{}
	for _, a := range r.Answers {
		entries[a.ID] = a.Entry
	}
	for _, one := range r.Rollouts {
		found = append(found, one.states()...)
		found = append(found, r.checkDecision(one)...)
		if one.Bad && !one.undetectable() {
			found = append(found, r.checkExposure(one, entries)...)
		}
		if one.Counts.Interrupted > 0 && !one.ServersDisturbed && !r.disturbed(one.Span) {
			found = append(found, fmt.Sprintf("roll-out: %d requests ran on the old servers at %q", one.Counts.Interrupted, fakeplatform.Completed))
		}
	}
	return found
}

// states checks that states never go backwards, and that a bad version is never completed.
func (o Rollout) states() (found []string) {
	for i, state := range o.States {
		if i > 0 && o.States[i-1].State != fakeplatform.InProgress && o.States[i-1].State != state.State {
			found = append(found, fmt.Sprintf("roll-out: %q was written after %q", state.State, o.States[i-1].State))
		}
		if o.Bad && state.State == fakeplatform.Completed && !o.undetectable() {
			found = append(found, "roll-out: a bad version was completed")
		}
	}
	return found
}

// undetectable reports whether a bad version reached its shift with too few bad responses to
// detect it.
func (o Rollout) undetectable() bool {
	before := 0
	for _, at := range o.Counts.Bad {
		if at.Before(o.Shift) {
			before++
		}
	}
	return !o.Shift.IsZero() && before < minBadResponses
}

// checkDecision checks that an order is decided by its deadline, or soon after the last fault
// that prevented it, and that a good version is completed if there was no such fault.
func (r Record) checkDecision(o Rollout) (found []string) {
	final := slices.IndexFunc(o.States, func(s fakeplatform.State) bool { return s.State != fakeplatform.InProgress })
	decided := o.Now
	if final >= 0 {
		decided = o.States[final].At
	}
	if due := r.due(o.To); decided.After(due) {
		found = append(found, fmt.Sprintf("roll-out: not decided %v after its deadline, due was %v after it", decided.Sub(o.To), due.Sub(o.To)))
	}
	if o.Bad || final < 0 || o.States[final].State == fakeplatform.Completed {
		return found
	}
	if !r.disturbed(o.Span) && len(o.Candidate) >= minResponses {
		found = append(found, "roll-out: a good version was reverted")
	}
	return found
}

// due returns the time by which an order must be decided: its deadline, extended to takeoverTime
// after each fault that prevents the decision.
func (r Record) due(deadline time.Time) time.Time {
	due := deadline
	for changed := true; changed; {
		changed = false
		for _, span := range r.disturbances() {
			later := span.To.Add(takeoverTime)
			if span.From.Before(due) && later.After(due) && span.To.After(deadline.Add(-takeoverTime)) {
				due, changed = later, true
			}
		}
	}
	return due
}

// checkExposure checks the requests that a bad version received through instances that were
// neither cut off nor suspended.
func (r Record) checkExposure(o Rollout, entries map[string]int) (found []string) {
	exposed, late := 0, 0
	for _, one := range o.Candidate {
		entry, answered := entries[one.ID]
		if !answered || r.cutOff(entry, Span{one.At.Add(-limitGrace), one.At}) {
			continue
		}
		if one.At.After(o.From) && one.At.Before(o.To) {
			exposed++
		}
		if bad := o.Counts.Bad; len(bad) >= detectedAfter && one.At.After(bad[detectedAfter-1].Add(RolloutBounds.RollbackTime)) {
			late++
		}
	}
	if allowed := o.Counts.Allowed(RolloutBounds); float64(exposed) > allowed {
		found = append(found, fmt.Sprintf("roll-out: %d of %d requests reached the bad version, allowed are %.0f", exposed, o.Counts.Total, allowed))
	}
	if late > 0 {
		found = append(found, fmt.Sprintf("roll-out: %d requests reached the bad version %v after its bad answer number %d", late, RolloutBounds.RollbackTime, detectedAfter))
	}
	if again := o.Counts.Repeated; len(again) > 0 {
		found = append(found, fmt.Sprintf("roll-out: %d requests that the bad version failed reached it again, first %s", len(again), again[0]))
	}
	return found
}

// cutOff reports whether an instance was suspended, or cut off from the store or its peers, in a
// span.
func (r Record) cutOff(entry int, span Span) bool {
	return slices.ContainsFunc(r.StoreCutoffs, func(b StoreCutoff) bool {
		return b.Entry == entry && b.From.Before(span.To) && b.To.After(span.From)
	}) || slices.ContainsFunc(r.Disruptions, func(h Disruption) bool {
		return h.Server == "" && h.PeersOnly && h.Entry == entry && h.From.Before(span.To) && h.To.After(span.From)
	})
}

// disturbances returns the intervals of faults of the store or of any entry instance, which may
// have delayed the holder of the duties.
func (r Record) disturbances() (spans []Span) {
	for _, b := range r.StoreCutoffs {
		spans = append(spans, b.Span)
	}
	for _, h := range r.Disruptions {
		if h.Server == "" {
			spans = append(spans, h.Span)
		}
	}
	return spans
}

// disturbed reports whether such a fault overlaps a span.
func (r Record) disturbed(span Span) bool {
	return slices.ContainsFunc(r.disturbances(), func(s Span) bool { return s.From.Before(span.To) && s.To.After(span.From) })
}
