package membership_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"papayaport.dev/serving/process/membership"
)

// TestMain sets the seed and the number of runs of the stateful tests unless they are given on
// the command line.
func TestMain(m *testing.M) {
	flag.Parse()
	values := map[string]string{"rapid.seed": "1", "rapid.checks": "6", "rapid.nofailfile": "true"}
	flag.Visit(func(f *flag.Flag) { delete(values, f.Name) })
	for name, value := range values {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestStatefulExchange guards against tables that do not converge to the actual usage,
// configuration version and leaving notices of all instances. Eight tables run with lost,
// duplicated and delayed messages, network partitions and restarts.
func TestStatefulExchange(t *testing.T) {
	const domains = 4
	rapid.Check(t, func(rt *rapid.T) {
		n := newNetwork(t, rapid.Uint64().Draw(rt, "network"))
		n.fleet(8, domains, membership.DefaultBudget)
		incarnations := make(map[string]uint64)
		notices := make(map[string]bool)
		highest := uint64(0)
		isolated := -1 // the partitioned domain
		n.partitioned = func(from, to string) bool {
			return from != to && (from == fmt.Sprint("domain-", isolated) || to == fmt.Sprint("domain-", isolated))
		}
		pick := func(t *rapid.T) *node {
			return n.nodes[n.order[rapid.IntRange(0, len(n.order)-1).Draw(t, "node")]]
		}
		heal := func(d time.Duration) {
			isolated, n.lossRate, n.duplicateRate = -1, 0, 0
			n.run(d)
		}
		rt.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				n.run(time.Duration(rapid.IntRange(1, 80).Draw(t, "ticks")) * membership.TickPeriod)
			},
			"faults": func(t *rapid.T) {
				n.lossRate = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "lose")
				n.duplicateRate = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "double")
			},
			"cut": func(t *rapid.T) { isolated = rapid.IntRange(-1, domains-1).Draw(t, "alone") },
			"use": func(t *rapid.T) {
				node := pick(t)
				node.local.Backends = []membership.BackendUsage{{Backend: "runner", InFlight: rapid.IntRange(0, 9).Draw(t, "in flight")}}
				node.table.SetLocal(n.now, node.local)
			},
			"configuration": func(t *rapid.T) {
				highest++
				node := pick(t)
				node.local.ConfigVersion = highest
				node.table.SetLocal(n.now, node.local)
			},
			"restart": func(t *rapid.T) {
				old := pick(t).member
				incarnations[old.Instance]++
				n.add(old.Instance, old.Region, old.FailureDomain, 1+incarnations[old.Instance], membership.DefaultBudget)
			},
			"notice": func(t *rapid.T) {
				name := fmt.Sprintf("runner-%d", len(notices))
				notices[name+"/1"] = true
				n.notice(pick(t), membership.Leaving{Instance: name, Incarnation: 1, Deadline: n.now.Add(5 * time.Minute)})
			},
			"notice reaches everyone": func(t *rapid.T) {
				heal(10 * time.Second)
				name := fmt.Sprintf("runner-%d", len(notices))
				notices[name+"/1"] = true
				n.notice(pick(t), membership.Leaving{Instance: name, Incarnation: 1, Deadline: n.now.Add(5 * time.Minute)})
				n.run(2 * time.Second)
				for _, node := range n.nodes {
					require.True(t, node.leavingReceived[name+"/1"], "%s within 2 s", node.member.Instance)
				}
			},
			"settle": func(t *rapid.T) {
				heal(20 * time.Second)
				n.requireConverged(t, notices, highest)
			},
		})
	})
}

// requireConverged fails the test unless every table matches the actual state.
func (n *network) requireConverged(t *rapid.T, notices map[string]bool, highest uint64) {
	inFlight := 0
	for _, node := range n.nodes {
		for _, use := range node.local.Backends {
			inFlight += use.InFlight
		}
	}
	for _, node := range n.nodes {
		node.table.RegisterNames("runner")
		own := 0
		for _, use := range node.local.Backends {
			own += use.InFlight
		}
		require.Equal(t, inFlight-own, node.table.Totals(n.now).ByBackend["runner"].InFlight, node.member.Instance)
		for _, member := range node.table.Members(n.now) {
			require.True(t, member.Live, "%s at %s", member.Instance, node.member.Instance)
			require.Equal(t, n.nodes[member.PeerAddress].member.Incarnation, member.Incarnation)
		}
		require.Len(t, node.table.Live(n.now), len(n.nodes)-1)
		require.LessOrEqual(t, node.table.HighestConfig().Version, highest)
		for name := range notices {
			if n.noticeReceived(name) {
				require.True(t, node.leavingReceived[name], "%s at %s", name, node.member.Instance)
			}
		}
	}
	versions := make(map[uint64]bool)
	for _, node := range n.nodes {
		versions[node.table.HighestConfig().Version] = true
	}
	require.Len(t, versions, 1, "one highest configuration")
}

// noticeReceived reports whether any node has received a notice; a restart may have lost it
// before it was sent.
func (n *network) noticeReceived(name string) bool {
	for _, node := range n.nodes {
		if node.leavingReceived[name] {
			return true
		}
	}
	return false
}
