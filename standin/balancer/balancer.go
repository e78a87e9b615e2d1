// Package balancer simulates the platform's load balancer: it forwards each TCP connection to the
// ready entry instance with the fewest connections. It works at the transport layer, so it can't
// retry a request.
//
// # Usage
//
//	b := balancer.New([]string{"127.0.0.1:8001", "127.0.0.1:8002"}, httpClient)
//	go b.Check(ctx)
//	err := b.Serve(ctx, "127.0.0.1:8000")
//
// # Locks
//
// The mutex of a Balancer guards its entries.
package balancer

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// checkInterval is the interval of the readiness checks.
	checkInterval = 200 * time.Millisecond
	// checkTimeout is the timeout of one readiness check.
	checkTimeout = 500 * time.Millisecond
	// dialTimeout is the timeout for connecting to an entry.
	dialTimeout = 500 * time.Millisecond
)

// Balancer distributes connections over entries.
type Balancer struct {
	http *http.Client

	mu      sync.Mutex
	entries []*entry
	// turn rotates the order in which entries are considered.
	turn int
}

// entry is one entry instance.
type entry struct {
	address string
	ready   bool
	open    int
}

// New returns a balancer over the entries with the given addresses of their listeners for callers.
// No entry is ready before the first check.
func New(addresses []string, httpClient *http.Client) *Balancer {
	b := &Balancer{http: httpClient}
	for _, address := range addresses {
		b.entries = append(b.entries, &entry{address: address})
	}
	return b
}

// Check checks the entries' readiness periodically until ctx ends.
func (b *Balancer) Check(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		b.checkAll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (b *Balancer) checkAll(ctx context.Context) {
	var group errgroup.Group
	for _, e := range b.entries {
		group.Go(func() error {
			ready := b.isReady(ctx, e.address)
			b.mu.Lock()
			defer b.mu.Unlock()
			e.ready = ready
			return nil
		})
	}
	_ = group.Wait()
}

func (b *Balancer) isReady(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := b.http.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Serve forwards connections until ctx ends, and then closes them.
func (b *Balancer) Serve(ctx context.Context, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listening")
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accepting a connection")
		}
		go b.forward(ctx, conn)
	}
}

// forward connects a caller with an entry. An entry that can't be reached is marked as not ready,
// and another one is tried.
func (b *Balancer) forward(ctx context.Context, caller net.Conn) {
	defer caller.Close()
	tried := map[*entry]bool{}
	for {
		e := b.acquire(tried)
		if e == nil {
			return
		}
		tried[e] = true
		server, err := net.DialTimeout("tcp", e.address, dialTimeout)
		if err != nil {
			b.release(e, false)
			continue
		}
		copyBoth(ctx, caller, server)
		b.release(e, true)
		return
	}
}

// acquire selects the untried ready entry with the fewest connections and counts a connection to
// it, or returns nil. Ties are broken in rotation.
func (b *Balancer) acquire(tried map[*entry]bool) *entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var chosen *entry
	b.turn++
	for i := range b.entries {
		e := b.entries[(b.turn+i)%len(b.entries)]
		if !e.ready || tried[e] {
			continue
		}
		if chosen == nil || e.open < chosen.open {
			chosen = e
		}
	}
	if chosen != nil {
		chosen.open++
	}
	return chosen
}

func (b *Balancer) release(e *entry, reached bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e.open--
	e.ready = e.ready && reached
}

// copyBoth copies data in both directions until both have ended or ctx ends.
func copyBoth(ctx context.Context, a, b net.Conn) {
	stop := context.AfterFunc(ctx, func() { closeBoth(a, b) })
	defer stop()
	defer closeBoth(a, b)
	var group errgroup.Group
	group.Go(func() error { return copyHalf(a, b) })
	group.Go(func() error { return copyHalf(b, a) })
	_ = group.Wait()
}

// copyHalf copies one direction. A regular end closes only that direction, and an error closes
// both connections.
func copyHalf(from, to net.Conn) error {
	_, err := io.Copy(to, from)
	if err != nil {
		closeBoth(from, to)
		return err
	}
	if half, ok := to.(*net.TCPConn); ok {
		return half.CloseWrite()
	}
	return nil
}

func closeBoth(a, b net.Conn) {
	_ = a.Close()
	_ = b.Close()
}
