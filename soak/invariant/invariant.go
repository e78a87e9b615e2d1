// Package invariant checks the observations of callers, backend servers and the platform against
// the guarantees of the product.
//
// Check is a pure function from a Record to violations, so that it can be tested without
// processes.
//
// # Usage
//
//	for _, violation := range invariant.Check(record) { ... }
package invariant

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"papayaport.dev/soak/caller"
)

// Run is one execution of a request at a backend server.
type Run struct {
	ID     string
	At     time.Time
	Server string
	// Body is the complete response body, and Seal the server's signature.
	Body, Seal string
}

// Leaving is a backend server that was marked as leaving at a point in time.
type Leaving struct {
	Server string
	At     time.Time
}

// Span is an interval of time.
type Span struct{ From, To time.Time }

// AllEntries stands for all entry instances.
const AllEntries = -1

// StoreCutoff is an interval in which an entry instance, or all of them, could not read the
// current contents of the store.
type StoreCutoff struct {
	Entry int
	Span
}

// Stop is a graceful shutdown of an entry instance without another fault.
type Stop struct {
	Entry int
	Span
}

// Probe is a request to one process of an entry instance for the route of a version.
type Probe struct {
	Entry, Process int
	At             time.Time
	// Version is the latest version, published at Accepted.
	Version  int
	Accepted time.Time
	Applied  bool
	// Undisturbed is true if no fault delayed the propagation of the version to the instance.
	Undisturbed bool
}

// Record holds the observations of a run.
type Record struct {
	Answers []caller.Answer
	Runs    []Run
	// Arrivals are the attempts that reached backend servers, including refused ones.
	Arrivals     []Run
	Leaving      []Leaving
	StoreCutoffs []StoreCutoff
	Stops        []Stop
	Probes       []Probe
	// Cloud lists the violations that the cloud API detected.
	Cloud []string
	// Backpressure lists the backpressure headers that servers sent, and Disruptions the
	// intervals in which instances are excused from following them.
	Backpressure []Backpressure
	Disruptions  []Disruption
	// Rollouts are the operator's orders.
	Rollouts []Rollout
	// Limit is the limit of the client account, and Budget the retry budget.
	Limit  Limit
	Budget Budget
}

// Limit is the limit of the client account.
type Limit struct {
	// Rate is in tokens per second, Burst in tokens; both are checked over Window.
	Rate, Burst float64
	Window      time.Duration
	// Overrun is the fraction, and Slack the number of tokens, by which the limit may be exceeded.
	Overrun, Slack float64
}

// Budget is the retry budget: Ratio retries per request plus Allowance, in each Window.
type Budget struct {
	Ratio, Allowance float64
	Window           time.Duration
}

// Time bounds of the guarantees.
const (
	// LeavingBound is the time within which new requests to a leaving server must stop: drain_ms
	// of the users' first sites.
	LeavingBound = 2 * time.Second
	// VersionBound is the time within which a version must be in force everywhere:
	// config_apply_ms of the users' first sites.
	VersionBound = 2 * time.Second
	// schedulingSlack allows for scheduling delays and for the time between the choice of a
	// server and the arrival of the request.
	schedulingSlack = 300 * time.Millisecond
)

// notRunStatuses are the statuses that guarantee that a request has not run and never will.
var notRunStatuses = []int{401, 404, 408, 413, 421, 429, 431, 503}

// Check returns the violations of all invariants, in their order.
func Check(r Record) []string {
	var found []string
	for _, check := range []func(Record) []string{
		answers, atMostOnce, notRunStatus, leaving, plannedStops, versions, limits, budgets, backpressure, rollouts,
	} {
		found = append(found, check(r)...)
	}
	for _, fault := range r.Cloud {
		found = append(found, "one holder: "+fault)
	}
	return found
}

func (r Record) byID() map[string][]Run {
	runs := map[string][]Run{}
	for _, run := range r.Runs {
		runs[run.ID] = append(runs[run.ID], run)
	}
	return runs
}

// answers checks that each complete response is the unmodified response of a run of its request.
func answers(r Record) (found []string) {
	runs := r.byID()
	for _, a := range r.Answers {
		if a.Err != nil || a.Status != 200 {
			continue
		}
		own := func(run Run) bool { return run.Body == a.Body }
		sealed := func(run Run) bool { return run.Seal == a.Seal }
		if !slices.ContainsFunc(runs[a.ID], own) || !slices.ContainsFunc(runs[a.ID], sealed) {
			found = append(found, fmt.Sprintf("own whole answer: %s (%s) got %q, sealed %s", a.ID, a.Kind, a.Body, a.Seal))
		}
	}
	return found
}

func atMostOnce(r Record) (found []string) {
	runs := r.byID()
	for _, a := range r.Answers {
		if (a.Kind == caller.Unsafe || a.Kind == caller.Stream) && len(runs[a.ID]) > 1 {
			found = append(found, fmt.Sprintf("at most once: %s (%s) ran %d times", a.ID, a.Kind, len(runs[a.ID])))
		}
	}
	return found
}

