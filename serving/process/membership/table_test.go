package membership_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/membership"
	"papayaport.dev/serving/process/platform"
)

func TestEightEntriesAgree(t *testing.T) {
	n := newNetwork(t, 3)
	nodes := n.fleet(8, 4, membership.DefaultBudget)
	for _, node := range nodes {
		node.table.SetLocal(n.now, membership.LocalState{
			ConfigVersion: 1,
			Backends:      []membership.BackendUsage{{Backend: "runner-1", InFlight: 2, PrefillTokens: 100}},
			Accounts:      []membership.AccountUsage{{Account: "llm/clinic", RequestsPerSecond: 1.5, TokensPerSecond: 40, InFlight: 1}},
		})
	}
	n.run(8 * time.Second)
	for _, node := range nodes {
		require.Len(t, node.table.Live(n.now), 7)
		totals := node.table.Totals(n.now)
		require.Equal(t, 7, totals.Entries)
		require.Equal(t, membership.BackendUsage{Backend: "runner-1", InFlight: 14, PrefillTokens: 700}, totals.ByBackend["runner-1"])
		require.Equal(t, membership.AccountUsage{Account: "llm/clinic", RequestsPerSecond: 10.5, TokensPerSecond: 280, InFlight: 7}, totals.ByAccount["llm/clinic"])
	}
	nodes[3].table.SetLocal(n.now, membership.LocalState{ConfigVersion: 9, ManifestHash: "abc"})
	n.run(4 * time.Second)
	for _, node := range nodes {
		require.Equal(t, membership.Config{Version: 9, ManifestHash: "abc", Address: "entry-003:1"}, node.table.HighestConfig())
	}
}

func TestTotalsConvergeAfterColdStart(t *testing.T) {
	for name, c := range map[string]struct {
		entries, domains int
		within           time.Duration
	}{
		"today":         {8, 4, 15 * time.Second},
		"several cells": {34, 2, 40 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			n, nodes := startFleet(t, c.entries, c.domains, 5)
			require.Less(t, n.settle(nodes, 0.02), c.within)
			for _, node := range nodes {
				require.GreaterOrEqual(t, len(node.table.Live(n.now)), c.entries-2)
			}
		})
	}
}

func TestLeavingReachesAllWithinTwoSeconds(t *testing.T) {
	sizes := map[string]struct{ entries, domains int }{
		"today":  {8, 4},
		"medium": {48, 6},
		"large":  {200, 6},
	}
	for name, size := range sizes {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(t, 3)
			nodes := n.fleet(size.entries, size.domains, membership.DefaultBudget)
			n.run(15 * time.Second)
			n.notice(nodes[1], membership.Leaving{Instance: "runner-1", Incarnation: 4, Deadline: n.now.Add(30 * time.Second)})
			n.run(2 * time.Second)
			for _, node := range nodes {
				require.True(t, node.leavingReceived["runner-1/4"], node.member.Instance)
			}
		})
	}
}

func TestPartitionHealsWithinSeconds(t *testing.T) {
	n := newNetwork(t, 3)
	nodes := n.fleet(8, 4, membership.DefaultBudget)
	n.run(10 * time.Second)
	n.partitioned = func(from, to string) bool { return from != to && (from == "domain-0" || to == "domain-0") }
	n.run(40 * time.Second)
	require.Equal(t, []string{"entry-004"}, names(nodes[0].table.Live(n.now)))
	require.Len(t, nodes[1].table.Live(n.now), 5)
	nodes[1].table.SetLocal(n.now, membership.LocalState{ConfigVersion: 7})
	n.notice(nodes[1], membership.Leaving{Instance: "runner-9", Incarnation: 1, Deadline: n.now.Add(time.Minute)})
	n.run(2 * time.Second)
	n.partitioned = func(string, string) bool { return false }
	n.run(6 * time.Second)
	for _, node := range nodes {
		require.Len(t, node.table.Live(n.now), 7, node.member.Instance)
		require.Equal(t, uint64(7), node.table.HighestConfig().Version)
		require.True(t, node.leavingReceived["runner-9/1"])
	}
}

