// Program server plays case 10 of the second review: entry instances that are partitioned from all backend
// servers don't notice it while they have one request at a time.
//
// It starts the store and the cloud API of standin/fakeplatform, backend servers and six entry instances
// (separate processes of target/papayaport-site), sends requests, and writes to the record what was
// sent, answered and run. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could
// not be played.
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
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"papayaport.dev/standin/fakeplatform"
)

const (
	host = "desk.example"
	key  = "key-of-the-desk"
	// contact is contact_ms, and cutTime how long the partition lasts.
	contact = 3 * time.Second
	cutTime = 12 * time.Second
	// pause is the time between a client's requests.
	pause = 100 * time.Millisecond
	// servers is the number of backend servers, as many as the larger service of the site has.
	servers = 12
)

var (
	began   = time.Now()
	recordM sync.Mutex
	record  *os.File
)

func note(format string, args ...any) {
	recordM.Lock()
	defer recordM.Unlock()
	fmt.Fprintf(record, "%7.3f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

// unplayable ends the program because the case could not be played.
type unplayable struct{ error }

func must(err error) {
	if err != nil {
		panic(unplayable{err})
	}
}

// path is the way of one entry instance to one backend server.
type path struct {
	target  string
	address string
	mu      sync.Mutex
	cut     atomic.Bool
	// fill holds the connections that fill the queue of the listener.
	fill     []net.Conn
	listener net.Listener
	conns    map[net.Conn]bool
}

func newPath(target string) *path {
	p := &path{target: target, conns: map[net.Conn]bool{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	p.listener, p.address = listener, listener.Addr().String()
	go p.serve(listener)
	return p
}

func (p *path) serve(listener net.Listener) {
	for {
		for p.cut.Load() {
			time.Sleep(5 * time.Millisecond)
		}
		near, err := listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		p.mu.Lock()
		p.conns[near], p.conns[far] = true, true
		p.mu.Unlock()
		for _, pair := range [][2]net.Conn{{near, far}, {far, near}} {
			go func() {
				_, _ = io.Copy(held{pair[0], p}, pair[1])
				_, _ = pair[0].Close(), pair[1].Close()
				p.mu.Lock()
				delete(p.conns, pair[0])
				p.mu.Unlock()
			}()
		}
	}
}

// held is one direction of a connection. It holds bytes back while the path is cut.
type held struct {
	net.Conn
	path *path
}

// Write implements io.Writer.
func (h held) Write(data []byte) (int, error) {
	for h.path.cut.Load() {
		time.Sleep(5 * time.Millisecond)
	}
	return h.Conn.Write(data)
}

// front is the store as one entry instance sees it: the addresses of backend servers are those of the
// instance's own paths.
type front struct {
	address string
	mu      sync.Mutex
	paths   map[string]*path
}

func newFront(ctx context.Context, store string) *front {
	f := &front{paths: map[string]*path{}}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store})
	proxy.FlushInterval = -1
	proxy.ErrorLog = nil
	proxy.ModifyResponse = func(response *http.Response) error {
		if response.Request.URL.Path != "/api/kv-range" || response.StatusCode != http.StatusOK {
			return nil
		}
		var page struct {
			Items []struct {
				Key      string `json:"key"`
				Value    []byte `json:"value"`
				Revision uint64 `json:"revision"`
				Created  uint64 `json:"created"`
				Lease    int64  `json:"lease"`
			} `json:"items"`
			HasMore bool   `json:"has_more"`
			At      uint64 `json:"at"`
		}
		if err := json.NewDecoder(response.Body).Decode(&page); err != nil {
			return err
		}
		for i, item := range page.Items {
			var server map[string]any
			if !strings.HasPrefix(item.Key, "servers/") || json.Unmarshal(item.Value, &server) != nil {
				continue
			}
			server["address"] = f.path(server["address"].(string)).address
			page.Items[i].Value, _ = json.Marshal(server)
		}
		data, err := json.Marshal(page)
		if err != nil {
			return err
		}
		response.Body = io.NopCloser(bytes.NewReader(data))
		response.ContentLength = int64(len(data))
		response.Header.Set("Content-Length", strconv.Itoa(len(data)))
		return nil
	}
	var err error
	f.address, err = fakeplatform.Serve(ctx, proxy)
	must(err)
	return f
}

func (f *front) path(target string) *path {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.paths[target] == nil {
		f.paths[target] = newPath(target)
	}
	return f.paths[target]
}

// Cut makes all connections to backend servers hang: open ones carry no byte any more, and the kernel drops
// the opening packets of new ones, since nobody accepts connections and the queue for them is full.
func (f *front) Cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var filling sync.WaitGroup
	for _, p := range f.paths {
		p.cut.Store(true)
		listener, err := p.listener.(*net.TCPListener).SyscallConn()
		must(err)
		must(listener.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) }))
		filling.Go(func() {
			for {
				conn, err := net.DialTimeout("tcp", p.address, 100*time.Millisecond)
				if err != nil {
					return
				}
				p.fill = append(p.fill, conn)
			}
		})
	}
	filling.Wait()
}

