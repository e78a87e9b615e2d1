package inbound

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// Handling is how the requests of a server are counted.
type Handling struct {
	// BodyTimeout bounds the time to read a body, 0 for no limit here.
	BodyTimeout time.Duration
	// CountBodies has bodies counted while they are read, for handlers that don't reserve memory for
	// them.
	CountBodies bool
	// AllOrdinary takes every client whose request was whole for an ordinary one. Otherwise Served tells.
	AllOrdinary bool
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// requestConn returns the connection of a request, nil for none.
func requestConn(ctx context.Context) *Conn {
	conn, _ := ctx.Value(connKey{}).(*Conn)
	return conn
}

// Served marks the connection of a request as one of an ordinary caller.
func Served(ctx context.Context) {
	if conn := requestConn(ctx); conn != nil {
		conn.markOrdinary()
	}
}

// Attach has the connections of server counted. It keeps the hooks that the server has.
func (t *Table) Attach(server *http.Server, handling Handling) {
	state, base := server.ConnState, server.ConnContext
	server.ConnState = func(conn net.Conn, now http.ConnState) {
		if counted, ok := conn.(*Conn); ok {
			counted.setState(now)
		}
		if state != nil {
			state(conn, now)
		}
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if base != nil {
			ctx = base(ctx, conn)
		}
		if counted, ok := conn.(*Conn); ok {
			ctx = context.WithValue(ctx, connKey{}, counted)
		}
		return ctx
	}
	server.Handler = &countingHandler{next: server.Handler, handling: handling}
}

// countingHandler counts the bodies of requests.
type countingHandler struct {
	next     http.Handler
	handling Handling
}

// ServeHTTP implements http.Handler.
func (h *countingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := requestConn(r.Context())
	if conn == nil {
		h.next.ServeHTTP(w, r)
		return
	}
	defer conn.endRequest()
	if r.Body == nil || r.Body == http.NoBody {
		conn.complete()
		h.next.ServeHTTP(w, r)
		if h.handling.AllOrdinary {
			conn.markOrdinary()
		}
		return
	}
	control := http.NewResponseController(w)
	if h.handling.BodyTimeout > 0 {
		// It also bounds the time in which net/http reads the rest of a body that the handler leaves.
		if err := control.SetReadDeadline(time.Now().Add(h.handling.BodyTimeout)); err != nil {
			panic(http.ErrAbortHandler) // the connection was closed
		}
	}
	body := &countedBody{ReadCloser: r.Body, conn: conn, request: r, control: control, reserve: h.handling.CountBodies}
	counted := *r
	counted.Body = body
	h.next.ServeHTTP(w, &counted)
	if h.handling.AllOrdinary && body.complete {
		conn.markOrdinary()
	}
}

// countedBody counts a body while it is read.
type countedBody struct {
	io.ReadCloser
	conn    *Conn
	request *http.Request
	control *http.ResponseController
	reserve bool
	bytes   int64
	// begun is set once a part was asked for, and complete once the end was read.
	begun, complete bool
	grown           bool
}

// errNoMemory means that others hold the memory for a body.
var errNoMemory = errors.New("others hold the memory for bodies")

// bodyCopies is the number of copies of a counted body that its handler makes.
const bodyCopies = 3

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	if !b.begun {
		// A handler reserves the whole of a body of announced length before it reads.
		b.begun = true
		b.conn.addBody(max(b.request.ContentLength, 0))
	}
	n, err := b.ReadCloser.Read(p)
	b.bytes += int64(n)
	if b.request.ContentLength < 0 {
		b.conn.addBody(int64(n))
	}
	if !b.grown && b.bytes >= growAt {
		b.grown = true
		b.conn.growReceive()
	}
	if b.reserve && !b.conn.Hold(bodyCopies*b.bytes) {
		return 0, errNoMemory
	}
	if errors.Is(err, io.EOF) && !b.complete {
		b.complete = true
		// The fields of a trailer have no meaning here.
		b.request.Trailer = nil
		b.conn.complete()
		if b.grown {
			b.conn.shrinkReceive()
		}
		// A deadline that is left would end the request when it passes.
		if deadlineErr := b.control.SetReadDeadline(time.Time{}); deadlineErr != nil {
			return n, deadlineErr
		}
	}
	return n, err
}
