package outside

import (
	"fmt"
	"slices"
	"time"
)

// knownBad is the bad answer of a version after which it is known to be bad.
const knownBad = 50

// Bounds are what a bad version may get.
type Bounds struct {
	// Share is the part of the requests that reach the service between an order and its
	// deadline, and Slack a number of requests on top.
	Share, Slack float64
	// Rollback is the time after the 50th bad answer from which on it gets nothing.
	Rollback time.Duration
}

// Counts is what the backend servers of a service saw of one order.
type Counts struct {
	// Total are the requests that reached the service between the order and its deadline,
	// and Exposed those among them that reached the ordered version.
	Total, Exposed int
	// Bad are the times of the ordered version's bad answers, in order.
	Bad []time.Time
	// Late are the requests that reached the ordered version when nothing should any more.
	Late int
	// Repeated are the ids of requests that reached the ordered version again after its bad
	// answer to them.
	Repeated []string
	// Cut are the requests that the end of the old servers at "completed" cut off.
	Cut int
}

// Counts returns what the servers saw until now, with the bounds of a bad version.
func (r *Rollout) Counts(bounds Bounds) Counts {
	r.mu.Lock()
	fresh, old := slices.Clone(r.fresh), slices.Clone(r.old)
	for _, other := range r.others {
		if other.Version == r.To {
			fresh = append(fresh, other)
			continue
		}
		old = append(old, other)
	}
	r.mu.Unlock()
	var counts Counts
	var exposed, bad []Arrival
	for _, backend := range old {
		counts.Total += r.within(backend.Arrivals())
		counts.Cut += backend.Lost()
	}
	for _, backend := range fresh {
		bad = append(bad, backend.Bad()...)
		exposed = append(exposed, backend.Arrivals()...)
	}
	// Servers that were there before the order got requests that are not its own.
	before := func(a Arrival) bool { return a.At.Before(r.Made) }
	exposed, bad = slices.DeleteFunc(exposed, before), slices.DeleteFunc(bad, before)
	counts.Exposed = r.within(exposed)
	counts.Total += counts.Exposed
	slices.SortFunc(bad, func(a, b Arrival) int { return a.At.Compare(b.At) })
	badly := map[string]time.Time{}
	for _, one := range bad {
		counts.Bad = append(counts.Bad, one.At)
		if _, found := badly[one.ID]; !found {
			badly[one.ID] = one.At
		}
	}
	for _, one := range exposed {
		if at, found := badly[one.ID]; found && one.At.After(at) {
			counts.Repeated = append(counts.Repeated, one.ID)
		}
		if len(bad) >= knownBad && one.At.After(bad[knownBad-1].At.Add(bounds.Rollback)) {
			counts.Late++
		}
	}
	return counts
}

// within returns how many requests arrived between the order and its deadline.
func (r *Rollout) within(arrivals []Arrival) (count int) {
	for _, one := range arrivals {
		if !one.At.Before(r.Made) && !one.At.After(r.Deadline()) {
			count++
		}
	}
	return count
}

// Allowed is the number of requests that a bad version may get.
func (c Counts) Allowed(bounds Bounds) float64 { return bounds.Share*float64(c.Total) + bounds.Slack }

// Faults returns what was wrong with how the system carried an order out for a version that
// should have come to a state. It is asked once the deadline is over.
func (r *Rollout) Faults(want string, bounds Bounds) []string {
	faults := append(r.StateFaults(want), r.DeadlineFaults()...)
	counts := r.Counts(bounds)
	if counts.Cut > 0 {
		faults = append(faults, fmt.Sprintf("cut: %d requests ran on the old servers at %q", counts.Cut, Completed))
	}
	if want == Reverted {
		faults = append(faults, counts.ExposureFaults(bounds)...)
		faults = append(faults, counts.RollbackFaults(bounds)...)
	}
	return faults
}

// StateFaults checks that the states that were written lead to the right one and stay there.
func (r *Rollout) StateFaults(want string) []string {
	states := r.States()
	var faults []string
	for i, state := range states {
		switch {
		case state.State == want:
		case state.State == InProgress && (i == 0 || states[i-1].State == InProgress):
		default:
			faults = append(faults, fmt.Sprintf("states: %q was written as number %d, wanted is %q at the end", state.State, i+1, want))
		}
	}
	if len(states) == 0 || states[0].State != InProgress {
		faults = append(faults, fmt.Sprintf("states: %q was not written first: %v", InProgress, states))
	}
	if len(states) == 0 || states[len(states)-1].State != want {
		faults = append(faults, fmt.Sprintf("states: %q was not written in the end: %v", want, states))
	}
	return faults
}

// DeadlineFaults checks that the last state was written in time.
func (r *Rollout) DeadlineFaults() []string {
	final, found := r.Final()
	if found && !final.At.After(r.Deadline()) {
		return nil
	}
	if !found {
		return []string{"deadline: no final state was written"}
	}
	return []string{fmt.Sprintf("deadline: %q was written %v behind it", final.State, final.At.Sub(r.Deadline()))}
}

// ExposureFaults checks how many requests a bad version got.
func (c Counts) ExposureFaults(bounds Bounds) []string {
	if allowed := c.Allowed(bounds); float64(c.Exposed) > allowed {
		return []string{fmt.Sprintf("exposure: %d of %d requests reached the bad version, allowed are %.0f", c.Exposed, c.Total, allowed)}
	}
	return nil
}

// RollbackFaults checks that a bad version got nothing once it was known, and that requests
// which it failed did not come back to it.
func (c Counts) RollbackFaults(bounds Bounds) (faults []string) {
	if c.Late > 0 {
		faults = append(faults, fmt.Sprintf("rollback: %d requests reached the bad version later than %v after its bad answer number %d", c.Late, bounds.Rollback, knownBad))
	}
	if len(c.Repeated) > 0 {
		faults = append(faults, fmt.Sprintf("rollback: %d requests that the bad version failed reached it again, first %s", len(c.Repeated), c.Repeated[0]))
	}
	return faults
}
