package site

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/generation"
	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/process/platform/store"
	"papayaport.dev/serving/process/usage"
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

// TestEmptyStoreOfANewGeneration guards against an empty store that is taken for a new one by an
// instance that has seen an earlier generation.
func TestEmptyStoreOfANewGeneration(t *testing.T) {
	s, keys := newTestSite(t), newFakeStore()
	s.platform.Store, keys.generation = keys, 1
	marker, err := s.generationMarker(context.Background())
	require.NoError(t, err)
	require.True(t, marker.First)
	keys.generation, keys.entries = 2, map[string]platform.Entry{}
	marker, err = s.generationMarker(context.Background())
	require.NoError(t, err)
	require.True(t, marker.Names(2))
	require.False(t, marker.First)
}

// lateStore is a store in which another instance writes the marker just before this one.
type lateStore struct{ *fakeStore }

// List implements Store.
func (l lateStore) List(ctx context.Context, prefix string) (platform.Entries, error) {
	listed, err := l.fakeStore.List(ctx, prefix)
	value, encodeErr := generation.Begin(l.generation, time.Now(), true).Encode()
	if encodeErr != nil {
		return listed, encodeErr
	}
	if _, putErr := l.Put(ctx, generationKey, value, 0); putErr != nil {
		return listed, putErr
	}
	return listed, err
}

// TestMarkerOfAnotherInstance guards against instances that wait at their common start because another
// one has written the marker first.
func TestMarkerOfAnotherInstance(t *testing.T) {
	s := newTestSite(t)
	keys := lateStore{newFakeStore()}
	s.platform.Store, keys.generation = keys, 1
	marker, err := s.generationMarker(context.Background())
	require.NoError(t, err)
	require.True(t, marker.First)
}

// TestSumsOfALostWindow guards against a second sum for a window that was reported in an earlier
// generation of the store.
func TestSumsOfALostWindow(t *testing.T) {
	for name, test := range map[string]struct {
		age    time.Duration // time since the generation was marked
		known  map[int64]usage.Counts
		stored string
		want   usage.Counts // nil if the window is skipped
	}{
		"still stored":                  {time.Second, nil, `{"%d": {"a": 5}}`, usage.Counts{"a": 5}},
		"lost, and known":               {time.Second, map[int64]usage.Counts{0: {"a": 6}}, "{}", usage.Counts{"a": 6}},
		"lost, and unknown":             {time.Second, nil, "{}", nil},
		"not reported before":           {time.Hour, nil, "{}", usage.Counts{"a": 7}},
		"known sums are not replaced":   {time.Hour, map[int64]usage.Counts{0: {"a": 6}}, "{}", usage.Counts{"a": 6}},
		"a store that lost all sums":    {time.Second, nil, "", nil},
		"known, in a store without any": {time.Second, map[int64]usage.Counts{0: {"a": 6}}, "", usage.Counts{"a": 6}},
	} {
		t.Run(name, func(t *testing.T) {
			s, keys := newTestSite(t), newFakeStore()
			s.platform.Store, keys.generation = keys, 2
			ctx := context.Background()
			number := s.usage.Number(s.calendar.Now().Add(-reportAfter)) - 1
			markerOf(t, s, keys, 2, test.age)
			if test.stored != "" {
				_, err := keys.Put(ctx, reportsKey, []byte(strings.Replace(test.stored, "%d", strconv.FormatInt(number, 10), 1)), 0)
				require.NoError(t, err)
			}
			own, err := json.Marshal(record{Incarnation: 1, Usage: map[int64]usage.Counts{number: {"a": 7}}})
			require.NoError(t, err)
			_, err = keys.Put(ctx, entriesPrefix+"other", own, 0)
			require.NoError(t, err)
			if test.known != nil {
				s.storeLoadReport(time.Now(), loadReport{Instance: "peer", FixedSums: map[int64]usage.Counts{number: test.known[0]}})
			}
			fixed, err := s.fixWindows(ctx, []int64{number})
			require.NoError(t, err)
			require.Equal(t, test.want, fixed[number])
		})
	}
}

// TestRecordThatMayBeLost guards against a start payment and a retry allowance for a process whose
// predecessor's record the store may have lost.
func TestRecordThatMayBeLost(t *testing.T) {
	for name, test := range map[string]struct {
		present  uint64
		age      time.Duration
		first    bool
		complete bool
	}{
		"a store without generations": {0, 0, false, true},
		"the first start":             {1, time.Second, true, true},
		"a new generation":            {2, time.Second, false, false},
		"an old generation":           {2, time.Hour, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			s, keys := newTestSite(t), newFakeStore()
			s.platform.Store, keys.generation = keys, test.present
			value, err := generation.Begin(test.present, s.calendar.Now().Add(-test.age), test.first).Encode()
			require.NoError(t, err)
			_, err = keys.Put(context.Background(), generationKey, value, 0)
			require.NoError(t, err)
			s.loadRecord(context.Background())
			require.True(t, s.record.loaded)
			require.Equal(t, test.complete, !s.record.incomplete)
			require.Equal(t, test.complete, s.needsStartPayment())
		})
	}
}
