package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// slowFactor is the multiple of the old version's median ratio that counts as slow. Ratios
	// of one version vary by less than this on an engine with enough work.
	slowFactor = 2.5
	// minSlowFirstRatio is the minimum ratio at which a first answer is slow. Servers that have
	// just started have no cached prompts and take their estimate for the first event, while
	// those of the old version take a part of it: a multiple of that part alone would make every
	// new version look slow.
	minSlowFirstRatio = 2.5
	// confidence is the confidence level of the upper bound of the old version's rate.
	confidence = 0.95
	// failureMargin and slowMargin are added to the old version's rate. Times vary more between
	// servers than failures do.
	failureMargin = 0.03
	slowMargin    = 0.1
	// maxTolerated bounds the tolerated rate, so that a version that fails everything is
	// detected without answers of the old one, whose rate is then unknown.
	maxTolerated = 0.9
	// badSignificance is the probability of a false "bad", divided among all tests of one
	// evaluation.
	badSignificance = 1e-4
	// doubtfulSignificance is the same for "doubtful", which is neither bad nor good. Without
	// it, 46 of 120 simulated versions that failed 0.1 or 0.3 more than the old one passed as
	// good; with it, 3 did. The margins exceed the noise of a good version: none of 200 was
	// doubtful.
	doubtfulSignificance = 0.2
	// minRouteAttempts is the number of attempts from which a route is tested separately.
	minRouteAttempts = 8
	// minGoodAnswers is the number of the candidate's answers required for "good".
	minGoodAnswers = 20
	// minServersToTrim is the number of servers from which the worst quarter is left out: of
	// three servers, a failing one is as likely the version's fault.
	minServersToTrim = 4
	// minBackstopBad bad answers at backstopFactor times the tolerated rate make a version bad
	// whatever the probability. The exposure is counted from 50 bad answers on.
	minBackstopBad = 40
	backstopFactor = 1.5
)

// Verdict is the result of evaluating a candidate.
type Verdict string

// Verdicts.
const (
	Undecided Verdict = "undecided"
	Good      Verdict = "good"
	Bad       Verdict = "bad"
)

// Finding is a verdict with the test that led to it, for logs. For a good or undecided verdict
// it holds the test over all routes that was closest to bad.
type Finding struct {
	Verdict Verdict
	// Reason is a short reason for the step.
	Reason string
	// Test is "failures", "first" or "whole".
	Test string
	// Route is the tested route, empty for all routes together.
	Route string
	// Doubtful is set if an undecided version is worse than chance explains, but not by enough
	// to be bad.
	Doubtful bool
	// Recent is set if only the answers of the last seconds were tested.
	Recent bool
	// Backstop is set if the number of bad answers led to the verdict, and not their
	// probability.
	Backstop bool
	// Answers and Bad count the candidate's attempts, OldAnswers and OldBad those of the old
	// versions.
	Answers, Bad, OldAnswers, OldBad int
	// Tolerated is the tolerated rate of bad answers, and Probability that of at least Bad bad
	// answers at this rate.
	Tolerated, Probability float64
}

// criterion is one of the three tested properties.
type criterion struct {
	name   string
	margin float64
	// minSlowRatio is the minimum ratio that counts as slow.
	minSlowRatio float64
	// histograms returns the cumulative and the waiting histogram of a tally; nil if failures
	// are counted.
	histograms func(t Tally) (histogram, waiting []int)
}

var criteria = []criterion{
	{name: "failures", margin: failureMargin},
	{name: "first", margin: slowMargin, minSlowRatio: minSlowFirstRatio, histograms: func(t Tally) (histogram, waiting []int) {
		return t.First, t.Waiting
	}},
	{name: "whole", margin: slowMargin, histograms: func(t Tally) (histogram, waiting []int) {
		return t.Whole, nil
	}},
}

// counts holds the number of attempts and of the bad ones among them.
type counts struct{ n, bad int }

func (c *counts) add(other counts) {
	c.n += other.n
	c.bad += other.bad
}

// count returns the attempts of a tally and the number of bad ones. Waiting attempts count only
// from the threshold on, since their result is unknown before.
func (k criterion) count(t Tally, threshold float64) counts {
	if k.histograms == nil {
		return counts{n: t.Answers, bad: t.Failures}
	}
	histogram, waiting := k.histograms(t)
	late := countAbove(waiting, threshold)
	return counts{n: histogramTotal(histogram) + late, bad: countAbove(histogram, threshold) + late}
}

// threshold returns the ratio from which a time is slow, 0 if the old version has no times.
func (k criterion) threshold(old Tally) float64 {
	if k.histograms == nil {
		return 0
	}
	histogram, _ := k.histograms(old)
	usual := median(histogram)
	if usual == 0 {
		return 0
	}
	return max(slowFactor*usual, k.minSlowRatio)
}

