package publication

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"papayaport.dev/serving/version/service"
)

// Peers reads configurations from other entry instances. Heads and manifests are
// their Encode bytes.
type Peers interface {
	// Addresses lists the peers that are known now.
	Addresses() []string
	Head(ctx context.Context, address string) ([]byte, error)
	Manifest(ctx context.Context, address string, hash string) ([]byte, error)
	Chunk(ctx context.Context, address string, hash string) ([]byte, error)
}

const (
	// tickInterval is how often a keeper's table looks at the time.
	tickInterval = 200 * time.Millisecond
	// heldEvents bounds the events that wait for the table.
	heldEvents = 256
)

// Keeper keeps the highest version in force in this entry instance and serves it to
// peers. Its methods may be called by several goroutines.
type Keeper struct {
	store    Store
	peers    Peers
	watching func() bool
	log      logrus.FieldLogger

	events  chan Event
	current atomic.Pointer[Version]
	started atomic.Bool
	// storeHeard and peersHeard are times in nanoseconds since 1970, 0 for never.
	storeHeard atomic.Int64
	peersHeard atomic.Int64
	adopted    atomic.Int64

	// mu guards subscribers.
	mu          sync.Mutex
	subscribers map[chan *Version]bool
}

// NewKeeper returns a keeper. Watching tells whether this instance is one of those of
// its failure domain that watch the store; the others learn of versions by Offer. Peers
// should know their addresses before Run, so that the first version is the highest one.
func NewKeeper(store Store, peers Peers, watching func() bool, log logrus.FieldLogger) *Keeper {
	return &Keeper{
		store:       store,
		peers:       peers,
		watching:    watching,
		log:         log,
		events:      make(chan Event, heldEvents),
		subscribers: map[chan *Version]bool{},
	}
}

// Current returns the version in force, nil before the first one. It takes no lock.
func (k *Keeper) Current() *Version { return k.current.Load() }

// Ready tells whether a version is in force.
func (k *Keeper) Ready() bool { return k.Current() != nil }

// Started tells whether the store and the peers were asked since the start.
func (k *Keeper) Started() bool { return k.started.Load() }

// Service returns a service of the version in force.
func (k *Keeper) Service(name string) (*service.File, bool) {
	version := k.Current()
	if version == nil {
		return nil, false
	}
	file, ok := version.Files[name]
	return file, ok
}

// HeadOf returns the head of the version in force, zero before the first one.
func (k *Keeper) HeadOf() Head {
	version := k.Current()
	if version == nil {
		return Head{}
	}
	return version.Head
}

// Manifest returns the manifest with the given hash if it is in force here.
func (k *Keeper) Manifest(hash string) ([]byte, bool) {
	version := k.Current()
	if version == nil || version.Head.Manifest != Hash(hash) {
		return nil, false
	}
	return version.raw, true
}

// Chunk returns a chunk of the version in force.
func (k *Keeper) Chunk(hash string) ([]byte, bool) { return k.Current().chunk(Hash(hash)) }

// Freshness tells when the sources of versions were last heard.
type Freshness struct {
	// Adopted is when the version came into force here.
	Adopted time.Time
	// Store is when the key-value service last answered about the head.
	Store time.Time
	// Peers is when a peer last told its version.
	Peers time.Time
}

// Freshness returns when the sources were last heard; zero times stand for never.
func (k *Keeper) Freshness() Freshness {
	return Freshness{
		Adopted: unixTime(k.adopted.Load()),
		Store:   unixTime(k.storeHeard.Load()),
		Peers:   unixTime(k.peersHeard.Load()),
	}
}

func unixTime(nanoseconds int64) time.Time {
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds)
}

// Offer tells that a peer has a version in force. It does not block.
func (k *Keeper) Offer(address string, version uint64, _ string) {
	k.peersHeard.Store(time.Now().UnixNano())
	if version > k.HeadOf().Version {
		k.tell(Event{Kind: Offered, Source: Source(address), Version: version})
	}
}

// Learn takes a head that the store accepted.
func (k *Keeper) Learn(head Head) {
	k.tell(Event{Kind: HeadReceived, Source: StoreSource, Head: head})
}

// tell drops an event when too many wait; offers and heads come again.
func (k *Keeper) tell(event Event) {
	select {
	case k.events <- event:
	default:
	}
}

// Subscribe returns a channel with the latest version after each change, and a function
// that ends the subscription.
func (k *Keeper) Subscribe() (<-chan *Version, func()) {
	updates := make(chan *Version, 1)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.subscribers[updates] = true
	if version := k.Current(); version != nil {
		updates <- version
	}
	return updates, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.subscribers, updates)
	}
}

func (k *Keeper) publish(version *Version) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.current.Store(version)
	k.adopted.Store(time.Now().UnixNano())
	for updates := range k.subscribers {
		select {
		case <-updates:
		default:
		}
		updates <- version
	}
}

// Run keeps the version up to date until the context ends. Instances that watch the
// store also delete the contents of old versions from it.
func (k *Keeper) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return k.decide(ctx, group) })
	group.Go(func() error { return k.watch(ctx) })
	group.Go(func() error { return NewCollector(k.store, k.watching, k.log).Run(ctx) })
	return group.Wait()
}

// decide feeds events to the table and carries out its steps.
func (k *Keeper) decide(ctx context.Context, group *errgroup.Group) error {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	table, steps := New(time.Now(), random, k.sources())
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		for _, step := range steps {
			k.carryOut(ctx, group, step)
		}
		k.started.Store(table.Started(time.Now()))
		select {
		case <-ctx.Done():
			return nil
		case event := <-k.events:
			steps = table.Handle(time.Now(), event)
		case <-ticker.C:
			table.Retain(k.sources())
			steps = table.Handle(time.Now(), Event{Kind: Ticked})
		}
	}
}

func (k *Keeper) sources() []Source {
	addresses := k.peers.Addresses()
	sources := make([]Source, len(addresses))
	for i, address := range addresses {
		sources[i] = Source(address)
	}
	return sources
}

func (k *Keeper) carryOut(ctx context.Context, group *errgroup.Group, step Step) {
	switch step.Kind {
	case Adopt:
		k.publish(step.Version)
		k.log.WithFields(logrus.Fields{"version": step.Head.Version, "operator": step.Head.Operator}).Info("publication: version in force")
	case Refuse:
		k.log.WithFields(logrus.Fields{"version": step.Head.Version, "faults": service.Faults(step.Faults)}).Error("publication: version refused")
	default:
		group.Go(func() error {
			k.answer(ctx, k.fetch(ctx, step))
			return nil
		})
	}
}

// answer passes the result of a fetch on, however many events wait.
func (k *Keeper) answer(ctx context.Context, event Event) {
	select {
	case k.events <- event:
	case <-ctx.Done():
	}
}
