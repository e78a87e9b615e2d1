package membership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/membership"
)

// maxLimitDelay is the time within which a limit that a server announces has to reach all
// instances, as documented for users.
const maxLimitDelay = 3 * time.Second

func (n *network) announceLimit(at *node, limit membership.ServerLimit) {
	limit.ReceivedAt = n.now
	for _, exchange := range at.table.AnnounceLimit(n.now, limit) {
		n.send(at, exchange)
	}
}

// limitAt returns the last limit of a server that a node received.
func (n *node) limitAt(server string) membership.ServerLimit { return n.limits[server] }

func (n *network) requireLimit(nodes []*node, named bool, perSecond float64) {
	for _, node := range nodes {
		limit := node.limitAt("runner-1")
		require.Equal(n.t, named, limit.Limited, node.member.Instance)
		require.InDelta(n.t, perSecond, limit.PerSecond, 0.001, node.member.Instance)
	}
}

// TestLimitsReachAllInTime guards against instances that do not receive a server's new, changed
// or ended limit in time.
func TestLimitsReachAllInTime(t *testing.T) {
	for name, size := range map[string]struct {
		entries, domains int
		lose             float64
	}{
		"8":                  {8, 4, 0},
		"8, lossy":           {8, 4, 0.1},
		"200":                {200, 6, 0},
		"200, lossy":         {200, 6, 0.1},
		"one instance alone": {1, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(t, 5)
			nodes := n.fleet(size.entries, size.domains, membership.DefaultBudget)
			n.run(40 * time.Second)
			n.lossRate = size.lose
			first, last := nodes[0], nodes[len(nodes)-1]
			n.announceLimit(first, membership.ServerLimit{Backend: "runner-1", Incarnation: 4, Limited: true, PerSecond: 1.23456})
			n.run(maxLimitDelay)
			n.requireLimit(nodes, true, 1.235)
			n.announceLimit(last, membership.ServerLimit{Backend: "runner-1", Incarnation: 4, Limited: true, PerSecond: 0.5})
			n.run(maxLimitDelay)
			n.requireLimit(nodes, true, 0.5)
			n.announceLimit(first, membership.ServerLimit{Backend: "runner-1", Incarnation: 4})
			n.run(maxLimitDelay)
			n.requireLimit(nodes, false, 0)
		})
	}
}

// TestLimitIsKnownAfterRestart guards against a restarted process that ignores a limit which a
// server announced before.
func TestLimitIsKnownAfterRestart(t *testing.T) {
	n := newNetwork(t, 5)
	nodes := n.fleet(8, 4, membership.DefaultBudget)
	n.run(10 * time.Second)
	n.announceLimit(nodes[1], membership.ServerLimit{Backend: "runner-1", Incarnation: 4, Limited: true, PerSecond: 2})
	n.run(time.Minute)
	started := n.add("entry-005", "region-0", "domain-1", 2, membership.DefaultBudget)
	n.run(maxLimitDelay)
	n.requireLimit([]*node{started}, true, 2)
}

// TestLimitAfterPartition guards against instances that do not receive a limit which a server
// announced while their failure domain was partitioned.
func TestLimitAfterPartition(t *testing.T) {
	n := newNetwork(t, 3)
	nodes := n.fleet(8, 4, membership.DefaultBudget)
	n.run(10 * time.Second)
	n.partitioned = func(from, to string) bool { return from != to && (from == "domain-0" || to == "domain-0") }
	n.announceLimit(nodes[1], membership.ServerLimit{Backend: "runner-1", Incarnation: 4, Limited: true, PerSecond: 2})
	n.run(20 * time.Second)
	require.False(t, nodes[0].limitAt("runner-1").Limited)
	n.partitioned = func(string, string) bool { return false }
	for range 6 { // answers repeat it
		n.announceLimit(nodes[1], membership.ServerLimit{Backend: "runner-1", Incarnation: 4, Limited: true, PerSecond: 2})
		n.run(time.Second)
	}
	n.requireLimit(nodes, true, 2)
}

// TestOlderLimitsChangeNothing guards against an outdated limit that replaces a newer one.
func TestOlderLimitsChangeNothing(t *testing.T) {
	now := start.Add(time.Hour * 3)
	known := membership.LimitRecord{Backend: "s", Incarnation: 4, Milli: 1000, AgeMS: 5000}
	for name, test := range map[string]struct {
		next    membership.LimitRecord
		changes int
	}{
		"older":                      {membership.LimitRecord{Backend: "s", Incarnation: 4, Milli: 2000, AgeMS: 6000}, 1},
		"newer":                      {membership.LimitRecord{Backend: "s", Incarnation: 4, Milli: 2000, AgeMS: 4000}, 2},
		"newer, the same":            {membership.LimitRecord{Backend: "s", Incarnation: 4, Milli: 1000, AgeMS: 4000}, 1},
		"much newer, the same":       {membership.LimitRecord{Backend: "s", Incarnation: 4, Milli: 1000, AgeMS: 1000}, 2},
		"the end":                    {membership.LimitRecord{Backend: "s", Incarnation: 4, Milli: -1, AgeMS: 4000}, 2},
		"an older process":           {membership.LimitRecord{Backend: "s", Incarnation: 3, Milli: 2000, AgeMS: 0}, 1},
		"a newer process":            {membership.LimitRecord{Backend: "s", Incarnation: 5, Milli: 1000, AgeMS: 9000}, 2},
		"out of date":                {membership.LimitRecord{Backend: "t", Incarnation: 4, Milli: 1000, AgeMS: 2 * 3600 * 1000}, 1},
		"the end of an unknown one":  {membership.LimitRecord{Backend: "t", Incarnation: 4, Milli: -1}, 1},
		"a time that is still to be": {membership.LimitRecord{Backend: "s", Incarnation: 4, Milli: 1000, AgeMS: -1 << 62}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			table := membership.New(membership.Member{Instance: "a", PeerAddress: "a:1"}, nil, random(), membership.DefaultBudget)
			from := membership.Member{Instance: "b", Incarnation: 1, PeerAddress: "b:1"}
			table.Receive(now, membership.Message{From: from, Limits: []membership.LimitRecord{known}})
			table.Receive(now, membership.Message{From: from, Limits: []membership.LimitRecord{test.next}})
			require.Len(t, table.TakeChanges(), test.changes)
		})
	}
}
