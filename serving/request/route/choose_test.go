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

// newTable returns a table of count engines at the same price in two failure domains.
func newTable(t testing.TB, policy string, count int) *route.Table {
	t.Helper()
	return seededTable(t, policy, backends(count), 1)
}

func seededTable(t testing.TB, policy string, list []route.Backend, seed uint64) *route.Table {
	t.Helper()
	table, err := route.New(self, policy, rand.New(rand.NewPCG(seed, 2)))
	require.NoError(t, err)
	table.SetBackends(start, list)
	for _, b := range list {
		table.Report(start.Add(-time.Minute), b.ID, load(0))
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

// textRequest returns a request for a text of the given number of blocks that depends only on the
// name.
func textRequest(name string, blocks int) route.Request {
	text := strings.Repeat(name+" ", blocks*prefix.BlockBytes/(len(name)+1)+1)[:blocks*prefix.BlockBytes]
	return route.Request{
		Service: "model-bench", Blocks: prefix.Blocks(text), PromptTokens: prefix.Tokens(len(text)),
		AnswerTokens: 50, Deadline: start.Add(time.Minute), Target: target,
	}
}

// busy reports that every server has spent the given share of its time on prompts, and returns the
// time of the last report.
func busy(table *route.Table, count int, share float64) time.Time {
	report, now := load(0), start.Add(20*time.Second)
	report.ComputedTotal = int64(share * report.PrefillPerSec * 20)
	for i := range count {
		table.Report(now, id(i), report)
	}
	return now
}

func choose(t testing.TB, table *route.Table, now time.Time, request route.Request) route.Choice {
	t.Helper()
	choice, err := table.Choose(now, request)
	require.NoError(t, err)
	return choice
}

// send selects a server and records the attempt as sent.
func send(t testing.TB, table *route.Table, now time.Time, attempt string, request route.Request) route.Choice {
	t.Helper()
	choice := choose(t, table, now, request)
	table.Sent(now, attempt, choice, request)
	return choice
}

func TestChooseWithoutBackends(t *testing.T) {
	table := newTable(t, route.Papayaport, 2)
	_, err := table.Choose(start, route.Request{Service: "other"})
	require.Equal(t, problem.NoBackend, problem.From(err).Kind)
	table.MarkLeaving(start, id(0), 1, start.Add(time.Minute))
	table.MarkLeaving(start, id(1), 1, start.Add(time.Minute))
	_, err = table.Choose(start, textRequest("a", 1))
	require.Equal(t, problem.NoBackend, problem.From(err).Kind)
}

func TestUnknownPolicy(t *testing.T) {
	_, err := route.New(self, "fastest", rand.New(rand.NewPCG(1, 1)))
	require.ErrorContains(t, err, "round_robin")
}

func TestChooseByPriceAndTarget(t *testing.T) {
	cases := map[string]struct {
		cheap, expensive engine.Load
		want             int
	}{
		"cheap server meets the target":                     {load(0), load(0), 0},
		"cheap server has a queue":                          {load(60), load(0), 1},
		"cheap server has a prefill backlog":                {engine.Load{Slots: 8, PrefillPerSec: 8000, DecodeMS: 10, PrefillTokens: 6000}, load(0), 1},
		"cheap server decodes slowly":                       {engine.Load{Slots: 8, PrefillPerSec: 8000, DecodeMS: 40}, load(0), 1},
		"none meets the target, cheap server is faster":     {load(30), load(90), 0},
		"none meets the target, expensive server is faster": {load(90), load(30), 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			list := backends(2)
			list[0].PricePerHour, list[1].PricePerHour = 1, 1.5
			list[1].FailureDomain = list[0].FailureDomain
			table := seededTable(t, route.Papayaport, list, 1)
			table.Report(start, id(0), c.cheap)
			table.Report(start, id(1), c.expensive)
			request := route.Request{Service: "model-bench", PromptTokens: 400, AnswerTokens: 50, Target: target}
			require.Equal(t, id(c.want), choose(t, table, start, request).Backend.ID)
		})
	}
}

func TestLongerPromptsFollowTheCachedPrefix(t *testing.T) {
	table := newTable(t, route.Papayaport, 12)
	for i := range 20 {
		name := fmt.Sprintf("filing %d", i)
		first := send(t, table, start, name, textRequest(name, 20))
		require.Zero(t, first.CachedTokens)
		table.Done(start, name, route.OK, 0)
		longer := textRequest(name, 22)
		again := choose(t, table, start.Add(time.Second), longer)
		require.Equal(t, first.Backend.ID, again.Backend.ID)
		require.Equal(t, 20*prefix.BlockTokens, again.CachedTokens)
	}
}

func TestCachedPromptOutweighsLoad(t *testing.T) {
	table := newTable(t, route.Papayaport, 2)
	request := textRequest("a", 10)
	table.Sent(start, "first", choiceOf(0), request)
	table.Done(start, "first", route.OK, 0)
	table.Report(start, id(1), load(7))
	require.Equal(t, id(0), choose(t, table, start.Add(time.Second), request).Backend.ID)
}

// TestEstimatesLeaveHeadroom guards against selecting a server whose estimate barely meets the
// target: the server with the text cached is overloaded, a cheap one is just within the target, and
// a more expensive one is well within it.
func TestEstimatesLeaveHeadroom(t *testing.T) {
	list := backends(3)
	list[2].PricePerHour = 1.2
	table := seededTable(t, route.Papayaport, list, 1)
	request := textRequest("a", 10)
	table.Sent(start, "first", choiceOf(0), request)
	table.Done(start, "first", route.OK, 0)
	now := start.Add(time.Second)
	table.Report(now, id(0), load(60))
	waiting := load(0)
	waiting.PrefillTokens = 1500
	table.Report(now, id(1), waiting)
	require.Equal(t, id(2), choose(t, table, now, request).Backend.ID)
}

// TestLongerCachedPromptsMayWaitLonger compares a busy server that has the prompt cached with an
// idle one: the longer the prompt, the longer the acceptable wait for the busy one.
func TestLongerCachedPromptsMayWaitLonger(t *testing.T) {
	cases := map[string]struct{ blocks, want int }{"little to compute": {1, 1}, "much to compute": {12, 0}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := newTable(t, route.Papayaport, 2)
			request := textRequest("a", c.blocks)
			table.Sent(start, "first", choiceOf(0), request)
			table.Done(start, "first", route.OK, 0)
			late := load(0)
			late.PrefillTokens = 3400
			now := start.Add(time.Second)
			table.Report(now, id(0), late)
			require.Equal(t, id(c.want), choose(t, table, now, request).Backend.ID)
		})
	}
}

