package route

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/process/membership"
	"papayaport.dev/serving/request/backpressure"
	"papayaport.dev/serving/request/prefix"
)

// leavingRetention is how long a leaving notice is kept after its deadline, so that a lagging
// instance list does not bring the server back.
const leavingRetention = 10 * time.Minute

// unlistedRetention is how long the history of a server that is missing from the instance list is
// kept.
const unlistedRetention = time.Minute

// leavingNotice marks every incarnation up to and including the given one as leaving.
type leavingNotice struct {
	incarnation uint64
	deadline    time.Time
}

// Table holds the backend servers of all services as seen by one entry instance.
type Table struct {
	mu       sync.Mutex
	self     Self
	policy   Policy
	features features
	random   *rand.Rand
	// entries holds all entry instances.
	entries  []backpressure.Entry
	backends map[string]*backend
	// servers holds the backend servers by their ids in occupancy sums.
	servers      map[uint32]*backend
	groups       map[string]*group
	leaving      map[string]leavingNotice
	attempts     map[string]*attempt
	freeAttempts []*attempt
	// request, candidates and lastResorts are scratch space of Choose.
	request     Request
	candidates  []Candidate
	lastResorts []Candidate
	// hashes is scratch space of maxHash.
	hashes []uint64
	// admissionWait is the time until the first of the servers that Choose skipped because of
	// backpressure accepts a request, 0 when none was skipped.
	admissionWait time.Duration
	// subsetSize limits the number of candidates for requests with a prompt; 0 means no limit.
	subsetSize int
	// columns is scratch space of depths.
	columns []int
}

// New returns an empty table that uses the named policy.
func New(self Self, policy string, random *rand.Rand) (*Table, error) {
	found, err := findVariant(policy)
	if err != nil {
		return nil, err
	}
	return &Table{
		self:     self,
		policy:   found.policy(),
		features: found.features,
		random:   random,
		backends: map[string]*backend{},
		servers:  map[uint32]*backend{},
		groups:   map[string]*group{},
		leaving:  map[string]leavingNotice{},
		attempts: map[string]*attempt{},
	}, nil
}

// SetBackends replaces the set of backend servers. A new incarnation under a known id starts
// without history; an incarnation older than the known one is ignored, because the list may lag.
// Servers that are missing from the list get no new requests, their running attempts continue, and
// their history is kept for unlistedRetention.
func (t *Table) SetBackends(now time.Time, list []Backend) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, b := range list {
		listed[b.ID] = true
		t.set(b)
	}
	for id, b := range t.backends {
		if !listed[id] {
			t.unlist(now, b)
		}
	}
	for _, g := range t.groups {
		g.sort()
	}
	for id, mark := range t.leaving {
		if !listed[id] && now.After(mark.deadline.Add(leavingRetention)) {
			delete(t.leaving, id)
		}
	}
}

// unlist stops new requests to a server that is missing from the instance list, and deletes it once
// it has been missing for unlistedRetention and has no attempts left.
func (t *Table) unlist(now time.Time, b *backend) {
	if !b.unlisted {
		b.unlisted, b.unlistedAt = true, now
	}
	if b.ownLoad.inFlight == 0 && now.Sub(b.unlistedAt) > unlistedRetention {
		b.group.remove(b)
		delete(t.backends, b.ID)
		delete(t.servers, uint32(b.hash))
	}
}

// set adds or updates one backend server.
func (t *Table) set(b Backend) {
	known := t.backends[b.ID]
	if known != nil && b.Incarnation < known.Incarnation {
		known.unlisted = false
		return
	}
	if known != nil && b.Incarnation == known.Incarnation && b.Service == known.Service {
		known.Backend, known.unlisted = b, false
		known.rtt = t.self.rtt(&b)
		known.updateSpeed()
		return
	}
	if known != nil {
		known.group.remove(known)
	}
	added := newBackend(b)
	added.rtt = t.self.rtt(&b)
	if mark, ok := t.leaving[b.ID]; ok && b.Incarnation <= mark.incarnation {
		added.leaving, added.deadline = true, mark.deadline
	}
	t.backends[b.ID], t.servers[uint32(added.hash)] = added, added
	t.group(b.Service).add(added)
}

// group returns the group of a service and creates it if necessary.
func (t *Table) group(service string) *group {
	g := t.groups[service]
	if g == nil {
		g = newGroup()
		t.groups[service] = g
	}
	return g
}

