package load_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	wire "papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/standin/engine"
	"papayaport.dev/standin/load"
	"papayaport.dev/standin/tenants"
)

func plan(t *testing.T, name string, seed uint64) []load.Arrival {
	t.Helper()
	shape, err := load.Get(name)
	require.NoError(t, err)
	tenant, err := tenants.Get(shape.Tenant())
	require.NoError(t, err)
	return shape.Arrivals(load.Plan{Tenant: tenant, Rate: 20, Duration: 10 * time.Second, Seed: seed})
}

func TestArrivalsFollowTheirSeed(t *testing.T) {
	for _, name := range load.Shapes() {
		t.Run(name, func(t *testing.T) {
			arrivals := plan(t, name, 1)
			require.Equal(t, arrivals, plan(t, name, 1))
			require.NotEqual(t, arrivals, plan(t, name, 2))
			require.InDelta(t, 170, len(arrivals), 80)
			for i := 1; i < len(arrivals); i++ {
				require.LessOrEqual(t, arrivals[i-1].At, arrivals[i].At)
			}
		})
	}
	_, err := load.Get("mornings")
	require.ErrorContains(t, err, "chats")
}

// TestRunReportsEveryOutcome sends requests to a server that answers correctly, with a wrong text,
// late, and with a refusal.
func TestRunReportsEveryOutcome(t *testing.T) {
	tenant, err := tenants.Get(tenants.Rahmeh)
	require.NoError(t, err)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var c wire.Completion
		_ = json.NewDecoder(r.Body).Decode(&c)
		content := c.Messages[0].Content
		words := engine.Answer(tenant.ModelName(), c.Messages, c.MaxTokens)
		switch content {
		case "refused":
			problem.Write(w, problem.New(problem.Forbidden, "no"), "1")
			return
		case "wrong":
			words[1] = " other"
		case "late":
			time.Sleep(300 * time.Millisecond)
		}
		for i, word := range words {
			chunk := wire.Chunk{Index: i, Choices: []wire.Choice{{Delta: wire.Message{Content: word}}}}
			data, _ := json.Marshal(chunk)
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data)
		}
		fmt.Fprint(w, "data: [DONE]\n\n")
	}))
	defer server.Close()
	var arrivals []load.Arrival
	for _, content := range []string{"right", "wrong", "late", "refused"} {
		arrivals = append(arrivals, load.Arrival{
			Account: "night-line", MaxTokens: 8,
			Messages: []wire.Message{{Role: "user", Content: content}},
		})
	}
	outcomes := load.Run(context.Background(), load.Config{URL: server.URL, Tenant: tenant}, arrivals)
	report := load.Summarize(outcomes, 250, 60)
	require.Equal(t, 4, report.Requests)
	require.Equal(t, 2, report.Whole)
	require.Equal(t, 1, report.Wrong)
	require.Equal(t, 1, report.Met)
	require.Equal(t, map[problem.Kind]int{problem.Forbidden: 1}, report.Refused)
	require.GreaterOrEqual(t, report.FirstToken.Max, 300.0)
	require.Zero(t, report.Broken)
}

func TestMetNeedsBothTargets(t *testing.T) {
	cases := map[string]struct {
		outcome load.Outcome
		want    bool
	}{
		"both":       {load.Outcome{Correct: true, FirstToken: 90 * time.Millisecond, Between: []time.Duration{10e6, 20e6}}, true},
		"first late": {load.Outcome{Correct: true, FirstToken: 110 * time.Millisecond}, false},
		"slow":       {load.Outcome{Correct: true, FirstToken: 90 * time.Millisecond, Between: []time.Duration{10e6, 40e6}}, false},
		"wrong text": {load.Outcome{FirstToken: 90 * time.Millisecond}, false},
		"failed":     {load.Outcome{Correct: true, Err: context.Canceled}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, c.outcome.Met(100, 20)) })
	}
}