// entry is a process of an entry instance.
type entry struct {
	name, callers, ready string
	front                *front
	command              *exec.Cmd
	done                 chan struct{}
}

var usedAddresses = map[string]bool{}

func freeAddress() string {
	for {
		listener, err := net.Listen("tcp", "127.0.1.1:0")
		must(err)
		address := listener.Addr().String()
		must(listener.Close())
		if !usedAddresses[address] {
			usedAddresses[address] = true
			return address
		}
	}
}

func startEntry(ctx context.Context, folder, name, zone, store, cloud, peers string, seeds []string) *entry {
	e := &entry{name: name, callers: freeAddress(), ready: freeAddress(), front: newFront(ctx, store), done: make(chan struct{})}
	settings, err := json.Marshal(map[string]any{
		"instance": name, "region": "tx-central", "failure_domain": zone, "failure_domains": []string{"tx-central-a", "tx-central-b", "tx-central-c", "tx-central-d"},
		"callers": e.callers, "ready": e.ready, "peers": peers, "seed_peers": seeds, "store": e.front.address, "cloud": cloud,
		"memory_mb": 284, "grace_s": 8, "lease_ms": 3000, "leaving_ms": 2000,
		"retry": map[string]any{"ratio": 0.2, "window_s": 10, "allowance": 56},
		"quota": map[string]any{"window_s": 8, "overrun": 0.1, "slack": 190000},
		"usage": map[string]any{"window_s": 5},
	})
	must(err)
	file := filepath.Join(folder, name+".json")
	must(os.WriteFile(file, settings, 0o600))
	log, err := os.Create(filepath.Join(folder, name+".log"))
	must(err)
	e.command = exec.Command("target/papayaport-site", "run")
	e.command.Env = append(os.Environ(), "PAPAYAPORT_NODE_FILE="+file)
	e.command.Stdout, e.command.Stderr = log, log
	must(e.command.Start())
	go func() {
		_ = e.command.Wait()
		close(e.done)
	}()
	return e
}

func (e *entry) awaitReady() {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + e.ready + "/api/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	must(errors.New(e.name + " is not ready"))
}

// tries counts the first tries at one group of instances.
type tries struct{ sent, served atomic.Int64 }

func (t *tries) count(served bool) {
	t.sent.Add(1)
	if served {
		t.served.Add(1)
	}
}

// String implements fmt.Stringer.
func (t *tries) String() string { return fmt.Sprintf("%d of %d", t.served.Load(), t.sent.Load()) }

func (t *tries) share() float64 { return float64(t.served.Load()) / float64(max(t.sent.Load(), 1)) }

var serial atomic.Int64

// runner is a backend server of the application.
type runner struct {
	id string
	mu sync.Mutex
	// ran holds the ids of the requests that it ran, with status 200.
	ran map[string]bool
}

