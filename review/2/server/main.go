// The case: after a planned change of the holder of the duties, the platform's store comes back from
// a copy some seconds old, as in a drill.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"papayaport.dev/standin/fakeplatform"
)

const (
	// drillAfter is the time between the first call of the new holder and the drill.
	drillAfter = 1500 * time.Millisecond
	watchFor   = 15 * time.Second
)

func main() {
	c := startDrillCase()
	first := c.cloud.await("a holder", func(call) bool { return true })
	time.Sleep(2 * time.Second)
	c.restart(c.instances[first.holder])
	second := c.cloud.await("a second holder", func(last call) bool { return last.fencing > first.fencing })
	c.Log("the holder is now %s, fencing %d", second.holder, second.fencing)
	time.Sleep(drillAfter)
	var from, until time.Time
	if c.Trouble {
		from = time.Now()
		c.store.drill(c.writeAll)
		until = time.Now().Add(contact) // the platform just was in disruption
	}
	time.Sleep(contact + watchFor)
	c.finish(c.cloud.lower(from, until))
}

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

// What follows is the same in all cases: it starts entry instances as separate processes on loopback
// addresses, with stand-ins for the platform, and records what clients and backend servers see.

// Exit codes of a case.
const (
	ruleHeld    = 0
	ruleBroken  = 1
	caseNotRun  = 2
	program     = "target/papayaport-site"
	host        = "app.example"
	clientKey   = "key-1"
	clientName  = "desk"
	readyWithin = 15 * time.Second
	maxRunTime  = 110 * time.Second
)

// Harness is one run of a case.
type Harness struct {
	Ctx    context.Context
	cancel context.CancelFunc
	Store  *fakeplatform.Store
	Cloud  *fakeplatform.Cloud
	// Trouble is unset when the case runs without its disruption.
	Trouble bool

	storeAddress, cloudAddress string
	folder                     string
	began                      time.Time
	mu                         sync.Mutex
	record                     *os.File
	processes                  []*os.Process
	backends                   []*fakeplatform.Backend
	nextID                     atomic.Int64
}

// Instance is one process of an entry instance.
type Instance struct {
	Name, Callers, Ready, Peers string
	settings                    string
	command                     *exec.Cmd
	// Exited is closed when the process has ended.
	Exited chan struct{}
}

// Start starts the project's own stand-ins of the platform.
func Start() *Harness { return StartWith(nil, nil) }

// StartWith starts other stand-ins of the platform's store and cloud API, unless they are nil.
func StartWith(store, cloud http.Handler) *Harness {
	h := &Harness{Store: fakeplatform.NewStore(), Cloud: fakeplatform.NewCloud(), Trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	h.Ctx, h.cancel = context.WithCancel(context.Background())
	var err error
	h.record, err = os.Create(os.Getenv("RECORD"))
	h.must(err)
	h.folder, err = os.MkdirTemp("", "review")
	h.must(err)
	if store == nil {
		store = h.Store
	}
	if cloud == nil {
		cloud = h.Cloud
	}
	h.storeAddress, err = fakeplatform.Serve(h.Ctx, store)
	h.must(err)
	h.cloudAddress, err = fakeplatform.Serve(h.Ctx, cloud)
	h.must(err)
	h.Log("trouble: %t", h.Trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() { h.must(fmt.Errorf("stopped by %v", <-signals)) }()
	time.AfterFunc(maxRunTime, func() { h.must(errors.New("the case takes too long")) })
	return h
}

// Log writes one line of the record.
func (h *Harness) Log(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.record != nil {
		fmt.Fprintf(h.record, "%8.3f s  %s\n", time.Since(h.began).Seconds(), fmt.Sprintf(format, args...))
	}
}

func (h *Harness) must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "case not run:", err)
		h.Log("case not run: %v", err)
		h.Finish(caseNotRun)
	}
}

// Finish ends all processes and the run.
func (h *Harness) Finish(code int) {
	h.Log("exit code %d", code)
	for _, process := range h.processes {
		_ = process.Kill()
	}
	h.cancel()
	if h.folder != "" {
		_ = os.RemoveAll(h.folder)
	}
	os.Exit(code)
}

// Backend starts a backend server.
func (h *Harness) Backend(server fakeplatform.Server) *fakeplatform.Backend {
	backend, err := fakeplatform.Start(h.Ctx, h.Store, server)
	h.must(err)
	h.backends = append(h.backends, backend)
	return backend
}