func TestEntriesAgreeOnHomes(t *testing.T) {
	one := seededTable(t, route.Papayaport, backends(12), 1)
	other := seededTable(t, route.Papayaport, backends(12), 99)
	now := busy(one, 12, 0.6)
	busy(other, 12, 0.6)
	used := map[string]bool{}
	for i := range 60 {
		name := fmt.Sprintf("filing %d", i)
		choice := choose(t, one, now, textRequest(name, 17+i%5))
		require.Equal(t, choice.Backend.ID, choose(t, other, now, textRequest(name, 24+i%5)).Backend.ID)
		used[choice.Backend.ID] = true
	}
	require.Greater(t, len(used), 9)
}

// TestNewPrefixesUseOnlyNeededServers guards the number of servers that are homes of new prefixes,
// by utilization.
func TestNewPrefixesUseOnlyNeededServers(t *testing.T) {
	cases := map[string]struct {
		share float64
		want  int
	}{"idle": {0, 7}, "a little": {0.1, 9}, "half": {0.2, 12}, "full": {0.9, 12}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			list := backends(12)
			for i := range list {
				list[i].PricePerHour = 2 - 0.01*float64(i) // the last one is the cheapest
			}
			table := seededTable(t, route.Papayaport, list, 1)
			now := busy(table, 12, c.share)
			used := map[string]bool{}
			for i := range 100 {
				used[choose(t, table, now, textRequest(fmt.Sprintf("filing %d", i), 10)).Backend.ID] = true
			}
			require.Len(t, used, c.want)
			for i := range c.want {
				require.Contains(t, used, id(11-i))
			}
		})
	}
}

func TestHotPrefixOverflowsToTheSameServer(t *testing.T) {
	one := seededTable(t, route.Papayaport, backends(12), 1)
	other := seededTable(t, route.Papayaport, backends(12), 99)
	for i := range 20 {
		request := textRequest(fmt.Sprintf("filing %d", i), 20)
		home := choose(t, one, start, request).Backend.ID
		for _, table := range []*route.Table{one, other} {
			table.Report(start, home, load(12))
		}
		next := choose(t, one, start, request).Backend.ID
		require.NotEqual(t, home, next)
		require.Equal(t, next, choose(t, other, start, request).Backend.ID)
		for _, table := range []*route.Table{one, other} {
			table.Report(start, home, load(0))
		}
	}
}

func TestPromptsOverTargetGoToTheirHome(t *testing.T) {
	one := seededTable(t, route.Papayaport, backends(12), 1)
	other := seededTable(t, route.Papayaport, backends(12), 99)
	for i := range 20 {
		request := textRequest(fmt.Sprintf("filing %d", i), 60)
		choice := choose(t, one, start, request)
		require.Greater(t, choice.FirstToken.Seconds()*1000, target.FirstTokenMS)
		require.Equal(t, choice.Backend.ID, choose(t, other, start, request).Backend.ID)
	}
}

