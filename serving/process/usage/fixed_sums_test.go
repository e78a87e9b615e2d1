package usage_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/usage"
)

// TestFixedSums guards against a second sum for a window, and against sums that are kept forever.
func TestFixedSums(t *testing.T) {
	sums := usage.NewFixedSums(3)
	require.Empty(t, sums.Add(map[int64]usage.Counts{7: {"a": 1}, 8: {"a": 2}}))
	require.Empty(t, sums.Add(map[int64]usage.Counts{8: {"a": 2}}))
	require.Equal(t, []int64{8}, sums.Add(map[int64]usage.Counts{8: {"a": 3}, 9: {}}))
	counts, found := sums.Sum(8)
	require.True(t, found)
	require.Equal(t, usage.Counts{"a": 2}, counts)
	require.Empty(t, sums.Add(map[int64]usage.Counts{10: {"b": 1}}))
	require.Equal(t, map[int64]usage.Counts{8: {"a": 2}, 9: {}, 10: {"b": 1}}, sums.All())
	_, found = sums.Sum(7)
	require.False(t, found)
}
