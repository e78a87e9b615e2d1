package route_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/request/backpressure"
	"papayaport.dev/serving/request/route"
)

// TestPreviewHasNoSideEffects guards against a preview that is counted against a rate limit,
// advances the round robin, or counts as load.
func TestPreviewHasNoSideEffects(t *testing.T) {
	request := route.Request{Service: "model-bench", PromptTokens: 4000, AnswerTokens: 100, Target: target}
	t.Run("limit", func(t *testing.T) {
		table := newTable(t, route.Papayaport, 1)
		table.SetEntries(start, singleEntry)
		applyBackpressure(table, start, id(0), backpressure.Signal{Limited: true, PerSecond: 1})
		now := start.Add(5 * time.Second)
		for range 100 {
			_, known := table.Preview(now, request)
			require.True(t, known)
		}
		_, err := table.Choose(now, request)
		require.NoError(t, err)
	})
	t.Run("work", func(t *testing.T) {
		table := newTable(t, route.Papayaport, 2)
		for range 100 {
			table.Preview(start, request)
		}
		require.Empty(t, table.LocalLoad())
	})
	t.Run("turn", func(t *testing.T) {
		table := newTable(t, route.RoundRobin, 2)
		for range 4 {
			preview, known := table.Preview(start, request)
			require.True(t, known)
			choice, err := table.Choose(start, request)
			require.NoError(t, err)
			require.Equal(t, choice.Backend.ID, preview.Backend.ID)
			require.Equal(t, choice.FirstToken, preview.FirstToken)
			require.Greater(t, preview.LastToken, preview.FirstToken+900*time.Millisecond)
		}
	})
}

// TestPreviewOfLastResorts guards against requests that are refused because of the estimate of a
// server that is only a last resort.
func TestPreviewOfLastResorts(t *testing.T) {
	for name, test := range map[string]struct {
		request route.Request
		known   bool
	}{
		"free":       {route.Request{Service: "model-bench"}, true},
		"excluded":   {route.Request{Service: "model-bench", Exclude: []string{id(0)}}, false},
		"no service": {route.Request{Service: "other"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			_, known := newTable(t, route.Papayaport, 1).Preview(start, test.request)
			require.Equal(t, test.known, known)
		})
	}
}

// TestPreviewWait guards against a safety margin that is included in the wait: only work in flight
// at the server counts.
func TestPreviewWait(t *testing.T) {
	table := newTable(t, route.Papayaport, 1)
	request := route.Request{Service: "model-bench", PromptTokens: 8000, AnswerTokens: 1, Target: target}
	idle, known := table.Preview(start, request)
	require.True(t, known)
	require.Zero(t, idle.Wait)
	choice, err := table.Choose(start, request)
	require.NoError(t, err)
	table.Sent(start, "a", choice, request)
	busy, known := table.Preview(start, request)
	require.True(t, known)
	require.InDelta(t, time.Second, busy.Wait, float64(time.Millisecond)) // 8,000 tokens at 8,000 per second
	require.InDelta(t, busy.FirstToken, idle.FirstToken+busy.Wait, float64(time.Millisecond))
	for i := range 20 { // first tokens up to a second earlier or later than estimated
		attempt := string(rune('b' + i))
		table.Sent(start, attempt, choice, request)
		table.FirstToken(start.Add(time.Duration(i)*100*time.Millisecond), attempt, 0)
		table.Done(start.Add(2*time.Second), attempt, route.OK, 0)
	}
	table.FirstToken(start.Add(2*time.Second), "a", 0)
	table.Done(start.Add(2*time.Second), "a", route.OK, 0)
	table.Report(start.Add(2*time.Second), id(0), load(0))
	unsure, known := table.Preview(start.Add(2*time.Second), request)
	require.True(t, known)
	require.Zero(t, unsure.Wait)
	require.Greater(t, unsure.Margin, 200*time.Millisecond)
	require.Greater(t, unsure.FirstToken, idle.FirstToken+200*time.Millisecond)
}
