package site

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/process/departure"
	"papayaport.dev/serving/process/lease"
	"papayaport.dev/serving/process/membership"
	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/process/platform/store"
	"papayaport.dev/serving/process/usage"
)

// fakeStore keeps keys in memory and counts calls.
type fakeStore struct {
	Store
	entries  map[string]platform.Entry
	revision uint64
	calls    map[string]int
	// generation is the one that the store is in.
	generation uint64
}

func newFakeStore() *fakeStore {
	return &fakeStore{entries: map[string]platform.Entry{}, calls: map[string]int{}}
}

// Generation implements Store.
func (f *fakeStore) Generation() uint64 { return f.generation }

// AdvanceGeneration implements Store.
func (f *fakeStore) AdvanceGeneration(generation uint64) {
	f.generation = max(f.generation, generation)
}

// Get implements Store.
func (f *fakeStore) Get(_ context.Context, key string) (platform.Entry, error) {
	f.calls["get"]++
	entry, found := f.entries[key]
	if !found {
		return platform.Entry{}, store.ErrNotFound
	}
	return entry, nil
}

// List implements Store.
func (f *fakeStore) List(_ context.Context, prefix string) (platform.Entries, error) {
	f.calls["list"]++
	var listed platform.Entries
	for key, entry := range f.entries {
		if len(key) >= len(prefix) && key[:len(prefix)] == prefix {
			listed.Entries = append(listed.Entries, entry)
		}
	}
	return listed, nil
}

// Put implements Store.
func (f *fakeStore) Put(_ context.Context, key string, value []byte, ifRevision uint64) (platform.Entry, error) {
	f.calls["put"]++
	if ifRevision != store.AnyRevision && f.entries[key].Revision != ifRevision {
		return platform.Entry{}, &store.Conflict{Entry: f.entries[key]}
	}
	f.revision++
	f.entries[key] = platform.Entry{Key: key, Value: value, Revision: f.revision}
	return f.entries[key], nil
}

// TestDueWindows guards against windows that are never reported because the previous holder ended
// and the next one does not go back far enough.
func TestDueWindows(t *testing.T) {
	s := newTestSite(t)
	length := seconds(s.settings.Usage.WindowS)
	start := time.Unix(0, 0).Add(1000 * length) // the start of window 1000
	for name, test := range map[string]struct {
		behind   time.Duration // the start of window 1000
		reported int64
		want     []int64
	}{
		"a window has just ended":           {time.Second, 998, nil},
		"its records are there":             {3 * time.Second, 998, []int64{999}},
		"reported":                          {4 * time.Second, 999, nil},
		"one that ended 12 s ago, a change": {2 * time.Second, 0, []int64{994, 995, 996, 997, 998}},
		"two late":                          {3 * time.Second, 997, []int64{998, 999}},
		"a long outage":                     {3 * time.Second, 900, []int64{994, 995, 996, 997, 998, 999}},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, s.dueWindows(start.Add(test.behind), test.reported))
		})
	}
}

// TestReportTakeover guards that a new holder with several due windows reads the records once for
// all of them, keeps sums that were fixed before, and that a second attempt changes nothing.
func TestReportTakeover(t *testing.T) {
	s := newTestSite(t)
	keys := newFakeStore()
	s.platform.Store = keys
	ctx := context.Background()
	for instance, counts := range map[string]map[int64]usage.Counts{
		"one": {7: {"a": 1}, 8: {"a": 2}, 9: {"a": 3}},
		"two": {7: {"a": 10}, 8: {"b": 20}},
	} {
		value, err := json.Marshal(record{Incarnation: 1, Usage: counts})
		require.NoError(t, err)
		_, err = keys.Put(ctx, entriesPrefix+instance, value, store.AnyRevision)
		require.NoError(t, err)
	}
	_, err := keys.Put(ctx, reportsKey, []byte(`{"7": {"a": 5}}`), store.AnyRevision)
	require.NoError(t, err)
	want := map[int64]usage.Counts{7: {"a": 5}, 8: {"a": 2, "b": 20}, 9: {"a": 3}}

	keys.calls = map[string]int{}
	fixed, err := s.fixWindows(ctx, []int64{7, 8, 9})
	require.NoError(t, err)
	require.Equal(t, want, fixed)
	require.Equal(t, map[string]int{"list": 1, "get": 1, "put": 1}, keys.calls)

	value, err := json.Marshal(record{Incarnation: 2, Usage: map[int64]usage.Counts{8: {"a": 99}}})
	require.NoError(t, err)
	_, err = keys.Put(ctx, entriesPrefix+"one", value, store.AnyRevision)
	require.NoError(t, err)
	keys.calls = map[string]int{}
	fixed, err = s.fixWindows(ctx, []int64{7, 8, 9})
	require.NoError(t, err)
	require.Equal(t, want, fixed, "a sum that may have been reported is not changed")
	require.Equal(t, map[string]int{"get": 1}, keys.calls)
}