// MarkLeaving records that an incarnation of a backend server stops at the deadline. The server gets no
// new requests from then on; only a higher incarnation ends this. The earliest of several deadlines
// applies.
func (t *Table) MarkLeaving(_ time.Time, id string, incarnation uint64, deadline time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	mark, ok := t.leaving[id]
	switch {
	case ok && incarnation < mark.incarnation:
		return
	case ok && incarnation == mark.incarnation && !deadline.Before(mark.deadline):
		return
	}
	t.leaving[id] = leavingNotice{incarnation, deadline}
	if b := t.backends[id]; b != nil && b.Incarnation <= incarnation {
		b.leaving, b.deadline = true, deadline
	}
}

// IsLeaving reports whether the known incarnation of a backend server is leaving, and its deadline.
func (t *Table) IsLeaving(id string) (deadline time.Time, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.backends[id]
	if b == nil {
		return time.Time{}, false
	}
	return b.deadline, b.leaving
}

// Report applies a load report of a server. Reports of other incarnations and reports older than
// the last one are ignored.
func (t *Table) Report(now time.Time, id string, load engine.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.backends[id]
	if b == nil || (load.Incarnation != 0 && load.Incarnation != b.Incarnation) {
		return
	}
	described := toMonotime(now.Add(-time.Duration(load.AgeMS) * time.Millisecond))
	if b.reported && described < b.reportedAt {
		return
	}
	b.report(described, load)
}

// SetPeerLoad replaces the load that the other entry instances have at the backend servers.
func (t *Table) SetPeerLoad(now time.Time, totals membership.Totals) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, b := range t.backends {
		b.setPeerLoad(toMonotime(now), totals.ByBackend[id])
	}
}

// CacheCursor returns the sequence number after which the cache events of a server are to be read,
// and whether a snapshot is needed.
func (t *Table) CacheCursor(id string) (after uint64, needSnapshot bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.backends[id]
	if b == nil {
		return 0, false
	}
	return b.nextEvent - 1, b.stale
}

// CacheEvents applies a server's cache events after the cursor. It returns true when events are
// missing, so that a snapshot is needed; until the snapshot arrives, expected cache hits on the
// server count for less.
func (t *Table) CacheEvents(_ time.Time, id string, events engine.CacheEvents) (needSnapshot bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.backends[id]
	if b == nil || (events.Incarnation != 0 && events.Incarnation != b.Incarnation) {
		return false
	}
	if events.Snapshot != nil {
		b.replaceCache(events)
		return false
	}
	for _, event := range events.Events {
		b.applyCacheEvent(event)
	}
	if events.Next >= b.nextEvent {
		b.stale = true
		b.nextEvent = events.Next + 1
	}
	return b.stale
}

// replaceCache replaces the indexed contents of a server's cache by a snapshot.
func (b *backend) replaceCache(events engine.CacheEvents) {
	cache := b.group.cache
	cache.clear(b.column)
	for _, block := range events.Snapshot {
		cache.store(prefix.Block(block), b.column)
	}
	b.stale = false
	b.nextEvent = events.Next + 1
}

// applyCacheEvent applies one event; duplicates are skipped.
func (b *backend) applyCacheEvent(event engine.CacheEvent) {
	if event.Sequence < b.nextEvent {
		return
	}
	b.stale = b.stale || event.Sequence > b.nextEvent
	b.nextEvent = event.Sequence + 1
	if event.Stored {
		b.group.cache.store(prefix.Block(event.Block), b.column)
		return
	}
	b.group.cache.remove(prefix.Block(event.Block), b.column)
}

// LocalLoad returns the load that this entry instance has at the backend servers, sorted by id.
func (t *Table) LocalLoad() []membership.BackendUsage {
	t.mu.Lock()
	defer t.mu.Unlock()
	use := make([]membership.BackendUsage, 0, len(t.backends))
	for id, b := range t.backends {
		if b.ownLoad.inFlight == 0 {
			continue
		}
		use = append(use, membership.BackendUsage{Backend: id, InFlight: b.ownLoad.inFlight, PrefillTokens: b.ownLoad.prefill})
	}
	sort.Slice(use, func(i, j int) bool { return use[i].Backend < use[j].Backend })
	return use
}

// Backend returns a known backend server by its id.
func (t *Table) Backend(id string) (Backend, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.backends[id]
	if b == nil {
		return Backend{}, false
	}
	return b.Backend, true
}
