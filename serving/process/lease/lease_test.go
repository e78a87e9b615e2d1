package lease_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"papayaport.dev/serving/process/lease"
	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/process/platform/store"
)

// fakeStore is a store in memory that can simulate outages.
type fakeStore struct {
	mu      sync.Mutex
	held    map[string]platform.Lease
	fencing uint64
	down    bool
}

func (m *fakeStore) Acquire(_ context.Context, name, holder string, ttl time.Duration) (platform.Lease, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return platform.Lease{}, store.ErrUnavailable
	}
	if other, ok := m.held[name]; ok && other.Holder != holder {
		return platform.Lease{}, &store.Conflict{Lease: &other}
	}
	m.fencing++
	m.held[name] = platform.Lease{Name: name, Holder: holder, Fencing: m.fencing, TTLMS: ttl.Milliseconds()}
	return m.held[name], nil
}

func (m *fakeStore) Renew(_ context.Context, name, holder string, fencing uint64, _ time.Duration) (platform.Lease, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return platform.Lease{}, store.ErrUnknown
	}
	got := m.held[name]
	if got.Holder != holder || got.Fencing != fencing {
		return platform.Lease{}, &store.Conflict{Lease: &got}
	}
	return got, nil
}

func (m *fakeStore) Release(_ context.Context, name, holder string, fencing uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if got := m.held[name]; got.Holder == holder && got.Fencing == fencing {
		delete(m.held, name)
	}
	return nil
}

func (m *fakeStore) setDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

func run(t *testing.T, l *lease.Leases) func() {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return l.Run(ctx) })
	stop := sync.OnceFunc(func() {
		cancel()
		require.NoError(t, group.Wait())
	})
	t.Cleanup(stop)
	return stop
}

func TestLeases(t *testing.T) {
	const short = 1200 * time.Millisecond
	m := &fakeStore{held: make(map[string]platform.Lease)}
	var mu sync.Mutex
	names := []string{"watch/a/0", "watch/a/1"}
	wanted := func() []string {
		mu.Lock()
		defer mu.Unlock()
		return names
	}
	zero := func(string) int { return 0 }
	first := lease.New(m, "entry-1/1", wanted, zero, short, time.Now, random())
	second := lease.New(m, "entry-2/1", wanted, zero, short, time.Now, random())
	holds := func(l *lease.Leases, name string) func() bool {
		return func() bool {
			_, held := l.Held(name)
			return held
		}
	}
	stop := run(t, first)
	for _, name := range []string{"watch/a/0", "watch/a/1"} {
		require.Eventually(t, holds(first, name), 5*time.Second, 10*time.Millisecond)
	}
	run(t, second)

	m.setDown(true)
	require.Eventually(t, func() bool { return !holds(first, "watch/a/0")() }, 5*time.Second, 10*time.Millisecond)
	m.setDown(false)
	require.Eventually(t, holds(first, "watch/a/0"), 10*time.Second, 10*time.Millisecond)
	require.False(t, holds(second, "watch/a/0")())

	stop()
	require.False(t, holds(first, "watch/a/0")())
	require.Eventually(t, holds(second, "watch/a/0"), 10*time.Second, 10*time.Millisecond)

	mu.Lock()
	names = names[:1]
	mu.Unlock()
	require.Eventually(t, func() bool { return !holds(second, "watch/a/1")() }, 5*time.Second, 10*time.Millisecond)
}

func TestRank(t *testing.T) {
	entries := []string{"entry-1", "entry-2", "entry-3"}
	seen := make(map[int]bool)
	for i, self := range entries {
		others := append(append([]string{}, entries[:i]...), entries[i+1:]...)
		seen[lease.Rank("watch/a/0", self, others)] = true
	}
	require.Equal(t, map[int]bool{0: true, 1: true, 2: true}, seen)
	require.Zero(t, lease.Rank("watch/a/0", "entry-1", nil))
}
