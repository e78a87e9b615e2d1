package publication

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/process/problem"
)

// sharedStore makes a fakeStore safe for concurrent use.
type sharedStore struct {
	mu    sync.Mutex
	store *fakeStore
}

// countedStore counts the reads of one instance.
type countedStore struct {
	Store
	gets atomic.Int64
}

// Get implements Store.
func (s *countedStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	s.gets.Add(1)
	return s.Store.Get(ctx, key)
}

func (s *sharedStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.Get(ctx, key)
}

func (s *sharedStore) Put(ctx context.Context, key string, value []byte, ifRevision uint64) (platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.Put(ctx, key, value, ifRevision)
}

func (s *sharedStore) Delete(ctx context.Context, key string, ifRevision uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.Delete(ctx, key, ifRevision)
}

func (s *sharedStore) List(ctx context.Context, prefix string) (platform.Entries, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.List(ctx, prefix)
}

// Watch polls, because fakeStore has no watches.
func (s *sharedStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (platform.Entries, error) {
	until := time.Now().Add(wait)
	for time.Now().Before(until) && ctx.Err() == nil {
		s.mu.Lock()
		entry := s.store.values[prefix]
		s.mu.Unlock()
		if entry.Revision > after {
			return platform.Entries{Entries: []platform.Entry{entry}}, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return platform.Entries{}, nil
}

func (s *sharedStore) set(change func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.store)
}

// TestKeepers publishes to three instances, one of which watches the store and from which the
// others learn of the versions. A fourth one starts while the store is down.
func TestKeepers(t *testing.T) {
	t.Parallel()
	shared := &sharedStore{store: newFakeStore(drawFirst)}
	keepers := map[string]*Keeper{}
	keeperOf := func(address string) *Keeper { return keepers[address] }
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	names := []string{"a", "b", "c", "d"}
	counted := map[string]*countedStore{}
	for _, name := range names {
		counted[name] = &countedStore{Store: shared}
		keepers[name] = NewKeeper(counted[name], &localPeers{names, keeperOf}, func() bool { return name == "a" }, quietLogger())
	}
	a, b, c, d := keepers["a"], keepers["b"], keepers["c"], keepers["d"]
	for _, keeper := range []*Keeper{a, b, c} {
		running.Go(func() { _ = keeper.Run(ctx) })
	}
	exchange := func() {
		b.HandleOffer("a", a.Head().Version, "")
		c.HandleOffer("b", b.Head().Version, "")
	}
	publisher := NewPublisher(shared, a, quietLogger())
	reads := int64(0)
	for version := range uint64(3) {
		request := Request{ID: NewID(version + 1), Operator: "ann", Files: map[string][]byte{"f": testFile("a", int(version))}}
		_, err := publisher.Publish(ctx, request)
		require.NoError(t, err)
		reached := func() bool {
			exchange()
			return c.Head().Version == version+1 && b.Head().Version == version+1
		}
		require.Eventually(t, reached, 8*time.Second, 20*time.Millisecond)
		if version == 0 {
			reads = counted["b"].gets.Load() + counted["c"].gets.Load()
		}
	}
	require.Equal(t, reads, counted["b"].gets.Load()+counted["c"].gets.Load(), "instances that do not watch must not read the store")
	file, ok := c.Service("a")
	require.True(t, ok)
	require.Equal(t, 2, file.Accounts[0].Priority)

	history, err := publisher.History(ctx, 0, 10)
	require.NoError(t, err)
	require.Len(t, history, 3)
	history, err = publisher.History(ctx, 3, 1)
	require.NoError(t, err)
	require.Equal(t, uint64(2), history[0].Version)

	shared.set(func(s *fakeStore) { s.down = true })
	_, err = publisher.Publication(ctx, history[0].Publication)
	require.Equal(t, problem.NotKnownYet, problem.From(err).Kind)
	updates, end := c.Subscribe()
	defer end()
	require.Equal(t, uint64(3), (<-updates).Number)
	running.Go(func() { _ = d.Run(ctx) })
	require.Eventually(t, func() bool { return d.Head().Version == 3 }, 8*time.Second, 20*time.Millisecond)
	shared.set(func(s *fakeStore) { s.down = false })
	_, err = publisher.Publication(ctx, history[0].Publication)
	require.NoError(t, err)
}

// TestKeeperWithoutSourcesIsNotReady guards against an instance that becomes ready with neither
// store nor peers.
func TestKeeperWithoutSourcesIsNotReady(t *testing.T) {
	t.Parallel()
	shared := &sharedStore{store: newFakeStore(drawFirst)}
	shared.store.down = true
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout+time.Second)
	defer cancel()
	keeper := NewKeeper(shared, &localPeers{}, func() bool { return false }, quietLogger())
	require.NoError(t, keeper.Run(ctx))
	require.True(t, keeper.Started())
	require.False(t, keeper.Ready())
	require.Equal(t, Head{}, keeper.Head())
	_, ok := keeper.Chunk("x")
	require.False(t, ok)
}

// TestPollStore guards against reads of the store by instances that do not watch it while a peer
// answers.
func TestPollStore(t *testing.T) {
	inner := newFakeStore(drawFirst)
	require.Nil(t, publishFile(inner, NewID(1), "a", noChange).Err)
	informed := NewKeeper(inner, &localPeers{}, nil, quietLogger())
	informed.setCurrent(&Version{Number: 7, Head: Head{Version: 7, Manifest: "x"}})
	tests := map[string]struct {
		watching bool
		starting bool
		peers    []string
		silence  time.Duration
		gets     int64
		version  uint64
	}{
		"watches":          {watching: true, version: 1},
		"starting":         {starting: true, peers: []string{"informed"}, silence: 2 * peerSilenceTimeout},
		"heard a peer":     {peers: []string{"informed"}, silence: peerSilenceTimeout / 2},
		"asks a peer":      {peers: []string{"informed"}, silence: 2 * peerSilenceTimeout, version: 7},
		"asks a second":    {peers: []string{"informed", "gone"}, silence: 2 * peerSilenceTimeout, version: 7},
		"no peer answers":  {peers: []string{"gone", "gone"}, silence: 2 * peerSilenceTimeout, gets: 1, version: 1},
		"no peer is known": {silence: 2 * peerSilenceTimeout, gets: 1, version: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			keeperOf := func(address string) *Keeper { return map[string]*Keeper{"informed": informed}[address] }
			counted := &countedStore{Store: inner}
			k := NewKeeper(counted, &localPeers{test.peers, keeperOf}, func() bool { return test.watching }, quietLogger())
			k.lastPeerContact.Store(time.Now().Add(-test.silence).UnixNano())
			k.started.Store(!test.starting)
			var after uint64
			pause, err := k.pollStore(context.Background(), &after)
			require.NoError(t, err)
			require.Positive(t, pause)
			require.Equal(t, test.gets, counted.gets.Load())
			if test.version == 0 {
				require.Empty(t, k.events)
				return
			}
			require.Equal(t, test.version, (<-k.events).Head.Version)
		})
	}
}
