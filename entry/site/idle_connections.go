package site

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/version/deployment"
)

// idleConnections tracks the callers' idle connections, to enforce timeouts that change with the
// configuration. Those of a net/http server are fixed when it starts.
type idleConnections struct {
	mu sync.Mutex
	// idleSince is when each idle connection was opened or finished its last response.
	idleSince map[net.Conn]idleState
	// closing holds connections that are being closed. A request that is read from one in the
	// meantime must not be forwarded, since its response could not be delivered.
	closing map[net.Conn]bool
}

type idleState struct {
	at time.Time
	// isNew is set when no request was read from the connection yet.
	isNew bool
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// attach installs the hooks and the handler that track the connections of server.
func (c *idleConnections) attach(server *http.Server) {
	server.ConnState = c.connState
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, _ := r.Context().Value(connKey{}).(net.Conn); c.isClosing(conn) {
			panic(http.ErrAbortHandler) // net/http closes the connection without an answer
		}
		handler.ServeHTTP(w, r)
	})
}

// connState is the ConnState hook of the callers' server.
func (c *idleConnections) connState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed {
		delete(c.closing, conn)
	}
	if state != http.StateNew && state != http.StateIdle {
		delete(c.idleSince, conn)
		return
	}
	if c.idleSince == nil {
		c.idleSince, c.closing = map[net.Conn]idleState{}, map[net.Conn]bool{}
	}
	c.idleSince[conn] = idleState{at: time.Now(), isNew: state == http.StateNew}
}

func (c *idleConnections) isClosing(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing[conn]
}

// overdue returns the connections on which no complete request head arrived in time, and marks
// them as closing. On a reused connection the head may start at the end of the idle timeout, so
// that the header timeout is added to it.
func (c *idleConnections) overdue(now time.Time, limits deployment.Limits) []net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var conns []net.Conn
	for conn, since := range c.idleSince {
		limit := limits.HeaderTimeout
		if !since.isNew && limits.IdleTimeout > 0 {
			limit += limits.IdleTimeout
		} else if !since.isNew {
			limit = 0
		}
		if limit > 0 && now.Sub(since.at) > limit {
			delete(c.idleSince, conn)
			c.closing[conn] = true
			conns = append(conns, conn)
		}
	}
	return conns
}

// closeOverdue closes connections that exceed the timeouts of the configuration in force.
func (s *Site) closeOverdue(now time.Time) {
	version := s.keeper.Current()
	if version == nil {
		return
	}
	conns := s.idle.overdue(now, version.Limits)
	for _, conn := range conns {
		if err := conn.Close(); err != nil {
			s.logger("site").WithError(err).Debug("site: closing a caller's connection failed")
		}
	}
	s.overdue.Add(len(conns))
}

// closedLogPeriod is the smallest interval between log lines about connections that were closed for others.
const closedLogPeriod = 10 * time.Second

// logClosed logs how many connections were closed to make room for others since the last line.
func (s *Site) logClosed(now time.Time) {
	closed := s.connections.Closed()
	if closed == s.closedLogged || now.Sub(s.closedLoggedAt) < closedLogPeriod {
		return
	}
	s.logger("site").WithFields(logrus.Fields{
		"closed": closed - s.closedLogged, "open": s.connections.Len(), "request_memory_bytes": s.requests.Reserved(),
	}).Warn("site: connections closed to make room for others")
	s.closedLogged, s.closedLoggedAt = closed, now
}
