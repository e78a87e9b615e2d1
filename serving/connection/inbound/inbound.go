// Package inbound bounds what the clients of a process hold together. It counts each accepted connection
// and the unfinished request on it against a memory budget, limits the number of connections, and closes
// the most wasteful connections when either runs short. A connection on which a whole request is being
// served is never closed.
//
// What one connection holds before its request is complete: its own buffers in the process and in the
// kernel, the head as sent and as parsed, and the body. Heads are counted while they are read, so that
// one over the limit is refused before net/http has parsed it.
//
// # Usage
//
//	requests := budget.Part(64 << 20)
//	connections := inbound.New(requests, requests.Part(32<<20))
//	listener, err := connections.Open("10.0.0.1:8080", inbound.Options{Connections: 2000})
//	server := &http.Server{Handler: handler}
//	connections.Attach(server, inbound.Handling{BodyTimeout: 10 * time.Second})
//	err = server.Serve(listener)
//
// In a handler, inbound.Served(ctx) marks the connection as one of an ordinary caller.
//
// # Locks
//
// Table.mu is locked before Conn.mu, and both before the mutex of the budget. No lock is held during I/O,
// but for the close of a connection.
package inbound

import (
	"cmp"
	"crypto/tls"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/serving/connection/memorybudget"
	"papayaport.dev/serving/connection/socketbuffer"
)

const (
	// ConnectionBytes is what a connection holds with the head of an ordinary request on it: about
	// 16 KB in the process, 16 KB of unread bytes in the kernel, and headAllowance.
	ConnectionBytes = 32<<10 + headAllowance
	// headAllowance is the cost of a head that is not counted separately, in bytes.
	headAllowance = 16 << 10
	// fieldBytes is what a parsed field of a head takes in addition to its text: entries in the maps of
	// the request, of its forwarded copy and of one attempt.
	fieldBytes = 320
	// tlsBytes is what TLS holds in addition: two records.
	tlsBytes = 32 << 10
	// headCopies is the number of copies of the text of a head that exist at a time.
	headCopies = 2
)

// Options configure a listener.
type Options struct {
	// HeadBytes returns the largest head of a request in bytes; nil stands for no limit here.
	HeadBytes func() int
	// Connections limits the open connections of the listener.
	Connections int
	// WriteTimeout bounds the time in which a client takes a part of an answer, 0 for no limit.
	WriteTimeout time.Duration
	// TLS enables TLS if it is not nil.
	TLS *tls.Config
	// Messages is set if the listener is not served by net/http. Begin, Hold and Complete of its connections
	// count the messages then. The kernel holds more of what is sent, since replies may be large.
	Messages bool
}

// Table holds the open connections of a process.
type Table struct {
	budget *memorybudget.Budget

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// releasing is the number of bytes of bodies that closed connections still hold, until their handlers
	// have ended.
	releasing int64
	// closed counts the connections that were closed for others.
	closed int64
}

// New returns a table without connections. It makes room when the budget or its part for bodies is short.
func New(budget, bodies *memorybudget.Budget) *Table {
	t := &Table{budget: budget, conns: map[*Conn]struct{}{}}
	budget.OnShortage(func(bytes int64) { t.release(bytes, func(u use) int64 { return u.held }) })
	bodies.OnShortage(func(bytes int64) { t.release(bytes, func(u use) int64 { return u.body }) })
	return t
}

// Open opens a listener at an address "IP:PORT".
func (t *Table) Open(address string, options Options) (net.Listener, error) {
	send := socketbuffer.AcceptedBytes
	if options.Messages {
		send = socketbuffer.Bytes
	}
	raw, err := socketbuffer.Listen(address, socketbuffer.AcceptedBytes, send)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	l := &listener{Listener: raw, table: t, options: options, connectionBytes: int64(ConnectionBytes + send - socketbuffer.AcceptedBytes)}
	if options.TLS != nil {
		l.Listener = tls.NewListener(raw, options.TLS)
		l.connectionBytes += tlsBytes
	}
	return l, nil
}

