// Package pool manages a separate set of persistent connections for each backend server, so
// that the connections of an unresponsive server can be dropped without affecting others.
//
// The TCP state of a connection does not show whether its server is dead or slow. Callers of
// the pool use timeouts on progress instead; after Drop new requests open new connections.
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

	"papayaport.dev/serving/connection/answer"
	"papayaport.dev/serving/connection/socketbuffer"
)

// Options limit the connections to one backend server.
type Options struct {
	// DialTimeout is the timeout for opening a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept open.
	IdleTimeout time.Duration
	// IdlePerServer is the maximum number of idle connections to one backend server.
	IdlePerServer int
}

// MaxHeadBytes limits the head of an answer that net/http reads, in bytes. Typical configurations
// allow the heads of callers' requests half as many bytes.
const MaxHeadBytes = 32 << 10

// DefaultOptions suits backend servers in the same region.
var DefaultOptions = Options{
	DialTimeout:   time.Second,
	IdleTimeout:   20 * time.Second,
	IdlePerServer: 32,
}

// Pool holds the connections to backend servers. Its methods are safe for concurrent use.
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
	existing, found := p.servers[id]
	if found && existing.incarnation == incarnation {
		return existing.client
	}
	if found {
		existing.transport.CloseIdleConnections()
	}
	created := p.newServer(incarnation)
	p.servers[id] = created
	return created.client
}

func (p *Pool) newServer(incarnation uint64) *server {
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: p.options.DialTimeout, Control: socketbuffer.Control}).DialContext,
		MaxIdleConnsPerHost:    p.options.IdlePerServer,
		IdleConnTimeout:        p.options.IdleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: MaxHeadBytes,
	}
	client := &http.Client{Transport: answer.NewTransport(transport), CheckRedirect: refuseRedirect}
	return &server{incarnation: incarnation, client: client, transport: transport}
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Drop closes the idle connections to a backend server and removes the server from the pool,
// so that later requests open new connections.
func (p *Pool) Drop(id string) {
	p.mu.Lock()
	existing, found := p.servers[id]
	delete(p.servers, id)
	p.mu.Unlock()
	if found {
		existing.transport.CloseIdleConnections()
	}
}

// Retain drops all backend servers except those in ids.
func (p *Pool) Retain(ids map[string]bool) {
	p.mu.Lock()
	var unlisted []string
	for id := range p.servers {
		if !ids[id] {
			unlisted = append(unlisted, id)
		}
	}
	p.mu.Unlock()
	for _, id := range unlisted {
		p.Drop(id)
	}
}
