package inbound

import (
	"bytes"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/serving/connection/memorybudget"
	"papayaport.dev/serving/connection/socketbuffer"
	"papayaport.dev/serving/process/problem"
)

const (
	// refusalTimeout bounds the write of a refusal, and lingerTime is how long the connection stays open
	// after it, so that the client can read it before its own bytes cause a reset.
	refusalTimeout = 200 * time.Millisecond
	lingerTime     = 300 * time.Millisecond
	// writePieceBytes is the part of an answer that a client has to take within the write timeout.
	writePieceBytes = 64 << 10
	// chargeStep is the step in which unfinished requests are reserved, in bytes.
	chargeStep = 16 << 10
)

// errRefused is the error of reads after a refusal.
var errRefused = errors.New("the request was refused")

// Conn is one accepted connection.
type Conn struct {
	net.Conn
	table    *Table
	listener *listener
	closing  sync.Once
	// closed is closed with the connection.
	closed chan struct{}

	mu    sync.Mutex
	use   use
	share *memorybudget.Share
	// headBytes and headLines are the size of the head that is being read.
	headBytes, headLines int
	// unfinished, receive and send are what is reserved beyond the bytes of each connection: for an
	// unfinished request, and for larger buffers of the kernel.
	unfinished, receive, send int64
	isClosed                  bool
	// releasing is what the handler still holds after the connection was closed for others.
	releasing int64
}

// Read implements net.Conn. It refuses a head that exceeds its limit or for which there is no memory.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		answerPlainHTTP(err)
		return n, err
	}
	if refusal := c.received(p[:n]); refusal != nil {
		c.refuse(refusal)
		// net/http answers no request whose read failed in this way.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errRefused}
	}
	return n, err
}

// answerPlainHTTP answers a client that sent HTTP to a listener with TLS. net/http does so only for
// connections that are of the type *tls.Conn.
func answerPlainHTTP(err error) {
	var header tls.RecordHeaderError
	if !errors.As(err, &header) || header.Conn == nil || !httpMethods[string(header.RecordHeader[:])] {
		return
	}
	if header.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout)) == nil {
		// The client may have gone.
		_, _ = io.WriteString(header.Conn, "HTTP/1.0 400 Bad Request\r\n\r\nClient sent an HTTP request to an HTTPS server.\n")
	}
}

// httpMethods are the first five bytes of requests in HTTP.
var httpMethods = map[string]bool{"GET /": true, "HEAD ": true, "POST ": true, "PUT /": true, "OPTIO": true}

// received counts bytes that were read.
func (c *Conn) received(data []byte) *problem.Error {
	size, cost := c.count(data)
	if limit := c.listener.options.HeadBytes; limit != nil && size > limit() {
		return problem.New(problem.HeaderTooLarge, "the head is over %d bytes", limit())
	}
	if size > 0 && !c.Hold(cost-headAllowance) {
		return problem.New(problem.QueueFull, "other requests hold the memory for heads")
	}
	return nil
}

// count adds bytes to the unfinished request, and returns the size and the cost of its head, 0 if they are
// not part of one.
func (c *Conn) count(data []byte) (size int, cost int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.use.phase == idle && !c.listener.options.Messages {
		c.use.phase, c.use.since, c.use.received = readingHead, time.Now(), 0
	}
	c.use.received += int64(len(data))
	if c.use.phase != readingHead {
		return 0, 0
	}
	c.headBytes += len(data)
	c.headLines += bytes.Count(data, []byte{'\n'})
	return c.headBytes, int64(headCopies*c.headBytes + fieldBytes*c.headLines)
}

// Hold reserves memory for a part of an unfinished request beyond what each connection has, and reports
// whether there was any. Wasteful connections are closed for it.
func (c *Conn) Hold(bytes int64) bool {
	unfinished := (max(bytes, 0) + chargeStep - 1) / chargeStep * chargeStep
	return c.resize(func() { c.unfinished = unfinished })
}

// resize applies a change to what the connection reserves, if there is memory for it.
func (c *Conn) resize(change func()) bool {
	missing, ok := c.tryResize(change)
	if !ok && missing > 0 {
		c.table.release(missing, func(u use) int64 { return u.held })
		_, ok = c.tryResize(change)
	}
	return ok
}

func (c *Conn) tryResize(change func()) (missing int64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return 0, false
	}
	unfinished, receive, send := c.unfinished, c.receive, c.send
	change()
	reserved := c.unfinished + c.receive + c.send
	added := reserved - unfinished - receive - send
	if added != 0 && !c.share.TryResize(int(c.listener.connectionBytes+reserved)) {
		c.unfinished, c.receive, c.send = unfinished, receive, send
		return added, false
	}
	c.use.held += added
	return 0, true
}

// Begin marks the arrival of a part of a message, and Complete that of its end.
func (c *Conn) Begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.use.phase == idle {
		c.use.phase, c.use.since, c.use.received = readingBody, time.Now(), 0
	}
}

