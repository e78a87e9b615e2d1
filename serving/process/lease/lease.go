// Package lease acquires and renews leases of the platform's key-value service, for tasks that
// one entry instance at a time should do: watching the store for a failure domain, or planning
// the capacity of a service in a failure domain.
//
// # Usage
//
//	leases := lease.New(store, "entry-1/3", wanted, rank, lease.DefaultTTL, time.Now, random)
//	go leases.Run(ctx)
//
//	fencing, held := leases.Held("capacity/farewell-llm/amman-1")
//	if !held {
//		return
//	}
//	// act immediately, with fencing as the fencing token
//
// A lease avoids duplicate work but does not exclude it: its holder may be paused between the
// check and the action for longer than the margin. Actions that must not happen twice also need a
// compare-and-swap or a check of the fencing token.
//
// Candidates are ordered by Rank. Only the first two make calls, so that the number of calls
// depends on the number of leases and not on that of entry instances. State of a lease that was
// read from the store for another reason is passed to Observe: candidates then make no calls for a
// lease that is held, and a growing number of them tries to acquire one that is not.
//
// # Locks
//
// Leases.mu is held for at most one step of each lease. No other lock is taken under it.
package lease

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/process/platform/store"
)

// DefaultTTL is the usual time that a lease lasts without renewal.
const DefaultTTL = 10 * time.Second

const (
	// stepPeriod is the interval between two steps of the leases.
	stepPeriod = 200 * time.Millisecond
	// maxCalls limits the concurrent calls to the store.
	maxCalls = 4
	// releaseTimeout limits the release of held leases at shutdown.
	releaseTimeout = 2 * time.Second
)

// Store is the part of the key-value service used here. Errors are *store.Conflict,
// store.ErrUnavailable and store.ErrUnknown.
type Store interface {
	Acquire(ctx context.Context, name, holder string, ttl time.Duration) (platform.Lease, error)
	Renew(ctx context.Context, name, holder string, fencing uint64, ttl time.Duration) (platform.Lease, error)
	Release(ctx context.Context, name, holder string, fencing uint64) error
}

// Leases acquires and renews the wanted leases of one process. It is safe for concurrent use.
type Leases struct {
	store  Store
	holder string
	wanted func() []string
	rank   func(name string) int
	ttl    time.Duration
	clock  func() time.Time
	random *rand.Rand

	mu            sync.Mutex
	stateMachines map[string]*StateMachine
}

// New returns the leases of a process. Holder identifies the incarnation of the instance, so that
// a restarted process is a different holder. Wanted returns the names of the wanted leases, and
// rank this instance's position among the candidates for one; both are called in every step.
func New(s Store, holder string, wanted func() []string, rank func(name string) int, ttl time.Duration, clock func() time.Time, random *rand.Rand) *Leases {
	return &Leases{
		store:         s,
		holder:        holder,
		wanted:        wanted,
		rank:          rank,
		ttl:           ttl,
		clock:         clock,
		random:        random,
		stateMachines: make(map[string]*StateMachine),
	}
}

// Rank returns the position of self, from 0, in the order of candidates for a lease by rendezvous
// hashing. Others are the live candidates without self.
func Rank(name, self string, others []string) int {
	own := weight(name, self)
	rank := 0
	for _, other := range others {
		if weight(name, other) > own {
			rank++
		}
	}
	return rank
}

func weight(name, candidate string) uint64 { return xxhash.Sum64String(name + "\x00" + candidate) }

// Held returns the fencing token of a lease and whether it is held. Call it again before each
// action.
func (l *Leases) Held(name string) (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	stateMachine := l.stateMachines[name]
	if stateMachine == nil {
		return 0, false
	}
	return stateMachine.Held(l.clock())
}

// StoreRecovered records that the store answers again, as shown by another call.
func (l *Leases) StoreRecovered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, stateMachine := range l.stateMachines {
		stateMachine.StoreRecovered(l.clock())
	}
}

