// Package upstream sends requests to backend servers over kept HTTP/1.1 connections and
// never sends one twice by itself.
//
// net/http's Transport repeats a request on its own when a kept connection fails, which
// a request that runs at most once can't bear, and it neither tells whether bytes went
// out nor sees an answer that belongs to another request. This client writes a request
// once, tells by Error.Sent whether a byte of it left, and skips answers that echo
// another request's id.
//
// # Usage
//
//	pool := upstream.New(upstream.Options{...})
//	response, err := pool.Send(ctx, upstream.Server{...}, upstream.Request{...})
//	var failure *upstream.Error
//	if errors.As(err, &failure) && !failure.Sent {
//		// no byte of the request went out
//	}
//	defer response.Close()
//	body, err := io.ReadAll(response.Body)
//
// The pool has one mutex, held for no I/O; nothing else is locked under it.
package upstream

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Options are the limits of a pool.
type Options struct {
	// DialTimeout bounds the set-up of a connection.
	DialTimeout time.Duration
	// EchoHeader is the response header in which backend servers repeat a request's id.
	EchoHeader string
	// Dialled is called for every new connection; it may be nil.
	Dialled func()
}

// Server is one incarnation of a backend server.
type Server struct {
	ID          string
	Incarnation uint64
	Address     string
	// MaxConnections bounds the connections that this pool has open to it; 0 means none.
	MaxConnections int
}

// Errors of Send.
var (
	// ErrBusy tells that all connections allowed to a server are in use.
	ErrBusy = errors.New("all connections to the server are in use")
	// ErrWithheld tells that the server took no request any more when a connection was there.
	ErrWithheld = errors.New("the server takes no request any more")
	// ErrForeign tells that only answers to other requests arrived.
	ErrForeign = errors.New("answers of other requests")
)

// Error is a failed send.
type Error struct {
	Server string
	// Sent tells that the server may have seen a part of the request.
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
	dialer  net.Dialer

	mu      sync.Mutex
	servers map[string]*connections
}

// connections are those to one incarnation of a server.
type connections struct {
	server Server
	open   int
	idle   []*conn
}

// noProbes leaves connections without the kernel's keep-alive probes. A connection that these
// give up is not reset, and the bytes of a request on it would reach the server when a cut
// heals, after the request was answered or sent elsewhere. Whoever waits for an answer bounds
// the wait, and closing resets.
const noProbes = -1

// New returns a pool without connections.
func New(options Options) *Pool {
	return &Pool{
		options: options,
		dialer:  net.Dialer{Timeout: options.DialTimeout, KeepAlive: noProbes},
		servers: map[string]*connections{},
	}
}

// Send writes one request and returns the head of its answer. The request goes out at
// most once. The error is an *Error.
func (p *Pool) Send(ctx context.Context, server Server, request Request) (*Response, error) {
	c, err := p.take(ctx, server)
	if err != nil {
		return nil, &Error{Server: server.ID, Err: err}
	}
	if request.MayGo != nil && !request.MayGo() {
		p.put(c)
		return nil, &Error{Server: server.ID, Err: ErrWithheld}
	}
	stop := context.AfterFunc(ctx, c.abort)
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
			p.put(c)
			return
		}
		p.discard(c)
	}
	return response, nil
}

// take returns a kept connection, the last used first, or a new one.
func (p *Pool) take(ctx context.Context, server Server) (*conn, error) {
	for {
		c, err := p.reserve(server)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx, server)
		}
		if c.alive(time.Now()) {
			return c, nil
		}
		p.discard(c)
	}
}

// reserve takes an idle connection out, or a place for a new one and returns nil.
func (p *Pool) reserve(server Server) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.servers[server.ID]
	if known == nil || known.server.Incarnation != server.Incarnation || known.server.Address != server.Address {
		if known != nil {
			known.closeIdle()
		}
		known = &connections{server: server}
		p.servers[server.ID] = known
	}
	if last := len(known.idle) - 1; last >= 0 {
		c := known.idle[last]
		known.idle = known.idle[:last]
		return c, nil
	}
	if server.MaxConnections > 0 && known.open >= server.MaxConnections {
		return nil, ErrBusy
	}
	known.open++
	return nil, nil
}

func (p *Pool) dial(ctx context.Context, server Server) (*conn, error) {
	p.mu.Lock()
	owner := p.servers[server.ID]
	p.mu.Unlock()
	if p.options.Dialled != nil {
		p.options.Dialled()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", server.Address)
	if err != nil {
		p.mu.Lock()
		owner.open--
		p.mu.Unlock()
		return nil, errors.Wrap(err, "dial")
	}
	if tcp, ok := raw.(*net.TCPConn); ok {
		// A request that was given up must not arrive when a cut heals: closing resets.
		if err := tcp.SetLinger(0); err != nil {
			return nil, errors.Wrap(err, "set linger")
		}
	}
	return newConn(raw, owner), nil
}

// put keeps a connection for the next request.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	kept := p.servers[c.owner.server.ID] == c.owner
	if kept {
		c.owner.idle = append(c.owner.idle, c)
	}
	p.mu.Unlock()
	if !kept {
		p.discard(c)
	}
}

func (p *Pool) discard(c *conn) {
	c.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	c.owner.open--
}

// closeIdle is called with the pool locked.
func (s *connections) closeIdle() {
	for _, c := range s.idle {
		c.close()
	}
	s.open -= len(s.idle)
	s.idle = nil
}

// Tick closes the connections that were unused for as long as their servers keep them,
// and those to servers that are not listed any more.
func (p *Pool) Tick(now time.Time, listed func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, known := range p.servers {
		if !listed(id) {
			known.closeIdle()
			if known.open == 0 {
				delete(p.servers, id)
			}
			continue
		}
		kept := known.idle[:0]
		for _, c := range known.idle {
			if c.expired(now) {
				c.close()
				known.open--
				continue
			}
			kept = append(kept, c)
		}
		known.idle = kept
	}
}
