package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// slowFactor is how many times the old version's median ratio counts as slow. Ratios of one
	// version spread by less than this on an engine that isn't short of work.
	slowFactor = 2.5
	// confidence is that of the upper end of the old version's rate.
	confidence = 0.95
	// failureMargin and slowMargin are added to the old version's rate. Times vary more between
	// servers than failures do.
	failureMargin = 0.03
	slowMargin    = 0.1
	// toleratedMost bounds the tolerated rate, so that a version that fails everything can be
	// told without answers of the old one, whose rate is then unknown.
	toleratedMost = 0.9
	// chance is the probability of a false "bad" that all tests of one look share.
	chance = 1e-4
	// doubt is the same for a version that is not bad yet, and not good either. Without it 46 of
	// 120 simulated versions that failed 0.1 or 0.3 more than the old one passed as good, with it
	// 3. The margins are above what chance does to a good version: none of 200 was in doubt.
	doubt = 0.2
	// routeLeast is the number of attempts from which a route is tested on its own.
	routeLeast = 8
	// goodLeast is the number of the candidate's answers that a "good" needs.
	goodLeast = 20
	// serversLeast is the number of servers from which a quarter is left out: of three, one
	// failing server is as likely the version's fault.
	serversLeast = 4
	// backstopLeast is the number of bad answers, and backstopFactor the factor over the
	// tolerated rate, that make a version bad whatever the probability. The exposure is
	// counted from 50 bad answers on.
	backstopLeast  = 40
	backstopFactor = 1.5
)

// Verdict is what the evidence says of a candidate.
type Verdict string

// Verdicts.
const (
	Undecided Verdict = "undecided"
	Good      Verdict = "good"
	Bad       Verdict = "bad"
)

// Finding is a verdict with the test that decided it, for logs. For a good or undecided
// verdict it holds the test over all routes that came closest to bad.
type Finding struct {
	Verdict Verdict
	// Reason says in a few words why the step was taken.
	Reason string
	// Test is "failures", "first" or "whole".
	Test string
	// Route is the route tested, empty for all routes together.
	Route string
	// Doubtful tells that an undecided version is worse than chance explains, but not by enough
	// to be bad.
	Doubtful bool
	// Recent tells that only the answers of the last seconds were tested.
	Recent bool
	// Backstop tells that the count of bad answers decided, and not their probability.
	Backstop bool
	// Answers and Bad count the candidate's attempts, OldAnswers and OldBad the old versions'.
	Answers, Bad, OldAnswers, OldBad int
	// Tolerated is the tolerated rate, and Probability that of at least Bad bad answers at it.
	Tolerated, Probability float64
}

// kind is one of the three things tested.
type kind struct {
	name   string
	margin float64
	// times returns the histograms of a tally, cumulative and waiting; nil counts failures.
	times func(t Tally) (histogram, waiting []int)
}

var kinds = []kind{
	{name: "failures", margin: failureMargin},
	{name: "first", margin: slowMargin, times: func(t Tally) (histogram, waiting []int) {
		return t.First, t.Waiting
	}},
	{name: "whole", margin: slowMargin, times: func(t Tally) (histogram, waiting []int) {
		return t.Whole, nil
	}},
}

// counts are attempts, and the bad ones among them.
type counts struct{ n, bad int }

func (c *counts) add(other counts) {
	c.n += other.n
	c.bad += other.bad
}

// count returns the attempts of a tally and how many were bad. Attempts that wait count from
// the threshold on; before it is not known what becomes of them.
func (k kind) count(t Tally, threshold float64) counts {
	if k.times == nil {
		return counts{n: t.Answers, bad: t.Failures}
	}
	histogram, waiting := k.times(t)
	late := beyond(waiting, threshold)
	return counts{n: sum(histogram) + late, bad: beyond(histogram, threshold) + late}
}

// threshold returns the ratio from which a time is slow, 0 where the old version has none.
func (k kind) threshold(old Tally) float64 {
	if k.times == nil {
		return 0
	}
	histogram, _ := k.times(old)
	return slowFactor * median(histogram)
}

// sample is one kind's counts in all routes and servers.
type sample struct {
	kind
	all, old counts
	routes   map[string][2]counts // candidate, old
	servers  []counts             // worst first, without those counted as one
}

// judge tests all evidence, and that of the last seconds on its own: a version that turns bad
// after many good answers shows there first.
func judge(all Evidence, recent *Evidence) Finding {
	samples := sampled(all, all)
	var late []sample
	if recent != nil {
		late = sampled(*recent, all)
	}
	tests := float64(countTests(samples) + countTests(late))
	if f := firstBad(samples, late, chance/tests); f != nil {
		return *f
	}
	answers, _ := all.Answers()
	if f := firstBad(samples, late, doubt/tests); f != nil && answers >= goodLeast {
		f.Verdict, f.Doubtful = Undecided, true
		return *f
	}
	closest := Finding{Probability: math.Inf(1)}
	for _, s := range samples {
		if f := s.overall(0); f.Probability < closest.Probability {
			closest = f
		}
	}
	closest.Verdict = Undecided
	if answers >= goodLeast {
		closest.Verdict = Good
	}
	return closest
}

