package reclaim_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/reclaim"
	"papayaport.dev/serving/request/prefix"
)

var start = time.Unix(1_800_000_000, 0)

// leaving returns a server that stops after the given time and exports 10,000 tokens per second.
func leaving(id string, in time.Duration) reclaim.Leaving {
	return reclaim.Leaving{
		Backend: id, FailureDomain: "a", Deadline: start.Add(in), Exports: true,
		BytesPerSecond: 1e6, BytesPerToken: 100, DecodePerToken: 10 * time.Millisecond,
	}
}

func receiver(id, domain string, slots int) reclaim.Receiver {
	return reclaim.Receiver{Backend: id, Service: "model-bench", FailureDomain: domain, FreeSlots: slots, FreeCacheTokens: 100_000, Imports: true}
}

func work(id string, prompt, remaining int) reclaim.Request {
	return reclaim.Request{
		RequestID: id, Backend: "gone", Service: "model-bench", Priority: 5,
		PromptTokens: prompt, RemainingTokens: remaining, Idempotent: true,
	}
}

func TestPlanForOneRequest(t *testing.T) {
	full, small := receiver("full", "b", 0), receiver("small", "b", 4)
	small.FreeCacheTokens = 100
	other := receiver("other", "b", 4)
	other.Service = "farewell-llm"
	once, moving := work("r", 1000, 2000), work("r", 1000, 2000)
	once.Idempotent, moving.Moving = false, true
	stays := receiver("b1", "b", 4)
	cases := map[string]struct {
		in        time.Duration
		work      reclaim.Request
		receivers []reclaim.Receiver
		want      []reclaim.Kind
	}{
		"ends in time":                   {10 * time.Second, work("r", 1000, 200), []reclaim.Receiver{stays}, []reclaim.Kind{reclaim.Finish}},
		"ends close to the deadline":     {4 * time.Second, work("r", 1000, 200), []reclaim.Receiver{stays}, []reclaim.Kind{reclaim.Transfer}},
		"long answer":                    {10 * time.Second, work("r", 1000, 2000), []reclaim.Receiver{stays}, []reclaim.Kind{reclaim.Transfer}},
		"no time to export":              {2 * time.Second, work("r", 40_000, 2000), []reclaim.Receiver{stays}, []reclaim.Kind{reclaim.Resume}},
		"no room for the cache":          {10 * time.Second, work("r", 1000, 2000), []reclaim.Receiver{small}, []reclaim.Kind{reclaim.Resume}},
		"no slot":                        {10 * time.Second, work("r", 1000, 2000), []reclaim.Receiver{full}, []reclaim.Kind{reclaim.Wait}},
		"no slot, close to the deadline": {900 * time.Millisecond, work("r", 1000, 2000), []reclaim.Receiver{full}, []reclaim.Kind{reclaim.Transfer}},
		"no receiver of the service":     {900 * time.Millisecond, work("r", 1000, 2000), []reclaim.Receiver{other}, []reclaim.Kind{reclaim.Wait}},
		"receiver is leaving":            {900 * time.Millisecond, work("r", 1000, 2000), []reclaim.Receiver{receiver("gone", "a", 4)}, []reclaim.Kind{reclaim.Wait}},
		"not idempotent":                 {4 * time.Second, once, []reclaim.Receiver{stays}, []reclaim.Kind{reclaim.Finish}},
		"already moving":                 {4 * time.Second, moving, []reclaim.Receiver{stays}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			orders := reclaim.Plan(start, reclaim.Input{
				Leaving: []reclaim.Leaving{leaving("gone", c.in)}, Requests: []reclaim.Request{c.work}, Receivers: c.receivers,
			})
			var kinds []reclaim.Kind
			for _, order := range orders {
				kinds = append(kinds, order.Kind)
				require.Equal(t, order.Kind == reclaim.Transfer || order.Kind == reclaim.Resume, order.To != "")
			}
			require.Equal(t, c.want, kinds)
		})
	}
}

func TestMoveOrder(t *testing.T) {
	urgent, late, early, big := work("urgent", 10, 2000), work("late", 10, 2000), work("early", 10, 2000), work("z-big", 5000, 2000)
	urgent.Priority = 8
	late.Deadline, early.Deadline = start.Add(time.Hour), start.Add(time.Minute)
	orders := reclaim.Plan(start, reclaim.Input{
		Leaving:   []reclaim.Leaving{leaving("gone", 5*time.Second)},
		Requests:  []reclaim.Request{work("small", 10, 2000), big, late, early, urgent},
		Receivers: []reclaim.Receiver{receiver("b1", "b", 2), receiver("c1", "c", 2)},
	})
	var ids []string
	for _, order := range orders {
		ids = append(ids, order.RequestID)
	}
	require.Equal(t, []string{"urgent", "early", "late", "z-big", "small"}, ids)
	require.Equal(t, reclaim.Wait, orders[4].Kind)
}

