package generation_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/generation"
)

// TestLatest guards against late responses that are taken for present ones, and against revisions that
// repeat or go back with a generation.
func TestLatest(t *testing.T) {
	var latest generation.Latest
	require.Zero(t, latest.Generation())
	own, err := latest.StoreRevision(generation.Revision(0, 7))
	require.NoError(t, err)
	require.Equal(t, uint64(7), own)
	require.NoError(t, latest.Observe(2))
	require.NoError(t, latest.Observe(2))
	require.ErrorIs(t, latest.Observe(1), generation.ErrEarlier)
	latest.AdvanceGeneration(1)
	require.Equal(t, uint64(2), latest.Generation())

	before := generation.Revision(2, 900)
	own, err = latest.StoreRevision(before)
	require.NoError(t, err)
	require.Equal(t, uint64(900), own)
	latest.AdvanceGeneration(3)
	_, err = latest.StoreRevision(before)
	require.ErrorIs(t, err, generation.ErrEarlier)
	require.Greater(t, generation.Revision(3, 1), before)
	require.Zero(t, generation.Revision(3, 0), "a key that does not exist")
	own, err = latest.StoreRevision(0)
	require.NoError(t, err)
	require.Zero(t, own)
	require.Equal(t, uint64(3), generation.Of(generation.Revision(3, 1)))
}