func TestHotPrefixSpreads(t *testing.T) {
	table := newTable(t, route.Papayaport, 4)
	hot := textRequest("the one filing of the day", 30)
	counts := map[string]int{}
	for i := range 80 {
		counts[send(t, table, start, fmt.Sprint(i), hot).Backend.ID]++
	}
	require.Len(t, counts, 4)
	for backend, count := range counts {
		require.LessOrEqual(t, count, 40, backend)
	}
}

func TestUnsettledSendsCount(t *testing.T) {
	request := route.Request{Service: "model-bench", PromptTokens: 400, AnswerTokens: 50, Target: target}
	cases := map[string]func(table *route.Table){
		"own sends since the report": func(table *route.Table) {
			for i := range 30 {
				table.Sent(start.Add(time.Millisecond), fmt.Sprint(i), choiceOf(0), request)
			}
			table.Report(start.Add(100*time.Millisecond), id(0), aged(load(0), 200))
		},
		"peers' requests": func(table *route.Table) {
			use := membership.BackendUsage{Backend: id(0), InFlight: 30}
			table.SetPeerLoad(start, membership.Totals{Entries: 1, ByBackend: map[string]membership.BackendUsage{id(0): use}})
		},
		"peers' prompts": func(table *route.Table) {
			use := membership.BackendUsage{Backend: id(0), InFlight: 1, PrefillTokens: 12000}
			table.SetPeerLoad(start, membership.Totals{Entries: 1, ByBackend: map[string]membership.BackendUsage{id(0): use}})
		},
		"the report itself": func(table *route.Table) { table.Report(start, id(0), load(30)) },
	}
	for name, burden := range cases {
		t.Run(name, func(t *testing.T) {
			list := backends(2)
			list[1].PricePerHour = 2
			table := seededTable(t, route.Papayaport, list, 1)
			require.Equal(t, id(0), choose(t, table, start, request).Backend.ID)
			burden(table)
			require.Equal(t, id(1), choose(t, table, start.Add(100*time.Millisecond), request).Backend.ID)
		})
	}
}

func TestReportedSendsAreNotCountedTwice(t *testing.T) {
	request := route.Request{Service: "model-bench", PromptTokens: 40, AnswerTokens: 50, Target: target}
	list := backends(2)
	list[1].PricePerHour = 2
	table := seededTable(t, route.Papayaport, list, 1)
	for i := range 8 {
		table.Sent(start, fmt.Sprint(i), choiceOf(0), request)
	}
	now := start.Add(100 * time.Millisecond)
	table.Report(now, id(0), aged(load(8), 50))
	require.Equal(t, id(0), choose(t, table, now, request).Backend.ID)
}

func TestKnownBlocksBeyondTheCacheCountLess(t *testing.T) {
	table := newTable(t, route.Papayaport, 1)
	small := load(0)
	small.CacheCapacity = 20 * prefix.BlockTokens
	table.Report(start, id(0), small)
	for _, name := range []string{"a", "b"} {
		send(t, table, start, name, textRequest(name, 20))
	}
	require.Equal(t, 10*prefix.BlockTokens, choose(t, table, start, textRequest("b", 20)).CachedTokens)
}

func choiceOf(i int) route.Choice { return route.Choice{Backend: backends(i + 1)[i]} }

func aged(l engine.Load, ms int64) engine.Load {
	l.AgeMS = ms
	return l
}

func TestExcludedAreLastResort(t *testing.T) {
	table := newTable(t, route.Papayaport, 2)
	request := textRequest("a", 4)
	request.Exclude = []string{id(0)}
	require.Equal(t, id(1), choose(t, table, start, request).Backend.ID)
	request.Exclude = []string{id(0), id(1)}
	choose(t, table, start, request)
}

func TestPlainServiceSpreadsByLoad(t *testing.T) {
	list := backends(4)
	for i := range list {
		list[i].Service = "desk-app"
	}
	table, err := route.New(self, route.Papayaport, rand.New(rand.NewPCG(1, 1)))
	require.NoError(t, err)
	table.SetBackends(start, list)
	counts := map[string]int{}
	for i := range 80 {
		request := route.Request{Service: "desk-app", Target: service.LatencyTarget{FirstTokenMS: 100, Quantile: 0.95}}
		counts[send(t, table, start, fmt.Sprint(i), request).Backend.ID]++
	}
	require.Len(t, counts, 4)
	for backend, count := range counts {
		require.InDelta(t, 20, count, 5, backend)
	}
}
