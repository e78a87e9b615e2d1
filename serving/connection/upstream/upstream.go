// Package upstream sends requests to backend servers over persistent HTTP/1.1 connections
// and never retries on its own.
//
// The Transport of net/http automatically retries some requests when a persistent connection
// fails, which would break at-most-once execution. It also reports neither whether bytes were
// sent nor that an answer belongs to another request. This client writes each request once,
// reports in Error.Sent whether bytes of it may have been sent, and skips answers that echo
// the id of another request (foreign answers).
//
// # Usage
//
//	pool := upstream.New(upstream.Options{...})
//	response, err := pool.Send(ctx, upstream.Server{...}, upstream.Request{...})
//	var failure *upstream.Error
//	if errors.As(err, &failure) && !failure.Sent {
//		// no byte of the request was sent
//	}
//	defer response.Close()
//	body, err := io.ReadAll(response.Body)
//
// # Locks
//
// The pool has one mutex. It is not held during dials, requests or answers, and no other lock
// is taken while it is held.
package upstream

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/serving/connection/socketbuffer"
)

// DefaultDialTimeout is the default of Options.DialTimeout. A server that can be reached answers
// within one round trip, tens of milliseconds between regions. A lost SYN is retransmitted only
// after a second; by then another server has served the request, or a caller with little time has
// given up.
const DefaultDialTimeout = 300 * time.Millisecond

// Options configure a pool.
type Options struct {
	// DialTimeout is the timeout for establishing a connection, 0 for DefaultDialTimeout.
	DialTimeout time.Duration
	// Dial establishes connections instead of net.Dialer; it may be nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// EchoHeader is the response header in which backend servers echo a request's id.
	EchoHeader string
	// OnDial is called for every new connection; it may be nil.
	OnDial func()
}

// Server is one incarnation of a backend server.
type Server struct {
	ID          string
	Incarnation uint64
	Address     string
	// MaxConnections limits the open connections of this pool to the server; 0 means no limit.
	MaxConnections int
}

// Errors of Send.
var (
	// ErrNoFreeConnection means that all connections allowed to a server are in use.
	ErrNoFreeConnection = errors.New("all connections to the server are in use")
	// ErrWithheld means that the server stopped accepting requests before the request was sent.
	ErrWithheld = errors.New("the server no longer accepts requests")
	// ErrForeignAnswer means that the answers received belong to other requests.
	ErrForeignAnswer = errors.New("received answers to other requests")
)

// Error is the failure of Send.
type Error struct {
	Server string
	// Sent is set if the server may have received a part of the request.
	Sent bool
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("backend server %s (sent %t): %v", e.Server, e.Sent, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Pool holds the connections of one entry instance to all backend servers.
type Pool struct {
	options Options

	mu      sync.Mutex
	servers map[string]*connections
}

// connections are the connections to one incarnation of a server.
type connections struct {
	server Server
	open   int
	idle   []*conn
}

// keepAliveDisabled disables TCP keep-alive probes. When probes time out, the kernel closes the
// connection without a reset, so that buffered bytes of a request may still reach the server
// after a network partition ends, when the request was already answered or sent to another
// server. Callers limit their wait for an answer instead, and closing sends a reset.
const keepAliveDisabled = -1

// New returns a pool without connections.
func New(options Options) *Pool {
	options.DialTimeout = cmp.Or(options.DialTimeout, DefaultDialTimeout)
	if options.Dial == nil {
		dialer := net.Dialer{KeepAlive: keepAliveDisabled, Control: socketbuffer.Control}
		options.Dial = dialer.DialContext
	}
	return &Pool{options: options, servers: map[string]*connections{}}
}

// Send writes one request and returns the head of its answer. The request is sent at most
// once. The error is an *Error.
func (p *Pool) Send(ctx context.Context, server Server, request Request) (*Response, error) {
	c, err := p.acquire(ctx, server, request.ID)
	if err != nil {
		return nil, &Error{Server: server.ID, Err: err}
	}
	if request.StillAccepted != nil && !request.StillAccepted() {
		p.release(c)
		return nil, &Error{Server: server.ID, Err: ErrWithheld}
	}
	stop := context.AfterFunc(ctx, c.abortExchange)
	response, sent, err := c.exchange(request, p.options.EchoHeader)
	if err != nil {
		stop()
		p.discard(c)
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &Error{Server: server.ID, Sent: sent, Err: err}
	}
	response.finish = func(reusable bool) {
		if stop() && reusable {
			p.release(c)
			return
		}
		p.discard(c)
	}
	return response, nil
}

// acquire returns the most recently used idle connection that is usable for a request, or a new
// one.
func (p *Pool) acquire(ctx context.Context, server Server, id string) (*conn, error) {
	for {
		c, err := p.reserve(server, id)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx, server)
		}
		if c.isUsable(time.Now()) {
			return c, nil
		}
		p.discard(c)
	}
}

