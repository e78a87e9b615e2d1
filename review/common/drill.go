package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"papayaport.dev/standin/fakeplatform"
)

const (
	// away is how long the store is away in a drill, and copyAge how old the copy is that it comes
	// back from.
	away    = time.Second
	copyAge = 6 * time.Second
	// contact is contact_ms.
	contact    = 3 * time.Second
	heartbeat  = 1200 * time.Millisecond
	copyPeriod = 100 * time.Millisecond
	engines    = 12
	apps       = 4
)

// state is the contents of the store.
type state struct {
	at       time.Time
	revision uint64
	items    map[string]item
	leases   map[int64]lease
}

type item struct {
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

// store is a stand-in of the platform's store that can come back from a copy.
type store struct {
	h  *Harness
	mu sync.Mutex
	state
	copies []state
	away   bool
	era    int
	// lastLease is never reset, so that the id of a lease is not given out twice.
	lastLease int64
}

func newStore() *store {
	return &store{state: state{revision: 1, items: map[string]item{}, leases: map[int64]lease{}}, era: 1}
}

// Put writes a key on behalf of the operator or a backend server.
func (s *store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.away {
		s.put(key, value, 0)
	}
}

func (s *store) put(key string, value []byte, id int64) {
	s.revision++
	written := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: id}
	if old, found := s.items[key]; found {
		written.Created = old.Created
	}
	s.items[key] = written
}

func (s *store) remove(key string) {
	s.revision++
	delete(s.items, key)
}

func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().Before(l.ends) {
			continue
		}
		delete(s.leases, id)
		for key, one := range s.items {
			if one.Lease == id {
				s.remove(key)
			}
		}
	}
}

// keepCopies takes copies of the store.
func (s *store) keepCopies() {
	for range time.Tick(copyPeriod) {
		s.mu.Lock()
		s.copies = append(s.copies, state{time.Now(), s.revision, maps.Clone(s.items), maps.Clone(s.leases)})
		s.mu.Unlock()
	}
}

// drill takes the store away for a moment and brings it back from the newest copy of the given age.
// What the operator and the backend servers wrote is written again.
func (s *store) drill(outside func()) {
	s.mu.Lock()
	before := s.revision
	var from state
	for _, one := range s.copies {
		if time.Since(one.at) >= copyAge {
			from = one
		}
	}
	s.away = true
	s.mu.Unlock()
	s.h.Log("the store is away at revision %d", before)
	time.Sleep(away)
	s.mu.Lock()
	s.state = state{from.at, from.revision, maps.Clone(from.items), maps.Clone(from.leases)}
	s.away = false
	s.era++
	s.mu.Unlock()
	s.h.Log("the store is back from a copy at revision %d, era %d", from.revision, s.era)
	outside()
}