// Acquire implements Store.
func (f *fakeStore) Acquire(context.Context, string, string, time.Duration) (platform.Lease, error) {
	return platform.Lease{Fencing: 1}, nil
}

// Renew implements Store.
func (f *fakeStore) Renew(context.Context, string, string, uint64, time.Duration) (platform.Lease, error) {
	return platform.Lease{Fencing: 1}, nil
}

// Remove implements Store.
func (f *fakeStore) Remove(_ context.Context, key string, ifRevision uint64) error {
	if f.entries[key].Revision != ifRevision {
		return &store.Conflict{Entry: f.entries[key]}
	}
	delete(f.entries, key)
	return nil
}

// TestRecordsOfGoneInstancesAreRemoved guards against parts of limits that shrink with each
// replaced instance, because its record stays.
func TestRecordsOfGoneInstancesAreRemoved(t *testing.T) {
	s := newTestSite(t)
	keys := newFakeStore()
	s.platform.Store = keys
	s.leases = lease.New(expiringLeases{keys}, "e/1", func() []string { return []string{dutyLease} },
		func(string) int { return 0 }, time.Minute, clock.Boot, rand.New(rand.NewPCG(1, 1)))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = s.leases.Run(ctx) }()
	require.Eventually(t, func() bool { _, held := s.leases.Held(dutyLease); return held }, time.Second, time.Millisecond)
	for _, instance := range []string{"e", "gone", "writes", "lives"} {
		_, err := keys.Put(ctx, entriesPrefix+instance, []byte(`{"incarnation": 1, "peer_address": "10.0.0.9:1"}`), store.AnyRevision)
		require.NoError(t, err)
	}
	s.members.Receive(time.Now(), membership.Message{From: membership.Member{Instance: "lives", Incarnation: 1, PeerAddress: "10.0.0.9:1"}})
	view := func() {
		listed, err := keys.List(ctx, entriesPrefix)
		require.NoError(t, err)
		s.setEntries(listed.Entries)
		s.view.Store(&storeView{at: clock.Boot()})
	}
	view()
	d := duty{fencing: 1}
	now := clock.Boot()
	const period = 5 * time.Second
	for before := departure.GoneAfter; before > 0; before -= period { // earlier checks
		var seen []departure.Record
		for _, r := range s.records {
			seen = append(seen, departure.Record{Instance: r.instance, Revision: r.revision})
		}
		require.Empty(t, d.records.Scan(now.Add(-before), seen))
	}
	_, err := keys.Put(ctx, entriesPrefix+"writes", []byte(`{"incarnation": 1}`), store.AnyRevision)
	require.NoError(t, err)
	_, err = keys.Put(ctx, entriesPrefix+"e", []byte(`{"incarnation": 1}`), store.AnyRevision)
	require.NoError(t, err)
	view()
	require.Equal(t, 4, s.entries())
	s.removeGoneRecords(ctx, &d)
	view()
	require.Equal(t, 3, s.entries())
	require.NotContains(t, keys.entries, entriesPrefix+"gone")
}
