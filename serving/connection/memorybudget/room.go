// Package memorybudget limits the memory for buffering answers across all requests of a process,
// both for answers that are read completely and for single events of a stream. The first
// UncountedBytes of each request are not counted; the rest comes from a fixed budget,
// so that many endless answers cannot exhaust the memory of the process.
//
// An answer of announced length waits until its whole length can be reserved, so that two
// half-read answers cannot deadlock. Reading an answer of unknown length fails as soon as the
// budget is exhausted.
//
// # Usage
//
//	budget := memorybudget.New(32 << 20)
//	share := budget.Share()
//	defer share.Close()
//	data, err := share.ReadAll(ctx, body, length, 8<<20) // memorybudget.ErrTooLarge, memorybudget.ErrNoMemory
//
// # Locks
//
// A budget is safe for concurrent use, a share is not. No lock is held during I/O.
package memorybudget

import (
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// UncountedBytes is the part of every share that is not counted, in bytes: several times the size
// of a usual answer of a plain service or event of a stream.
const UncountedBytes = 64 << 10

// initialBufferBytes is the initial buffer size for an answer of unknown length, in bytes.
const initialBufferBytes = 2 << 10

// Errors of a share.
var (
	// ErrTooLarge means that an answer exceeds its own size limit.
	ErrTooLarge = errors.New("the answer is too large")
	// ErrNoMemory means that other answers hold the memory that this one needs.
	ErrNoMemory = errors.New("no memory left for large answers")
)

// Budget is the memory budget of a process for large answers.
type Budget struct {
	capacity int64

	mu       sync.Mutex
	reserved int64
	// released is closed and replaced whenever bytes are released.
	released chan struct{}
}

// New returns a budget of a number of bytes.
func New(bytes int64) *Budget { return &Budget{capacity: bytes, released: make(chan struct{})} }

// Reserved returns the number of reserved bytes.
func (r *Budget) Reserved() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reserved
}

// Share returns a share without reserved bytes.
func (r *Budget) Share() *Share { return &Share{room: r} }

// reserve changes the number of reserved bytes if the budget allows it, and returns the channel
// that is closed at the next release.
func (r *Budget) reserve(delta int64) (ok bool, released chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if delta > 0 && r.reserved+delta > r.capacity {
		return false, r.released
	}
	r.reserved += delta
	if delta < 0 {
		close(r.released)
		r.released = make(chan struct{})
	}
	return true, r.released
}

// Share is the reservation of one request.
type Share struct {
	room     *Budget
	reserved int64
}

// countedBytes returns the bytes above UncountedBytes.
func countedBytes(bytes int) int64 { return max(int64(bytes)-UncountedBytes, 0) }

// Resize resizes the share to a number of bytes and reports whether the budget allows it.
func (s *Share) Resize(bytes int) bool {
	target := countedBytes(bytes)
	if target == s.reserved {
		return true
	}
	ok, _ := s.room.reserve(target - s.reserved)
	if ok {
		s.reserved = target
	}
	return ok
}

// holdWhenFree resizes the share to a number of bytes, waiting for the budget until ctx ends.
func (s *Share) holdWhenFree(ctx context.Context, bytes int) error {
	target := countedBytes(bytes)
	if target > s.room.capacity {
		return errors.Wrapf(ErrTooLarge, "%d bytes", bytes)
	}
	for {
		ok, released := s.room.reserve(target - s.reserved)
		if ok {
			s.reserved = target
			return nil
		}
		select {
		case <-released:
		case <-ctx.Done():
			return errors.Wrap(ErrNoMemory, context.Cause(ctx).Error())
		}
	}
}

// Close releases the share's bytes.
func (s *Share) Close() { s.Resize(0) }

// ReadAll reads an answer of at most a number of bytes to its end. Length is the announced
// length in bytes, negative if unknown; ReadAll waits until it can be reserved or ctx ends.
func (s *Share) ReadAll(ctx context.Context, in io.Reader, length int64, limit int) ([]byte, error) {
	if length > int64(limit) {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", length)
	}
	if length < 0 {
		return s.readUnknown(in, limit)
	}
	if err := s.holdWhenFree(ctx, int(length)); err != nil {
		return nil, err
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(in, data); err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	// The answer is complete only if the end follows.
	var extra [1]byte
	if n, err := io.ReadFull(in, extra[:]); n > 0 || !errors.Is(err, io.EOF) {
		return nil, errors.Wrapf(io.ErrUnexpectedEOF, "no end of answer after the announced %d bytes", length)
	}
	return data, nil
}

// readUnknown reads an answer of unknown length. The share is resized with the buffer.
func (s *Share) readUnknown(in io.Reader, limit int) ([]byte, error) {
	data := make([]byte, 0, initialBufferBytes)
	for {
		if len(data) == cap(data) {
			larger := min(2*cap(data), limit+1)
			if !s.Resize(larger + cap(data)) { // both buffers exist during the copy
				return nil, ErrNoMemory
			}
			data = append(make([]byte, 0, larger), data...)
		}
		n, err := in.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case len(data) > limit:
			return nil, errors.Wrapf(ErrTooLarge, "over %d bytes", limit)
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}