// sample holds the counts of one criterion by route and by server.
type sample struct {
	criterion
	all, old counts
	routes   map[string][2]counts // candidate, old
	servers  []counts             // worst first, without the combined count
}

// evaluate tests all evidence, and separately that of the last seconds: a version that turns bad
// after many good answers is detected there first.
func evaluate(all Evidence, recent *Evidence) Finding {
	samples := newSamples(all, all)
	var late []sample
	if recent != nil {
		late = newSamples(*recent, all)
	}
	tests := float64(countTests(samples) + countTests(late))
	if f := firstBad(samples, late, badSignificance/tests); f != nil {
		return *f
	}
	answers, _ := all.Answers()
	if f := firstBad(samples, late, doubtfulSignificance/tests); f != nil && answers >= minGoodAnswers {
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
	if answers >= minGoodAnswers {
		closest.Verdict = Good
	}
	return closest
}

// firstBad returns the first finding that is bad at a significance level, nil if there is none.
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

// countTests returns the number of tests that samples require.
func countTests(samples []sample) int {
	tests := 0
	for _, s := range samples {
		tests++
		for _, route := range s.routes {
			if route[0].n >= minRouteAttempts {
				tests++
			}
		}
	}
	return tests
}

// newSamples counts evidence with the thresholds of a reference, which has more answers of the
// old version.
func newSamples(evidence, reference Evidence) []sample {
	samples := make([]sample, 0, len(criteria))
	var pooled Tally
	for _, cohorts := range reference.Routes {
		pooled.combine(cohorts.Old, addCounts)
	}
	for _, k := range criteria {
		s := sample{criterion: k, routes: make(map[string][2]counts, len(evidence.Routes))}
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

// findings runs the tests of a sample: all routes together first, then the routes by name.
func (s sample) findings(level float64) []Finding {
	findings := []Finding{s.overall(level)}
	for _, name := range slices.Sorted(maps.Keys(s.routes)) {
		route := s.routes[name]
		if route[0].n < minRouteAttempts {
			continue
		}
		f := s.compare(route[0], route[1])
		f.Route = name
		worst := s.worstServers()
		// Counts of servers are not kept by route: bad answers of the worst servers on other
		// routes are subtracted as well, which can only make the test more lenient.
		rest := counts{n: route[0].n - worst.bad, bad: route[0].bad - worst.bad}
		if f.Probability < level && s.significantWithoutWorst(rest, f.Tolerated, level) {
			f.Verdict = Bad
		}
		findings = append(findings, f)
	}
	return findings
}

// overall tests all routes together.
func (s sample) overall(level float64) Finding {
	f := s.compare(s.all, s.old)
	worst := s.worstServers()
	rest := counts{n: s.all.n - worst.n, bad: s.all.bad - worst.bad}
	f.Backstop = s.all.bad >= minBackstopBad &&
		float64(s.all.bad) > backstopFactor*f.Tolerated*float64(s.all.n)
	if f.Backstop || f.Probability < level && s.significantWithoutWorst(rest, f.Tolerated, level) {
		f.Verdict = Bad
	}
	return f
}

func (s sample) compare(candidate, old counts) Finding {
	tolerated := min(upperBound(old)+s.margin, maxTolerated)
	return Finding{
		Verdict: Undecided, Test: s.name,
		Answers: candidate.n, Bad: candidate.bad, OldAnswers: old.n, OldBad: old.bad,
		Tolerated: tolerated, Probability: binomialTail(candidate.n, candidate.bad, tolerated),
	}
}

// significantWithoutWorst repeats the test without the worst servers, so that one failing server
// does not make a version bad. It returns true if too few servers answered to leave any out.
func (s sample) significantWithoutWorst(rest counts, tolerated, level float64) bool {
	if len(s.servers) < minServersToTrim {
		return true
	}
	return rest.n > 0 && binomialTail(rest.n, rest.bad, tolerated) < level
}

// worstServers returns the counts of the worst quarter of the servers, rounded up, or no counts
// if fewer than minServersToTrim servers answered.
func (s sample) worstServers() counts {
	var worst counts
	if len(s.servers) < minServersToTrim {
		return worst
	}
	for _, c := range s.servers[:(len(s.servers)+3)/4] {
		worst.add(c)
	}
	return worst
}

// upperBound returns the upper end of the one-sided Clopper-Pearson interval for the rate, 1
// without attempts.
func upperBound(c counts) float64 {
	if c.bad >= c.n {
		return 1
	}
	return distuv.Beta{Alpha: float64(c.bad) + 1, Beta: float64(c.n - c.bad)}.Quantile(confidence)
}
