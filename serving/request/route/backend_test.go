package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/process/clock/clocktest"
	"papayaport.dev/serving/process/membership"
	"papayaport.dev/serving/request/prefix"
	"papayaport.dev/serving/request/route"
	"papayaport.dev/serving/version/service"
)

func TestFinishedAttemptsAreNotCountedTwice(t *testing.T) {
	table := newTable(t, route.LeastInFlight, 2)
	choice := send(t, table, start, "one", textRequest("a", 1))
	table.Sent(start, "one", choice, textRequest("a", 1))
	require.Equal(t, []membership.BackendUsage{{Backend: choice.Backend.ID, InFlight: 1, PrefillTokens: 128}}, table.LocalLoad())
	require.Equal(t, []string{"one"}, table.AttemptsAt(choice.Backend.ID))
	table.FirstToken(start, "one", 0)
	require.Zero(t, table.LocalLoad()[0].PrefillTokens)
	table.Done(start, "one", route.OK, 128)
	table.Done(start, "one", route.OK, 128)
	require.Empty(t, table.LocalLoad())
}

func TestLeavingIncarnations(t *testing.T) {
	gone := start.Add(30 * time.Second)
	second := backends(1)
	second[0].Incarnation = 2
	cases := map[string]struct {
		steps func(table *route.Table)
		want  bool
	}{
		"notice":                         {func(table *route.Table) { table.MarkLeaving(start, id(0), 1, gone) }, false},
		"notice of an older incarnation": {func(table *route.Table) { table.MarkLeaving(start, id(0), 0, gone) }, true},
		"still in the list": {func(table *route.Table) {
			table.MarkLeaving(start, id(0), 1, gone)
			table.SetBackends(gone, backends(1))
		}, false},
		"new incarnation accepts requests": {func(table *route.Table) { table.MarkLeaving(start, id(0), 1, gone); table.SetBackends(start, second) }, true},
		"old list after the new one":       {func(table *route.Table) { table.SetBackends(start, second); table.SetBackends(start, backends(1)) }, true},
		"notice before the list":           {func(table *route.Table) { table.MarkLeaving(start, id(0), 2, gone); table.SetBackends(start, second) }, false},
		"missing from the list temporarily": {func(table *route.Table) {
			table.MarkLeaving(start, id(0), 1, gone)
			table.SetBackends(start, nil)
			table.SetBackends(start.Add(time.Minute), backends(1))
		}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := newTable(t, route.Papayaport, 1)
			c.steps(table)
			_, err := table.Choose(start, textRequest("a", 1))
			require.Equal(t, c.want, err == nil)
		})
	}
}

func TestNewIncarnationHasNoHistory(t *testing.T) {
	table := newTable(t, route.Papayaport, 1)
	send(t, table, start, "old", textRequest("a", 4))
	second := backends(1)
	second[0].Incarnation = 2
	table.SetBackends(start, second)
	require.Empty(t, table.LocalLoad())
	require.Empty(t, table.AttemptsAt(id(0)))
	require.Zero(t, choose(t, table, start, textRequest("a", 4)).CachedTokens)
	table.Done(start, "old", route.Failed, 0)
	require.Empty(t, table.LocalLoad())
}

func TestCacheEvents(t *testing.T) {
	request := textRequest("a", 4)
	stored := func(first uint64, blocks ...prefix.Block) engine.CacheEvents {
		events := engine.CacheEvents{Incarnation: 1}
		for i, block := range blocks {
			events.Events = append(events.Events, engine.CacheEvent{Sequence: first + uint64(i), Block: uint64(block), Stored: true})
			events.Next = first + uint64(i)
		}
		return events
	}
	dropped := func(sequence uint64, block prefix.Block) engine.CacheEvents {
		return engine.CacheEvents{Next: sequence, Events: []engine.CacheEvent{{Sequence: sequence, Block: uint64(block)}}}
	}
	snapshot := engine.CacheEvents{Next: 9, Snapshot: []uint64{uint64(request.Blocks[0])}}
	cases := map[string]struct {
		batches []engine.CacheEvents
		tokens  int
		stale   bool
	}{
		"stored":                {[]engine.CacheEvents{stored(1, request.Blocks...)}, 512, false},
		"end dropped":           {[]engine.CacheEvents{stored(1, request.Blocks...), dropped(5, request.Blocks[3])}, 384, false},
		"gap in the chain":      {[]engine.CacheEvents{stored(1, request.Blocks...), dropped(5, request.Blocks[1])}, 128, false},
		"doubled":               {[]engine.CacheEvents{stored(1, request.Blocks...), dropped(5, request.Blocks[3]), stored(4, request.Blocks[3])}, 384, false},
		"gap":                   {[]engine.CacheEvents{stored(1, request.Blocks[:2]...), stored(4, request.Blocks[2:]...)}, 256, true},
		"gap at the end":        {[]engine.CacheEvents{stored(1, request.Blocks...), {Next: 7}}, 256, true},
		"snapshot after gap":    {[]engine.CacheEvents{stored(1, request.Blocks[:2]...), stored(4, request.Blocks[2:]...), snapshot}, 128, false},
		"events after snapshot": {[]engine.CacheEvents{snapshot, stored(10, request.Blocks[1])}, 256, false},
		"other incarnation":     {[]engine.CacheEvents{{Incarnation: 7, Next: 1, Events: stored(1, request.Blocks...).Events}}, 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := newTable(t, route.Papayaport, 1)
			stale := false
			for _, batch := range c.batches {
				stale = table.CacheEvents(start, id(0), batch)
			}
			require.Equal(t, c.stale, stale)
			require.Equal(t, c.tokens, choose(t, table, start, request).CachedTokens)
		})
	}
}

