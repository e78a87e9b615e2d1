package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/process/membership"
	"papayaport.dev/serving/request/prefix"
	"papayaport.dev/serving/request/route"
)

// oracle is a reference model of a table: the attempts in flight at each server, and the leaving
// servers.
type oracle struct {
	table *route.Table
	now   time.Time
	// known holds the highest listed incarnation of every server; listed holds the servers in the
	// current list.
	known    map[string]uint64
	listed   map[string]bool
	leaving  map[string]uint64
	attempts map[string]sentTo
	next     int
}

type sentTo struct {
	backend     string
	incarnation uint64
}

const fuzzServers = 5

func newOracle(t require.TestingT, policy string) *oracle {
	table, err := route.New(self, policy, rand.New(rand.NewPCG(5, 6)))
	require.NoError(t, err)
	return &oracle{table: table, now: start, known: map[string]uint64{}, listed: map[string]bool{}, leaving: map[string]uint64{}, attempts: map[string]sentTo{}}
}

func (o *oracle) pass(t *rapid.T) {
	o.now = o.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
}

// list sets a list of some servers, including old and new incarnations.
func (o *oracle) list(t *rapid.T) {
	var list []route.Backend
	o.listed = map[string]bool{}
	for _, b := range backends(fuzzServers) {
		if rapid.IntRange(0, 4).Draw(t, "absent") == 0 {
			continue
		}
		b.Incarnation = uint64(rapid.IntRange(1, 4).Draw(t, "incarnation"))
		list = append(list, b)
		o.listed[b.ID] = true
		o.known[b.ID] = max(b.Incarnation, o.known[b.ID])
	}
	o.table.SetBackends(o.now, list)
}

func (o *oracle) notice(t *rapid.T) {
	id, incarnation := drawServer(t), uint64(rapid.IntRange(1, 4).Draw(t, "incarnation"))
	o.leaving[id] = max(o.leaving[id], incarnation)
	o.table.MarkLeaving(o.now, id, incarnation, o.now.Add(30*time.Second))
}

func (o *oracle) report(t *rapid.T) {
	l := load(rapid.IntRange(0, 20).Draw(t, "running"))
	l.AgeMS = int64(rapid.IntRange(0, 2000).Draw(t, "age"))
	l.Incarnation = uint64(rapid.IntRange(0, 4).Draw(t, "incarnation"))
	o.table.Report(o.now, drawServer(t), l)
}

func (o *oracle) cacheEvents(t *rapid.T) {
	events := engine.CacheEvents{Next: uint64(rapid.IntRange(0, 20).Draw(t, "next"))}
	for _, block := range textRequest("fuzz", rapid.IntRange(0, 8).Draw(t, "blocks")).Blocks {
		sequence := uint64(rapid.IntRange(1, 20).Draw(t, "sequence"))
		events.Events = append(events.Events, engine.CacheEvent{Sequence: sequence, Block: uint64(block), Stored: rapid.Bool().Draw(t, "stored")})
	}
	if rapid.Bool().Draw(t, "snapshot") {
		events.Snapshot = []uint64{1, 2, 3}
	}
	o.table.CacheEvents(o.now, drawServer(t), events)
}

func (o *oracle) peers(t *rapid.T) {
	use := membership.BackendUsage{InFlight: rapid.IntRange(0, 30).Draw(t, "peers"), PrefillTokens: 100}
	o.table.SetPeerLoad(o.now, membership.Totals{ByBackend: map[string]membership.BackendUsage{drawServer(t): use}})
}

func (o *oracle) send(t *rapid.T) {
	request := textRequest(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "filing")), rapid.IntRange(0, 12).Draw(t, "length"))
	choice, err := o.table.Choose(o.now, request)
	require.Equal(t, o.available(), err == nil, "a server is selected exactly when one is listed and not leaving")
	if err != nil {
		return
	}
	id := choice.Backend.ID
	require.True(t, o.listed[id])
	require.Equal(t, o.known[id], choice.Backend.Incarnation)
	require.Less(t, o.leaving[id], choice.Backend.Incarnation, "a leaving incarnation was selected")
	require.LessOrEqual(t, choice.CachedTokens, request.PromptTokens)
	require.LessOrEqual(t, choice.CachedTokens, len(request.Blocks)*prefix.BlockTokens)
	require.Positive(t, choice.FirstToken)
	o.next++
	attempt := fmt.Sprint(o.next)
	o.table.Sent(o.now, attempt, choice, request)
	o.attempts[attempt] = sentTo{id, choice.Backend.Incarnation}
}

func (o *oracle) progress(t *rapid.T) {
	attempt := fmt.Sprint(rapid.IntRange(0, o.next).Draw(t, "attempt"))
	switch rapid.IntRange(0, 3).Draw(t, "step") {
	case 0:
		o.table.FirstToken(o.now, attempt, 0)
	case 1:
		o.table.Token(o.now, attempt)
	default:
		o.table.Done(o.now, attempt, route.Result(rapid.IntRange(int(route.OK), int(route.Cancelled)).Draw(t, "result")), 0)
		delete(o.attempts, attempt)
	}
}

func (o *oracle) available() bool {
	for id := range o.listed {
		if o.known[id] > o.leaving[id] {
			return true
		}
	}
	return false
}

// check compares the table's load with the oracle's.
func (o *oracle) check(t *rapid.T) {
	want := map[string]int{}
	for _, sent := range o.attempts {
		if o.known[sent.backend] == sent.incarnation {
			want[sent.backend]++
		}
	}
	got := map[string]int{}
	for _, use := range o.table.LocalLoad() {
		require.Positive(t, use.InFlight)
		require.GreaterOrEqual(t, use.PrefillTokens, 0)
		require.Len(t, o.table.AttemptsAt(use.Backend), use.InFlight)
		got[use.Backend] = use.InFlight
	}
	require.Equal(t, want, got)
}

func drawServer(t *rapid.T) string { return id(rapid.IntRange(0, fuzzServers-1).Draw(t, "server")) }

// TestStatefulTable applies late, duplicate and contradictory events to a table of every policy,
// and compares the table with the oracle after each.
func TestStatefulTable(t *testing.T) {
	for _, policy := range []string{route.Papayaport, route.RoundRobin, route.LeastInFlight, route.PrefixHash} {
		t.Run(policy, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				o := newOracle(t, policy)
				t.Repeat(map[string]func(*rapid.T){
					"":       o.check,
					"time":   o.pass,
					"list":   o.list,
					"notice": o.notice,
					"report": o.report,
					"events": o.cacheEvents,
					"peers":  o.peers,
					"send":   o.send,
					"sends":  func(t *rapid.T) { o.send(t); o.send(t); o.send(t) },
					"step":   o.progress,
				})
			})
		})
	}
}