// Len returns the number of open connections.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// Closed returns the number of connections that were closed to make room for others.
func (t *Table) Closed() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closed
}

// listener accepts connections within the limits of its table.
type listener struct {
	net.Listener
	table   *Table
	options Options
	// connectionBytes is what each connection holds.
	connectionBytes int64
	open            int // guarded by table.mu
}

// Accept implements net.Listener. A connection for which there is no room is closed at once, so that its
// client can try another instance.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn, admitted := l.table.admit(l, raw); admitted {
			return conn, nil
		}
		_ = raw.Close() // nothing was read from it
	}
}

// admit adds a connection. If there is no room, the most wasteful connection is closed for it.
func (t *Table) admit(l *listener, raw net.Conn) (*Conn, bool) {
	conn := &Conn{Conn: raw, table: t, listener: l, closed: make(chan struct{}), share: t.budget.Share(), use: use{since: time.Now(), held: l.connectionBytes}}
	if t.openAt(l) >= l.options.Connections && !t.closeWorst(l) {
		return nil, false
	}
	reserve := func() bool { return conn.share.TryResize(int(l.connectionBytes)) }
	if !reserve() && (!t.closeWorst(nil) || !reserve()) {
		return nil, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[conn] = struct{}{}
	l.open++
	return conn, true
}

// openAt returns the number of open connections of a listener.
func (t *Table) openAt(l *listener) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return l.open
}

// remove releases what a connection holds.
func (t *Table) remove(c *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, open := t.conns[c]; !open {
		return
	}
	delete(t.conns, c)
	c.listener.open--
	c.mu.Lock()
	defer c.mu.Unlock()
	c.share.Close()
}

// candidate is a connection that may be closed, and what that releases.
type candidate struct {
	conn  *Conn
	waste waste
	bytes int64
}

// candidates returns the connections whose close releases bytes, the most wasteful first.
func (t *Table) candidates(now time.Time, releases func(use) int64) []candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []candidate
	for conn := range t.conns {
		u := conn.snapshot()
		if bytes := releases(u); bytes > 0 && u.isClosable(now) {
			found = append(found, candidate{conn, u.waste(now), bytes})
		}
	}
	slices.SortFunc(found, func(a, b candidate) int { return b.waste.compare(a.waste) })
	return found
}

// closeWorst closes the most wasteful connection, and reports whether there was one.
func (t *Table) closeWorst(l *listener) bool {
	now := time.Now()
	t.mu.Lock()
	var worst *Conn
	var most waste
	for conn := range t.conns {
		if l != nil && conn.listener != l {
			continue
		}
		if u := conn.snapshot(); u.isClosable(now) {
			if w := u.waste(now); worst == nil || w.compare(most) > 0 {
				worst, most = conn, w
			}
		}
	}
	t.mu.Unlock()
	if worst == nil {
		return false
	}
	t.closeFor(worst)
	return true
}

// release closes wasteful connections that hold a number of bytes together. A connection is closed only
// if it wastes several times what a new request of that size does, so that ordinary requests are not
// closed for each other.
func (t *Table) release(bytes int64, releases func(use) int64) {
	least := wasteOfNew(bytes)
	t.mu.Lock()
	missing := bytes - t.releasing
	t.mu.Unlock()
	if missing <= 0 {
		return
	}
	for _, c := range t.candidates(time.Now(), releases) {
		if missing <= 0 || c.waste.compare(least) <= 0 {
			return
		}
		missing -= c.bytes
		t.closeFor(c.conn)
	}
}

func (t *Table) closeFor(c *Conn) {
	t.mu.Lock()
	t.closed++
	t.releasing += c.markReleasing()
	t.mu.Unlock()
	_ = c.Close() // the client gets a reset, or nothing if it has gone
}

// released records that the handler of a closed connection has ended.
func (t *Table) released(bytes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.releasing -= bytes
}

// compare orders by rank, then by amount.
func (w waste) compare(other waste) int {
	return cmp.Or(cmp.Compare(w.rank, other.rank), cmp.Compare(w.amount, other.amount))
}
