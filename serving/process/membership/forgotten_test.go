package membership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/membership"
)

// TestMembersThatNeverMetFindEachOther cuts off a failure domain from the start while half
// of all messages are lost, so that announcements are spent on nobody. Behind that every
// member must find all others. TestStatefulExchange found it with seed 1654.
func TestMembersThatNeverMetFindEachOther(t *testing.T) {
	for name, seed := range map[string]uint64{
		"two domains of a region":      7,
		"the same with another order":  18,
		"two members of one domain":    60,
		"the first seed that was seen": 0x384477f,
	} {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(t, seed)
			n.fleet(8, 4, membership.DefaultBudget)
			n.cut = func(from, to string) bool { return from != to && (from == "domain-3" || to == "domain-3") }
			n.lose, n.double = 0.5, 0.3
			n.run(52 * membership.TickPeriod)
			n.cut = func(string, string) bool { return false }
			n.lose, n.double = 0, 0
			n.run(32 * time.Second)
			for _, node := range n.nodes {
				require.Len(t, node.table.Live(n.now), 7, node.member.Instance)
			}
		})
	}
}
