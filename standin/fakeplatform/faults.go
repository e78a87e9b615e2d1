package fakeplatform

import (
	"fmt"
	"slices"
	"time"
)

// detectionCount is the number of bad answers after which a version counts as detected as bad.
const detectionCount = 50

// Bounds limit the requests that a bad version may receive.
type Bounds struct {
	// Share is the permitted fraction of the requests that reach the service between an order
	// and its deadline, and Slack a number of requests permitted in addition.
	Share, Slack float64
	// RollbackTime is the time after the 50th bad answer within which requests to it must stop.
	RollbackTime time.Duration
}

// Counts is what the backend servers of a service recorded during one roll-out.
type Counts struct {
	// Total is the number of requests that reached the service between the order and its
	// deadline, and Exposed the number of those that reached the ordered version.
	Total, Exposed int
	// Bad holds the times of the ordered version's bad answers, in ascending order.
	Bad []time.Time
	// Late is the number of requests that reached the ordered version after Bounds.RollbackTime.
	Late int
	// Repeated holds the ids of requests that reached the ordered version again after it had
	// given them a bad answer.
	Repeated []string
	// Interrupted is the number of requests that were interrupted when the old servers ended at
	// "completed".
	Interrupted int
}

// Counts returns what the servers have recorded so far; Late depends on bounds.
func (r *Rollout) Counts(bounds Bounds) Counts {
	r.mu.Lock()
	ordered, old := slices.Clone(r.ordered), slices.Clone(r.old)
	for _, other := range r.counted {
		if other.Version == r.To {
			ordered = append(ordered, other)
			continue
		}
		old = append(old, other)
	}
	r.mu.Unlock()
	var counts Counts
	var exposed, bad []Arrival
	for _, backend := range old {
		counts.Total += r.countInTime(backend.Arrivals())
		counts.Interrupted += backend.LostRequests()
	}
	for _, backend := range ordered {
		bad = append(bad, backend.BadAnswers()...)
		exposed = append(exposed, backend.Arrivals()...)
	}
	// Servers that ran before the order also recorded requests that precede it.
	before := func(a Arrival) bool { return a.At.Before(r.OrderedAt) }
	exposed, bad = slices.DeleteFunc(exposed, before), slices.DeleteFunc(bad, before)
	counts.Exposed = r.countInTime(exposed)
	counts.Total += counts.Exposed
	slices.SortFunc(bad, func(a, b Arrival) int { return a.At.Compare(b.At) })
	firstBad := map[string]time.Time{}
	for _, one := range bad {
		counts.Bad = append(counts.Bad, one.At)
		if _, found := firstBad[one.ID]; !found {
			firstBad[one.ID] = one.At
		}
	}
	for _, one := range exposed {
		if at, found := firstBad[one.ID]; found && one.At.After(at) {
			counts.Repeated = append(counts.Repeated, one.ID)
		}
		if len(bad) >= detectionCount && one.At.After(bad[detectionCount-1].At.Add(bounds.RollbackTime)) {
			counts.Late++
		}
	}
	return counts
}

// countInTime returns the number of requests that arrived between the order and its deadline.
func (r *Rollout) countInTime(arrivals []Arrival) (count int) {
	for _, one := range arrivals {
		if !one.At.Before(r.OrderedAt) && !one.At.After(r.Deadline()) {
			count++
		}
	}
	return count
}

// Allowed returns the number of requests that a bad version may receive.
func (c Counts) Allowed(bounds Bounds) float64 { return bounds.Share*float64(c.Total) + bounds.Slack }

// Faults returns the violations in how the system carried out an order whose correct final
// state is want. Call it after the deadline.
func (r *Rollout) Faults(want string, bounds Bounds) []string {
	faults := append(r.StateFaults(want), r.DeadlineFaults()...)
	counts := r.Counts(bounds)
	if counts.Interrupted > 0 {
		faults = append(faults, fmt.Sprintf("cut: %d requests were in flight at the old servers at %q", counts.Interrupted, Completed))
	}
	if want == Reverted {
		faults = append(faults, counts.ExposureFaults(bounds)...)
		faults = append(faults, counts.RollbackFaults(bounds)...)
	}
	return faults
}

// StateFaults checks that the written states begin with "in_progress", end with want and do not
// change after that.
func (r *Rollout) StateFaults(want string) []string {
	states := r.States()
	var faults []string
	for i, state := range states {
		switch {
		case state.State == want:
		case state.State == InProgress && (i == 0 || states[i-1].State == InProgress):
		default:
			faults = append(faults, fmt.Sprintf("states: %q was written as number %d, want final state %q", state.State, i+1, want))
		}
	}
	if len(states) == 0 || states[0].State != InProgress {
		faults = append(faults, fmt.Sprintf("states: %q was not written first: %v", InProgress, states))
	}
	if len(states) == 0 || states[len(states)-1].State != want {
		faults = append(faults, fmt.Sprintf("states: %q was not written as the final state: %v", want, states))
	}
	return faults
}

// DeadlineFaults checks that the final state was written before the deadline.
func (r *Rollout) DeadlineFaults() []string {
	final, found := r.Final()
	if found && !final.At.After(r.Deadline()) {
		return nil
	}
	if !found {
		return []string{"deadline: no final state was written"}
	}
	return []string{fmt.Sprintf("deadline: %q was written %v after the deadline", final.State, final.At.Sub(r.Deadline()))}
}

// ExposureFaults checks that a bad version received no more requests than allowed.
func (c Counts) ExposureFaults(bounds Bounds) []string {
	if allowed := c.Allowed(bounds); float64(c.Exposed) > allowed {
		return []string{fmt.Sprintf("exposure: %d of %d requests reached the bad version, at most %.0f are allowed", c.Exposed, c.Total, allowed)}
	}
	return nil
}

// RollbackFaults checks that a bad version received no requests once it was detected, and that
// requests which it failed were not retried on it.
func (c Counts) RollbackFaults(bounds Bounds) (faults []string) {
	if c.Late > 0 {
		faults = append(faults, fmt.Sprintf("rollback: %d requests reached the bad version later than %v after its bad answer number %d", c.Late, bounds.RollbackTime, detectionCount))
	}
	if len(c.Repeated) > 0 {
		faults = append(faults, fmt.Sprintf("rollback: %d requests that the bad version failed reached it again, first %s", len(c.Repeated), c.Repeated[0]))
	}
	return faults
}