// Invalidate ends all leases at once, since the store has lost acknowledged writes. They are acquired
// again like new ones.
func (l *Leases) Invalidate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, stateMachine := range l.stateMachines {
		stateMachine.Invalidate(l.clock())
	}
}

// Observe records whether a lease was held by any candidate when it was read from the store.
func (l *Leases) Observe(name string, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if stateMachine := l.stateMachines[name]; stateMachine != nil {
		stateMachine.Observe(l.clock(), held)
	}
}

// Run acquires and renews leases until ctx is done, and then releases the held ones.
func (l *Leases) Run(ctx context.Context) error {
	var calls errgroup.Group
	calls.SetLimit(maxCalls)
	ticker := time.NewTicker(stepPeriod)
	defer ticker.Stop()
	for {
		l.step(ctx, &calls)
		select {
		case <-ctx.Done():
			_ = calls.Wait()
			l.releaseAll()
			return nil
		case <-ticker.C:
		}
	}
}

// dueCall is a call to make for a lease.
type dueCall struct {
	name    string
	request Request
}

func (l *Leases) step(ctx context.Context, calls *errgroup.Group) {
	for _, d := range l.dueCalls() {
		calls.Go(func() error {
			l.handleResult(d.name, l.call(ctx, d))
			return nil
		})
	}
}

func (l *Leases) dueCalls() []dueCall {
	wanted := make(map[string]bool)
	for _, name := range l.wanted() {
		wanted[name] = true
	}
	ranks := make(map[string]int, len(wanted))
	for name := range wanted {
		ranks[name] = l.rank(name)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range wanted {
		if l.stateMachines[name] == nil {
			l.stateMachines[name] = &StateMachine{TTL: l.ttl, Random: l.random}
		}
	}
	var all []dueCall
	now := l.clock()
	for name, stateMachine := range l.stateMachines {
		request := stateMachine.Step(now, ranks[name], wanted[name])
		if request.Call != NoCall {
			all = append(all, dueCall{name: name, request: request})
			continue
		}
		if !wanted[name] && stateMachine.idle() {
			delete(l.stateMachines, name)
		}
	}
	return all
}

func (l *Leases) handleResult(name string, result Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stateMachines[name].HandleResult(l.clock(), result)
}

// call makes one call and converts its result.
func (l *Leases) call(ctx context.Context, d dueCall) Result {
	var got platform.Lease
	var err error
	switch d.request.Call {
	case AcquireCall:
		got, err = l.store.Acquire(ctx, d.name, l.holder, l.ttl)
	case RenewCall:
		got, err = l.store.Renew(ctx, d.name, l.holder, d.request.Fencing, l.ttl)
	default:
		err = l.store.Release(ctx, d.name, l.holder, d.request.Fencing)
	}
	return translate(got, err)
}

func translate(got platform.Lease, err error) Result {
	var conflict *store.Conflict
	switch {
	case err == nil:
		return Result{Outcome: Granted, Fencing: got.Fencing}
	case errors.As(err, &conflict):
		return Result{Outcome: Refused, Remaining: remaining(conflict)}
	case errors.Is(err, store.ErrUnavailable):
		return Result{Outcome: Unavailable}
	default:
		return Result{Outcome: Unknown}
	}
}

func remaining(conflict *store.Conflict) time.Duration {
	if conflict.Lease == nil {
		return 0
	}
	return time.Duration(conflict.Lease.TTLMS) * time.Millisecond
}

// releaseAll releases held leases, so that other candidates need not wait until they expire.
func (l *Leases) releaseAll() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	l.mu.Lock()
	held := make(map[string]uint64)
	for name, stateMachine := range l.stateMachines {
		if stateMachine.fencing != 0 {
			held[name] = stateMachine.fencing
			stateMachine.clear(l.clock().Add(l.ttl))
		}
	}
	l.mu.Unlock()
	var group errgroup.Group
	group.SetLimit(maxCalls)
	for name, fencing := range held {
		group.Go(func() error { return l.store.Release(ctx, name, l.holder, fencing) })
	}
	_ = group.Wait()
}
