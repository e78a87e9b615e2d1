package site

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/membership"
	"papayaport.dev/serving/process/platform"
)

// TestLeaseRanksOfAFleetThatStarts guards against 195 instances that all try for one lease,
// because they were killed together and have heard of nobody yet: two of them try, of
// those with the most memory.
func TestLeaseRanksOfAFleetThatStarts(t *testing.T) {
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
	require.Len(t, ranks, instances, "each has its own")
	for rank := range 2 {
		require.Equal(t, 536, memoryMB(ranks[rank]))
	}
}
