package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// usableShare is the share of the idle time announced by a server within which a kept
	// connection is used again, so that a request doesn't cross the server's close.
	usableShare = 0.6
	// maxForeign is the number of answers to other requests that are skipped for one.
	maxForeign = 3
	// maxForeignBytes bounds the body of a skipped answer in bytes: several times the usual one
	// of a plain service. A connection with a larger one is not worth the reading.
	maxForeignBytes = 64 << 10
	// inlineBody is the largest body in bytes that is written together with the head;
	// a larger one goes out beside reading, since a server may answer before it has read all.
	inlineBody = 2 << 10
	// bufferBytes is the size of a connection's read buffer in bytes.
	bufferBytes = 4 << 10
)

// Request is one request as it goes out.
type Request struct {
	ID     string
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MayGo is asked right before the first byte goes out and tells whether the server still
	// takes the request; nil stands for one that always does.
	MayGo func() bool
}

// Response is the head of an answer. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the number of bytes of the body as the server tells it, -1 when it doesn't.
	Length int64
	// Body ends with io.EOF only when the answer is whole.
	Body io.Reader

	conn   *conn
	raw    *http.Response
	ended  *endReader
	finish func(reusable bool)
	once   sync.Once
}

// Close gives the connection back when the answer was read whole, and closes it otherwise.
func (r *Response) Close() {
	r.once.Do(func() {
		whole := r.ended.whole && !r.raw.Close && r.conn.written() && r.conn.in.Buffered() == 0
		if whole {
			r.conn.used(time.Now(), r.raw.Header)
		}
		r.finish(whole && r.conn.keep > 0)
	})
}

// endReader notes that a body was read to its end.
type endReader struct {
	io.Reader
	whole bool
}

// Read implements io.Reader.
func (e *endReader) Read(p []byte) (int, error) {
	n, err := e.Reader.Read(p)
	if err == io.EOF {
		e.whole = true
	}
	return n, err
}

// conn is one connection to a backend server. It carries one request at a time.
type conn struct {
	raw   net.Conn
	owner *connections
	head  *headReader
	in    *bufio.Reader
	out   *bufio.Writer
	// keep is how long the connection may stay unused, as of the last answer.
	keep     time.Duration
	lastUsed time.Time
	// writing is closed when the last request was written whole.
	writing chan struct{}
	closing sync.Once
}

func newConn(raw net.Conn, owner *connections) *conn {
	head := &headReader{in: raw}
	return &conn{raw: raw, owner: owner, head: head, in: bufio.NewReaderSize(head, bufferBytes), out: bufio.NewWriter(raw)}
}

func (c *conn) abort() { c.close() }

func (c *conn) close() {
	c.closing.Do(func() {
		// The connection is given up either way; there is nothing to do about the error.
		_ = c.raw.Close()
	})
}

// used takes in when an answer ended and how long the server keeps the connection.
func (c *conn) used(now time.Time, header http.Header) {
	c.lastUsed, c.keep = now, 0
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if seconds, err := strconv.Atoi(value); found && err == nil {
			c.keep = time.Duration(usableShare * float64(seconds) * float64(time.Second))
		}
	}
}

func (c *conn) expired(now time.Time) bool { return now.Sub(c.lastUsed) >= c.keep }

// alive tells whether a kept connection can carry a request: not too old, not closed by
// the server, and without bytes that nothing asked for.
func (c *conn) alive(now time.Time) bool {
	if c.expired(now) || c.in.Buffered() > 0 {
		return false
	}
	control, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := control.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// written tells whether the whole request went out.
func (c *conn) written() bool {
	select {
	case <-c.writing:
		return true
	default:
		return false
	}
}

// exchange writes a request and reads the head of its answer. Sent tells whether a byte
// of the request may have left.
func (c *conn) exchange(request Request, echo string) (response *Response, sent bool, err error) {
	c.writing = make(chan struct{})
	if err := c.writeHead(request); err != nil {
		return nil, true, errors.Wrap(err, "write request")
	}
	if len(request.Body) <= inlineBody {
		if err := c.writeBody(request.Body); err != nil {
			return nil, true, err
		}
	} else {
		go func() {
			// A failed write shows as a failed read of the answer.
			_ = c.writeBody(request.Body)
		}()
	}
	raw, err := c.readHead(request, echo)
	if err != nil {
		return nil, true, err
	}
	ended, length := &endReader{Reader: raw.Body}, raw.ContentLength
	if raw.Body == http.NoBody {
		length = 0 // the answer to a HEAD request tells the length of another's body
	}
	return &Response{Status: raw.StatusCode, Header: raw.Header, Length: length, Body: ended, conn: c, raw: raw, ended: ended}, true, nil
}

func (c *conn) writeHead(request Request) error {
	write := func(parts ...string) {
		for _, part := range parts {
			// bufio.Writer keeps its first error and returns it from Flush.
			_, _ = c.out.WriteString(part)
		}
	}
	write(request.Method, " ", request.Target, " HTTP/1.1\r\nHost: ", request.Host, "\r\n")
	for name, values := range request.Header {
		for _, value := range values {
			write(name, ": ", value, "\r\n")
		}
	}
	if len(request.Body) > 0 || (request.Method != http.MethodGet && request.Method != http.MethodHead) {
		write("Content-Length: ", strconv.Itoa(len(request.Body)), "\r\n")
	}
	write("\r\n")
	if len(request.Body) <= inlineBody {
		return nil // goes out with the body
	}
	return c.out.Flush()
}

func (c *conn) writeBody(body []byte) error {
	if _, err := c.out.Write(body); err != nil {
		return errors.Wrap(err, "write body")
	}
	if err := c.out.Flush(); err != nil {
		return errors.Wrap(err, "write body")
	}
	close(c.writing)
	return nil
}

// readHead reads answers until one belongs to the request.
func (c *conn) readHead(request Request, echo string) (*http.Response, error) {
	for range maxForeign + 1 {
		if err := c.head.begin(c.in); err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		raw, err := http.ReadResponse(c.in, &http.Request{Method: request.Method})
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if raw.StatusCode/100 == 1 {
			continue
		}
		switch id := raw.Header.Get(echo); {
		case id == request.ID:
			return raw, nil
		case id == "" && c.lastUsed.IsZero():
			return raw, nil
		case id == "":
			// It may be a late copy of an earlier answer, and no other may follow.
			return nil, errors.Wrap(ErrForeign, "an answer that names no request, on a connection with earlier ones")
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(raw.Body, maxForeignBytes)); err != nil || n == maxForeignBytes || raw.Close {
			return nil, ErrForeign
		}
	}
	return nil, ErrForeign
}
