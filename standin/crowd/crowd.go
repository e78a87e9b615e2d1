// Package crowd opens many connections whose clients do not behave: they exceed limits, never end what
// they begin, or never read what they get.
//
// # Usage
//
//	clients := crowd.Start(ctx, "127.0.0.1:7070", 400, crowd.BlankLines(1<<20))
//	defer clients.Stop()
package crowd

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// reconnectDelay is the time after which a client whose connection was closed opens another one.
	reconnectDelay = 500 * time.Millisecond
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 2 * time.Second
)

// Client acts on one connection until it is closed. Number distinguishes the clients of a crowd.
type Client func(conn net.Conn, number int)

// Crowd is a number of clients of one kind.
type Crowd struct {
	cancel  context.CancelFunc
	clients sync.WaitGroup
	// begun counts the connections whose client has acted, closed those that were closed.
	begun, closed atomic.Int64
}

// Start starts a number of clients, each of which opens a connection to address, and another one after
// its connection was closed.
func Start(ctx context.Context, address string, count int, client Client) *Crowd {
	ctx, cancel := context.WithCancel(ctx)
	c := &Crowd{cancel: cancel}
	for number := range count {
		c.clients.Go(func() {
			for ctx.Err() == nil {
				c.connect(ctx, address, number, client)
				select {
				case <-ctx.Done():
				case <-time.After(reconnectDelay):
				}
			}
		})
	}
	return c
}

func (c *Crowd) connect(ctx context.Context, address string, number int, client Client) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	c.begun.Add(1)
	client(conn, number)
	awaitClose(conn)
	c.closed.Add(1)
}

// awaitClose reads until the other side has closed the connection.
func awaitClose(conn net.Conn) {
	buffer := make([]byte, 512)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}

// Connections returns how many connections were opened, and how many of them were closed.
func (c *Crowd) Connections() (opened, closed int64) { return c.begun.Load(), c.closed.Load() }

// Stop closes all connections and returns when all clients have ended.
func (c *Crowd) Stop() {
	c.cancel()
	c.clients.Wait()
}
