// Package room bounds the memory that the answers take which are read whole, or event by
// event, over all requests of a process. Small ones always have room; what is larger shares a
// fixed number of bytes, so that many answers that never end do not fill the process.
//
// An answer that tells its length waits until there is room for all of it, so that no two wait
// for each other half read. One that doesn't is given up when there is no more.
//
// # Usage
//
//	all := room.New(32 << 20)
//	share := all.Share()
//	defer share.Close()
//	data, err := share.ReadAll(ctx, body, length, 8<<20) // ErrTooLarge, ErrFull
//
// A Room is safe for several goroutines, a Share is for one. No lock is held during I/O.
package room

import (
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// FreeBytes is what every share may hold without counting: several times the usual answer of
// a plain service or event of a stream.
const FreeBytes = 64 << 10

// firstBytes is the size of the buffer that an answer of unknown length is read into at first.
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

	mu    sync.Mutex
	taken int64
	// freed is closed when bytes were given back.
	freed chan struct{}
}

// New returns a room of a number of bytes.
func New(bytes int64) *Room { return &Room{bytes: bytes, freed: make(chan struct{})} }

// Taken returns the bytes that are in use.
func (r *Room) Taken() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.taken
}

// Share returns a share that holds nothing.
func (r *Room) Share() *Share { return &Share{room: r} }

// take changes what is taken if there is room, and returns what tells of bytes given back.
func (r *Room) take(difference int64) (taken bool, freed chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if difference > 0 && r.taken+difference > r.bytes {
		return false, r.freed
	}
	r.taken += difference
	if difference < 0 {
		close(r.freed)
		r.freed = make(chan struct{})
	}
	return true, r.freed
}

// Share is what one request holds.
type Share struct {
	room *Room
	held int64
}

// counted returns the bytes beyond those that every share has.
func counted(bytes int) int64 { return max(int64(bytes)-FreeBytes, 0) }

// Hold makes the share hold a number of bytes, and tells whether there was room.
func (s *Share) Hold(bytes int) bool {
	wanted := counted(bytes)
	if wanted == s.held {
		return true
	}
	held, _ := s.room.take(wanted - s.held)
	if held {
		s.held = wanted
	}
	return held
}

// await makes the share hold a number of bytes as soon as there is room.
func (s *Share) await(ctx context.Context, bytes int) error {
	wanted := counted(bytes)
	if wanted > s.room.bytes {
		return errors.Wrapf(ErrTooLarge, "%d bytes", bytes)
	}
	for {
		held, freed := s.room.take(wanted - s.held)
		if held {
			s.held = wanted
			return nil
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return errors.Wrap(ErrFull, context.Cause(ctx).Error())
		}
	}
}

// Close gives back what the share holds.
func (s *Share) Close() { s.Hold(0) }

// ReadAll reads to the end, and at most a number of bytes. Length is the number of bytes that
// the answer tells, below 0 for none; it waits for room for them until ctx ends.
func (s *Share) ReadAll(ctx context.Context, in io.Reader, length int64, most int) ([]byte, error) {
	if length > int64(most) {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", length)
	}
	if length < 0 {
		return s.readUnknown(in, most)
	}
	if err := s.await(ctx, int(length)); err != nil {
		return nil, err
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(in, data); err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	// Only the end tells that the answer is whole.
	var beyond [1]byte
	if n, err := io.ReadFull(in, beyond[:]); n > 0 || !errors.Is(err, io.EOF) {
		return nil, errors.Wrapf(io.ErrUnexpectedEOF, "no end behind %d bytes", length)
	}
	return data, nil
}

// readUnknown reads an answer whose length is not known. The share holds what the buffer takes.
func (s *Share) readUnknown(in io.Reader, most int) ([]byte, error) {
	data := make([]byte, 0, firstBytes)
	for {
		if len(data) == cap(data) {
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