// ServeHTTP handles one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	s.mu.Lock()
	if err != nil || s.away {
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	s.expire()
	status, answer := s.handle(r.Method, r.URL.Path, r.URL.Query(), body)
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	data, err := json.Marshal(answer)
	s.mu.Unlock()
	if err != nil {
		panic(err) // plain values always encode
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) handle(method, path string, query url.Values, body []byte) (int, any) {
	switch {
	case path == "/api/kv-key":
		one, found := s.items[query.Get("key")]
		if !found {
			return http.StatusNotFound, struct{}{}
		}
		return http.StatusOK, one
	case path == "/api/kv-range":
		items := []item{}
		for _, one := range s.items {
			if strings.HasPrefix(one.Key, query.Get("prefix")) && one.Key > query.Get("after") {
				items = append(items, one)
			}
		}
		sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
		return http.StatusOK, map[string]any{"items": items, "has_more": false, "at": s.revision}
	case path == "/api/kv-txn":
		return s.transact(body)
	case path == "/api/kv-lease":
		var ask struct {
			TTLMS int64 `json:"ttl_ms"`
		}
		if json.Unmarshal(body, &ask) != nil {
			return http.StatusBadRequest, struct{}{}
		}
		ttl := time.Duration(ask.TTLMS) * time.Millisecond
		s.lastLease++
		s.leases[s.lastLease] = lease{ttl, time.Now().Add(ttl)}
		return http.StatusOK, map[string]int64{"lease": s.lastLease, "ttl_ms": ask.TTLMS}
	}
	id, err := strconv.ParseInt(path[strings.LastIndexByte(path, '/')+1:], 10, 64)
	if err != nil {
		return http.StatusNotFound, struct{}{}
	}
	held, found := s.leases[id]
	switch {
	case !found:
		return http.StatusNotFound, struct{}{}
	case strings.HasPrefix(path, "/api/kv-keep/"):
		held.ends = time.Now().Add(held.ttl)
	case strings.HasPrefix(path, "/api/kv-lease-end/") && method == http.MethodDelete:
		held.ends = time.Now()
	}
	s.leases[id] = held
	return http.StatusOK, map[string]int64{"ttl_ms": held.ttl.Milliseconds()}
}

func (s *store) transact(body []byte) (int, any) {
	var change struct {
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
	if json.Unmarshal(body, &change) != nil {
		return http.StatusBadRequest, struct{}{}
	}
	items, failed := []item{}, false
	for _, row := range change.Expected {
		one, found := s.items[row.Key]
		if found {
			items = append(items, one)
		}
		failed = failed || one.Revision != row.Revision
	}
	if failed {
		return http.StatusPreconditionFailed, map[string]any{"items": items}
	}
	for _, row := range change.Write {
		if _, found := s.leases[row.Lease]; row.Lease != 0 && !found {
			return http.StatusNotFound, struct{}{}
		}
	}
	for _, row := range change.Write {
		s.put(row.Key, row.Value, row.Lease)
		if strings.HasPrefix(row.Key, "papayaport/leases/") {
			s.h.Log("%s is held by %s from revision %d", row.Key, row.Value, s.revision)
		}
	}
	for _, key := range change.Remove {
		s.remove(key)
	}
	return http.StatusOK, map[string]uint64{"revision": s.revision}
}

// call is one call of a duty.
type call struct {
	at              time.Time
	holder, subject string
	fencing         uint64
}

// cloud is a stand-in of the platform's cloud API. It accepts all calls.
type cloud struct {
	h     *Harness
	mu    sync.Mutex
	calls []call
	// reports holds the accepted counts by window, and conflicts the windows with different ones.
	reports   map[int64]string
	conflicts []string
}

// ServeHTTP handles one call.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Window  int64          `json:"window_number"`
		Counts  map[string]int `json:"counts"`
		Service string         `json:"service"`
		Zone    string         `json:"zone"`
	}
	fencing, err := strconv.ParseUint(r.Header.Get("X-Papayaport-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	one := call{time.Now(), r.Header.Get("X-Papayaport-Duty-Holder"), r.URL.Path, fencing}
	c.mu.Lock()
	if r.URL.Path == "/usage" {
		counts, _ := json.Marshal(body.Counts) // sorted by name
		if before, found := c.reports[body.Window]; found && before != string(counts) {
			c.conflicts = append(c.conflicts, fmt.Sprintf("window %d: %s and %s", body.Window, before, counts))
		}
		c.reports[body.Window] = string(counts)
		c.h.Log("usage: window %d, %s, holder %s, fencing %d", body.Window, counts, one.holder, fencing)
	} else {
		one.subject += " " + body.Service + " " + body.Zone
		c.h.Log("%s: holder %s, fencing %d", one.subject, one.holder, fencing)
	}
	c.calls = append(c.calls, one)
	c.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}

// reported reports whether a window was reported.
func (c *cloud) reported(number int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, found := c.reports[number]
	return found
}

// last returns the last call.
func (c *cloud) last() (one call, found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.calls) == 0 {
		return call{}, false
	}
	return c.calls[len(c.calls)-1], true
}

func (c *cloud) await(what string, met func(last call) bool) call {
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if last, found := c.last(); found && met(last) {
			return last
		}
	}
	c.h.must(fmt.Errorf("not seen: %s", what))
	return call{}
}

