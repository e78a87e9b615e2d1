// Package event reads streams of server-sent events whole event by whole event, without
// looking at what they say. A stream that breaks off inside an event gives none of it.
//
// # Usage
//
//	reader := event.New(body, share)
//	for {
//		one, err := reader.Next()
//		// io.EOF: the stream is complete; anything else: it broke off
//	}
package event

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// MaxBytes is the largest event that is read, in bytes.
const MaxBytes = 1 << 20

// Room tells whether there is memory for an event of a number of bytes.
type Room interface{ Hold(bytes int) bool }

// readerBytes is the size of the read buffer in bytes; most events are far smaller.
const readerBytes = 4 << 10

// Errors of a reader.
var (
	// ErrTooLarge tells that an event is over MaxBytes.
	ErrTooLarge = errors.New("event too large")
	// ErrNoRoom tells that there was no memory for an event.
	ErrNoRoom = errors.New("no memory left for a large event")
)

// Event is one whole event.
type Event struct {
	// Bytes are the event as it arrived, up to and including its blank line.
	Bytes []byte
	// ID is the event's id, empty when it has none.
	ID string
}

// Reader reads one stream.
type Reader struct {
	in   *bufio.Reader
	room Room
}

// New returns a reader of a stream. Room holds the bytes of one event at a time.
func New(in io.Reader, room Room) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, readerBytes), room: room}
}

// Next returns the next event. At the end of a complete stream it returns io.EOF; bytes
// behind the last blank line then come in an Event of their own before it. Any other
// error means that the stream broke off.
func (r *Reader) Next() (Event, error) {
	var e Event
	for {
		line, err := r.in.ReadSlice('\n')
		e.Bytes = append(e.Bytes, line...)
		if !r.room.Hold(cap(e.Bytes)) {
			return Event{}, errors.Wrapf(ErrNoRoom, "behind %d bytes", len(e.Bytes))
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(e.Bytes) > 0:
			return e, nil
		case err != nil:
			return Event{}, err
		case blank(line):
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

func blank(line []byte) bool { return len(bytes.TrimRight(line, "\r\n")) == 0 }
