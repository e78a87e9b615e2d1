package membership_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/membership"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// network connects tables by encoded messages that it may lose, duplicate and delay.
type network struct {
	t      testing.TB
	random *rand.Rand
	now    time.Time
	nodes  map[string]*node
	order  []string
	// partitioned reports whether messages between two failure domains are lost.
	partitioned func(from, to string) bool
	// lossRate and duplicateRate are shares of messages.
	lossRate, duplicateRate float64
	delayed                 []delivery
	bytes                   int64
}

type node struct {
	member          membership.Member
	table           *membership.Table
	leavingReceived map[string]bool
	limits          map[string]membership.ServerLimit
	config          uint64
	bytes           int64
	local           membership.LocalState
}

type delivery struct {
	at   time.Time
	to   string
	from string
	data []byte
}

func newNetwork(t testing.TB, seed uint64) *network {
	return &network{
		t:           t,
		random:      rand.New(rand.NewPCG(seed, seed)),
		now:         start,
		nodes:       make(map[string]*node),
		partitioned: func(string, string) bool { return false },
	}
}

// add starts an instance; seeds are the addresses of the first two.
func (n *network) add(instance, region, domain string, incarnation uint64, budget int) *node {
	address := instance + ":1"
	seeds := slices.Clone(n.order[:min(2, len(n.order))])
	member := membership.Member{
		Instance: instance, Incarnation: incarnation, Region: region, FailureDomain: domain,
		PeerAddress: address, CallerAddress: instance + ":2",
	}
	random := rand.New(rand.NewPCG(n.random.Uint64(), 1))
	if n.nodes[address] == nil {
		n.order = append(n.order, address)
	}
	n.nodes[address] = &node{member: member, table: membership.New(member, seeds, random, budget), leavingReceived: make(map[string]bool), limits: make(map[string]membership.ServerLimit)}
	return n.nodes[address]
}

func (n *network) encode(m membership.Message) []byte {
	data, err := cbor.Marshal(m)
	require.NoError(n.t, err)
	return data
}

func (n *network) decode(data []byte) membership.Message {
	var m membership.Message
	require.NoError(n.t, cbor.Unmarshal(data, &m))
	return m
}

// send delivers a message and its reply, or reports the failure to the sender.
func (n *network) send(from *node, exchange membership.Exchange) {
	to := n.nodes[exchange.Address]
	if to == nil || n.partitioned(from.member.FailureDomain, to.member.FailureDomain) || n.random.Float64() < n.lossRate {
		from.table.MarkFailed(n.now, exchange.Address)
		return
	}
	data := n.encode(exchange.Message)
	n.count(from, to, data)
	if n.random.Float64() < n.duplicateRate {
		after := time.Duration(n.random.IntN(3000)) * time.Millisecond
		n.delayed = append(n.delayed, delivery{n.now.Add(after), exchange.Address, from.member.PeerAddress, data})
	}
	n.answer(from, to, data)
}

func (n *network) answer(from, to *node, data []byte) {
	reply := n.encode(to.table.Receive(n.now, n.decode(data)))
	n.count(to, from, reply)
	if n.random.Float64() < n.lossRate {
		from.table.MarkFailed(n.now, to.member.PeerAddress)
		return
	}
	require.Zero(n.t, from.table.Receive(n.now, n.decode(reply)))
}

func (n *network) count(from, to *node, data []byte) {
	from.bytes += int64(len(data))
	to.bytes += int64(len(data))
	n.bytes += int64(len(data))
}

// step advances all nodes by one tick.
func (n *network) step() {
	n.now = n.now.Add(membership.TickPeriod)
	late := n.delayed
	n.delayed = nil
	for _, d := range late {
		if d.at.After(n.now) {
			n.delayed = append(n.delayed, d)
			continue
		}
		n.nodes[d.to].table.Receive(n.now, n.decode(d.data))
	}
	for _, address := range n.order {
		from := n.nodes[address]
		for _, exchange := range from.table.Tick(n.now) {
			n.send(from, exchange)
		}
	}
	for _, address := range n.order {
		n.nodes[address].takeChanges()
	}
}

func (n *node) takeChanges() {
	for _, change := range n.table.TakeChanges() {
		switch c := change.(type) {
		case membership.LeavingChange:
			n.leavingReceived[fmt.Sprint(c.Leaving.Instance, "/", c.Leaving.Incarnation)] = true
		case membership.LimitChange:
			n.limits[c.Limit.Backend] = c.Limit
		case membership.ConfigChange:
			n.config = max(n.config, c.Config.Version)
		}
	}
}

func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.step()
	}
}

func (n *network) notice(at *node, leaving membership.Leaving) {
	for _, exchange := range at.table.AnnounceLeaving(n.now, leaving) {
		n.send(at, exchange)
	}
}

// fleet adds count instances evenly over domains; the first half of the domains is in
// one region, the rest in the other.
func (n *network) fleet(count, domains, budget int) []*node {
	var nodes []*node
	for i := range count {
		d := i % domains
		nodes = append(nodes, n.add(fmt.Sprintf("entry-%03d", i), fmt.Sprintf("region-%d", d*2/domains), fmt.Sprintf("domain-%d", d), 1, budget))
	}
	return nodes
}

func names(members []membership.Member) []string {
	var all []string
	for _, m := range members {
		all = append(all, m.Instance)
	}
	slices.Sort(all)
	return all
}