// TestUnhealthyServersLoseRequests makes the cheapest of four servers fail, and guards that it gets
// few requests immediately and its full share some time after it has recovered.
func TestUnhealthyServersLoseRequests(t *testing.T) {
	cases := map[string]struct {
		result route.Result
		first  time.Duration
		// pause is the time until requests are sent again.
		pause time.Duration
	}{
		"failing": {route.Failed, 0, time.Minute},
		"silent":  {route.Silent, 0, time.Minute},
		"wrong":   {route.Wrong, 0, time.Minute},
		"slow":    {route.OK, 3 * time.Second, time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			list := backends(4)
			list[0].PricePerHour = 0.5
			table := seededTable(t, route.Papayaport, list, 1)
			now := start
			require.Greater(t, sendToFirst(t, table, &now, 200, nil), 150)
			bad := sendToFirst(t, table, &now, 200, func(attempt string) bool {
				if c.first > 0 {
					table.FirstToken(now.Add(c.first), attempt, 0)
				}
				table.Done(now.Add(c.first), attempt, c.result, 0)
				return true
			})
			require.Less(t, bad, 20)
			now = now.Add(c.pause)
			early := sendToFirst(t, table, &now, 20, nil)
			require.Less(t, early, 20)
			for range 5 {
				now = now.Add(10 * time.Second)
				sendToFirst(t, table, &now, 200, nil)
			}
			late := sendToFirst(t, table, &now, 200, nil)
			require.Greater(t, late, 150)
			t.Log(bad, early, late)
		})
	}
}

// sendToFirst sends count short requests, 10 ms apart and answered 100 ms after they were sent, and
// returns how many reached the first server. If misbehave is set, it ends the attempts at that
// server.
func sendToFirst(t *testing.T, table *route.Table, now *time.Time, count int, misbehave func(attempt string) bool) int {
	t.Helper()
	got := 0
	loose := service.LatencyTarget{FirstTokenMS: 800, Quantile: 0.95}
	request := route.Request{Service: "model-bench", PromptTokens: 100, AnswerTokens: 20, Target: loose}
	var open []string
	for i := range count {
		*now = now.Add(10 * time.Millisecond)
		attempt := fmt.Sprintf("%d-%d", now.UnixNano(), i)
		choice := send(t, table, *now, attempt, request)
		if len(open) >= 10 {
			table.FirstToken(*now, open[0], 0)
			table.Done(*now, open[0], route.OK, 0)
			open = open[1:]
		}
		if choice.Backend.ID != id(0) {
			open = append(open, attempt)
			continue
		}
		got++
		if misbehave == nil || !misbehave(attempt) {
			open = append(open, attempt)
		}
	}
	for _, attempt := range open {
		table.Done(*now, attempt, route.OK, 0)
	}
	return got
}

func TestStalledServerIsAvoidedBeforeItsAttemptsEnd(t *testing.T) {
	list := backends(2)
	list[1].PricePerHour = 2
	table := seededTable(t, route.Papayaport, list, 1)
	request := route.Request{Service: "model-bench", PromptTokens: 100, AnswerTokens: 20, Target: target}
	require.Equal(t, id(0), send(t, table, start, "one", request).Backend.ID)
	later := start.Add(4 * time.Second)
	table.Report(later, id(0), load(0))
	table.Report(later, id(1), load(0))
	require.Equal(t, id(1), choose(t, table, later, request).Backend.ID)
	table.Token(later, "one")
	require.Equal(t, id(0), choose(t, table, later, request).Backend.ID)
}

// TestEjectedServerReturnsSlowly guards the number of concurrent requests of a server with a low
// health score after its ejection has ended.
func TestEjectedServerReturnsSlowly(t *testing.T) {
	list := backends(2)
	list[0].PricePerHour = 0.5
	table := seededTable(t, route.Papayaport, list, 1)
	request := route.Request{Service: "model-bench", PromptTokens: 10, AnswerTokens: 20, Target: target}
	send(t, table, start, "wrong", request)
	table.Done(start, "wrong", route.Wrong, 0)
	now := start.Add(time.Minute)
	taken := 0
	for i := range 8 {
		if send(t, table, now, fmt.Sprint(i), request).Backend.ID == id(0) {
			taken++
		}
	}
	require.Equal(t, 1, taken)
}

