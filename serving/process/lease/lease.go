// Package lease holds leases of the platform's key-value service, so that one entry
// instance at a time does what should be done once: watching the store for a failure
// domain, planning the capacity of a service in a failure domain.
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
//	// act at once, passing fencing on
//
// A lease saves double work; it does not prevent it. Its holder may be paused between
// the check and the act for longer than the margin. What must not be done twice rests
// on a compare-and-swap or on a fencing check besides.
//
// Candidates are ranked by Rank. Only the first two make calls, so that the number of
// calls follows the number of leases and not the number of entry instances. Whoever looks
// at the store for another reason tells what it saw with Seen; a lease that somebody has is
// not asked for then, and one that nobody has is asked for by more and more candidates.
//
// Leases.mu is held for no longer than a step of a Machine; no other lock is taken
// under it.
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
	// stepPeriod is the time between two looks at the machines.
	stepPeriod = 200 * time.Millisecond
	// callers bounds the calls to the store at a time.
	callers = 4
	// releaseTimeout bounds the release of held leases at the end.
	releaseTimeout = 2 * time.Second
)

// Store is the part of the key-value service used here. Errors are *store.Conflict,
// store.ErrUnavailable and store.ErrUnknown.
type Store interface {
	Acquire(ctx context.Context, name, holder string, ttl time.Duration) (platform.Lease, error)
	Renew(ctx context.Context, name, holder string, fencing uint64, ttl time.Duration) (platform.Lease, error)
	Release(ctx context.Context, name, holder string, fencing uint64) error
}

// Leases tries for and keeps the wanted leases of one process.
type Leases struct {
	store  Store
	holder string
	wanted func() []string
	rank   func(name string) int
	ttl    time.Duration
	clock  func() time.Time
	random *rand.Rand

	mu       sync.Mutex
	machines map[string]*Machine
}

// New returns leases of a process. Holder names the incarnation of the instance, so that
// a restarted process is another holder. Wanted returns the names of the leases to have,
// and rank this instance's place among the candidates for one; both are called often.
func New(s Store, holder string, wanted func() []string, rank func(name string) int, ttl time.Duration, clock func() time.Time, random *rand.Rand) *Leases {
	return &Leases{
		store:    s,
		holder:   holder,
		wanted:   wanted,
		rank:     rank,
		ttl:      ttl,
		clock:    clock,
		random:   random,
		machines: make(map[string]*Machine),
	}
}

// Rank returns the place of self in the order of candidates for a lease, from 0, by
// rendezvous hashing. Others are the live candidates without self.
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

// Held returns the fencing number of a lease while it is held. Ask anew before each act.
func (l *Leases) Held(name string) (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	machine := l.machines[name]
	if machine == nil {
		return 0, false
	}
	return machine.Held(l.clock())
}

// Regained tells that the store answers again, as seen by another call.
func (l *Leases) Regained() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, machine := range l.machines {
		machine.Regained(l.clock())
	}
}

// Seen tells what a look at the store showed of a lease: whether anybody held it.
func (l *Leases) Seen(name string, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if machine := l.machines[name]; machine != nil {
		machine.Seen(l.clock(), held)
	}
}

// Run tries for and renews leases until ctx ends, and then releases those held.
func (l *Leases) Run(ctx context.Context) error {
	var calls errgroup.Group
	calls.SetLimit(callers)
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

// due is a call to make for a lease.
type due struct {
	name  string
	order Order
}

func (l *Leases) step(ctx context.Context, calls *errgroup.Group) {
	for _, d := range l.due() {
		calls.Go(func() error {
			l.answered(d.name, l.call(ctx, d))
			return nil
		})
	}
}

func (l *Leases) due() []due {
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
		if l.machines[name] == nil {
			l.machines[name] = &Machine{TTL: l.ttl, Random: l.random}
		}
	}
	var all []due
	now := l.clock()
	for name, machine := range l.machines {
		order := machine.Step(now, ranks[name], wanted[name])
		if order.Call != NoCall {
			all = append(all, due{name: name, order: order})
			continue
		}
		if !wanted[name] && machine.idle() {
			delete(l.machines, name)
		}
	}
	return all
}

func (l *Leases) answered(name string, answer Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.machines[name].Answered(l.clock(), answer)
}

// call makes one call and translates its result.
func (l *Leases) call(ctx context.Context, d due) Answer {
	var got platform.Lease
	var err error
	switch d.order.Call {
	case AcquireCall:
		got, err = l.store.Acquire(ctx, d.name, l.holder, l.ttl)
	case RenewCall:
		got, err = l.store.Renew(ctx, d.name, l.holder, d.order.Fencing, l.ttl)
	default:
		err = l.store.Release(ctx, d.name, l.holder, d.order.Fencing)
	}
	return translate(got, err)
}

func translate(got platform.Lease, err error) Answer {
	var conflict *store.Conflict
	switch {
	case err == nil:
		return Answer{Outcome: Granted, Fencing: got.Fencing}
	case errors.As(err, &conflict):
		return Answer{Outcome: Refused, Left: left(conflict)}
	case errors.Is(err, store.ErrUnavailable):
		return Answer{Outcome: Unavailable}
	default:
		return Answer{Outcome: Unknown}
	}
}

func left(conflict *store.Conflict) time.Duration {
	if conflict.Lease == nil {
		return 0
	}
	return time.Duration(conflict.Lease.TTLMS) * time.Millisecond
}

// releaseAll gives held leases up, so that others need not wait for their end.
func (l *Leases) releaseAll() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	l.mu.Lock()
	held := make(map[string]uint64)
	for name, machine := range l.machines {
		if machine.fencing != 0 {
			held[name] = machine.fencing
			machine.lose(l.clock().Add(l.ttl))
		}
	}
	l.mu.Unlock()
	var group errgroup.Group
	group.SetLimit(callers)
	for name, fencing := range held {
		group.Go(func() error { return l.store.Release(ctx, name, l.holder, fencing) })
	}
	_ = group.Wait()
}
