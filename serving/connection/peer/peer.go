// Package peer carries the calls between entry instances over drpc with messages in
// CBOR: the membership exchange, configuration, action records, hand-overs and the
// streams of requests that another instance holds.
//
// # Usage
//
//	go peer.Serve(ctx, listener, handler, options)
//
//	client := peer.New(options)
//	defer client.Close()
//	reply, err := client.Exchange(ctx, address, message)
//	var failure *peer.Error
//	if errors.As(err, &failure) && !failure.Sent {
//		// the peer has seen nothing of the call
//	}
//
// A connection is judged by the progress of its calls, never by the state of TCP: a
// call without progress for Options.Silence fails, all idle connections to that peer
// are closed with it, and the next call dials anew. Idempotent calls do so by
// themselves once. Every reply repeats the number of its call; a reply with another
// number is an error and its connection is closed.
package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/serving/process/membership"
)

// Handler answers the calls of other entry instances. Replies must come well within
// Options.Silence; Attach may last as long as the request.
type Handler interface {
	// Exchange takes in a message and returns the reply.
	Exchange(ctx context.Context, m membership.Message) (membership.Message, error)
	// Head returns the head of the highest configuration here, ErrNotFound without one.
	Head(ctx context.Context) ([]byte, error)
	// Manifest returns a manifest by its hash, ErrNotFound when it is not held.
	Manifest(ctx context.Context, hash string) ([]byte, error)
	// Chunk returns a chunk by its hash, ErrNotFound when it is not held.
	Chunk(ctx context.Context, hash string) ([]byte, error)
	// Action answers a query of the action records.
	Action(ctx context.Context, query []byte) ([]byte, error)
	// HandOver takes over an unfinished request. It must be idempotent by RequestID.
	HandOver(ctx context.Context, handOver HandOver) error
	// Find tells whether a request is held here.
	Find(ctx context.Context, requestID string) (bool, error)
	// Attach sends the pieces of a request's answer from offset on, and returns nil
	// when the answer is complete. It returns ErrNotFound when the request is not held.
	Attach(ctx context.Context, requestID string, offset int64, send func(piece []byte) error) error
}

// HandOver is an unfinished request with its progress. Body and State are opaque here.
type HandOver struct {
	RequestID string `cbor:"1,keyasint"`
	Body      []byte `cbor:"2,keyasint"`
	State     []byte `cbor:"3,keyasint"`
}

// Options are the limits of both sides.
type Options struct {
	// Silence is the longest time without progress of a call or a write.
	Silence time.Duration
	// KeepAlive is the time between two signs of life of an idle Attach, well below Silence.
	KeepAlive time.Duration
	// Idle is how long an unused connection is kept by the client; the server keeps it
	// twice as long.
	Idle time.Duration
	// IdleConnections bounds the unused connections that a client keeps.
	IdleConnections int
	// Connections bounds the connections that a server has open.
	Connections int
	// MessageBytes is the largest encoded message in bytes.
	MessageBytes int
	// TLS is used when it is not nil.
	TLS *tls.Config
	// Traffic counts what is sent and received.
	Traffic *Traffic
}

// Usual values of Options.
const (
	DefaultSilence         = 2 * time.Second
	DefaultKeepAlive       = 500 * time.Millisecond
	DefaultIdle            = 30 * time.Second
	DefaultIdleConnections = 64
	DefaultConnections     = 1024
	DefaultMessageBytes    = 8 << 20
)

// DefaultOptions returns the usual options.
func DefaultOptions() Options {
	return Options{
		Silence:         DefaultSilence,
		KeepAlive:       DefaultKeepAlive,
		Idle:            DefaultIdle,
		IdleConnections: DefaultIdleConnections,
		Connections:     DefaultConnections,
		MessageBytes:    DefaultMessageBytes,
		Traffic:         new(Traffic),
	}
}

// Errors of calls, found by errors.Is.
var (
	// ErrNotFound tells that the peer does not hold what was asked for.
	ErrNotFound = errors.New("not found")
	// ErrTooLarge tells that a message is above Options.MessageBytes; it was not sent.
	ErrTooLarge = errors.New("message too large")
	// ErrSilent tells that a call made no progress for Options.Silence.
	ErrSilent = errors.New("no progress")
	// ErrForeign tells that a reply belongs to another call.
	ErrForeign = errors.New("reply of another call")
	// ErrTruncated tells that a stream ended without its final piece.
	ErrTruncated = errors.New("stream ended early")
)

// Error is a failed call.
type Error struct {
	Address string
	Method  string
	// Sent tells that the peer may have seen the call. False means that no byte of it
	// went out.
	Sent bool
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("peer %s: %s: %v", e.Address, e.Method, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
