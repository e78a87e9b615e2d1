package outside

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

// Misbehaviour is what a server does wrong with its next requests.
type Misbehaviour int

// Misbehaviours.
const (
	// Nothing answers as the pages say.
	Nothing Misbehaviour = iota
	// Refuse says that it did not run the request.
	Refuse
	// RunAndReset runs the request and resets the connection without an answer.
	RunAndReset
	// Truncate breaks the answer off in its middle.
	Truncate
	// Twice sends the whole answer two times.
	Twice
	// Foreign sends an answer to another request first.
	Foreign
	// Nonsense sends bytes that are no answer.
	Nonsense
	// Encoded says that the body is encoded.
	Encoded
	// Fail answers 500 after it ran the request.
	Fail
	// Hang runs the request and never answers.
	Hang
	// EndlessHead, EndlessLines and EndlessBody send an answer without end: one line, many
	// lines, or a body; a stream sends an event without end in place of the body.
	EndlessHead
	EndlessLines
	EndlessBody
	// LateTwice sends the whole answer, and a second copy when the connection is in use again;
	// LateTwiceBare leaves the request's id out of the copy.
	LateTwice
	LateTwiceBare
	// Trickle sends a byte of the body, or of an event, each tricklePeriod.
	Trickle
)

const (
	// tricklePeriod is far below the longest silence that anyone allows.
	tricklePeriod = 100 * time.Millisecond
	// endlessPiece is what is repeated without end, in bytes.
	endlessPiece = 16 << 10
)

// Misbehave makes the next requests go wrong.
func (b *Backend) Misbehave(wrong Misbehaviour, times int) {
	var left atomic.Int64
	left.Store(int64(times))
	b.MisbehaveTogether(wrong, &left)
}

// MisbehaveTogether makes the next requests go wrong that reach this server or another one
// with the same number left.
func (b *Backend) MisbehaveTogether(wrong Misbehaviour, left *atomic.Int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wrong, b.times = wrong, left
}

func (b *Backend) next() Misbehaviour {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.times == nil || b.times.Add(-1) < 0 {
		return Nothing
	}
	return b.wrong
}

func (b *Backend) plain(w http.ResponseWriter, r *http.Request, id string, wrong Misbehaviour, work time.Duration) {
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	answer := b.Body(id)
	switch wrong {
	case RunAndReset:
		b.raw(w, "")
	case Hang:
		<-r.Context().Done()
	case Nonsense:
		b.raw(w, "this is no answer\r\n\r\n")
	case Truncate:
		b.raw(w, b.head(id, len(answer))+answer[:len(answer)/2])
	case Twice:
		b.raw(w, b.head(id, len(answer))+answer+b.head(id, len(answer))+answer)
	case LateTwice, LateTwiceBare:
		copied := b.head(id, len(answer)) + answer
		if wrong == LateTwiceBare {
			copied = strings.Replace(copied, "X-Papayaport-Attempt-Id: "+id+"\r\n", "", 1)
		}
		b.late(w, b.head(id, len(answer))+answer, copied)
	case Foreign:
		b.raw(w, b.head("another", 5)+"wrong"+b.head(id, len(answer))+answer)
	case Encoded:
		w.Header().Set("Content-Encoding", "gzip")
		_, _ = io.WriteString(w, answer)
	case Fail:
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "failed")
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = io.WriteString(w, answer) // the caller may be gone
	}
}

// endless writes past net/http until the caller closes.
func (b *Backend) endless(w http.ResponseWriter, begin, repeated string) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	write(buffer.Writer, begin)
	for err == nil {
		_, err = io.WriteString(conn, repeated)
	}
}

// trickle writes a body without end, as fast as it is read or a byte now and then.
func (b *Backend) trickle(w http.ResponseWriter, r *http.Request, wrong Misbehaviour) {
	piece, control := strings.Repeat("x", endlessPiece), http.NewResponseController(w)
	if wrong == Trickle {
		piece = "x"
	}
	for r.Context().Err() == nil {
		if _, err := io.WriteString(w, piece); err != nil {
			return
		}
		if wrong == Trickle {
			_ = control.Flush() // an error shows in the next write
			time.Sleep(tricklePeriod)
		}
	}
}

func (b *Backend) head(id string, length int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Papayaport-Attempt-Id: %s\r\nX-Papayaport-Server-Seal: %s\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n",
		id, b.Seal(id), length)
}

// raw writes bytes past net/http and closes the connection a little later.
func (b *Backend) raw(w http.ResponseWriter, data string) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	write(buffer.Writer, data)
	if data == "" {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // close with a reset
		}
		return
	}
	time.Sleep(50 * time.Millisecond)
}

// late answers past net/http and sends more bytes as soon as the next request has begun to
// arrive, and then no more.
func (b *Backend) late(w http.ResponseWriter, answer, more string) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	write(buffer.Writer, answer)
	if _, err := buffer.ReadByte(); err != nil {
		return
	}
	write(buffer.Writer, more)
	time.Sleep(50 * time.Millisecond)
}

func write(out *bufio.Writer, data string) {
	_, _ = out.WriteString(data) // Flush returns the error, and the test sees the answer
	_ = out.Flush()
}