// Complete marks the end of a message.
func (c *Conn) Complete() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.use.phase, c.use.since, c.use.ordinary = idle, time.Now(), true
}

// refuse writes a problem document, in place of an answer.
func (c *Conn) refuse(failure *problem.Error) {
	document := failure.Document("")
	body, err := json.Marshal(document)
	if err != nil {
		return // unreachable: a document has only plain fields
	}
	retryAfter := ""
	if document.RetryAfterMS > 0 {
		retryAfter = fmt.Sprintf("Retry-After: %d\r\n", (document.RetryAfterMS+999)/1000)
	}
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: %s\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n",
		document.Status, http.StatusText(document.Status), problem.MediaType, retryAfter, len(body))
	if c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout)) != nil {
		return
	}
	if _, err := c.Conn.Write(append([]byte(head), body...)); err != nil {
		return
	}
	if c.CloseWrite() != nil {
		return
	}
	select {
	case <-time.After(lingerTime):
	case <-c.closed:
	}
}

// Write implements net.Conn. Each part of an answer has the write timeout of the listener.
func (c *Conn) Write(p []byte) (written int, err error) {
	c.setWriting(time.Now())
	defer c.setWriting(time.Time{})
	if len(p) > writePieceBytes {
		c.growSend()
		defer c.shrinkSend()
	}
	for first := true; first || len(p) > 0; first = false {
		if timeout := c.listener.options.WriteTimeout; timeout > 0 {
			if err := c.Conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
				return written, err
			}
			c.setWriting(time.Now())
		}
		n, err := c.Conn.Write(p[:min(len(p), writePieceBytes)])
		written += n
		if err != nil {
			return written, err
		}
		p = p[n:]
	}
	return written, nil
}

func (c *Conn) setWriting(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.use.writingSince = since
}

// CloseWrite closes the writing side, if the connection has one.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closing.Do(func() {
		c.mu.Lock()
		c.isClosed = true
		c.mu.Unlock()
		close(c.closed)
		c.table.remove(c)
	})
	return c.Conn.Close()
}

func (c *Conn) snapshot() use {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.use
}

// setState follows the states of a connection in net/http.
func (c *Conn) setState(state http.ConnState) {
	c.mu.Lock()
	switch state {
	case http.StateActive:
		if c.use.phase != serving {
			c.use.phase = readingBody
		}
		c.mu.Unlock()
	case http.StateIdle:
		c.use.phase, c.use.since, c.headBytes, c.headLines = idle, time.Now(), 0, 0
		c.mu.Unlock()
		c.Hold(0)
	default:
		c.mu.Unlock()
	}
}

// addBody records bytes of the body that the handler holds.
func (c *Conn) addBody(bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.use.body += bytes
	c.use.held += bytes
}

// growAt is the size of a body in bytes from which on the kernel may hold more of it.
const growAt = 64 << 10

// growReceive has the kernel hold more of a large body, if there is memory for it.
func (c *Conn) growReceive() {
	tcp, ok := c.Conn.(*net.TCPConn)
	if ok && c.resize(func() { c.receive = socketbuffer.Bytes }) {
		_ = tcp.SetReadBuffer(socketbuffer.Bytes) // the connection was closed, or keeps the smaller buffer
	}
}

// shrinkReceive undoes growReceive.
func (c *Conn) shrinkReceive() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && tcp.SetReadBuffer(socketbuffer.AcceptedBytes) == nil {
		c.resize(func() { c.receive = 0 })
	}
}

// growSend has the kernel hold more of a large answer, if there is memory for it.
func (c *Conn) growSend() {
	tcp, ok := c.Conn.(*net.TCPConn)
	if ok && c.resize(func() { c.send = socketbuffer.Bytes }) {
		_ = tcp.SetWriteBuffer(socketbuffer.Bytes) // the connection was closed, or keeps the smaller buffer
	}
}

// shrinkSend undoes growSend.
func (c *Conn) shrinkSend() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && tcp.SetWriteBuffer(socketbuffer.AcceptedBytes) == nil {
		c.resize(func() { c.send = 0 })
	}
}

// complete marks that the whole request has arrived.
func (c *Conn) complete() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.use.phase = serving
}

// endRequest forgets the body of a request that was answered.
func (c *Conn) endRequest() {
	c.mu.Lock()
	c.use.held -= c.use.body
	c.use.body = 0
	releasing := c.releasing
	c.releasing = 0
	c.mu.Unlock()
	if releasing > 0 {
		c.table.released(releasing)
	}
}

// markOrdinary marks the client as an ordinary caller.
func (c *Conn) markOrdinary() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.use.ordinary = true
}

// markReleasing returns the bytes that the handler holds until it has ended.
func (c *Conn) markReleasing() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	added := c.use.body - c.releasing
	c.releasing = c.use.body
	return added
}
