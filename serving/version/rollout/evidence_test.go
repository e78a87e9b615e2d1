package rollout

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestBucket guards against ratios counted in a neighbouring bucket or out of range.
func TestBucket(t *testing.T) {
	tests := map[string]struct {
		ratio float64
		want  int
	}{
		"none":           {0, 0},
		"lowest":         {0.125, 0},
		"above lowest":   {0.126, 1},
		"one":            {1, 6},
		"above one":      {1.01, 7},
		"end of seventh": {math.Sqrt2, 7},
		"last":           {17, 15},
		"beyond":         {1e9, 15},
		"infinite":       {math.Inf(1), 15},
		"not a number":   {math.NaN(), 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, bucket(test.ratio))
		})
	}
}

// TestSlowThreshold guards against a threshold that is off by a bucket: twice the median must
// not count as slow, four times the median must.
func TestSlowThreshold(t *testing.T) {
	for _, typical := range []float64{0.2, 0.5, 1, 1.3, 2, 4} {
		var old []int
		for range 100 {
			old = countRatio(old, typical)
		}
		m := median(old)
		require.InEpsilon(t, typical, m, 0.25)
		threshold := slowFactor * m
		require.Zero(t, countAbove(countRatio(nil, 1.6*typical), threshold), typical)
		require.Equal(t, 1, countAbove(countRatio(nil, 4.5*typical), threshold), typical)
	}
	require.Zero(t, median(nil))
	require.Zero(t, countAbove([]int{1, 2, 3}, 0), "without a threshold nothing is slow")
	require.Zero(t, countAbove(countRatio(nil, 100), 50), "the last bucket has no upper end")
}

// sampleEvidence returns the counts of a few answers.
func sampleEvidence(answers int) Evidence {
	var e Evidence
	for i := range answers {
		e.update("review", fmt.Sprint("server-", i%3), i%2 == 0, func(t *Tally) {
			t.answered(i%5 == 0, 1, 1)
		})
	}
	return e
}

// TestEvidenceSums guards against counts that share memory, are lost or are counted twice.
func TestEvidenceSums(t *testing.T) {
	a, b := sampleEvidence(20), sampleEvidence(10)
	sum := a.Clone()
	sum.Add(b)
	require.Equal(t, sampleEvidence(20), a, "the operands are unchanged")
	candidate, old := sum.Answers()
	require.Equal(t, 15, candidate)
	require.Equal(t, 15, old)

	back := sum.Since(b)
	require.Equal(t, a, back)

	raised := a.Clone()
	raised.Raise(b)
	require.Equal(t, a, raised, "earlier counts of the same process add nothing")
	raised.Raise(a)
	require.Equal(t, a, raised)
}

// TestEvidenceIgnoresInvalidCounts guards against reports with negative counts or too many
// buckets.
func TestEvidenceIgnoresInvalidCounts(t *testing.T) {
	bad := Tally{Answers: -5, Failures: -1, First: []int{-3, 2}, Whole: make([]int, 1000)}
	var e Evidence
	e.Add(Evidence{Routes: map[string]Cohorts{"review": {Candidate: bad}}})
	got := e.Routes["review"].Candidate
	require.Zero(t, got.Answers)
	require.Zero(t, got.Failures)
	require.Equal(t, []int{0, 2}, got.First)
	require.Len(t, got.Whole, ratioBuckets)
}

// TestEvidenceBounds guards against records that grow with the number of routes and servers, and
// against answers lost when there are too many of them.
func TestEvidenceBounds(t *testing.T) {
	var e Evidence
	for i := range 1000 {
		e.update(fmt.Sprint("route-", i), fmt.Sprint("server-", i), true, func(t *Tally) {
			t.answered(false, 1, 1)
		})
	}
	var sum Evidence
	sum.Add(e)
	sum.Add(e)
	for _, e := range []Evidence{e, sum} {
		require.Len(t, e.Routes, maxNamedRoutes+1)
		require.Len(t, e.Servers, maxNamedServers+1)
	}
	candidate, _ := sum.Answers()
	require.Equal(t, 2000, candidate)
	require.Equal(t, 2*(1000-maxNamedServers), sum.Servers[otherServers].Answers)
	encoded, err := json.Marshal(sum)
	require.NoError(t, err)
	require.Less(t, len(encoded), 32<<10)
}

