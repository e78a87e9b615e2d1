// Package outside is a small stand-in of the users' platform, as its pages describe it:
// the store with leases, the cloud API, and backend servers that batch nothing but run,
// stream, refuse and misbehave on request. It shares no code with the adapter.
//
// # Usage
//
//	store := outside.NewStore()
//	address, err := outside.Serve(ctx, store)
//	server, err := outside.Start(ctx, store, outside.Server{ID: "i-1", Service: "app", Zone: "a", Slots: 4})
//	store.Put("op/config", config)
//
// An Operator orders roll-outs, and a Rollout counts what became of one:
//
//	r, err := outside.Operator{Store: store}.Roll(ctx, order, servers, old, nil)
//	<-r.Ended()
//	faults := r.Faults(outside.Completed, bounds)
package outside

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// anyPort stands for a free port of the loopback interface.
const anyPort = "127.0.0.1:0"

// Serve answers on a free port of the loopback interface until ctx ends.
func Serve(ctx context.Context, handler http.Handler) (string, error) {
	return serveAt(ctx, anyPort, handler)
}

func serveAt(ctx context.Context, address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }() // ends with Close
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
	ttl  time.Duration
	ends time.Time
}

// Store is the platform's store.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]Item
	leases   map[int64]lease
	next     int64
	down     map[string]bool
	lost     int
	delay    time.Duration
	past     bool
	// remembered is what the store answers with from the past.
	remembered []Item
	calls      map[string]int
	// writes holds the changes of the keys of keptPrefixes by key.
	writes    map[string][]Write
	forbidden []string
	trap      *trap
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: map[string]Item{}, leases: map[int64]lease{}, down: map[string]bool{}, calls: map[string]int{}, writes: map[string][]Write{}, revision: 1}
}

// Put writes a key as operator or server.
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
	s.remember(s.items[key])
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
	s.expire()
	item, found := s.items[key]
	return item.Value, found
}

// Down makes all calls fail with 503, or serves them again.
func (s *Store) Down(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down["all"] = down
}

// LoseAnswers carries out the next changes and answers none of them.
func (s *Store) LoseAnswers(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = count
}

// Delay makes all calls take longer.
func (s *Store) Delay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// Remember keeps what the store holds now for Past.
func (s *Store) Remember() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remembered = slices.Collect(maps.Values(s.items))
}

// Past makes reads of many keys answer with what was remembered, or with the present
// again.
func (s *Store) Past(past bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.past = past && s.remembered != nil
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

func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.end(id)
		}
	}
}

func (s *Store) end(id int64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.revision++
			delete(s.items, key)
		}
	}
}

// ServeHTTP answers one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.expire()
	path, id := splitID(r.URL.Path)
	s.calls[path]++
	status, body := http.StatusServiceUnavailable, any(nil)
	if !s.down["all"] {
		status, body = s.answer(r, path, id)
	}
	lose := s.lost > 0 && r.Method != http.MethodGet
	if lose {
		s.lost--
	}
	delay := s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body) // the caller may be gone
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

func (s *Store) answer(r *http.Request, path string, id int64) (int, any) {
	switch path {
	case "/api/kv-key":
		item, found := s.items[r.URL.Query().Get("key")]
		if !found {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, item
	case "/api/kv-range":
		return http.StatusOK, s.page(r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	case "/api/kv-txn":
		var change transaction
		if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
			return http.StatusBadRequest, nil
		}
		return s.transact(change)
	case "/api/kv-lease":
		var asked struct {
			TTLMS int64 `json:"ttl_ms"`
		}
		if err := json.NewDecoder(r.Body).Decode(&asked); err != nil {
			return http.StatusBadRequest, nil
		}
		s.next++
		ttl := time.Duration(asked.TTLMS) * time.Millisecond
		s.leases[s.next] = lease{ttl, time.Now().Add(ttl)}
		return http.StatusOK, map[string]int64{"lease": s.next, "ttl_ms": asked.TTLMS}
	case "/api/kv-keep/":
		l, found := s.leases[id]
		if !found {
			return http.StatusNotFound, nil
		}
		l.ends = time.Now().Add(l.ttl)
		s.leases[id] = l
		return http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()}
	case "/api/kv-lease-end/":
		s.end(id)
		return http.StatusOK, map[string]int64{}
	}
	return http.StatusNotFound, nil
}

// pageItems is the number of items of a page; small, so that tests see several pages.
const pageItems = 20

func (s *Store) page(prefix, after string) any {
	var items []Item
	held := s.remembered
	if !s.past {
		held = slices.Collect(maps.Values(s.items))
	}
	for _, item := range held {
		if strings.HasPrefix(item.Key, prefix) && item.Key > after {
			items = append(items, item)
		}
	}
	sortItems(items)
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
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
	if s.forbid(change) {
		return http.StatusForbidden, nil
	}
	for _, row := range change.Write {
		if _, found := s.leases[row.Lease]; row.Lease != 0 && !found {
			return http.StatusNotFound, nil
		}
	}
	if sprung := s.spring(change); sprung != nil {
		if sprung.kind == GoDown {
			s.down["all"] = true
			return http.StatusServiceUnavailable, nil
		}
		s.lost++ // the answer of this change
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
