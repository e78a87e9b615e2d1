// Package verdict compares what callers and backend servers saw with the promises.
//
// Judging is pure: a Record goes in, violations come out, so that a verdict can be tested
// without a process.
//
// # Usage
//
//	for _, violation := range verdict.Judge(record) { ... }
package verdict

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"papayaport.dev/soak/caller"
)

// Run is one run of a request at a backend server.
type Run struct {
	ID     string
	At     time.Time
	Server string
	// Body is the whole answer that belongs to it, and Seal its signature.
	Body, Seal string
}

// Leaving is a backend server that was announced to leave.
type Leaving struct {
	Server string
	At     time.Time
}

// Span is a stretch of time.
type Span struct{ From, To time.Time }

// Every stands for all entry instances.
const Every = -1

// Blind is a time in which an entry instance, or every one, could not learn of leaving
// servers.
type Blind struct {
	Entry int
	Span
}

// Stop is a planned stop of an entry instance that nothing else disturbed.
type Stop struct {
	Entry int
	Span
}

// Probe asked one process of an entry instance for the route of a version.
type Probe struct {
	Entry, Life int
	At          time.Time
	// Version is the newest that had been accepted at Accepted.
	Version  int
	Accepted time.Time
	Known    bool
	// Calm tells that nothing kept the instance from learning of the version since then.
	Calm bool
}

// Record is what was seen in a run.
type Record struct {
	Answers []caller.Answer
	Runs    []Run
	// Arrivals are the sends that reached backend servers, refused ones included.
	Arrivals []Run
	Leaving  []Leaving
	Blind    []Blind
	Stops    []Stop
	Probes   []Probe
	// Cloud is what the cloud API found wrong.
	Cloud []string
	// Told is what backend servers asked for, Held when something excuses who did not hear or
	// heed it.
	Told []Told
	Held []Held
	// Rollouts are the operator's orders.
	Rollouts []Rollout
	// Rate and Burst are the limit of the client account in tokens, with its tolerances.
	Limit  Limit
	Budget Budget
}

// Limit is the limit of the client account.
type Limit struct {
	// Rate is in tokens a second, Burst in tokens, Window the time that it holds over.
	Rate, Burst float64
	Window      time.Duration
	// Overrun is the share, and Slack the tokens, by which it may be passed.
	Overrun, Slack float64
}

// Budget is the budget of repeated sends.
type Budget struct {
	Ratio, Allowance float64
	Window           time.Duration
}

// Bounds of the promises that are times.
const (
	// LeavingBound is within which a leaving server gets no new work: drain_ms of the users'
	// first sites.
	LeavingBound = 2 * time.Second
	// VersionBound is within which a version is in force everywhere: config_apply_ms of the
	// users' first sites.
	VersionBound = 2 * time.Second
	// wakeSlack is the time for a process that was held up to go on, and for a request
	// between the choice of its server and its arrival there.
	wakeSlack = 300 * time.Millisecond
)

// notRun are the statuses that say that a request did not run and never will.
var notRun = []int{401, 404, 408, 413, 421, 429, 431, 503}

// Judge returns the violations, none when all promises were kept.
func Judge(r Record) []string {
	var found []string
	for _, check := range []func(Record) []string{
		answers, atMostOnce, notRunIsTrue, leaving, plannedStops, versions, limits, budgets, wishes, rollouts,
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

// answers checks that each complete answer is the whole answer of a run of that request.
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

func notRunIsTrue(r Record) (found []string) {
	runs := r.byID()
	for _, a := range r.Answers {
		if slices.Contains(notRun, a.Status) && len(runs[a.ID]) > 0 {
			found = append(found, fmt.Sprintf("not run: %s (%s) got %d and ran at %s", a.ID, a.Kind, a.Status, runs[a.ID][0].Server))
		}
		if (a.Status == 429 || a.Status == 503) && !a.RetryAfter {
			found = append(found, fmt.Sprintf("not run: %s got %d without when to come back", a.ID, a.Status))
		}
	}
	return found
}

// leaving checks that no run begins at a server that was announced to leave. The bound
// counts anew from the end of each time in which the instance that sent the request could
// not learn of it.
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
			if run.At.After(r.learned(entry, l.At).Add(LeavingBound + wakeSlack)) {
				found = append(found, fmt.Sprintf("leaving: %s began at %s through entry %d, %v after the notice",
					run.ID, l.Server, entry, run.At.Sub(l.At)))
			}
		}
	}
	return found
}

// learned returns from when on an entry instance could learn of what was announced.
func (r Record) learned(entry int, announced time.Time) time.Time {
	for changed := true; changed; {
		changed = false
		for _, b := range r.Blind {
			if (b.Entry == entry || b.Entry == Every) && b.From.Before(announced.Add(LeavingBound)) && b.To.After(announced) {
				announced, changed = b.To, true
			}
		}
	}
	return announced
}

// plannedStops checks that no request that ran was cut by a planned stop.
func plannedStops(r Record) (found []string) {
	runs := r.byID()
	for _, stop := range r.Stops {
		for _, a := range r.Answers {
			during := a.Entry == stop.Entry && a.Ended.After(stop.From) && a.Sent.Before(stop.To)
			if during && a.Err != nil && len(runs[a.ID]) > 0 {
				found = append(found, fmt.Sprintf("planned stop: %s (%s) was cut: %v", a.ID, a.Kind, a.Err))
			}
		}
	}
	return found
}

// versions checks that each version is in force everywhere in time and that none goes back.
func versions(r Record) (found []string) {
	type process struct{ entry, life int }
	highest := map[process]int{}
	for _, p := range r.Probes {
		one := process{p.Entry, p.Life}
		if p.Known {
			highest[one] = max(highest[one], p.Version)
			continue
		}
		if highest[one] >= p.Version {
			found = append(found, fmt.Sprintf("configuration: entry %d went back behind version %d", p.Entry, p.Version))
		}
		if p.Calm && p.At.Sub(p.Accepted) > VersionBound+wakeSlack {
			found = append(found, fmt.Sprintf("configuration: entry %d lacks version %d after %v", p.Entry, p.Version, p.At.Sub(p.Accepted)))
		}
	}
	return found
}

// limits checks the use of the client account in each window that begins with a run.
func limits(r Record) (found []string) {
	runs := slices.Clone(r.Runs)
	slices.SortFunc(runs, func(a, b Run) int { return a.At.Compare(b.At) })
	seen := map[string]bool{}
	// A request that runs again is charged once.
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
			return []string{fmt.Sprintf("limit: %.0f tokens ran within %v, allowed are %.0f", used, l.Window, most)}
		}
	}
	return nil
}

// budgets checks the repeated sends in each window against the requests in it.
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
			return []string{fmt.Sprintf("budget: %d repeated sends within %v, allowed are %.0f", again, r.Budget.Window, most)}
		}
	}
	return nil
}
