// Package fakeplatform is a small test double of the users' platform as its documentation
// describes it: the key-value store with leases, the cloud API, and backend servers that run,
// stream, refuse and fail requests on command, without batching. It shares no code with the
// platform adapter.
//
// # Usage
//
//	store := fakeplatform.NewStore()
//	address, err := fakeplatform.Serve(ctx, store)
//	server, err := fakeplatform.Start(ctx, store, fakeplatform.Server{ID: "i-1", Service: "app", Zone: "a", Slots: 4})
//	store.Put("op/config", config)
//
// An Operator starts roll-outs, and a Rollout checks the outcome of one:
//
//	r, err := fakeplatform.Operator{Store: store}.StartRollout(ctx, order, servers, old, nil)
//	<-r.Ended()
//	faults := r.Faults(fakeplatform.Completed, bounds)
package fakeplatform

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// freePortAddress selects a free port of the loopback interface.
const freePortAddress = "127.0.0.1:0"

// Serve serves handler on a free port of the loopback interface until ctx is done, and returns
// its address as IP:PORT.
func Serve(ctx context.Context, handler http.Handler) (string, error) {
	return serveOn(ctx, freePortAddress, handler)
}

func serveOn(ctx context.Context, address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }() // returns after Close
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// Item is one key of the store.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    int64  `json:"lease"`
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Store is the platform's key-value store. Its methods inject faults and record writes.
type Store struct {
	mu        sync.Mutex
	revision  uint64
	items     map[string]Item
	leases    map[int64]lease
	lastLease int64
	// era rises with each Restore and is sent in all responses.
	era           int
	unavailable   map[string]bool
	answersToLose int
	delay         time.Duration
	stale         bool
	// snapshot holds the items that range reads return while stale is set.
	snapshot []Item
	// compacted is the revision up to which history was dropped. changed is closed at the next
	// change.
	compacted uint64
	changed   chan struct{}
	// deaf is set while watches hear of no change.
	deaf  bool
	calls map[string]int
	// writes holds the writes of the keys under recordedPrefixes, by key.
	writes        map[string][]Write
	forbiddenKeys []string
	trap          *trap
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: map[string]Item{}, leases: map[int64]lease{}, unavailable: map[string]bool{}, calls: map[string]int{}, writes: map[string][]Write{}, revision: 1, changed: make(chan struct{}), era: 1}
}

// Put writes a key on behalf of an operator or a backend server.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

func (s *Store) put(key string, value []byte, id int64) {
	s.revision++
	created := s.revision
	if old, found := s.items[key]; found {
		created = old.Created
	}
	s.items[key] = Item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: id}
	close(s.changed)
	s.changed = make(chan struct{})
	s.recordWrite(s.items[key])
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
}

// Get returns the value of a key.
func (s *Store) Get(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	item, found := s.items[key]
	return item.Value, found
}

// SetUnavailable sets whether all calls fail with status 503.
func (s *Store) SetUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable["all"] = unavailable
}

// LoseAnswers applies the next count changes but resets their connections without an answer.
func (s *Store) LoseAnswers(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToLose = count
}

// SetDelay sets the time by which all answers are delayed.
func (s *Store) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// SaveSnapshot takes a snapshot of the current items for stale reads.
func (s *Store) SaveSnapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = slices.Collect(maps.Values(s.items))
}

// ServeSnapshot sets whether range reads return the snapshot in place of the current items.
// Without a snapshot it has no effect.
func (s *Store) ServeSnapshot(stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = stale && s.snapshot != nil
}

// DropHistory drops the history after a time in which watches hear of no change. Watches of earlier
// revisions get 410 from then on.
func (s *Store) DropHistory(after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf = true
	time.AfterFunc(after, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.deaf, s.compacted = false, s.revision
	})
}

// Calls returns the number of calls by path.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := map[string]int{}
	for path, count := range s.calls {
		calls[path] = count
	}
	return calls
}

func (s *Store) expireLeases() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.revision++
			delete(s.items, key)
		}
	}
}

// ServeHTTP handles one API call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.expireLeases()
	path, id := splitID(r.URL.Path)
	s.calls[path]++
	if path == "/api/kv-watch" {
		s.waitForEvent(r)
	}
	status, body := http.StatusServiceUnavailable, any(nil)
	if !s.unavailable["all"] {
		status, body = s.handle(r, path, id)
	}
	lose := s.answersToLose > 0 && r.Method != http.MethodGet
	if lose {
		s.answersToLose--
	}
	delay, era := s.delay, s.era
	s.mu.Unlock()
	time.Sleep(delay)
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(era))
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body) // fails if the caller has disconnected
	}
}