// reserve removes and returns an idle connection on which no request with this id was sent. Without
// one it reserves a new connection and returns nil.
func (p *Pool) reserve(server Server, id string) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.servers[server.ID]
	if conns == nil || conns.server.Incarnation != server.Incarnation || conns.server.Address != server.Address {
		if conns != nil {
			conns.closeIdle()
		}
		conns = &connections{server: server}
		p.servers[server.ID] = conns
	}
	for i, c := range slices.Backward(conns.idle) {
		if !c.hasSent(id) {
			conns.idle = slices.Delete(conns.idle, i, i+1)
			return c, nil
		}
	}
	if server.MaxConnections > 0 && conns.open >= server.MaxConnections {
		if len(conns.idle) == 0 {
			return nil, ErrNoFreeConnection
		}
		conns.idle[0].close()
		conns.idle = slices.Delete(conns.idle, 0, 1)
		conns.open--
	}
	conns.open++
	return nil, nil
}

func (p *Pool) dial(ctx context.Context, server Server) (*conn, error) {
	p.mu.Lock()
	owner := p.servers[server.ID]
	p.mu.Unlock()
	if p.options.OnDial != nil {
		p.options.OnDial()
	}
	limited, cancel := context.WithTimeout(ctx, p.options.DialTimeout)
	raw, err := p.options.Dial(limited, "tcp", server.Address)
	cancel()
	if err != nil {
		p.mu.Lock()
		owner.open--
		p.mu.Unlock()
		return nil, errors.Wrap(err, "dial")
	}
	if tcp, ok := raw.(*net.TCPConn); ok {
		// With linger 0 closing sends a reset, so that an abandoned request cannot arrive
		// after a network partition ends.
		if err := tcp.SetLinger(0); err != nil {
			return nil, errors.Wrap(err, "set linger")
		}
	}
	return newConn(raw, owner), nil
}

// release returns a connection to the pool for the next request.
func (p *Pool) release(c *conn) {
	p.mu.Lock()
	pooled := p.servers[c.owner.server.ID] == c.owner
	if pooled {
		c.owner.idle = append(c.owner.idle, c)
	}
	p.mu.Unlock()
	if !pooled {
		p.discard(c)
	}
}

func (p *Pool) discard(c *conn) {
	c.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	c.owner.open--
}

// closeIdle must be called with the pool locked.
func (s *connections) closeIdle() {
	for _, c := range s.idle {
		c.close()
	}
	s.open -= len(s.idle)
	s.idle = nil
}

// CloseExpired closes the idle connections that are no longer usable by their servers' keep-alive
// time, and all idle connections to servers that are no longer listed.
func (p *Pool) CloseExpired(now time.Time, listed func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, conns := range p.servers {
		if !listed(id) {
			conns.closeIdle()
			if conns.open == 0 {
				delete(p.servers, id)
			}
			continue
		}
		remaining := conns.idle[:0]
		for _, c := range conns.idle {
			if c.expired(now) {
				c.close()
				conns.open--
				continue
			}
			remaining = append(remaining, c)
		}
		conns.idle = remaining
	}
}
