package action

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/process/platform/store"
)

// memoryStore is an in-memory key-value service with a fixed latency per call.
type memoryStore struct {
	latency time.Duration
	puts    atomic.Int64
	bytes   atomic.Int64
	down    atomic.Bool

	mu       sync.Mutex
	revision uint64
	entries  map[string]platform.Entry
}

func (s *memoryStore) Get(_ context.Context, key string) (platform.Entry, error) {
	time.Sleep(s.latency)
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, found := s.entries[key]
	if !found {
		return entry, store.ErrNotFound
	}
	return entry, nil
}

func (s *memoryStore) Put(_ context.Context, key string, value []byte, ifRevision uint64) (platform.Entry, error) {
	time.Sleep(s.latency)
	if s.down.Load() {
		return platform.Entry{}, errors.Wrap(store.ErrUnavailable, "outage")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.puts.Add(1)
	s.bytes.Add(int64(len(value)))
	if current := s.entries[key]; current.Revision != ifRevision {
		return platform.Entry{}, &store.Conflict{Entry: current}
	}
	s.revision++
	s.entries[key] = platform.Entry{Key: key, Value: value, Revision: s.revision}
	return s.entries[key], nil
}

func (s *memoryStore) Delete(context.Context, string, uint64) error { return nil }

// fleet is a group of Keepers that share a store and call each other in memory with a fixed
// latency.
type fleet struct {
	store   *memoryStore
	latency time.Duration
	keepers map[string]*Keeper
	names   []string
	stop    func() error
}

// Answer implements Peers by calling the target Keeper directly.
func (f *fleet) Answer(ctx context.Context, to Member, query Query) (Reply, error) {
	time.Sleep(f.latency)
	reply, err := f.keepers[to.Instance].Serve(ctx, query)
	time.Sleep(f.latency)
	return reply, err
}

func newFleet(entries int, storeLatency, peerLatency time.Duration, settings Settings) *fleet {
	f := &fleet{
		store:   &memoryStore{latency: storeLatency, entries: map[string]platform.Entry{}},
		latency: peerLatency,
		keepers: map[string]*Keeper{},
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	var live []Member
	for i := range entries {
		name := fmt.Sprintf("entry-%d", i)
		f.names = append(f.names, name)
		live = append(live, Member{Instance: name, Incarnation: 1})
	}
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	for i, name := range f.names {
		self := Self{Instance: name, Incarnation: 1}
		rng := rand.New(rand.NewPCG(uint64(i), 1))
		k := New(f.store, f, self, func() []Member { return live }, settings, rng, logrus.NewEntry(log))
		f.keepers[name] = k
		group.Go(func() error { return k.Run(ctx) })
	}
	f.stop = func() error {
		cancel()
		return group.Wait()
	}
	return f
}

func newClaim() Claim {
	return Claim{Service: "desk-app", Account: "star", Key: uuid.Must(uuid.NewV7()).String(), Fingerprint: 1, Window: time.Hour}
}

// request claims c at the named entry instance. If the claim is granted, it counts a run and
// finishes the claim at once. It returns the body of the answer.
func (f *fleet) request(ctx context.Context, name string, c Claim, runs *atomic.Int64) (string, error) {
	ticket, err := f.keepers[name].Claim(ctx, c)
	if err != nil {
		return "", err
	}
	if !ticket.Run {
		return string(ticket.Answer.Body), nil
	}
	if err := ticket.BeforeSend(); err != nil {
		return "", err
	}
	body := fmt.Sprintf("booking %d of %s", runs.Add(1), c.Key)
	ticket.Finish(Done, &Answer{Status: 201, Body: []byte(body)})
	return body, nil
}

func TestRepeatsAtAllEntries(t *testing.T) {
	f := newFleet(8, time.Millisecond, 100*time.Microsecond, DefaultSettings())
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	const keys = 40
	var group errgroup.Group
	for range keys {
		c := newClaim()
		var runs atomic.Int64
		answers := make(chan string, len(f.names))
		for _, name := range f.names {
			group.Go(func() error {
				answer, err := f.request(ctx, name, c, &runs)
				answers <- answer
				return err
			})
		}
		require.NoError(t, group.Wait())
		require.EqualValues(t, 1, runs.Load())
		first := <-answers
		for range len(f.names) - 1 {
			require.Equal(t, first, <-answers)
		}
	}
	require.NoError(t, f.stop())
	for _, k := range f.keepers {
		require.Zero(t, k.unwritten(), "unwritten outcomes after shutdown")
	}
}

func TestClaimInOutage(t *testing.T) {
	f := newFleet(3, time.Millisecond, 100*time.Microsecond, DefaultSettings())
	f.store.down.Store(true)
	c := newClaim()
	var runs atomic.Int64
	ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, err := f.request(ctx, f.names[0], c, &runs)
	require.ErrorContains(t, err, "store_unavailable")
	require.Less(t, time.Since(began), 5*time.Second)

	f.store.down.Store(false)
	ctx, cancel = context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	_, err = f.request(ctx, f.names[1], c, &runs)
	require.NoError(t, err)
	require.EqualValues(t, 1, runs.Load())
	require.NoError(t, f.stop())
}

// hasAwaitingClaim reports whether a pending claim of this Keeper is waiting for the outcome of
// another claim.
func (k *Keeper) hasAwaitingClaim() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range k.table.pending {
		if p.state == awaiting {
			return true
		}
	}
	return false
}

func TestCancelledClaim(t *testing.T) {
	f := newFleet(2, time.Millisecond, 100*time.Microsecond, DefaultSettings())
	c := newClaim()
	holder, err := f.keepers[f.names[0]].Claim(context.Background(), c)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer cancel()
		for !f.keepers[f.names[1]].hasAwaitingClaim() {
			time.Sleep(time.Millisecond)
		}
	}()
	_, err = f.keepers[f.names[1]].Claim(ctx, c)
	require.ErrorContains(t, err, "key_in_progress")
	holder.NotRun()
	require.ErrorIs(t, holder.BeforeSend(), ErrClaimEnded)
	repeat, err := f.keepers[f.names[1]].Claim(context.Background(), c)
	require.NoError(t, err)
	require.True(t, repeat.Run)
	require.NoError(t, f.stop())
}
