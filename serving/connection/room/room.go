// Package room bounds the memory that the answers take which are read whole, or event by
// event, over all requests of a process. Small ones always have room; what is larger shares a
// fixed number of bytes, so that many answers that never end do not fill the process.
//
// # Usage
//
//	all := room.New(32 << 20)
//	share := all.Share()
//	defer share.Close()
//	data, err := share.ReadAll(body, 8<<20) // ErrTooLarge, ErrFull
//
// A Room is safe for several goroutines, a Share is for one. No lock is held during I/O.
package room

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

// FreeBytes is what every share may hold without counting: several times the usual answer of
// a plain service or event of a stream.
const FreeBytes = 64 << 10

// firstBytes is the size of the buffer that an answer is read into at first.
const firstBytes = 2 << 10

// Errors of a share.
var (
	// ErrTooLarge tells that an answer is over its own bound.
	ErrTooLarge = errors.New("the answer is too large")
	// ErrFull tells that other answers hold the memory that this one needs.
	ErrFull = errors.New("no memory left for large answers")
)

// Room is the memory of a process for large answers.
type Room struct {
	bytes int64
	taken atomic.Int64
}

// New returns a room of a number of bytes.
func New(bytes int64) *Room { return &Room{bytes: bytes} }

// Taken returns the bytes that are in use.
func (r *Room) Taken() int64 { return r.taken.Load() }

// Share returns a share that holds nothing.
func (r *Room) Share() *Share { return &Share{room: r} }

// Share is what one request holds.
type Share struct {
	room *Room
	held int64
}

// Hold makes the share hold a number of bytes, and tells whether there was room.
func (s *Share) Hold(bytes int) bool {
	wanted := max(int64(bytes)-FreeBytes, 0)
	for {
		taken := s.room.taken.Load()
		next := taken + wanted - s.held
		if wanted > s.held && next > s.room.bytes {
			return false
		}
		if s.room.taken.CompareAndSwap(taken, next) {
			s.held = wanted
			return true
		}
	}
}

// Close gives back what the share holds.
func (s *Share) Close() { s.Hold(0) }

// ReadAll reads to the end, and at most a number of bytes. The share holds what the buffer
// takes.
func (s *Share) ReadAll(in io.Reader, most int) ([]byte, error) {
	data := make([]byte, 0, firstBytes)
	for {
		if len(data) == cap(data) {
			if len(data) > most {
				return nil, errors.Wrapf(ErrTooLarge, "over %d bytes", most)
			}
			larger := min(2*cap(data), most+1)
			if !s.Hold(larger + cap(data)) { // both are there while one is copied
				return nil, ErrFull
			}
			data = append(make([]byte, 0, larger), data...)
		}
		n, err := in.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case len(data) > most:
			return nil, errors.Wrapf(ErrTooLarge, "over %d bytes", most)
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}
