package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/request/retry"
	"papayaport.dev/serving/version/service"
)

var start = time.Unix(1_800_000_000, 0)

func newTable(attempts int, budget float64) *retry.Table {
	table := retry.New(rand.New(rand.NewPCG(1, 2)))
	file := &service.File{Name: "desk-app", Retry: service.Retry{MaxAttempts: attempts, Budget: budget}}
	table.SetServices(start, []*service.File{file})
	return table
}

func TestNext(t *testing.T) {
	cases := map[string]struct {
		failure retry.Failure
		kind    problem.Kind
		outcome problem.Outcome
	}{
		"idempotent":             {retry.Failure{Service: "desk-app", Attempts: 1, Idempotent: true}, "", ""},
		"not run":                {retry.Failure{Service: "desk-app", Attempts: 1, NotRun: true}, "", ""},
		"may have run":           {retry.Failure{Service: "desk-app", Attempts: 1}, problem.AnswerLost, problem.Unknown},
		"too many attempts":      {retry.Failure{Service: "desk-app", Attempts: 3, Idempotent: true}, problem.BackendFailed, problem.Failed},
		"too many, never run":    {retry.Failure{Service: "desk-app", Attempts: 3, NotRun: true}, problem.BackendFailed, problem.NotRun},
		"in time":                {retry.Failure{Service: "desk-app", Attempts: 1, Idempotent: true, Deadline: start.Add(2 * time.Second), Expected: time.Second}, "", ""},
		"past the deadline":      {retry.Failure{Service: "desk-app", Attempts: 1, Idempotent: true, Deadline: start.Add(time.Second), Expected: time.Second}, problem.BackendFailed, problem.Failed},
		"service not configured": {retry.Failure{Service: "other", Attempts: 1, Idempotent: true}, problem.UnknownService, problem.NotRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			wait, err := newTable(3, 0.1).Next(start, c.failure)
			if c.kind == "" {
				require.NoError(t, err)
				require.Positive(t, wait)
				return
			}
			require.Equal(t, c.kind, problem.From(err).Kind)
			require.Equal(t, c.outcome, problem.From(err).Document("").Outcome)
		})
	}
}

func TestBackoffGrowsWithJitter(t *testing.T) {
	table := newTable(20, 0.1)
	sums, seen := map[int]time.Duration{}, map[time.Duration]bool{}
	for range 200 {
		for _, attempts := range []int{1, 4, 19} {
			for range 10 {
				table.Success("desk-app")
			}
			wait, err := table.Next(start, retry.Failure{Service: "desk-app", Attempts: attempts, Idempotent: true})
			require.NoError(t, err)
			require.LessOrEqual(t, wait, time.Second)
			sums[attempts] += wait
			seen[wait] = true
		}
	}
	require.Greater(t, sums[4], 4*sums[1])
	require.Greater(t, sums[19], 2*sums[4])
	require.Greater(t, len(seen), 500)
}

// TestFailingDomainCausesNoRetryStorm guards the retry budget: of 200 requests per second for a
// minute, half of all attempts, first ones and retries alike, fail from the 20th to the 40th
// second.
func TestFailingDomainCausesNoRetryStorm(t *testing.T) {
	table := newTable(4, 0.1)
	random := rand.New(rand.NewPCG(3, 4))
	type window struct{ requests, attempts, answered int }
	var before, during, after window
	for i := range 200 * 60 {
		now := start.Add(time.Duration(i) * 5 * time.Millisecond)
		second := i / 200
		w := &before
		if second >= 20 {
			w = &during
		}
		if second >= 40 {
			w = &after
		}
		w.requests++
		for attempts := 1; ; attempts++ {
			w.attempts++
			if second < 20 || second >= 40 || random.Float64() < 0.5 {
				table.Success("desk-app")
				w.answered++
				break
			}
			if _, err := table.Next(now, retry.Failure{Service: "desk-app", Attempts: attempts, Idempotent: true}); err != nil {
				break
			}
		}
	}
	perRequest := float64(during.attempts) / float64(during.requests)
	t.Logf("%.3f attempts per request while half of them fail, %d of %d answered", perRequest, during.answered, during.requests)
	require.Less(t, perRequest, 1+0.1+120.0/float64(during.requests))
	require.Equal(t, before.requests, before.attempts)
	require.Equal(t, after.requests, after.attempts)
	require.Greater(t, float64(during.answered)/float64(during.requests), 0.5)
}