func TestRestartRemovesPreviousState(t *testing.T) {
	n := newNetwork(t, 3)
	nodes := n.fleet(8, 4, membership.DefaultBudget)
	busy := membership.LocalState{Backends: []membership.BackendUsage{{Backend: "runner-1", InFlight: 5}}}
	nodes[5].table.SetLocal(n.now, busy)
	n.run(8 * time.Second)
	nodes[0].table.RegisterNames("runner-1")
	require.Equal(t, 5, nodes[0].table.Totals(n.now).ByBackend["runner-1"].InFlight)
	n.notice(nodes[0], membership.Leaving{Instance: "entry-005", Incarnation: 1, Deadline: n.now.Add(time.Second)})
	n.run(2 * time.Second)
	require.NotContains(t, names(nodes[0].table.Live(n.now)), "entry-005")

	n.add("entry-005", "region-0", "domain-1", 2, membership.DefaultBudget)
	n.run(8 * time.Second)
	require.Contains(t, names(nodes[0].table.Live(n.now)), "entry-005")
	require.Zero(t, nodes[0].table.Totals(n.now).ByBackend["runner-1"].InFlight)
	require.Len(t, nodes[0].table.LeavingSet(), 1)
}

func TestInstanceList(t *testing.T) {
	self := membership.Member{Instance: "entry-1", Incarnation: 3, Region: "r", FailureDomain: "a", PeerAddress: "entry-1:1"}
	table := membership.New(self, []string{"entry-1:1", "seed:1"}, random(), membership.DefaultBudget)
	table.MergeInstances(start, []platform.Instance{
		{ID: "entry-1", Incarnation: 2, Role: platform.EntryRole, PeerAddress: "entry-1:1"},
		{ID: "entry-2", Incarnation: 5, Role: platform.EntryRole, PeerAddress: "entry-2:1", Address: "entry-2:2", Region: "r", FailureDomain: "a"},
		{ID: "runner-1", Incarnation: 7, Role: platform.BackendRole, Leaving: true, LeaveInMS: 5000},
	})
	members := table.Members(start)
	require.Len(t, members, 1)
	require.Equal(t, "entry-2:2", members[0].CallerAddress)
	require.False(t, members[0].Live)
	leaving := membership.Leaving{Instance: "runner-1", Incarnation: 7, Deadline: start.Add(5 * time.Second)}
	require.Equal(t, []membership.Leaving{leaving}, table.LeavingSet())
	require.Equal(t, []membership.Change{membership.LeavingChange{Leaving: leaving}}, table.TakeChanges())

	table.MergeInstances(start, []platform.Instance{{ID: "entry-2", Incarnation: 4, Role: platform.EntryRole, PeerAddress: "old:1"}})
	require.Equal(t, uint64(5), table.Members(start)[0].Incarnation)

	later := start.Add(20 * time.Minute)
	table.Tick(later)
	require.Empty(t, table.LeavingSet())
	require.Empty(t, table.Members(later))
	require.Empty(t, table.TakeChanges())
}

func TestLateMessagesChangeNothing(t *testing.T) {
	self := membership.Member{Instance: "entry-1", Incarnation: 1, Region: "r", FailureDomain: "a", PeerAddress: "entry-1:1"}
	other := membership.Member{Instance: "entry-2", Incarnation: 1, Region: "r", FailureDomain: "a", PeerAddress: "entry-2:1"}
	table := membership.New(self, nil, random(), membership.DefaultBudget)
	peer := membership.New(other, nil, random(), membership.DefaultBudget)
	table.RegisterNames("runner")
	message := func(at time.Time, inFlight int) membership.Message {
		peer.SetLocal(at, membership.LocalState{Backends: []membership.BackendUsage{{Backend: "runner", InFlight: inFlight}}})
		peer.Tick(at)
		return peer.Receive(at, membership.Message{From: self})
	}
	old := message(start, 3)
	later := start.Add(2 * time.Second)
	table.Receive(later, message(later, 7))
	require.Equal(t, 7, table.Totals(later).ByBackend["runner"].InFlight)

	late := later.Add(5 * time.Second)
	table.Receive(late, old)
	require.Equal(t, 7, table.Totals(late).ByBackend["runner"].InFlight)
	require.Equal(t, later, table.Members(late)[0].LastHeartbeat)
}

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }
