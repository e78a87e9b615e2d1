package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"papayaport.dev/serving/connection/answer"
)

const (
	// reusableShare is the share of the keep-alive time announced by a server within which an
	// idle connection is reused, so that a request does not race with the server's close.
	reusableShare = 0.6
	// maxForeignAnswers is the maximum number of skipped foreign answers per request.
	maxForeignAnswers = 3
	// maxForeignBytes limits the body of a skipped answer: several times the usual body of a
	// plain service. Above it, closing the connection is cheaper than reading the rest.
	maxForeignBytes = 64 << 10
	// inlineBodyBytes is the largest body in bytes that is written together with the head. A larger
	// body is written concurrently with reading the answer, since a server may answer before it
	// has read the whole body.
	inlineBodyBytes = 2 << 10
	// maxRequests is the number of requests after which a connection is closed. It bounds the
	// memory for their ids to 2 kB.
	maxRequests = 256
	// bufferBytes is the size of a connection's read buffer in bytes.
	bufferBytes = 4 << 10
)

// Request is a request to a backend server.
type Request struct {
	ID     string
	Method string
	// Target is the path and query, unchanged from the caller's request.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// StillAccepted is called right before the first byte is written and reports whether the server
	// still accepts the request; nil means that it does.
	StillAccepted func() bool
}

// Framing is how the end of an answer's body is marked (RFC 9112, section 6.3).
type Framing string

// Framings of an answer. An answer that is framed by its connection has neither a length nor
// chunks, so that the close of the connection alone does not tell whether it is complete.
const (
	ByLength     Framing = "length"
	ByChunks     Framing = "chunks"
	ByConnection Framing = "connection"
)

func framingOf(raw *http.Response) Framing {
	switch {
	case len(raw.TransferEncoding) > 0:
		return ByChunks
	case raw.ContentLength < 0:
		return ByConnection
	}
	return ByLength
}

// Response is the head of an answer. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes that the server announced, -1 if unknown.
	Length  int64
	Framing Framing
	// Body ends with io.EOF only if the answer is complete.
	Body io.Reader

	conn       *conn
	raw        *http.Response
	bodyReader *completionReader
	finish     func(reusable bool)
	once       sync.Once
}

// Close returns the connection to the pool if the answer was read completely and the
// connection is reusable, and closes it otherwise.
func (r *Response) Close() {
	r.once.Do(func() {
		whole := r.bodyReader.complete && !r.raw.Close && r.conn.isWritten() && r.conn.in.Buffered() == 0
		if whole {
			r.conn.recordUse(time.Now(), r.raw.Header)
		}
		r.finish(whole && r.conn.keepAlive > 0 && len(r.conn.sentIDs) < maxRequests)
	})
}

// completionReader records whether a body was read to its end.
type completionReader struct {
	io.Reader
	conn     *conn
	raw      *http.Response
	complete bool
}

// Read implements io.Reader.
func (e *completionReader) Read(p []byte) (int, error) {
	n, err := e.Reader.Read(p)
	if err != io.EOF { //nolint:errorlint // as io.Reader requires
		return n, err
	}
	if err := answer.CheckFields(e.raw.Trailer); err != nil {
		return n, err
	}
	// A reset that the write of the request received is not seen by the read, which ends as if the answer
	// were whole.
	if framingOf(e.raw) == ByConnection && !e.conn.awaitWritten() {
		return n, errors.Wrap(io.ErrUnexpectedEOF, "the connection ended before the request was written")
	}
	e.complete = true
	return n, io.EOF
}

// conn is one connection to a backend server. It carries one request at a time.
type conn struct {
	raw   net.Conn
	owner *connections
	head  *headReader
	in    *bufio.Reader
	out   *bufio.Writer
	// keepAlive is how long the connection may be idle, according to the last answer.
	keepAlive time.Duration
	lastUsed  time.Time
	// sentIDs are the hashes of the ids of the requests that were sent on this connection.
	sentIDs []uint64
	// written is closed once the last request was written completely, and unwritten once that has failed.
	written, unwritten chan struct{}
	closing            sync.Once
}