// Publish writes a configuration with an unsafe, a safe, a streaming and a resumable route.
func (h *Harness) Publish(version int, timeout time.Duration) {
	route := func(prefix, kind, service string, attempts int) fakeplatform.Route {
		return fakeplatform.Route{
			Name: prefix, Host: host, Prefix: "/" + prefix + "/", Kind: kind, Service: service, Attempts: attempts,
			Timeout: timeout, TargetLatency: time.Second,
		}
	}
	resumable := route("resume", fakeplatform.StreamingKind, "llm", 2)
	resumable.Resumable = true
	h.must(h.Store.Publish(fakeplatform.Configuration{
		Version: version,
		Routes: []fakeplatform.Route{
			route("unsafe", fakeplatform.UnsafeKind, "app", 1), route("safe", fakeplatform.SafeKind, "app", 2),
			route("stream", fakeplatform.StreamingKind, "llm", 1), resumable,
		},
		Services: []fakeplatform.Service{
			{Name: "app", Connections: 110}, {Name: "llm", Connections: 370, Slots: 64, CacheTokens: 580968},
		},
		Accounts: []fakeplatform.Account{{Name: clientName, Key: clientKey}},
		Limits:   fakeplatform.Limits{BodyBytes: 4 << 20, HeaderBytes: 16 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}))
}

// usedAddresses are those that FreeAddress returned.
var usedAddresses = map[string]bool{}

// FreeAddress returns a loopback address without a listener.
func (h *Harness) FreeAddress() string {
	for {
		listener, err := net.Listen("tcp", "127.0.1.1:0")
		h.must(err)
		address := listener.Addr().String()
		h.must(listener.Close())
		if !usedAddresses[address] {
			usedAddresses[address] = true
			return address
		}
	}
}

// Prepare writes the settings of an entry instance, with the bounds of a small deployment.
func (h *Harness) Prepare(name, zone string, seeds ...string) *Instance {
	return h.PrepareWith(name, zone, h.storeAddress, seeds...)
}

// PrepareWith does the same for an instance that reaches the store at another address.
func (h *Harness) PrepareWith(name, zone, store string, seeds ...string) *Instance {
	instance := &Instance{
		Name: name, Callers: h.FreeAddress(), Ready: h.FreeAddress(), Peers: h.FreeAddress(),
		settings: filepath.Join(h.folder, name+".json"),
	}
	var seedPeers []string
	for _, seed := range append([]string{instance.Peers}, seeds...) {
		if seed != "" {
			seedPeers = append(seedPeers, seed)
		}
	}
	settings, err := json.Marshal(map[string]any{
		"instance": name, "region": "r", "failure_domain": zone, "failure_domains": []string{"a", "b", "c", "d"},
		"callers": instance.Callers, "ready": instance.Ready, "peers": instance.Peers, "metrics": h.FreeAddress(),
		"seed_peers": seedPeers, "store": store, "cloud": h.cloudAddress,
		"memory_mb": 284, "grace_s": 8, "lease_ms": 3000, "leaving_ms": 2000,
		"retry": map[string]any{"ratio": 0.2, "window_s": 10, "allowance": 56},
		"quota": map[string]any{"window_s": 8, "overrun": 0.1, "slack": 190000},
		"usage": map[string]any{"window_s": 5},
	})
	h.must(err)
	h.must(os.WriteFile(instance.settings, settings, 0o600))
	return instance
}

// Run starts the process of an entry instance with the command of the deploy file.
func (h *Harness) Run(instance *Instance) {
	output, err := os.Create(instance.settings + ".out")
	h.must(err)
	command := exec.Command(program, "run")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PAPAYAPORT_NODE_FILE=" + instance.settings}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	h.must(command.Start())
	exited := make(chan struct{})
	instance.command, instance.Exited = command, exited
	h.processes = append(h.processes, command.Process)
	h.Log("%s started", instance.Name)
	go func() {
		err := command.Wait()
		h.Log("%s: its process has ended: %v", instance.Name, err)
		close(exited)
	}()
}

// Ended reports whether the last process of an entry instance has ended.
func (i *Instance) Ended() bool {
	select {
	case <-i.Exited:
		return true
	default:
		return false
	}
}

// Signal sends a signal to the process of an entry instance.
func (h *Harness) Signal(instance *Instance, signal syscall.Signal) {
	h.Log("%s gets %v", instance.Name, signal)
	_ = instance.command.Process.Signal(signal)
}

// AwaitReady waits until an entry instance is ready.
func (h *Harness) AwaitReady(instance *Instance) {
	for deadline := time.Now().Add(readyWithin); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + instance.Ready + "/api/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				h.Log("%s is ready", instance.Name)
				return
			}
		}
	}
	h.must(fmt.Errorf("%s is not ready", instance.Name))
}

// Answer is what a client got.
type Answer struct {
	ID     string
	Status int
	Header http.Header
	Body   string
	Err    error
	Took   time.Duration
}

// Send sends one request on a new connection, reads the whole answer and records both.
func (h *Harness) Send(ctx context.Context, instance *Instance, method, path string, body []byte, wait time.Duration) Answer {
	return h.SendOn(ctx, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, instance, method, path, body, wait)
}

// SendOn sends one request with a client.
func (h *Harness) SendOn(ctx context.Context, client *http.Client, instance *Instance, method, path string, body []byte, wait time.Duration) Answer {
	answer := Answer{ID: fmt.Sprintf("id-%04d", h.nextID.Add(1))}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+instance.Callers+path, bytes.NewReader(body))
	h.must(err)
	request.Host = host
	fakeplatform.SetRequestHeaders(request, answer.ID, clientKey, wait)
	h.Log("%s %s %s sent to %s", answer.ID, method, path, instance.Name)
	sent := time.Now()
	response, err := client.Do(request)
	if err != nil {
		answer.Err = err
	} else {
		var data []byte
		data, answer.Err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		answer.Status, answer.Header, answer.Body = response.StatusCode, response.Header, string(data)
	}
	answer.Took = time.Since(sent)
	h.Log("%s answered after %d ms: status %d, %d bytes, seal %q, error %v", answer.ID, answer.Took.Milliseconds(), answer.Status,
		len(answer.Body), fakeplatform.SealFrom(answer.Header), answer.Err)
	return answer
}

// Runs returns how often backend servers began to run a request.
func (h *Harness) Runs(id string) int {
	runs := 0
	for _, backend := range h.backends {
		for _, run := range backend.Runs() {
			if run.ID == id {
				runs++
			}
		}
	}
	return runs
}

// LogRuns records all runs of the backend servers.
func (h *Harness) LogRuns() {
	for _, backend := range h.backends {
		for _, run := range backend.Runs() {
			h.Log("%s ran %s %s %s at %.3f s", backend.ID, run.ID, run.Method, run.Target, run.At.Sub(h.began).Seconds())
		}
	}
}
