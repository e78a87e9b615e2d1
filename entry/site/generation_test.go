package site

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/generation"
	"papayaport.dev/serving/process/platform/store"
)

// markerOf stores a marker of a generation that began some time ago.
func markerOf(t *testing.T, s *Site, keys *fakeStore, number uint64, age time.Duration) {
	value, err := generation.Begin(number, s.calendar.Now().Add(-age), false).Encode()
	require.NoError(t, err)
	_, err = keys.Put(context.Background(), generationKey, value, store.AnyRevision)
	require.NoError(t, err)
}

// TestLeasesOfANewGeneration guards against a lease that is acquired while a holder of an earlier
// generation of the store may still act.
func TestLeasesOfANewGeneration(t *testing.T) {
	for name, test := range map[string]struct {
		present uint64
		prepare func(s *Site, keys *fakeStore)
		granted bool
		marked  uint64
	}{
		"a store without generations": {0, func(*Site, *fakeStore) {}, true, 0},
		"the first start":             {1, func(*Site, *fakeStore) {}, true, 1},
		"no marker, but records": {3, func(_ *Site, keys *fakeStore) {
			_, err := keys.Put(context.Background(), entriesPrefix+"other", []byte("{}"), 0)
			require.NoError(t, err)
		}, false, 3},
		"marked by another instance just now": {3, func(s *Site, keys *fakeStore) { markerOf(t, s, keys, 3, time.Second) }, false, 3},
		"marked long ago":                     {3, func(s *Site, keys *fakeStore) { markerOf(t, s, keys, 3, time.Minute) }, true, 3},
		"a marker of the generation before":   {4, func(s *Site, keys *fakeStore) { markerOf(t, s, keys, 3, time.Minute) }, false, 4},
	} {
		t.Run(name, func(t *testing.T) {
			s, keys := newTestSite(t), newFakeStore()
			s.platform.Store, keys.generation = keys, test.present
			test.prepare(s, keys)
			for range 2 { // the second time the marker is known
				_, err := settledLeases{expiringLeases{keys}, s}.Acquire(context.Background(), dutyLease, "e/1", 5*time.Second)
				if test.granted {
					require.NoError(t, err)
				} else {
					var conflict *store.Conflict
					require.ErrorAs(t, err, &conflict)
					require.Positive(t, conflict.Lease.TTLMS)
				}
			}
			marker, err := generation.Decode(keys.entries[generationKey].Value)
			require.NoError(t, err)
			require.Equal(t, test.marked, marker.Generation)
		})
	}
}