func TestHotPrefixesOfAServer(t *testing.T) {
	table := newTable(t, route.Papayaport, 2)
	for i, sent := range []struct {
		text   string
		length int
	}{{"once", 20}, {"twice", 20}, {"twice", 22}, {"both", 20}, {"both", 20}, {"thrice", 20}, {"thrice", 17}, {"thrice", 18}} {
		table.Sent(start, fmt.Sprint(i), choiceOf(0), textRequest(sent.text, sent.length))
	}
	table.Sent(start, "other", choiceOf(1), textRequest("both", 20))
	hot := table.HotPrefixes(start.Add(time.Second), id(0))
	require.Len(t, hot, 3)
	lengths, elsewhere := map[int]bool{}, 0
	for i, h := range hot {
		require.Equal(t, h.Tokens, len(h.Blocks)*prefix.BlockTokens)
		require.LessOrEqual(t, h.HitsPerSecond, hot[0].HitsPerSecond, i)
		lengths[len(h.Blocks)] = true
		if h.CachedElsewhere {
			elsewhere++
			require.Equal(t, textRequest("both", 20).Blocks, h.Blocks)
		}
	}
	require.Equal(t, map[int]bool{17: true, 20: true}, lengths)
	require.Equal(t, 1, elsewhere)
	table.MarkLeaving(start, id(1), 1, start.Add(time.Minute))
	for _, h := range table.HotPrefixes(start, id(0)) {
		require.False(t, h.CachedElsewhere)
	}
	require.Empty(t, table.HotPrefixes(start, "unknown"))
}

func TestAttemptWithoutEstimateIsNotObserved(t *testing.T) {
	list := backends(2)
	list[1].PricePerHour = 2
	table := seededTable(t, route.Papayaport, list, 1)
	request := route.Request{Service: "model-bench", PromptTokens: 100, AnswerTokens: 20, Target: target}
	table.Sent(start, "moved", choiceOf(0), request)
	now := start.Add(900 * time.Millisecond)
	table.FirstToken(now, "moved", 0)
	table.Done(now, "moved", route.OK, 0)
	require.Equal(t, id(0), choose(t, table, now, request).Backend.ID)
}

func TestLatenessDecays(t *testing.T) {
	list := backends(2)
	list[1].PricePerHour = 2
	table := seededTable(t, route.Papayaport, list, 1)
	request := route.Request{Service: "model-bench", PromptTokens: 100, AnswerTokens: 20, Target: target}
	require.Equal(t, id(0), send(t, table, start, "late", request).Backend.ID)
	now := start.Add(5 * time.Second)
	table.FirstToken(now, "late", 0)
	table.Done(now, "late", route.OK, 0)
	require.Equal(t, id(1), choose(t, table, now.Add(time.Second), request).Backend.ID)
	require.Equal(t, id(0), choose(t, table, now.Add(time.Minute), request).Backend.ID)
}

// TestEstimateErrorsApplyToAllServers alternates early and late first tokens at one server, and
// guards that the safety margin of another server grows.
func TestEstimateErrorsApplyToAllServers(t *testing.T) {
	table := newTable(t, route.Papayaport, 2)
	request := route.Request{Service: "model-bench", PromptTokens: 100, AnswerTokens: 20, Target: target, Exclude: []string{id(0)}}
	before := choose(t, table, start, request).FirstToken
	now := start
	request.Exclude = []string{id(1)}
	for i := range 40 {
		attempt := fmt.Sprint(i)
		send(t, table, now, attempt, request)
		now = now.Add(10*time.Millisecond + time.Duration(i%2)*400*time.Millisecond)
		table.FirstToken(now, attempt, 0)
		table.Done(now, attempt, route.OK, 0)
	}
	request.Exclude = []string{id(0)}
	require.Greater(t, choose(t, table, now, request).FirstToken, before+100*time.Millisecond)
}

// TestEjectionWithClockJumps guards against a server that stays ejected, or returns immediately,
// because the time of day jumps.
func TestEjectionWithClockJumps(t *testing.T) {
	for name, jump := range map[string]time.Duration{"forward": time.Hour, "back": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			list := backends(2)
			list[0].PricePerHour = 0.5
			table, err := route.New(self, route.Papayaport, rand.New(rand.NewPCG(1, 2)))
			require.NoError(t, err)
			now := time.Now()
			table.SetBackends(now, list)
			for _, b := range list {
				table.Report(now, b.ID, load(0))
			}
			request := route.Request{Service: "model-bench", PromptTokens: 10, AnswerTokens: 20, Target: target}
			chosen := func(after time.Duration) string {
				at := clocktest.Step(now.Add(after), jump)
				attempt := fmt.Sprint(after)
				defer table.Done(at, attempt, route.Cancelled, 0)
				return send(t, table, at, attempt, request).Backend.ID
			}
			send(t, table, now, "wrong", request)
			table.Done(now, "wrong", route.Wrong, 0)
			require.Equal(t, id(1), chosen(time.Millisecond), "barred")
			require.Equal(t, id(0), chosen(time.Minute), "the ejection has ended")
		})
	}
}
