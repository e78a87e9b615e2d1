// The case: one entry instance is partitioned from all backend servers, while clients, the store and
// the other instances still reach it.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"papayaport.dev/standin/fakeplatform"
)

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
