// The case: an entry instance that finishes its requests after SIGTERM gets SIGHUP.
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

const (
	streams       = 12
	events        = 40
	eventInterval = 100 * time.Millisecond
)

func main() {
	h := Start()
	for i, zone := range []string{"a", "b", "c"} {
		h.Backend(fakeplatform.Server{ID: fmt.Sprint("engine-", i), Service: "llm", Zone: zone, Slots: 64, ServiceTime: eventInterval, Events: events})
		h.Backend(fakeplatform.Server{ID: fmt.Sprint("app-", i), Service: "app", Zone: zone, Slots: 6, ServiceTime: 30 * time.Millisecond})
	}
	h.Publish(3, 15*time.Second)
	instance := h.Prepare("entry-1", "a")
	h.Run(instance)
	h.AwaitReady(instance)

	// Each stream lasts 4 s, and has 3 s left at SIGTERM: far less than grace_s.
	answers := make([]Answer, streams)
	var group sync.WaitGroup
	for i := range answers {
		group.Go(func() {
			answers[i] = h.Send(h.Ctx, instance, http.MethodPost, "/stream/1", []byte("prompt"), 15*time.Second)
		})
	}
	time.Sleep(time.Second)
	h.Signal(instance, syscall.SIGTERM)
	time.Sleep(time.Second)
	if h.Trouble {
		h.Signal(instance, syscall.SIGHUP)
	}
	group.Wait()

	h.LogRuns()
	lost := 0
	for _, answer := range answers {
		ran := h.Runs(answer.ID) > 0
		whole := answer.Err == nil && answer.Status == http.StatusOK && strings.Count(answer.Body, "\n\n") == events
		refused := answer.Err == nil && answer.Status == http.StatusServiceUnavailable && !ran
		if !whole && !refused {
			lost++
			h.Log("LOST: %s was passed on (%t) and its answer is not complete", answer.ID, ran)
		}
	}
	h.Log("%d of %d requests lost", lost, streams)
	fmt.Printf("%d of %d requests lost\n", lost, streams)
	if lost > 0 {
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