func newConn(raw net.Conn, owner *connections) *conn {
	head := &headReader{in: raw}
	return &conn{raw: raw, owner: owner, head: head, in: bufio.NewReaderSize(head, bufferBytes), out: bufio.NewWriter(raw)}
}

func (c *conn) abortExchange() { c.close() }

func (c *conn) close() {
	c.closing.Do(func() {
		// The connection is discarded in any case, so the error does not matter.
		_ = c.raw.Close()
	})
}

// recordUse records when an answer ended and how long the server keeps the connection open.
func (c *conn) recordUse(now time.Time, header http.Header) {
	c.lastUsed, c.keepAlive = now, 0
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if seconds, err := strconv.Atoi(value); found && err == nil {
			c.keepAlive = time.Duration(reusableShare * float64(seconds) * float64(time.Second))
		}
	}
}

// hasSent reports whether a request with this id was sent on the connection before. A late second
// answer to that request could not be told from the answer to this one.
func (c *conn) hasSent(id string) bool { return slices.Contains(c.sentIDs, xxhash.Sum64String(id)) }

func (c *conn) expired(now time.Time) bool { return now.Sub(c.lastUsed) >= c.keepAlive }

// isUsable reports whether an idle connection can be reused: it is not expired, not closed by
// the server and has no unsolicited bytes to read.
func (c *conn) isUsable(now time.Time) bool {
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

// isWritten reports whether the whole request was written.
func (c *conn) isWritten() bool {
	select {
	case <-c.written:
		return true
	default:
		return false
	}
}

// awaitWritten waits until the write of the request has ended, and reports whether the whole request was
// written. Closing the connection ends the write.
func (c *conn) awaitWritten() bool {
	select {
	case <-c.written:
		return true
	case <-c.unwritten:
		return false
	}
}

// exchange writes a request and reads the head of its answer. Sent reports whether a byte of
// the request may have been sent.
func (c *conn) exchange(request Request, echo string) (response *Response, sent bool, err error) {
	c.written, c.unwritten = make(chan struct{}), make(chan struct{})
	c.sentIDs = append(c.sentIDs, xxhash.Sum64String(request.ID))
	if err := c.writeHead(request); err != nil {
		return nil, true, errors.Wrap(err, "write request")
	}
	if len(request.Body) <= inlineBodyBytes {
		if err := c.writeBody(request.Body); err != nil {
			return nil, true, err
		}
	} else {
		unwritten := c.unwritten
		go func() {
			// A failed write leads to a failed read of the answer, but for one that ends with the connection.
			if c.writeBody(request.Body) != nil {
				close(unwritten)
			}
		}()
	}
	raw, err := c.readHead(request, echo)
	if err != nil {
		return nil, true, err
	}
	ended, length := &completionReader{Reader: raw.Body, conn: c, raw: raw}, raw.ContentLength
	if raw.Body == http.NoBody {
		length = 0 // the answer to a HEAD request announces the length of the GET body
	}
	return &Response{
		Status: raw.StatusCode, Header: raw.Header, Length: length, Framing: framingOf(raw), Body: ended,
		conn: c, raw: raw, bodyReader: ended,
	}, true, nil
}

func (c *conn) writeHead(request Request) error {
	write := func(parts ...string) {
		for _, part := range parts {
			// bufio.Writer retains its first error and returns it from Flush.
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
	if len(request.Body) <= inlineBodyBytes {
		return nil // flushed with the body
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
	close(c.written)
	return nil
}

// readHead reads answers until one belongs to the request, skipping foreign ones.
func (c *conn) readHead(request Request, echo string) (*http.Response, error) {
	for range maxForeignAnswers + 1 {
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
			// It may be a late duplicate of an earlier answer, after which none may follow.
			return nil, errors.Wrap(ErrForeignAnswer, "answer without a request id on a reused connection")
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(raw.Body, maxForeignBytes)); err != nil || n == maxForeignBytes || raw.Close {
			return nil, ErrForeignAnswer
		}
	}
	return nil, ErrForeignAnswer
}