func startRunner(ctx context.Context, store *fakeplatform.Store, id, zone string) *runner {
	r := &runner{id: id, ran: map[string]bool{}}
	address, err := fakeplatform.Serve(ctx, r)
	must(err)
	entry, err := json.Marshal(map[string]any{
		"service": "desk-app", "address": address, "zone": zone, "version": "v1", "slots": 6, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	must(err)
	store.Put("servers/"+id, entry)
	return r
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	header := w.Header()
	header.Set("Keep-Alive", "timeout=15")
	if request.URL.Path == "/healthz" {
		header.Set("X-Papayaport-Instance-Id", r.id)
		return
	}
	id := request.Header.Get("X-Papayaport-Attempt-Id")
	header.Set("X-Papayaport-Attempt-Id", id)
	_, _ = io.Copy(io.Discard, request.Body)
	if request.Header.Get("X-Papayaport-Expected-Instance") != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	r.ran[id] = true
	r.mu.Unlock()
	time.Sleep(30 * time.Millisecond)
	header.Set("X-Papayaport-Server-Seal", "seal."+r.id+"."+id)
	_, _ = io.WriteString(w, "posted by "+r.id)
}

// send sends one request on a new connection and reports whether it was served.
func send(e *entry) bool {
	id := fmt.Sprintf("post-%d", serial.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callers+"/verdicts/7", strings.NewReader("a verdict"))
	must(err)
	request.Host = host
	request.Header.Set("X-Papayaport-Attempt-Id", id)
	request.Header.Set("X-Papayaport-Deadline-Ms", "2500")
	request.Header.Set("X-Api-Key", key)
	caller := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := caller.Do(request)
	if err != nil {
		note("%s to %s: no answer: %v", id, e.name, err)
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	note("%s to %s: status %d, error %v", id, e.name, response.StatusCode, err)
	return err == nil && response.StatusCode == http.StatusOK && response.Header.Get("X-Papayaport-Server-Seal") != ""
}

func main() { os.Exit(play()) }

func play() (code int) {
	trouble := os.Getenv("TROUBLE") != "0"
	folder, err := os.MkdirTemp("", "review-10-")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer os.RemoveAll(folder)
	if record, err = os.Create(os.Args[1]); err != nil {
		fmt.Println(err)
		return 2
	}
	defer record.Close()
	var entries []*entry
	defer func() {
		if failure, is := recover().(unplayable); is {
			note("the case can't be played: %v", failure)
			code = 2
		}
		for _, e := range entries {
			_ = e.command.Process.Kill()
			<-e.done
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	store := fakeplatform.NewStore()
	storeAddress, err := fakeplatform.Serve(ctx, store)
	must(err)
	cloudAddress, err := fakeplatform.Serve(ctx, fakeplatform.NewCloud())
	must(err)
	config, err := json.Marshal(map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "post", "host": host, "prefix": "/verdicts/", "route_type": "unsafe", "timeout_ms": 1200, "target_latency_ms": 150,
			"priority": 1, "service": "desk-app", "max_attempts": 1,
		}},
		"services": []any{map[string]any{"name": "desk-app", "max_connections": 110, "health_path": "/healthz"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "desk", "api_keys": []string{key}, "unit": "tokens", "uncached_tokens": 200, "rate_per_s": 100000, "burst": 400000}},
	})
	must(err)
	store.Put("op/config", config)
	var runners []*runner
	for number := range servers {
		runners = append(runners, startRunner(ctx, store, fmt.Sprintf("i-%d", number), "tx-central-"+string(rune('a'+number%4))))
	}
	// Three instances in one zone and one in each of three others.
	zones := []string{"a", "a", "a", "b", "c", "d"}
	var peers []string
	for range zones {
		peers = append(peers, freeAddress())
	}
	for number, zone := range zones {
		entries = append(entries, startEntry(ctx, folder, fmt.Sprintf("edge-%s-%d", zone, number+1), "tx-central-"+zone, storeAddress, cloudAddress, peers[number], peers[:3]))
	}
	for _, e := range entries {
		e.awaitReady()
	}
	time.Sleep(4 * time.Second) // over contact_ms after the start

	// One client per instance sends one request after the other, before the cut and during it.
	var cutAt atomic.Pointer[time.Time]
	var inside, outside tries
	var callers sync.WaitGroup
	for number, e := range entries {
		group := &outside
		if number < 3 {
			group = &inside
		}
		callers.Go(func() {
			for {
				at := cutAt.Load()
				if at != nil && time.Since(*at) >= cutTime {
					return
				}
				counts := at != nil && time.Since(*at) >= contact
				if served := send(e); counts {
					group.count(served)
				}
				time.Sleep(pause)
			}
		})
	}
	time.Sleep(8 * time.Second)
	if trouble {
		note("the instances of tx-central-a are partitioned from all backend servers")
		for _, e := range entries[:3] {
			e.front.Cut()
		}
	}
	now := time.Now()
	cutAt.Store(&now)
	callers.Wait()
	failed, all := inside.sent.Load()-inside.served.Load(), inside.sent.Load()+outside.sent.Load()
	note("from contact_ms after the cut, first tries served: %s at the instances of tx-central-a, %s at the others", &inside, &outside)
	if 3*inside.share() < 2*outside.share() && float64(failed) > 10+float64(all)/50 {
		note("RECOVER is broken")
		return 1
	}
	note("the rule held")
	return 0
}
