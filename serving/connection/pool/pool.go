// Package pool keeps one set of kept-alive connections for each backend server, so
// that the connections of one that went silent can be dropped without the others'.
//
// A connection that has gone silent can't be told from a slow one by its TCP state.
// Callers of the pool judge by progress; after Drop every new request dials anew.
//
// # Usage
//
//	connections := pool.New(pool.Options{DialTimeout: time.Second})
//	client := connections.Client("engine-a1", incarnation)
//	connections.Drop("engine-a1")
package pool

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Options bounds the connections to one backend server.
type Options struct {
	// DialTimeout is the longest time for a connection to open.
	DialTimeout time.Duration
	// IdleTimeout closes connections that carried nothing for this long.
	IdleTimeout time.Duration
	// IdlePerServer is the number of idle connections kept for a backend server.
	IdlePerServer int
}

// HeadBytes bounds the head of an answer that is read by net/http. The users' configurations
// allow callers half as many bytes.
const HeadBytes = 32 << 10

// DefaultOptions suits backend servers in the same region.
var DefaultOptions = Options{
	DialTimeout:   time.Second,
	IdleTimeout:   20 * time.Second,
	IdlePerServer: 32,
}

// Pool holds the connections to backend servers. Its methods may be called at once
// from many goroutines.
type Pool struct {
	options Options
	mu      sync.Mutex
	servers map[string]*server
}

type server struct {
	incarnation uint64
	client      *http.Client
	transport   *http.Transport
}

// New returns an empty pool.
func New(options Options) *Pool {
	return &Pool{options: options, servers: map[string]*server{}}
}

// Client returns the client for one incarnation of a backend server. A new
// incarnation never uses the connections of an earlier one.
func (p *Pool) Client(id string, incarnation uint64) *http.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, found := p.servers[id]
	if found && known.incarnation == incarnation {
		return known.client
	}
	if found {
		known.transport.CloseIdleConnections()
	}
	fresh := p.open(incarnation)
	p.servers[id] = fresh
	return fresh.client
}

func (p *Pool) open(incarnation uint64) *server {
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: p.options.DialTimeout}).DialContext,
		MaxIdleConnsPerHost:    p.options.IdlePerServer,
		IdleConnTimeout:        p.options.IdleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: HeadBytes,
	}
	client := &http.Client{Transport: transport, CheckRedirect: refuseRedirect}
	return &server{incarnation: incarnation, client: client, transport: transport}
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Drop closes the idle connections to a backend server and forgets the others, so
// that later requests dial anew.
func (p *Pool) Drop(id string) {
	p.mu.Lock()
	known, found := p.servers[id]
	delete(p.servers, id)
	p.mu.Unlock()
	if found {
		known.transport.CloseIdleConnections()
	}
}

// Keep drops every backend server that is not listed.
func (p *Pool) Keep(ids map[string]bool) {
	p.mu.Lock()
	var gone []string
	for id := range p.servers {
		if !ids[id] {
			gone = append(gone, id)
		}
	}
	p.mu.Unlock()
	for _, id := range gone {
		p.Drop(id)
	}
}
