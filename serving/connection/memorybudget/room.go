// Package memorybudget limits the memory that all requests and connections of a process hold together:
// connections of callers, request bodies, answers that are read completely and single events of a
// stream. A budget can be divided into parts, so that bytes of one kind leave room for another.
//
// A body of announced length waits until its whole length can be reserved, so that two half-read
// bodies cannot deadlock. Reading an answer of unknown length fails as soon as the budget is
// exhausted; reading a request body of unknown length waits for a limited time.
//
// # Usage
//
//	budget := memorybudget.New(96 << 20)
//	bodies := budget.Part(32 << 20)
//	bodies.OnShortage(closeWastefulConnections)
//	share := bodies.Share()
//	defer share.Close()
//	data, err := share.ReadAll(ctx, body, length, 8<<20) // memorybudget.ErrTooLarge, memorybudget.ErrNoMemory
//
// # Locks
//
// A budget is safe for concurrent use, a share is not. A budget and its parts have one mutex. It is
// not held during I/O or calls of other packages.
package memorybudget

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// initialBufferBytes is the initial buffer size for an answer of unknown length, in bytes.
const initialBufferBytes = 2 << 10

// Errors of a share.
var (
	// ErrTooLarge means that an answer exceeds its own size limit.
	ErrTooLarge = errors.New("the answer is too large")
	// ErrNoMemory means that others hold the memory that this one needs.
	ErrNoMemory = errors.New("no memory left for large answers")
)

// Budget is a memory budget of a process, or a part of one.
type Budget struct {
	capacity int64
	// within is the budget that this one is a part of, nil for none.
	within *Budget
	state  *state
	// reserved includes the bytes of all parts. It is guarded by state.mu.
	reserved int64
	shortage func(bytes int64)
}

// state is what a budget and its parts share.
type state struct {
	mu sync.Mutex
	// released is closed and replaced whenever bytes are released.
	released chan struct{}
}

// New returns a budget of a number of bytes.
func New(bytes int64) *Budget {
	return &Budget{capacity: bytes, state: &state{released: make(chan struct{})}}
}

// Part returns a budget whose bytes are also reserved in this one.
func (r *Budget) Part(bytes int64) *Budget {
	return &Budget{capacity: bytes, within: r, state: r.state}
}

// OnShortage sets a function that is called with the number of bytes of each reservation that this budget
// does not allow, also for its parts. It may have other bytes released. It must be set before the budget is used.
func (r *Budget) OnShortage(release func(bytes int64)) { r.shortage = release }

// Reserved returns the number of reserved bytes.
func (r *Budget) Reserved() int64 {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	return r.reserved
}

// Share returns a share without reserved bytes.
func (r *Budget) Share() *Share { return &Share{room: r} }

// reserve changes the number of reserved bytes if the budget allows it, and returns the channel
// that is closed at the next release.
func (r *Budget) reserve(delta int64) (ok bool, released chan struct{}) {
	full, released := r.change(delta)
	if full != nil && full.shortage != nil {
		full.shortage(delta)
	}
	return full == nil, released
}

// change returns the budget that does not allow the change, nil if all do.
func (r *Budget) change(delta int64) (full *Budget, released chan struct{}) {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	for b := r; b != nil; b = b.within {
		if delta > 0 && b.reserved+delta > b.capacity {
			return b, r.state.released
		}
	}
	for b := r; b != nil; b = b.within {
		b.reserved += delta
	}
	if delta < 0 {
		close(r.state.released)
		r.state.released = make(chan struct{})
	}
	return nil, r.state.released
}

// Share is the reservation of one request.
type Share struct {
	room     *Budget
	reserved int64
}

// Resize resizes the share to a number of bytes and reports whether the budget allows it.
func (s *Share) Resize(bytes int) bool {
	target := int64(bytes)
	if target == s.reserved {
		return true
	}
	ok, _ := s.room.reserve(target - s.reserved)
	if ok {
		s.reserved = target
	}
	return ok
}

// TryResize is like Resize, but reports no shortage.
func (s *Share) TryResize(bytes int) bool {
	target := int64(bytes)
	full, _ := s.room.change(target - s.reserved)
	if full == nil {
		s.reserved = target
	}
	return full == nil
}

// ResizeWhenFree resizes the share to a number of bytes, waiting for the budget until ctx ends.
func (s *Share) ResizeWhenFree(ctx context.Context, bytes int) error {
	target := int64(bytes)
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
		return s.readUnknown(in, limit, func(bytes int) error {
			if !s.Resize(bytes) {
				return ErrNoMemory
			}
			return nil
		})
	}
	if err := s.ResizeWhenFree(ctx, int(length)); err != nil {
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

// ReadUnknown reads a body of unknown length and of at most a number of bytes to its end. It waits for
// each larger buffer until ctx ends, or for the given time.
func (s *Share) ReadUnknown(ctx context.Context, in io.Reader, limit int, wait time.Duration) ([]byte, error) {
	return s.readUnknown(in, limit, func(bytes int) error {
		ctx, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		return s.ResizeWhenFree(ctx, bytes)
	})
}

// readUnknown reads an answer of unknown length. The share is resized with the buffer.
func (s *Share) readUnknown(in io.Reader, limit int, resize func(bytes int) error) ([]byte, error) {
	if err := resize(initialBufferBytes); err != nil {
		return nil, err
	}
	data := make([]byte, 0, initialBufferBytes)
	for {
		if len(data) == cap(data) {
			larger := min(2*cap(data), limit+1)
			if err := resize(larger + cap(data)); err != nil { // both buffers exist during the copy
				return nil, err
			}
			data = append(make([]byte, 0, larger), data...)
			s.Resize(cap(data))
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
