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

// Peers reads configurations from other entry instances. Heads and manifests are returned in
// encoded form.
type Peers interface {
	// Addresses returns the addresses of the peers known now.
	Addresses() []string
	Head(ctx context.Context, address string) ([]byte, error)
	Manifest(ctx context.Context, address string, hash string) ([]byte, error)
	Chunk(ctx context.Context, address string, hash string) ([]byte, error)
}

const (
	// tickInterval is the time between two ticks of a keeper's table.
	tickInterval = 200 * time.Millisecond
	// maxQueuedEvents bounds the events queued for the table.
	maxQueuedEvents = 256
)

// Keeper keeps the highest version in force in this entry instance and serves it to peers. It is
// safe for concurrent use.
type Keeper struct {
	store    Store
	peers    Peers
	watching func() bool
	log      logrus.FieldLogger

	events  chan Event
	current atomic.Pointer[Version]
	started atomic.Bool
	// lastStoreContact, lastPeerContact and adoptedAt are times in nanoseconds since 1970, 0 for
	// never.
	lastStoreContact atomic.Int64
	lastPeerContact  atomic.Int64
	adoptedAt        atomic.Int64

	// mu guards subscribers.
	mu          sync.Mutex
	subscribers map[chan *Version]bool
}

// NewKeeper returns a keeper. Watching reports whether this instance is one of those of its
// failure domain that watch the store; the others receive versions through HandleOffer. Peers should
// return addresses before Run is called, so that the first version is the highest one.
func NewKeeper(store Store, peers Peers, watching func() bool, log logrus.FieldLogger) *Keeper {
	return &Keeper{
		store:       store,
		peers:       peers,
		watching:    watching,
		log:         log,
		events:      make(chan Event, maxQueuedEvents),
		subscribers: map[chan *Version]bool{},
	}
}

// Current returns the version in force, nil before the first one. It takes no lock.
func (k *Keeper) Current() *Version { return k.current.Load() }

// Ready reports whether a version is in force.
func (k *Keeper) Ready() bool { return k.Current() != nil }

// Started reports whether the store and all peers have answered since the start, or startTimeout
// has passed.
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

// Head returns the head of the version in force, the zero value before the first one.
func (k *Keeper) Head() Head {
	version := k.Current()
	if version == nil {
		return Head{}
	}
	return version.Head
}

// Manifest returns the encoded manifest of the version in force if it has the given hash.
func (k *Keeper) Manifest(hash string) ([]byte, bool) {
	version := k.Current()
	if version == nil || version.Head.Manifest != Hash(hash) {
		return nil, false
	}
	return version.manifestBytes, true
}

// Chunk returns a chunk of the version in force.
func (k *Keeper) Chunk(hash string) ([]byte, bool) { return k.Current().chunk(Hash(hash)) }

// Freshness holds the times of the last contact with the sources of versions.
type Freshness struct {
	// Adopted is when the version came into force in this instance.
	Adopted time.Time
	// Store is when the key-value service last answered a read of the head or of a version's
	// contents.
	Store time.Time
	// Peers is when a peer last sent its version.
	Peers time.Time
}

// Freshness returns the times of the last contact; a zero time stands for never.
func (k *Keeper) Freshness() Freshness {
	return Freshness{
		Adopted: unixTime(k.adoptedAt.Load()),
		Store:   unixTime(k.lastStoreContact.Load()),
		Peers:   unixTime(k.lastPeerContact.Load()),
	}
}

func unixTime(nanoseconds int64) time.Time {
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds)
}

// HandleOffer handles a peer's announcement of its version in force. It does not block.
func (k *Keeper) HandleOffer(address string, version uint64, _ string) {
	k.lastPeerContact.Store(time.Now().UnixNano())
	if version > k.Head().Version {
		k.enqueue(Event{Kind: Offered, Source: Source(address), Version: version})
	}
}

// HandleHead handles a head that the store accepted.
func (k *Keeper) HandleHead(head Head) {
	k.enqueue(Event{Kind: HeadReceived, Source: StoreSource, Head: head})
}

// enqueue drops the event if the queue is full; offers and heads are sent again.
func (k *Keeper) enqueue(event Event) {
	select {
	case k.events <- event:
	default:
	}
}

// Subscribe returns a channel that receives the version in force and each later one, of which it
// keeps only the latest, and a function that ends the subscription.
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

func (k *Keeper) setCurrent(version *Version) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.current.Store(version)
	k.adoptedAt.Store(time.Now().UnixNano())
	for updates := range k.subscribers {
		select {
		case <-updates:
		default:
		}
		updates <- version
	}
}

// Run keeps the version up to date until the context ends. Instances that watch the store also
// delete the contents of old versions from it.
func (k *Keeper) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return k.runTable(ctx, group) })
	group.Go(func() error { return k.watch(ctx) })
	group.Go(func() error { return NewCollector(k.store, k.watching, k.log).Run(ctx) })
	return group.Wait()
}

// runTable passes events to the table and executes its steps.
func (k *Keeper) runTable(ctx context.Context, group *errgroup.Group) error {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	table, steps := NewTable(time.Now(), random, k.sources())
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		for _, step := range steps {
			k.execute(ctx, group, step)
		}
		k.started.Store(table.Started(time.Now()))
		select {
		case <-ctx.Done():
			return nil
		case event := <-k.events:
			steps = table.Handle(time.Now(), event)
		case <-ticker.C:
			table.RetainPeers(k.sources())
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

func (k *Keeper) execute(ctx context.Context, group *errgroup.Group, step Step) {
	switch step.Kind {
	case Adopt:
		k.setCurrent(step.Version)
		k.log.WithFields(logrus.Fields{"version": step.Head.Version, "operator": step.Head.Operator}).Info("publication: version in force")
	case Refuse:
		k.log.WithFields(logrus.Fields{"version": step.Head.Version, "faults": service.Faults(step.Faults)}).Error("publication: version refused")
	default:
		group.Go(func() error {
			k.deliver(ctx, k.fetch(ctx, step))
			return nil
		})
	}
}

// deliver queues the result of a fetch and blocks while the queue is full.
func (k *Keeper) deliver(ctx context.Context, event Event) {
	select {
	case k.events <- event:
	case <-ctx.Done():
	}
}