func notRunStatus(r Record) (found []string) {
	runs := r.byID()
	for _, a := range r.Answers {
		if slices.Contains(notRunStatuses, a.Status) && len(runs[a.ID]) > 0 {
			found = append(found, fmt.Sprintf("not run: %s (%s) got status %d and ran at %s", a.ID, a.Kind, a.Status, runs[a.ID][0].Server))
		}
		if (a.Status == 429 || a.Status == 503) && !a.RetryAfter {
			found = append(found, fmt.Sprintf("not run: %s got status %d without Retry-After", a.ID, a.Status))
		}
	}
	return found
}

// leaving checks that no run begins at a server after it was marked as leaving. The bound
// restarts at the end of each interval in which the sending instance could not read the store.
func leaving(r Record) (found []string) {
	entries := map[string]int{}
	for _, a := range r.Answers {
		entries[a.ID] = a.Entry
	}
	for _, l := range r.Leaving {
		for _, run := range r.Runs {
			entry, answered := entries[run.ID]
			if run.Server != l.Server || !answered {
				continue
			}
			if run.At.After(r.couldLearn(entry, l.At).Add(LeavingBound + schedulingSlack)) {
				found = append(found, fmt.Sprintf("leaving: %s began at %s through entry %d, %v after the notice",
					run.ID, l.Server, entry, run.At.Sub(l.At)))
			}
		}
	}
	return found
}

// couldLearn returns the earliest time at which an entry instance could read an announcement.
func (r Record) couldLearn(entry int, announced time.Time) time.Time {
	for changed := true; changed; {
		changed = false
		for _, b := range r.StoreCutoffs {
			if (b.Entry == entry || b.Entry == AllEntries) && b.From.Before(announced.Add(LeavingBound)) && b.To.After(announced) {
				announced, changed = b.To, true
			}
		}
	}
	return announced
}

// plannedStops checks that no request that ran was cut by a graceful shutdown.
func plannedStops(r Record) (found []string) {
	runs := r.byID()
	for _, stop := range r.Stops {
		for _, a := range r.Answers {
			during := a.Entry == stop.Entry && a.End.After(stop.From) && a.Sent.Before(stop.To)
			if during && a.Err != nil && len(runs[a.ID]) > 0 {
				found = append(found, fmt.Sprintf("planned stop: %s (%s) was cut: %v", a.ID, a.Kind, a.Err))
			}
		}
	}
	return found
}

// versions checks that each version is in force everywhere in time, and that no process goes back
// to an older version.
func versions(r Record) (found []string) {
	type process struct{ entry, life int }
	highest := map[process]int{}
	for _, p := range r.Probes {
		one := process{p.Entry, p.Process}
		if p.Applied {
			highest[one] = max(highest[one], p.Version)
			continue
		}
		if highest[one] >= p.Version {
			found = append(found, fmt.Sprintf("configuration: entry %d went back to a version before %d", p.Entry, p.Version))
		}
		if p.Undisturbed && p.At.Sub(p.Accepted) > VersionBound+schedulingSlack {
			found = append(found, fmt.Sprintf("configuration: entry %d lacks version %d after %v", p.Entry, p.Version, p.At.Sub(p.Accepted)))
		}
	}
	return found
}

// limits checks the usage of the client account in each window that begins with a run.
func limits(r Record) (found []string) {
	runs := slices.Clone(r.Runs)
	slices.SortFunc(runs, func(a, b Run) int { return a.At.Compare(b.At) })
	seen := map[string]bool{}
	// Retries of a request are not charged again.
	runs = slices.DeleteFunc(runs, func(run Run) bool {
		again := seen[run.ID]
		seen[run.ID] = true
		return again || strings.HasPrefix(run.ID, caller.FreePrefix)
	})
	l := r.Limit
	most := (1+l.Overrun)*(l.Rate*l.Window.Seconds()+l.Burst) + l.Slack
	first := 0
	for last := range runs {
		for runs[last].At.Sub(runs[first].At) > l.Window {
			first++
		}
		if used := float64(caller.PlainTokens * (last - first + 1)); l.Rate > 0 && used > most {
			return []string{fmt.Sprintf("limit: %.0f tokens used within %v, allowed are %.0f", used, l.Window, most)}
		}
	}
	return nil
}

// budgets checks the number of retries in each window against the requests in it.
func budgets(r Record) (found []string) {
	sends := slices.Clone(r.Arrivals)
	slices.SortFunc(sends, func(a, b Run) int { return a.At.Compare(b.At) })
	type send struct {
		at    time.Time
		again bool
	}
	var all []send
	seen := map[string]bool{}
	for _, s := range sends {
		all = append(all, send{s.At, seen[s.ID]})
		seen[s.ID] = true
	}
	first, again := 0, 0
	for last := range all {
		if all[last].again {
			again++
		}
		for all[last].at.Sub(all[first].at) > r.Budget.Window {
			if all[first].again {
				again--
			}
			first++
		}
		requests := float64(last - first + 1 - again)
		if most := r.Budget.Ratio*requests + r.Budget.Allowance; r.Budget.Window > 0 && float64(again) > most {
			return []string{fmt.Sprintf("budget: %d retries within %v, allowed are %.0f", again, r.Budget.Window, most)}
		}
	}
	return nil
}