// lower returns the calls with a lower fencing token than an earlier one of the same duty and
// subject, without those that came while the platform was in disruption or just after.
func (c *cloud) lower(from, until time.Time) (lower []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	highest := map[string]call{}
	for _, one := range c.calls {
		before := highest[one.subject]
		if one.fencing >= before.fencing {
			highest[one.subject] = one
			continue
		}
		if one.at.Before(from) || one.at.After(until) {
			lower = append(lower, fmt.Sprintf("%s: %s sent fencing token %d after %s had sent %d", one.subject, one.holder, one.fencing, before.holder, before.fencing))
		}
	}
	return lower
}

// drillCase is a deployment whose store can come back from a copy.
type drillCase struct {
	*Harness
	store     *store
	cloud     *cloud
	instances map[string]*Instance
	// WriteAll writes again what the operator and the backend servers wrote.
	writeAll func()
}

// startDrillCase starts three entry instances, backend servers that write their entries in each
// heartbeat interval, and some requests.
func startDrillCase() *drillCase {
	c := &drillCase{store: newStore(), cloud: &cloud{reports: map[int64]string{}}, instances: map[string]*Instance{}}
	c.Harness = StartWith(c.store, c.cloud)
	h := c.Harness
	c.store.h, c.cloud.h = h, h
	for i := range engines {
		h.Backend(fakeplatform.Server{ID: fmt.Sprint("engine-", i), Service: "llm", Zone: zone(i), Slots: 64, ServiceTime: 10 * time.Millisecond, Events: 20})
	}
	for i := range apps {
		h.Backend(fakeplatform.Server{ID: fmt.Sprint("app-", i), Service: "app", Zone: zone(i), Slots: 6, ServiceTime: 30 * time.Millisecond})
	}
	h.Publish(3, 15*time.Second)
	var writing sync.Mutex
	sequence := 0
	writeServer := func(backend *fakeplatform.Backend) {
		var entry map[string]any
		value, _ := h.Store.Get("servers/" + backend.ID)
		h.must(json.Unmarshal(value, &entry))
		sequence++
		entry["sequence"] = sequence
		value, err := json.Marshal(entry)
		h.must(err)
		c.store.Put("servers/"+backend.ID, value)
	}
	c.writeAll = func() {
		writing.Lock()
		defer writing.Unlock()
		value, _ := h.Store.Get("op/config")
		c.store.Put("op/config", value)
		for _, backend := range h.backends {
			writeServer(backend)
		}
	}
	c.writeAll()
	go c.store.keepCopies()
	go func() {
		for i := 0; ; i++ {
			time.Sleep(heartbeat / time.Duration(len(h.backends)))
			writing.Lock()
			writeServer(h.backends[i%len(h.backends)])
			writing.Unlock()
		}
	}()
	var seed string
	for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
		instance := h.Prepare(name, zone(len(c.instances)), seed)
		c.instances[name], seed = instance, instance.Peers
		h.Run(instance)
	}
	for _, instance := range c.instances {
		h.AwaitReady(instance)
	}
	for _, instance := range c.instances {
		go func() {
			for {
				go h.Send(h.Ctx, instance, http.MethodPost, "/unsafe/1", []byte("body"), 2500*time.Millisecond)
				time.Sleep(300 * time.Millisecond)
			}
		}()
	}
	return c
}

// restart stops an instance and starts it again, as in a rolling restart.
func (c *drillCase) restart(instance *Instance) {
	c.Signal(instance, syscall.SIGTERM)
	<-instance.Exited
	time.Sleep(500 * time.Millisecond)
	c.Run(instance)
}

// finish prints and records what breaks the rule, and ends the run.
func (c *drillCase) finish(broken []string) {
	c.LogRuns()
	for _, one := range broken {
		c.Log("ONE: %s", one)
	}
	fmt.Printf("%d calls break the rule\n", len(broken))
	if len(broken) > 0 {
		c.Finish(ruleBroken)
	}
	c.Finish(ruleHeld)
}

func zone(i int) string { return string(rune('a' + i%4)) }
