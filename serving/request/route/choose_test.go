package route_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/process/membership"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/request/prefix"
	"papayaport.dev/serving/request/route"
	"papayaport.dev/serving/version/service"
)

var (
	start  = time.Unix(1_800_000_000, 0)
	self   = route.Self{Region: "tx-central", FailureDomain: "tx-a"}
	target = service.LatencyTarget{FirstTokenMS: 560, BetweenTokensMS: 27, Quantile: 0.95}
)

// newTable returns a table with count engines in two failure domains at the same price.
func newTable(t testing.TB, policy string, count int) *route.Table {
	t.Helper()
	table, err := route.New(self, policy, rand.New(rand.NewPCG(1, 2)))
	require.NoError(t, err)
	table.SetBackends(start, backends(count))
	for _, b := range backends(count) {
		table.Report(start, b.ID, load(0))
	}
	return table
}

func backends(count int) []route.Backend {
	list := make([]route.Backend, count)
	for i := range list {
		list[i] = route.Backend{
			ID: id(i), Incarnation: 1, Service: "model-bench", Region: "tx-central",
			FailureDomain: fmt.Sprintf("tx-%c", 'a'+i%2), PricePerHour: 1, Slots: 8,
		}
	}
	return list
}

func id(i int) string { return fmt.Sprintf("engine-%d", i) }

func load(running int) engine.Load {
	return engine.Load{Running: running, Slots: 8, PrefillPerSec: 8000, DecodeMS: 10, CacheCapacity: 1 << 20}
}

// filing returns a request about a text of the given number of blocks.
func filing(name string, blocks int) route.Request {
	text := strings.Repeat(name+" ", blocks*prefix.BlockBytes/(len(name)+1)+1)[:blocks*prefix.BlockBytes]
	return route.Request{
		Service: "model-bench", Blocks: prefix.Blocks(text), PromptTokens: prefix.Tokens(len(text)),
		AnswerTokens: 50, Deadline: start.Add(time.Minute), Target: target,
	}
}

func choose(t testing.TB, table *route.Table, now time.Time, request route.Request) route.Choice {
	t.Helper()
	choice, err := table.Choose(now, request)
	require.NoError(t, err)
	return choice
}

func TestChooseWithoutBackends(t *testing.T) {
	table := newTable(t, route.Papayaport, 2)
	_, err := table.Choose(start, route.Request{Service: "other"})
	require.Equal(t, problem.NoBackend, problem.From(err).Kind)
	table.Leaving(start, id(0), 1, start.Add(time.Minute))
	table.Leaving(start, id(1), 1, start.Add(time.Minute))
	_, err = table.Choose(start, filing("a", 1))
	require.Equal(t, problem.NoBackend, problem.From(err).Kind)
}

func TestSettledWorkIsNotCountedTwice(t *testing.T) {
	table := newTable(t, route.LeastInFlight, 2)
	choice := choose(t, table, start, filing("a", 1))
	table.Sent(start, "one", choice, filing("a", 1))
	require.Equal(t, []membership.BackendUse{{Backend: choice.Backend.ID, InFlight: 1, PrefillTokens: 128}}, table.Use())
	table.Done(start, "one", route.OK, 128)
	require.Empty(t, table.Use())
}
