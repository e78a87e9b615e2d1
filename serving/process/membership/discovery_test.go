package membership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/membership"
)

// TestUnknownMembersAreDiscovered guards against members that never discover each other.
// A failure domain is partitioned from the start and half of all messages are lost, so that the
// limited relays of new members are used up without effect. After the partition heals, every
// member must know all others. TestStatefulExchange found the fault with seed 1654.
func TestUnknownMembersAreDiscovered(t *testing.T) {
	for name, seed := range map[string]uint64{
		"two domains of a region":       7,
		"the same with another order":   18,
		"two members of one domain":     60,
		"the seed of the first failure": 0x384477f,
	} {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(t, seed)
			n.fleet(8, 4, membership.DefaultBudget)
			n.partitioned = func(from, to string) bool { return from != to && (from == "domain-3" || to == "domain-3") }
			n.lossRate, n.duplicateRate = 0.5, 0.3
			n.run(52 * membership.TickPeriod)
			n.partitioned = func(string, string) bool { return false }
			n.lossRate, n.duplicateRate = 0, 0
			n.run(32 * time.Second)
			for _, node := range n.nodes {
				require.Len(t, node.table.Live(n.now), 7, node.member.Instance)
			}
		})
	}
}
