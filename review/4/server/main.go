// The case: one entry instance is partitioned from all backend servers, while clients, the store and
// the other instances still reach it.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"papayaport.dev/standin/fakeplatform"
)

// contact is contact_ms.
const contact = 3 * time.Second

const (
	machines = 4
	cutFor   = 10 * time.Second
	// interval is the time between two requests of all clients together.
	interval   = 25 * time.Millisecond
	probeEvery = time.Second
)

// paths are the connections of one machine to the backend servers: a proxy for each server.
type paths struct {
	h  *Harness
	mu sync.Mutex
	// addresses holds the address of the proxy for each server's address.
	addresses map[string]string
	conns     []net.Conn
	cut       atomic.Bool
}

// through returns the address at which the machine reaches a server.
func (p *paths) through(server string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if address, found := p.addresses[server]; found {
		return address
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	p.h.must(err)
	p.addresses[server] = listener.Addr().String()
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			p.forward(near, server)
		}
	}()
	return listener.Addr().String()
}

// forward connects a machine's connection with the server, or resets it during the cut.
func (p *paths) forward(near net.Conn, server string) {
	reset := func(conn net.Conn) {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	if p.cut.Load() {
		reset(near)
		return
	}
	far, err := net.Dial("tcp", server)
	if err != nil {
		reset(near)
		return
	}
	p.mu.Lock()
	p.conns = append(p.conns, near, far)
	p.mu.Unlock()
	for _, pair := range [][2]net.Conn{{near, far}, {far, near}} {
		go func() {
			_, _ = io.Copy(pair[0], pair[1])
			_ = pair[0].(*net.TCPConn).CloseWrite()
		}()
	}
}

// setCut begins or ends the partition. Its beginning resets all connections.
func (p *paths) setCut(cut bool) {
	p.cut.Store(cut)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		if cut {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}
	p.conns = nil
}

// ServeHTTP is the store as the machine sees it: with the addresses of its proxies.
func (p *paths) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := httptest.NewRecorder()
	p.h.Store.ServeHTTP(answer, r)
	body := answer.Body.Bytes()
	if r.URL.Path == "/api/kv-range" && answer.Code == http.StatusOK {
		var page struct {
			Items   []fakeplatform.Item `json:"items"`
			HasMore bool                `json:"has_more"`
			At      uint64              `json:"at"`
		}
		p.h.must(json.Unmarshal(body, &page))
		for i, item := range page.Items {
			if strings.HasPrefix(item.Key, "servers/") {
				var entry map[string]any
				p.h.must(json.Unmarshal(item.Value, &entry))
				entry["address"] = p.through(entry["address"].(string))
				page.Items[i].Value, _ = json.Marshal(entry)
			}
		}
		body, _ = json.Marshal(page)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(answer.Code)
	_, _ = io.Copy(w, bytes.NewReader(body))
}

// balancer holds the machines in rotation: two probes in a row without a 200 take a machine out.
type balancer struct {
	mu       sync.Mutex
	machines []*Instance
	misses   map[string]int
	next     int
}

func (b *balancer) probe(h *Harness) {
	for {
		for _, machine := range b.machines {
			response, err := http.Get("http://" + machine.Ready + "/api/readyz")
			good := err == nil && response.StatusCode == http.StatusOK
			if err == nil {
				_ = response.Body.Close()
			}
			b.mu.Lock()
			b.misses[machine.Name]++
			if good {
				b.misses[machine.Name] = 0
			}
			if b.misses[machine.Name] == 2 {
				h.Log("%s is out of rotation", machine.Name)
			}
			b.mu.Unlock()
		}
		time.Sleep(probeEvery)
	}
}

// pick returns a machine for a new connection: one in rotation, or any when fewer than half are.
func (b *balancer) pick() *Instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	var rotation []*Instance
	for _, machine := range b.machines {
		if b.misses[machine.Name] < 2 {
			rotation = append(rotation, machine)
		}
	}
	if 2*len(rotation) < len(b.machines) {
		rotation = b.machines
	}
	b.next++
	return rotation[b.next%len(rotation)]
}

func main() {
	h := Start()
	for i := range 8 {
		h.Backend(fakeplatform.Server{ID: fmt.Sprint("app-", i), Service: "app", Zone: "a", Slots: 6, QueueCapacity: 24, ServiceTime: 30 * time.Millisecond})
	}
	h.Publish(3, 1200*time.Millisecond)
	views := make([]*paths, machines)
	b := &balancer{misses: map[string]int{}}
	var seed string
	for i := range views {
		views[i] = &paths{h: h, addresses: map[string]string{}}
		store, err := fakeplatform.Serve(h.Ctx, views[i])
		h.must(err)
		instance := h.PrepareWith(fmt.Sprint("entry-", i+1), "a", store, seed)
		seed = instance.Peers
		b.machines = append(b.machines, instance)
		h.Run(instance)
	}
	for _, machine := range b.machines {
		h.AwaitReady(machine)
	}
	go b.probe(h)

	time.Sleep(4 * time.Second)
	cut := b.machines[0]
	if h.Trouble {
		h.Log("%s is partitioned from all backend servers", cut.Name)
		views[0].setCut(true)
	}
	time.Sleep(contact)
	var mu sync.Mutex
	tries, served := map[bool]int{}, map[bool]int{}
	var group sync.WaitGroup
	for end := time.Now().Add(cutFor - contact); time.Now().Before(end); time.Sleep(interval) {
		machine := b.pick()
		group.Go(func() {
			answer := h.Send(h.Ctx, machine, http.MethodPost, "/unsafe/1", []byte("body"), 2500*time.Millisecond)
			good := answer.Err == nil && answer.Status == http.StatusOK && fakeplatform.SealFrom(answer.Header) != ""
			mu.Lock()
			defer mu.Unlock()
			tries[machine == cut]++
			if good {
				served[machine == cut]++
			}
		})
	}
	group.Wait()
	views[0].setCut(false)

	h.LogRuns()
	all, failed := tries[true]+tries[false], tries[true]-served[true]
	share := func(at bool) float64 { return float64(served[at]) / float64(max(tries[at], 1)) }
	result := fmt.Sprintf("first tries at the machine: %d of %d served; at the others: %d of %d served", served[true], tries[true], served[false], tries[false])
	h.Log("%s", result)
	fmt.Println(result)
	if share(true) < share(false)*2/3 && float64(failed) > 10+float64(all)/50 {
		h.Log("RECOVER: served less than two thirds as often, and %d first tries failed there", failed)
		h.Finish(ruleBroken)
	}
	h.Finish(ruleHeld)
}

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