// firstBad returns the first bad test at a level of probability, nil without one.
func firstBad(all, recent []sample, level float64) *Finding {
	for i, s := range slices.Concat(all, recent) {
		for _, f := range s.findings(level) {
			if f.Verdict == Bad {
				f.Recent = i >= len(all)
				return &f
			}
		}
	}
	return nil
}

// countTests returns the number of tests made on samples.
func countTests(samples []sample) int {
	tests := 0
	for _, s := range samples {
		tests++
		for _, route := range s.routes {
			if route[0].n >= routeLeast {
				tests++
			}
		}
	}
	return tests
}

// sampled counts evidence by the thresholds of a reference, which holds more answers of the old
// version.
func sampled(evidence, reference Evidence) []sample {
	samples := make([]sample, 0, len(kinds))
	var pooled Tally
	for _, cohorts := range reference.Routes {
		pooled.combine(cohorts.Old, plus)
	}
	for _, k := range kinds {
		s := sample{kind: k, routes: make(map[string][2]counts, len(evidence.Routes))}
		common := k.threshold(pooled)
		for name, cohorts := range evidence.Routes {
			threshold := k.threshold(reference.Routes[name].Old)
			if threshold == 0 {
				threshold = common
			}
			candidate, old := k.count(cohorts.Candidate, threshold), k.count(cohorts.Old, threshold)
			s.routes[name] = [2]counts{candidate, old}
			s.all.add(candidate)
			s.old.add(old)
		}
		for name, tally := range evidence.Servers {
			if c := k.count(tally, common); name != otherServers && c.n > 0 {
				s.servers = append(s.servers, c)
			}
		}
		slices.SortFunc(s.servers, func(a, b counts) int {
			return cmp.Or(b.bad-a.bad, a.n-b.n)
		})
		samples = append(samples, s)
	}
	return samples
}

// findings makes the tests of a sample: all routes first, then the routes by name.
func (s sample) findings(level float64) []Finding {
	findings := []Finding{s.overall(level)}
	for _, name := range slices.Sorted(maps.Keys(s.routes)) {
		route := s.routes[name]
		if route[0].n < routeLeast {
			continue
		}
		f := s.finding(route[0], route[1])
		f.Route = name
		left := s.worst()
		// The servers' counts are not kept by route: what the worst of them had bad on other
		// routes is taken off here too, which can only make the test milder.
		rest := counts{n: route[0].n - left.bad, bad: route[0].bad - left.bad}
		if f.Probability < level && s.improbable(rest, f.Tolerated, level) {
			f.Verdict = Bad
		}
		findings = append(findings, f)
	}
	return findings
}

// overall tests all routes together.
func (s sample) overall(level float64) Finding {
	f := s.finding(s.all, s.old)
	left := s.worst()
	rest := counts{n: s.all.n - left.n, bad: s.all.bad - left.bad}
	f.Backstop = s.all.bad >= backstopLeast &&
		float64(s.all.bad) > backstopFactor*f.Tolerated*float64(s.all.n)
	if f.Backstop || f.Probability < level && s.improbable(rest, f.Tolerated, level) {
		f.Verdict = Bad
	}
	return f
}

func (s sample) finding(candidate, old counts) Finding {
	tolerated := min(upper(old)+s.margin, toleratedMost)
	return Finding{
		Verdict: Undecided, Test: s.name,
		Answers: candidate.n, Bad: candidate.bad, OldAnswers: old.n, OldBad: old.bad,
		Tolerated: tolerated, Probability: tail(candidate.n, candidate.bad, tolerated),
	}
}

// improbable tests again without the worst servers, so that one failing server does not make a
// version bad. It holds where too few servers answered for that.
func (s sample) improbable(rest counts, tolerated, level float64) bool {
	if len(s.servers) < serversLeast {
		return true
	}
	return rest.n > 0 && tail(rest.n, rest.bad, tolerated) < level
}

// worst returns the counts of the worst quarter of the servers, rounded up; none where fewer
// than serversLeast answered.
func (s sample) worst() counts {
	var left counts
	if len(s.servers) < serversLeast {
		return left
	}
	for _, c := range s.servers[:(len(s.servers)+3)/4] {
		left.add(c)
	}
	return left
}

// upper returns the upper end of the one-sided interval of the rate behind counts
// (Clopper-Pearson), 1 without attempts.
func upper(c counts) float64 {
	if c.bad >= c.n {
		return 1
	}
	return distuv.Beta{Alpha: float64(c.bad) + 1, Beta: float64(c.n - c.bad)}.Quantile(confidence)
}
