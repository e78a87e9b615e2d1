// Package event splits streams of server-sent events into complete events without
// interpreting their data. If a stream fails or ends inside an event, that event is not returned.
//
// # Usage
//
//	reader := event.New(body, share)
//	for {
//		one, err := reader.Next()
//		// io.EOF: the stream is complete; other errors: it failed
//	}
package event

import (
	"bufio"
	"bytes"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// MaxBytes is the maximum size of an event in bytes.
const MaxBytes = 1 << 20

// Budget is the memory budget of a reader. Resize reports whether the budget allows an event of
// a number of bytes.
type Budget interface{ Resize(bytes int) bool }

// readerBytes is the size of the read buffer in bytes; most events are far smaller.
const readerBytes = 4 << 10

// Errors of a reader.
var (
	// ErrTooLarge means that an event exceeds MaxBytes.
	ErrTooLarge = errors.New("event too large")
	// ErrNoMemory means that the memory budget does not allow an event.
	ErrNoMemory = errors.New("no memory left for a large event")
)

// UnfinishedError means that a stream ended inside an event. It wraps io.ErrUnexpectedEOF.
type UnfinishedError struct {
	// Part is what was received of the event.
	Part []byte
}

// Error implements error.
func (e *UnfinishedError) Error() string {
	return fmt.Sprintf("the stream ended after %d bytes of an event", len(e.Part))
}

// Unwrap returns io.ErrUnexpectedEOF.
func (e *UnfinishedError) Unwrap() error { return io.ErrUnexpectedEOF }

// Event is one complete event.
type Event struct {
	// Bytes is the event as received, including its final blank line.
	Bytes []byte
	// ID is the event's id, empty if it has none.
	ID string
}

// IsComment reports whether all lines of the event are comments, such as keep-alives.
func (e Event) IsComment() bool {
	for line := range bytes.Lines(e.Bytes) {
		if !isBlank(line) && line[0] != ':' {
			return false
		}
	}
	return true
}

// Reader reads one stream.
type Reader struct {
	in     *bufio.Reader
	budget Budget
}

// New returns a reader of a stream. It reserves the bytes of one event at a time in budget.
func New(in io.Reader, budget Budget) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, readerBytes), budget: budget}
}

// Next returns the next event, and io.EOF at the end of a complete stream. Any other error means
// that the stream failed: it is an *UnfinishedError if the stream ended inside an event, whether
// or not its framing marked the end.
func (r *Reader) Next() (Event, error) {
	var e Event
	for {
		line, err := r.in.ReadSlice('\n')
		e.Bytes = append(e.Bytes, line...)
		if !r.budget.Resize(cap(e.Bytes)) {
			return Event{}, errors.Wrapf(ErrNoMemory, "after %d bytes of the event", len(e.Bytes))
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(e.Bytes) > 0:
			return Event{}, &UnfinishedError{Part: e.Bytes}
		case err != nil:
			return Event{}, err
		case isBlank(line):
			return e, nil
		default:
			if id, found := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("id:")); found {
				e.ID = string(bytes.TrimPrefix(id, []byte(" ")))
			}
		}
		if len(e.Bytes) > MaxBytes {
			return Event{}, ErrTooLarge
		}
	}
}

func isBlank(line []byte) bool { return len(bytes.TrimRight(line, "\r\n")) == 0 }
