package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/request/route"
	"papayaport.dev/serving/version/service"
)

// TestServersThatReportLoadOnlyWithAnswers guards against a server that attracts all requests after
// the start of a fleet because it answered first: the servers report no load before their first
// answer.
func TestServersThatReportLoadOnlyWithAnswers(t *testing.T) {
	table, err := route.New(route.Self{Region: "r", FailureDomain: "a"}, "papayaport_no_price", rand.New(rand.NewPCG(1, 2)))
	require.NoError(t, err)
	var backends []route.Backend
	for _, domain := range []string{"a", "b", "c", "d"} {
		backends = append(backends, route.Backend{
			ID: "engine-" + domain, Incarnation: 1, Service: "s", Region: "r", FailureDomain: domain, Slots: 64,
			PrefillPerSec: 56_000, DecodeMS: 12, CacheTokens: 580_000,
		})
	}
	now := time.Unix(1_800_000_000, 0)
	table.SetBackends(now, backends)
	sent := map[string]int{}
	for i := range 200 {
		now = now.Add(50 * time.Millisecond)
		request := route.Request{
			Service: "s", PromptTokens: 17_000, AnswerTokens: 120, Deadline: now.Add(15 * time.Second),
			Target: service.LatencyTarget{FirstTokenMS: 1200, BetweenTokensMS: 400, Quantile: 0.95},
		}
		choice, err := table.Choose(now, request)
		require.NoError(t, err)
		sent[choice.Backend.ID]++
		id := fmt.Sprint(i)
		table.Sent(now, id, choice, request)
		table.Report(now.Add(300*time.Millisecond), choice.Backend.ID, engine.Load{Incarnation: 1, Running: 5, Slots: 64, PrefillPerSec: 56_000, DecodeMS: 12})
		table.FirstToken(now.Add(400*time.Millisecond), id, 0)
		table.Done(now.Add(1500*time.Millisecond), id, route.OK, 0)
	}
	for _, backend := range backends {
		require.Greater(t, sent[backend.ID], 200/len(backends)/4, "%v", sent)
	}
}