func TestFewMovesSpreadOverDomains(t *testing.T) {
	in := reclaim.Input{Leaving: []reclaim.Leaving{leaving("gone", 5*time.Second)}}
	for _, domain := range []string{"b", "c", "d"} {
		in.Requests = append(in.Requests, work(domain, 100, 2000))
		for s := range 3 {
			in.Receivers = append(in.Receivers, receiver(fmt.Sprint(domain, s), domain, 4))
		}
	}
	domains := map[string]bool{}
	for _, order := range reclaim.Plan(start, in) {
		domains[order.To[:1]] = true
	}
	require.Len(t, domains, 3)
}

func TestHotPrefixesAreSavedByHitRate(t *testing.T) {
	cached := func(block prefix.Block, tokens int, hits float64) reclaim.Cached {
		return reclaim.Cached{Backend: "gone", Service: "model-bench", Block: block, Tokens: tokens, HitsPerSecond: hits}
	}
	elsewhere := cached(9, 5000, 9)
	elsewhere.CachedElsewhere = true
	orders := reclaim.Plan(start, reclaim.Input{
		Leaving:  []reclaim.Leaving{leaving("gone", 2*time.Second)},
		Requests: []reclaim.Request{work("r", 5000, 2000)},
		Cached: []reclaim.Cached{
			cached(1, 4000, 1), cached(2, 4000, 3), cached(3, 4000, 2), elsewhere,
			cached(4, 3000, 0.5), cached(5, 50, 8), cached(6, 1000, 0),
		},
		Receivers: []reclaim.Receiver{receiver("b1", "b", 2), receiver("c1", "c", 2)},
	})
	at := reclaim.Plan(start, reclaim.Input{
		Leaving:   []reclaim.Leaving{leaving("gone", 2*time.Second)},
		Cached:    []reclaim.Cached{{Backend: "gone", Service: "model-bench", Block: 1, Tokens: 500, HitsPerSecond: 1, Home: "c1"}},
		Receivers: []reclaim.Receiver{receiver("b1", "b", 2), receiver("c1", "c", 2)},
	})
	require.Equal(t, "c1", at[0].To)
	var saved []prefix.Block
	domains := map[string]bool{orders[0].To: true}
	for _, order := range orders[1:] {
		require.Equal(t, reclaim.Save, order.Kind)
		require.True(t, order.StartBy.Before(start.Add(2*time.Second)))
		saved = append(saved, order.Block)
		domains[order.To] = true
	}
	require.Equal(t, reclaim.Transfer, orders[0].Kind)
	require.Equal(t, []prefix.Block{2, 3}, saved, "the request and two prefixes take all the time")
	require.Len(t, domains, 2)
}

// TestWholeDomainReclaim reclaims a failure domain of six servers with eight requests each, while
// the rest of the fleet has room for most of them, and checks the complete plan.
func TestWholeDomainReclaim(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var in reclaim.Input
	for s := range 6 {
		id := fmt.Sprintf("a%d", s)
		in.Leaving = append(in.Leaving, leaving(id, 6*time.Second))
		for r := range 8 {
			w := work(fmt.Sprintf("%s-%d", id, r), 500+random.IntN(8000), 50+random.IntN(2000))
			w.Backend, w.Priority = id, random.IntN(10)
			in.Requests = append(in.Requests, w)
		}
	}
	for _, domain := range []string{"b", "c", "d"} {
		for s := range 4 {
			in.Receivers = append(in.Receivers, receiver(fmt.Sprintf("%s%d", domain, s), domain, 3))
		}
	}
	orders := reclaim.Plan(start, in)
	seen, byServer, byDomain, tokens := map[string]int{}, map[string]int{}, map[string]int{}, map[string]int{}
	kinds := map[reclaim.Kind]int{}
	for _, order := range orders {
		seen[order.RequestID]++
		kinds[order.Kind]++
		if order.To != "" {
			byServer[order.To]++
			byDomain[order.To[:1]]++
		}
		if order.Kind == reclaim.Transfer {
			tokens[order.From] += order.Tokens
		}
	}
	require.Len(t, seen, 48, "every request has exactly one order")
	require.Len(t, orders, 48)
	for server, count := range byServer {
		require.LessOrEqual(t, count, 3, server)
	}
	for _, domain := range []string{"b", "c", "d"} {
		require.InDelta(t, len(orders)-kinds[reclaim.Finish]-kinds[reclaim.Wait], 3*byDomain[domain], 3)
	}
	for server, count := range tokens {
		require.LessOrEqual(t, count, 55_000, "%s can't export more before its deadline", server)
	}
	require.Positive(t, kinds[reclaim.Transfer])
	require.Equal(t, orders, reclaim.Plan(start, in), "the plan is deterministic")
}
