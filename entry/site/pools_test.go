package site

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/membership"
	"papayaport.dev/serving/process/platform"
)

// TestPoolOrder guards against placing all pools of an account in one failure domain, and against
// pools on the smallest machines of a fleet.
func TestPoolOrder(t *testing.T) {
	member := func(name, domain string) membership.Member {
		return membership.Member{Instance: name, FailureDomain: domain, PeerAddress: name}
	}
	candidates := func(memory map[string]int) []membership.Member {
		var all []membership.Member
		for _, name := range []string{"a1", "a2", "a3", "b1", "b2", "c1", "c2"} {
			if memory[name] > 0 {
				candidate := member(name, name[:1])
				candidate.MemoryMB = memory[name]
				all = append(all, candidate)
			}
		}
		return all
	}
	for name, test := range map[string]struct {
		self   membership.Member
		memory map[string]int
		order  []string
	}{
		"large ones, of two domains and of its own": {
			member("c2", "c"), map[string]int{"a1": 9, "a2": 8, "a3": 1, "b1": 7, "b2": 2, "c1": 3, "c2": 2}, []string{"a1", "b1", "c1", "c2"},
		},
		"the first is of its own domain": {
			member("a3", "a"), map[string]int{"a1": 9, "a2": 8, "a3": 1, "b1": 7}, []string{"a1", "b1", "a3"},
		},
		"it is the first itself":  {member("a1", "a"), map[string]int{"a1": 9, "b1": 7}, []string{"a1"}},
		"it is the second itself": {member("b1", "b"), map[string]int{"a1": 9, "b1": 7, "b2": 8}, []string{"a1", "b2", "b1"}},
		"one domain only":         {member("a3", "a"), map[string]int{"a1": 9, "a2": 8, "a3": 1}, []string{"a1", "a3"}},
		"nobody is listed":        {member("a1", "a"), nil, []string{"a1"}},
	} {
		t.Run(name, func(t *testing.T) {
			var order []string
			for _, m := range poolOrder(test.self, candidates(test.memory), "desk") {
				order = append(order, m.Instance)
			}
			require.Equal(t, test.order, order)
		})
	}
}

// TestPoolsOfAccountsAreSpread guards against placing the pools of all accounts on one instance.
func TestPoolsOfAccountsAreSpread(t *testing.T) {
	var candidates []membership.Member
	for _, name := range []string{"a1", "a2", "b1", "b2", "c1", "c2", "d1", "d2"} {
		candidates = append(candidates, membership.Member{Instance: name, FailureDomain: name[:1], PeerAddress: name, MemoryMB: 100})
	}
	first := map[string]int{}
	for _, account := range []string{"p", "q", "r", "s", "t", "u", "v", "w", "x", "y", "z", "desk", "night", "clinic", "large", "small"} {
		order := poolOrder(candidates[0], candidates, account)
		first[order[0].Instance]++
	}
	require.GreaterOrEqual(t, len(first), 4)
}

// TestPoolsOfGoneInstances guards against payments and queries to an instance that is gone
// permanently but still has a record, from a process that has never received a message from it.
func TestPoolsOfGoneInstances(t *testing.T) {
	s := newTestSite(t)
	s.setEntries([]platform.Entry{
		{Key: entriesPrefix + "gone", Value: []byte(`{"incarnation": 1, "peer_address": "10.0.0.1:1", "memory_mb": 900}`)},
		{Key: entriesPrefix + "slow", Value: []byte(`{"incarnation": 1, "peer_address": "10.0.0.2:1", "memory_mb": 800}`)},
	})
	s.members.Receive(time.Now(), membership.Message{From: membership.Member{Instance: "slow", Incarnation: 1, PeerAddress: "10.0.0.2:1", MemoryMB: 800}})
	names := func() []string {
		var names []string
		for _, candidate := range s.poolCandidates(time.Now()) {
			names = append(names, candidate.Instance)
		}
		return names
	}
	require.ElementsMatch(t, []string{s.settings.Instance, "gone", "slow"}, names(), "neither was queried yet")
	for _, address := range []string{"10.0.0.1:1", "10.0.0.2:1"} {
		s.recordPoolFailure(context.DeadlineExceeded, address, "")
	}
	require.ElementsMatch(t, []string{s.settings.Instance, "slow"}, names())
}
