package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/request/route"
)

// configuredRate is the configured prefill rate of the servers, in tokens per second.
const configuredRate = 56_000

// learningTable returns a table of servers that do not report their prefill rates.
func learningTable(t *testing.T, count int) *route.Table {
	t.Helper()
	table, err := route.New(self, route.Papayaport+"_no_price", rand.New(rand.NewPCG(1, 1)))
	require.NoError(t, err)
	list := backends(count)
	for i := range list {
		list[i].PrefillPerSec, list[i].DecodeMS = configuredRate, 12
	}
	table.SetBackends(start, list)
	return table
}

func prompt(tokens int) route.Request {
	return route.Request{Service: "model-bench", PromptTokens: tokens, AnswerTokens: 10, Target: target, Deadline: start.Add(time.Hour)}
}

// tokensPerSecond returns the rate that the estimates use, from the difference between a long and a
// short prompt at an idle server.
func tokensPerSecond(t *testing.T, table *route.Table, now time.Time) float64 {
	t.Helper()
	long, short := choose(t, table, now, prompt(101_000)), choose(t, table, now, prompt(1000))
	return 100_000 / (long.FirstToken - short.FirstToken).Seconds()
}

// TestRateIsLearned guards against estimates that use a configured rate that does not match the
// engines, and against a learned rate from few or small samples or beyond the bounds.
func TestRateIsLearned(t *testing.T) {
	for name, test := range map[string]struct {
		rate     float64
		tokens   int
		attempts int
		want     float64
	}{
		"slower engines":         {36_700, 9000, 64, 36_700},
		"faster engines":         {101_000, 9000, 64, 101_000},
		"few samples":            {36_700, 9000, 31, configuredRate},
		"enough samples":         {36_700, 9000, 32, 36_700},
		"small prompts":          {36_700, 3999, 64, configuredRate},
		"far below the constant": {5000, 9000, 64, configuredRate / 4},
		"far above the constant": {900_000, 9000, 64, configuredRate * 4},
	} {
		t.Run(name, func(t *testing.T) {
			table := learningTable(t, 3)
			now := start
			for i := range test.attempts {
				now = runAttempt(t, table, now, i, prompt(test.tokens), test.rate)
			}
			now = now.Add(time.Minute)
			require.InEpsilon(t, test.want, tokensPerSecond(t, table, now), 0.05)
			table.SetBackends(now, append(backends(3), route.Backend{ID: "new", Incarnation: 1, Service: "model-bench", Slots: 8, PrefillPerSec: configuredRate, DecodeMS: 12}))
			for i := range 3 {
				table.MarkLeaving(now, id(i), 1, now)
			}
			require.InEpsilon(t, test.want, tokensPerSecond(t, table, now), 0.05, "a new server of the service")
		})
	}
}

// runAttempt runs a request at an idle server with the given prefill rate and returns the time of
// its end.
func runAttempt(t *testing.T, table *route.Table, now time.Time, number int, request route.Request, rate float64) time.Time {
	t.Helper()
	attempt := fmt.Sprint("attempt-", number)
	sent := send(t, table, now, attempt, request)
	trip := time.Millisecond
	if sent.Backend.FailureDomain == self.FailureDomain {
		trip = 300 * time.Microsecond
	}
	uncached := float64(request.PromptTokens - sent.CachedTokens)
	now = now.Add(time.Duration(uncached/rate*float64(time.Second)) + 12*time.Millisecond + trip)
	table.FirstToken(now, attempt, 0)
	table.Done(now, attempt, route.OK, 0)
	return now.Add(time.Second)
}

// TestRateWithQueuedPrompts guards against a learned rate that is too low because prompts are
// queued behind others.
func TestRateWithQueuedPrompts(t *testing.T) {
	const rate, prompts, tokens = 80_000, 8, 5000
	table := learningTable(t, 1)
	now := start
	for round := range 10 {
		for i := range prompts {
			send(t, table, now, fmt.Sprint(round, "-", i), prompt(tokens))
		}
		for i := range prompts {
			read := time.Duration(float64((i+1)*tokens) / rate * float64(time.Second))
			first := now.Add(read + 12*time.Millisecond + 300*time.Microsecond)
			table.FirstToken(first, fmt.Sprint(round, "-", i), 0)
			table.Done(first, fmt.Sprint(round, "-", i), route.OK, 0)
		}
		now = now.Add(5 * time.Second)
	}
	require.InEpsilon(t, rate, tokensPerSecond(t, table, now.Add(time.Minute)), 0.1)
}

// TestRateOfReportingServers guards against a learned rate that replaces a reported one.
func TestRateOfReportingServers(t *testing.T) {
	table := learningTable(t, 1)
	table.Report(start, id(0), engine.Load{Slots: 8, PrefillPerSec: 20_000})
	now := start.Add(time.Minute)
	for i := range 64 {
		now = runAttempt(t, table, now, i, prompt(9000), 90_000)
	}
	require.InEpsilon(t, 20_000, tokensPerSecond(t, table, now.Add(time.Minute)), 0.05)
}

// TestRateWithSlowPeriods guards against a learned rate that follows short slow periods of an
// engine, which the median ignores.
func TestRateWithSlowPeriods(t *testing.T) {
	table := learningTable(t, 3)
	now := start
	for i := range 256 {
		rate := 40_000.0
		if i%7 == 0 {
			rate /= 2.5
		}
		now = runAttempt(t, table, now, i, prompt(9000), rate)
	}
	require.InEpsilon(t, 40_000, tokensPerSecond(t, table, now.Add(time.Minute)), 0.05)
}