func splitID(path string) (string, int64) {
	for _, prefix := range []string{"/api/kv-keep/", "/api/kv-lease-end/"} {
		if rest, found := strings.CutPrefix(path, prefix); found {
			var id int64
			if err := json.Unmarshal([]byte(rest), &id); err != nil {
				return path, 0
			}
			return prefix, id
		}
	}
	return path, 0
}

type transaction struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expected_revision"`
	Write []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"write"`
	Remove []string `json:"remove"`
}

func (s *Store) handle(r *http.Request, path string, id int64) (int, any) {
	switch path {
	case "/api/kv-key":
		item, found := s.items[r.URL.Query().Get("key")]
		if !found {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, item
	case "/api/kv-watch":
		return s.listEvents(r)
	case "/api/kv-range":
		return http.StatusOK, s.listPage(r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	case "/api/kv-txn":
		var change transaction
		if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
			return http.StatusBadRequest, nil
		}
		return s.transact(change)
	case "/api/kv-lease":
		var request struct {
			TTLMS int64 `json:"ttl_ms"`
		}
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			return http.StatusBadRequest, nil
		}
		s.lastLease++
		ttl := time.Duration(request.TTLMS) * time.Millisecond
		s.leases[s.lastLease] = lease{ttl, time.Now().Add(ttl)}
		return http.StatusOK, map[string]int64{"lease": s.lastLease, "ttl_ms": request.TTLMS}
	case "/api/kv-keep/":
		l, found := s.leases[id]
		if !found {
			return http.StatusNotFound, nil
		}
		l.expiresAt = time.Now().Add(l.ttl)
		s.leases[id] = l
		return http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()}
	case "/api/kv-lease-end/":
		s.endLease(id)
		return http.StatusOK, map[string]int64{}
	}
	return http.StatusNotFound, nil
}

// watched returns the prefix and the revision of a watch.
func watched(r *http.Request) (prefix string, after uint64) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	return r.URL.Query().Get("prefix"), after
}

// waitForEvent waits for an event of a watch, for up to its wait_ms. The lock is held before and
// after it.
func (s *Store) waitForEvent(r *http.Request) {
	prefix, after := watched(r)
	wait, err := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil {
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for !s.unavailable["all"] && after >= s.compacted && after <= s.revision && len(s.events(prefix, after)) == 0 {
		changed := s.changed
		s.mu.Unlock()
		var ended bool
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			ended = true
		}
		s.mu.Lock()
		if ended {
			return
		}
	}
}

// events returns the items under a prefix that were written after a revision.
func (s *Store) events(prefix string, after uint64) []Item {
	events := []Item{}
	for _, item := range s.items {
		if s.deaf {
			break
		}
		if strings.HasPrefix(item.Key, prefix) && item.Revision > after {
			events = append(events, item)
		}
	}
	return events
}

func (s *Store) listEvents(r *http.Request) (int, any) {
	prefix, after := watched(r)
	if after < s.compacted || after > s.revision {
		return http.StatusGone, nil
	}
	return http.StatusOK, map[string]any{"events": s.events(prefix, after), "at": s.revision}
}

// pageSize is the number of items per page; small, so that tests cover paging.
const pageSize = 20

func (s *Store) listPage(prefix, after string) any {
	var items []Item
	current := s.snapshot
	if !s.stale {
		current = slices.Collect(maps.Values(s.items))
	}
	for _, item := range current {
		if strings.HasPrefix(item.Key, prefix) && item.Key > after {
			items = append(items, item)
		}
	}
	sortItems(items)
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	return map[string]any{"items": items, "has_more": more, "at": s.revision}
}

func (s *Store) transact(change transaction) (int, any) {
	failed := false
	items := []Item{}
	for _, row := range change.Expected {
		item, found := s.items[row.Key]
		if found {
			items = append(items, item)
		}
		failed = failed || item.Revision != row.Revision
	}
	if failed {
		return http.StatusPreconditionFailed, map[string]any{"items": items}
	}
	if s.recordForbidden(change) {
		return http.StatusForbidden, nil
	}
	for _, row := range change.Write {
		if _, found := s.leases[row.Lease]; row.Lease != 0 && !found {
			return http.StatusNotFound, nil
		}
	}
	if triggered := s.triggerTrap(change); triggered != nil {
		if triggered.kind == BecomeUnavailable {
			s.unavailable["all"] = true
			return http.StatusServiceUnavailable, nil
		}
		s.answersToLose++ // drops the answer to this change
	}
	for _, row := range change.Write {
		s.put(row.Key, row.Value, row.Lease)
	}
	for _, key := range change.Remove {
		s.revision++
		delete(s.items, key)
	}
	return http.StatusOK, map[string]uint64{"revision": s.revision}
}
