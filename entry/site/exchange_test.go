package site

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/membership"
	"papayaport.dev/serving/process/platform"
)

// TestLeaseRanksAtFleetStart guards against 195 instances that all try to acquire one lease after
// they were killed together and have received no messages from peers yet. Their ranks are unique,
// and the first two have the most memory.
func TestLeaseRanksAtFleetStart(t *testing.T) {
	const instances = 195
	memoryMB := func(i int) int { return map[bool]int{true: 536, false: 184}[i%20 == 0] }
	name := func(i int) string { return fmt.Sprintf("e%d", i) }
	address := func(i int) string { return fmt.Sprintf("10.0.%d.%d:1", i/100, i%100) }
	var listed []platform.Entry
	for i := range instances {
		listed = append(listed, platform.Entry{Key: entriesPrefix + name(i), Value: fmt.Appendf(nil,
			`{"incarnation": 1, "region": "r", "failure_domain": "d%d", "peer_address": %q, "memory_mb": %d}`, i%6, address(i), memoryMB(i))})
	}
	ranks := map[int]int{}
	for i := range instances {
		s := newTestSite(t)
		s.settings.Instance, s.settings.AdvertisedPeers, s.settings.MemoryMB = name(i), address(i), memoryMB(i)
		s.members = membership.New(s.self(), nil, rand.New(rand.NewPCG(1, 1)), membership.DefaultBudget)
		s.setEntries(listed)
		ranks[s.leaseRank(dutyLease)] = i
	}
	require.Len(t, ranks, instances, "ranks are unique")
	for rank := range 2 {
		require.Equal(t, 536, memoryMB(ranks[rank]))
	}
}
