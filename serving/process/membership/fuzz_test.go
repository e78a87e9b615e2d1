package membership_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"papayaport.dev/serving/process/membership"
)

// FuzzReceive guards against a malformed message, or one of another version, that crashes the
// receiving process.
func FuzzReceive(f *testing.F) {
	n := newNetwork(f, 3)
	nodes := n.fleet(8, 4, membership.DefaultBudget)
	use := membership.LocalState{
		Backends: []membership.BackendUsage{{Backend: "runner-1", InFlight: 5}}, ConfigVersion: 3,
		Accounts: []membership.AccountUsage{{Account: "desk", RequestsPerSecond: 3, TokensPerSecond: 500}},
	}
	for _, node := range nodes {
		node.table.SetLocal(n.now, use)
	}
	n.announceLimit(nodes[0], membership.ServerLimit{Backend: "runner-1", Incarnation: 4, Limited: true, PerSecond: 2})
	n.notice(nodes[1], membership.Leaving{Instance: "runner-2", Incarnation: 4, Deadline: n.now.Add(time.Minute)})
	n.run(5 * time.Second)
	for range 20 {
		n.now = n.now.Add(100 * time.Millisecond)
		for _, exchange := range nodes[0].table.Tick(n.now) {
			f.Add(n.encode(exchange.Message))
			f.Add(n.encode(nodes[1].table.Receive(n.now, exchange.Message)))
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var message membership.Message
		if cbor.Unmarshal(data, &message) != nil {
			return // not a message
		}
		self := membership.Member{Instance: "entry-x", Incarnation: 1, Region: "region-0", FailureDomain: "domain-0", PeerAddress: "entry-x:1"}
		table := membership.New(self, []string{"entry-000:1"}, random(), membership.DefaultBudget)
		table.SetLocal(start, use)
		now := start
		for range 3 {
			reply := table.Receive(now, message)
			if _, err := cbor.Marshal(reply); err != nil {
				t.Fatal(err)
			}
			table.TakeChanges()
			table.Totals(now)
			table.Members(now)
			table.Tick(now)
			now = now.Add(time.Second)
		}
	})
}
