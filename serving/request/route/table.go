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

// leavingMemory is how long a leaving mark outlives the deadline of its notice, so that
// a lagging instance list doesn't bring the server back.
const leavingMemory = 10 * time.Minute

// unlistedMemory is how long a server that the instance list lost keeps its history.
const unlistedMemory = time.Minute

// leavingMark tells that every incarnation up to Incarnation is leaving.
type leavingMark struct {
	incarnation uint64
	deadline    time.Time
}

// Table holds the backend servers of all services as one entry instance knows them.
type Table struct {
	mu     sync.Mutex
	self   Self
	policy Policy
	parts  parts
	random *rand.Rand
	// entries are all entry instances.
	entries  []backpressure.Entry
	backends map[string]*backend
	groups   map[string]*group
	leaving  map[string]leavingMark
	attempts map[string]*attempt
	spare    []*attempt
	// request, candidates and barred are reused by Choose.
	request    Request
	candidates []Candidate
	barred     []Candidate
	// hashes is reused by lastHash.
	hashes []uint64
	// opens is when the first of the servers that Choose left out for what they asked for
	// takes a request, 0 when there were none.
	opens time.Duration
}

// New returns an empty table that chooses by the named policy.
func New(self Self, policy string, random *rand.Rand) (*Table, error) {
	found, err := findVariant(policy)
	if err != nil {
		return nil, err
	}
	return &Table{
		self:     self,
		policy:   found.policy(),
		parts:    found.parts,
		random:   random,
		backends: map[string]*backend{},
		groups:   map[string]*group{},
		leaving:  map[string]leavingMark{},
		attempts: map[string]*attempt{},
	}, nil
}

// SetBackends replaces the set of backend servers. A new incarnation under a known id
// starts without history; an older one than known is ignored, because the list lags. Servers
// that are missing get no new work, attempts on them go on, and their history is kept
// for a while.
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
		if !listed[id] && now.After(mark.deadline.Add(leavingMemory)) {
			delete(t.leaving, id)
		}
	}
}

// unlist closes a server that the instance list no longer shows, and forgets it when it
// has been missing for a while and has no attempts left.
func (t *Table) unlist(now time.Time, b *backend) {
	if !b.unlisted {
		b.unlisted, b.unlistedAt = true, now
	}
	if b.own.inFlight == 0 && now.Sub(b.unlistedAt) > unlistedMemory {
		b.group.remove(b)
		delete(t.backends, b.ID)
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
		known.trip = t.self.trip(&b)
		known.speed = newSpeed(&known.Backend, &known.load)
		return
	}
	if known != nil {
		known.group.remove(known)
	}
	added := newBackend(b)
	added.trip = t.self.trip(&b)
	if mark, ok := t.leaving[b.ID]; ok && b.Incarnation <= mark.incarnation {
		added.leaving, added.deadline = true, mark.deadline
	}
	t.backends[b.ID] = added
	t.group(b.Service).add(added)
}

// group returns the group of a service.
func (t *Table) group(service string) *group {
	g := t.groups[service]
	if g == nil {
		g = newGroup()
		t.groups[service] = g
	}
	return g
}

// Leaving notes that an incarnation of a backend server goes at the deadline. It gets no
// new work from then on, and nothing but a higher incarnation ends that. Of several
// deadlines the earliest counts.
func (t *Table) Leaving(_ time.Time, id string, incarnation uint64, deadline time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	mark, ok := t.leaving[id]
	switch {
	case ok && incarnation < mark.incarnation:
		return
	case ok && incarnation == mark.incarnation && !deadline.Before(mark.deadline):
		return
	}
	t.leaving[id] = leavingMark{incarnation, deadline}
	if b := t.backends[id]; b != nil && b.Incarnation <= incarnation {
		b.leaving, b.deadline = true, deadline
	}
}

// IsLeaving tells whether the known incarnation of a backend server is leaving, and when.
func (t *Table) IsLeaving(id string) (deadline time.Time, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.backends[id]
	if b == nil {
		return time.Time{}, false
	}
	return b.deadline, b.leaving
}

// Report takes in a server's report on itself. Reports of other incarnations and reports
// older than the last are ignored.
func (t *Table) Report(now time.Time, id string, load engine.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.backends[id]
	if b == nil || (load.Incarnation != 0 && load.Incarnation != b.Incarnation) {
		return
	}
	described := at(now.Add(-time.Duration(load.AgeMS) * time.Millisecond))
	if b.reported && described < b.reportedAt {
		return
	}
	b.report(described, load)
}

// Peers takes in the work that the other entry instances have at the backend servers.
func (t *Table) Peers(now time.Time, totals membership.Totals) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, b := range t.backends {
		b.setPeers(at(now), totals.ByBackend[id])
	}
}

// CacheCursor returns the sequence after which the next cache events of a server are
// wanted, and whether a snapshot is needed.
func (t *Table) CacheCursor(id string) (after uint64, needSnapshot bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.backends[id]
	if b == nil {
		return 0, false
	}
	return b.nextEvent - 1, b.stale
}

// CacheEvents takes in a server's cache events behind the cursor and tells whether some are missing, so
// that a snapshot is needed. Until it comes, expected hits on the server count less.
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

// replaceCache replaces what is known of a server's cache by a snapshot.
func (b *backend) replaceCache(events engine.CacheEvents) {
	known := b.group.known
	known.clear(b.column)
	for _, block := range events.Snapshot {
		known.store(prefix.Block(block), b.column)
	}
	b.stale = false
	b.nextEvent = events.Next + 1
}

// applyCacheEvent takes in one event; doubled ones are skipped.
func (b *backend) applyCacheEvent(event engine.CacheEvent) {
	if event.Sequence < b.nextEvent {
		return
	}
	b.stale = b.stale || event.Sequence > b.nextEvent
	b.nextEvent = event.Sequence + 1
	if event.Stored {
		b.group.known.store(prefix.Block(event.Block), b.column)
		return
	}
	b.group.known.drop(prefix.Block(event.Block), b.column)
}

// Use returns the work that this entry instance has at the backend servers, by id.
func (t *Table) Use() []membership.BackendUse {
	t.mu.Lock()
	defer t.mu.Unlock()
	use := make([]membership.BackendUse, 0, len(t.backends))
	for id, b := range t.backends {
		if b.own.inFlight == 0 {
			continue
		}
		use = append(use, membership.BackendUse{Backend: id, InFlight: b.own.inFlight, PrefillTokens: b.own.prefill})
	}
	sort.Slice(use, func(i, j int) bool { return use[i].Backend < use[j].Backend })
	return use
}

// Backend returns a known backend server.
func (t *Table) Backend(id string) (Backend, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.backends[id]
	if b == nil {
		return Backend{}, false
	}
	return b.Backend, true
}
