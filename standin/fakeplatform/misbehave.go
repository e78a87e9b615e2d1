package fakeplatform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Misbehaviour is a fault that a server injects into its next requests.
type Misbehaviour int

// Misbehaviours.
const (
	// NoMisbehaviour answers as the platform's documentation says.
	NoMisbehaviour Misbehaviour = iota
	// Refuse rejects the request and reports that it was not run.
	Refuse
	// RunAndReset runs the request and resets the connection without an answer.
	RunAndReset
	// Truncate closes the connection in the middle of the answer.
	Truncate
	// Twice sends the whole answer twice.
	Twice
	// Foreign first sends an answer with the id of another request.
	Foreign
	// InvalidResponse sends bytes that are not an HTTP response.
	InvalidResponse
	// FalseEncoding declares a Content-Encoding that the body does not have.
	FalseEncoding
	// Fail runs the request and answers with status 500.
	Fail
	// Hang runs the request and never answers.
	Hang
	// EndlessHeaderLine, EndlessHeaderLines and EndlessBody send an answer without end: one header line,
	// many header lines, or a body; a stream sends one endless event in place of the body.
	EndlessHeaderLine
	EndlessHeaderLines
	EndlessBody
	// LateTwice sends the whole answer, and a second copy when the connection is reused;
	// LateTwiceWithoutID omits the request's id from the copy.
	LateTwice
	LateTwiceWithoutID
	// Trickle sends a byte of the body, or of an event, each tricklePeriod.
	Trickle
)

const (
	// tricklePeriod is well below the longest idle time that any component allows.
	tricklePeriod = 100 * time.Millisecond
	// endlessPieceBytes is the length of the repeated part of an endless answer, in bytes.
	endlessPieceBytes = 16 << 10
)

// Misbehave injects a misbehaviour into the next requests of this server.
func (b *Backend) Misbehave(misbehaviour Misbehaviour, times int) {
	var left atomic.Int64
	left.Store(int64(times))
	b.MisbehaveShared(misbehaviour, &left)
}

// MisbehaveShared injects a misbehaviour into the next requests of all servers that share the
// counter left.
func (b *Backend) MisbehaveShared(misbehaviour Misbehaviour, left *atomic.Int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.misbehaviour, b.misbehaviourCount = misbehaviour, left
}

func (b *Backend) nextMisbehaviour() Misbehaviour {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.misbehaviourCount == nil || b.misbehaviourCount.Add(-1) < 0 {
		return NoMisbehaviour
	}
	return b.misbehaviour
}

func (b *Backend) servePlain(w http.ResponseWriter, r *http.Request, id string, crashed <-chan struct{}, wrong Misbehaviour, work time.Duration) {
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	case <-crashed:
		panic(http.ErrAbortHandler)
	}
	answer := b.Body(id)
	switch wrong {
	case RunAndReset:
		b.writeRaw(w, "")
	case Hang:
		<-r.Context().Done()
	case InvalidResponse:
		b.writeRaw(w, "this is no answer\r\n\r\n")
	case Truncate:
		b.writeRaw(w, b.head(id, len(answer))+answer[:len(answer)/2])
	case Twice:
		b.writeRaw(w, b.head(id, len(answer))+answer+b.head(id, len(answer))+answer)
	case LateTwice, LateTwiceWithoutID:
		copied := b.head(id, len(answer)) + answer
		if wrong == LateTwiceWithoutID {
			copied = strings.Replace(copied, "X-Papayaport-Attempt-Id: "+id+"\r\n", "", 1)
		}
		b.writeLate(w, b.head(id, len(answer))+answer, copied)
	case Foreign:
		b.writeRaw(w, b.head("another", 5)+"wrong"+b.head(id, len(answer))+answer)
	case FalseEncoding:
		w.Header().Set("Content-Encoding", "gzip")
		_, _ = io.WriteString(w, answer)
	case Fail:
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "failed")
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = io.WriteString(w, answer) // fails if the caller has disconnected
	}
}

// writeEndless writes to the hijacked connection until the caller closes it.
func (b *Backend) writeEndless(w http.ResponseWriter, begin, repeated string) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	writeAndFlush(buffer.Writer, begin)
	for err == nil {
		_, err = io.WriteString(conn, repeated)
	}
}

// writeEndlessBody writes a body without end: at full speed, or for Trickle a byte each tricklePeriod.
func (b *Backend) writeEndlessBody(w http.ResponseWriter, r *http.Request, wrong Misbehaviour) {
	piece, control := strings.Repeat("x", endlessPieceBytes), http.NewResponseController(w)
	if wrong == Trickle {
		piece = "x"
	}
	for r.Context().Err() == nil {
		if _, err := io.WriteString(w, piece); err != nil {
			return
		}
		if wrong == Trickle {
			_ = control.Flush() // the next write returns its error
			time.Sleep(tricklePeriod)
		}
	}
}

func (b *Backend) head(id string, length int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Papayaport-Attempt-Id: %s\r\nX-Papayaport-Server-Seal: %s\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n",
		id, b.Seal(id), length)
}

// writeRaw writes bytes to the hijacked connection and closes it 50 ms later, so that the caller can
// read them; without bytes it resets the connection at once.
func (b *Backend) writeRaw(w http.ResponseWriter, data string) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	writeAndFlush(buffer.Writer, data)
	if data == "" {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // close with a reset
		}
		return
	}
	time.Sleep(50 * time.Millisecond)
}

// writeLate answers on the hijacked connection, and sends more bytes as soon as the next request on
// it begins to arrive.
func (b *Backend) writeLate(w http.ResponseWriter, answer, more string) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	writeAndFlush(buffer.Writer, answer)
	if _, err := buffer.ReadByte(); err != nil {
		return
	}
	writeAndFlush(buffer.Writer, more)
	time.Sleep(50 * time.Millisecond)
}

func writeAndFlush(out *bufio.Writer, data string) {
	_, _ = out.WriteString(data) // errors are ignored: the test checks the answer
	_ = out.Flush()
}