// TestRecorder guards against attempts counted twice, under another order, or not at all while
// they wait.
func TestRecorder(t *testing.T) {
	recorder := NewRecorder()
	attempt := Attempt{
		Service: "bench", Route: "review", Server: "s1", Candidate: true, Estimate: time.Second,
	}
	answer := Answer{
		Service: "bench", Route: "review", Server: "s1", Candidate: true, FirstRatio: 1, WholeRatio: 1,
	}
	require.Zero(t, recorder.Began(start, attempt), "the service has no roll-out")
	recorder.Answered(answer)
	require.Zero(t, recorder.Evidence(start, "bench"))

	recorder.Follow("bench", 7)
	waiting := recorder.Began(start, attempt)
	streaming := recorder.Began(start, attempt)
	dropped := recorder.Began(start, attempt)
	recorder.First(start.Add(time.Second), streaming)
	recorder.First(start.Add(5*time.Second), streaming)
	recorder.Dropped(dropped)
	recorder.Follow("bench", 7)

	got := recorder.Evidence(start.Add(4*time.Second), "bench").Routes["review"]
	require.Zero(t, got.Old)
	require.Zero(t, got.Candidate.Answers)
	require.Equal(t, 1, histogramTotal(got.Candidate.First))
	require.Equal(t, countRatio(nil, 4), got.Candidate.Waiting)

	answer.Attempt = streaming
	recorder.Answered(answer)
	recorder.Answered(answer)
	answer.Attempt = waiting
	answer.Failed = true
	recorder.Answered(answer)
	e := recorder.Evidence(start.Add(9*time.Second), "bench")
	got = e.Routes["review"]
	require.Equal(t, 2, got.Candidate.Answers)
	require.Equal(t, 1, got.Candidate.Failures)
	require.Equal(t, 1, histogramTotal(got.Candidate.First))
	require.Equal(t, 1, histogramTotal(got.Candidate.Whole))
	require.Empty(t, got.Candidate.Waiting)
	require.Equal(t, 2, e.Servers["s1"].Answers)

	before := recorder.Began(start, attempt)
	recorder.Follow("bench", 8)
	answer.Attempt = before
	recorder.Answered(answer)
	require.Zero(t, recorder.Evidence(start, "bench"), "the attempt started under an earlier order")
	recorder.Follow("bench", 0)
	require.Zero(t, recorder.Began(start, attempt))
}

// TestRecorderBoundsAttempts guards against unbounded memory use by callers that never end their
// attempts.
func TestRecorderBoundsAttempts(t *testing.T) {
	recorder := NewRecorder()
	recorder.Follow("bench", 7)
	for range 2 * maxOpenAttempts {
		recorder.Began(start, Attempt{Service: "bench", Estimate: time.Second})
	}
	require.Len(t, recorder.attempts, maxOpenAttempts)
}

// TestPool guards against reports counted twice when they are repeated, after a restart, or
// after a takeover, and against counts lost with a process.
func TestPool(t *testing.T) {
	report := func(instance string, incarnation, order uint64, answers int) Report {
		return Report{
			Service: "bench", Order: order, Instance: instance, Incarnation: incarnation,
			Evidence: sampleEvidence(answers),
		}
	}
	tests := map[string]struct {
		base   Evidence
		rounds [][]Report
		want   int
	}{
		"repeated":      {rounds: [][]Report{{report("a", 1, 7, 10)}, {report("a", 1, 7, 10)}}, want: 10},
		"grown":         {rounds: [][]Report{{report("a", 1, 7, 10)}, {report("a", 1, 7, 30)}}, want: 30},
		"overtaken":     {rounds: [][]Report{{report("a", 1, 7, 30)}, {report("a", 1, 7, 10)}}, want: 30},
		"lost":          {rounds: [][]Report{{report("a", 1, 7, 10)}, {}}, want: 10},
		"two instances": {rounds: [][]Report{{report("a", 1, 7, 10), report("b", 1, 7, 20)}}, want: 30},
		"other order":   {rounds: [][]Report{{report("a", 1, 6, 10), report("b", 1, 7, 20)}}, want: 20},
		"restarted": {
			rounds: [][]Report{{report("a", 1, 7, 10)}, {report("a", 2, 7, 4)}, {report("a", 1, 7, 10)}},
			want:   14,
		},
		"taken over": {
			base: sampleEvidence(20), rounds: [][]Report{{report("a", 1, 7, 10), report("b", 1, 7, 20)}},
			want: 30,
		},
		"taken over, instances gone": {
			base: sampleEvidence(20), rounds: [][]Report{{report("a", 2, 7, 10)}}, want: 20,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := pool{base: test.base}
			for _, reports := range test.rounds {
				p.update(reports, 7)
			}
			candidate, old := p.sum().Answers()
			require.Equal(t, test.want, candidate+old)
		})
	}
}
