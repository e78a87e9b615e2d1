// Package peer is the RPC protocol between entry instances. It uses drpc with messages in
// CBOR for the membership exchange, configuration, action records, hand-overs and the
// answer streams of requests that another instance holds.
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
//		// the peer received no byte of the call
//	}
//
// Failures are detected by the progress of calls, not by the TCP state: a call without
// progress for Options.Silence fails, all idle connections to its peer are closed, and the
// next call opens a new one. Idempotent calls are retried once in this way. Every reply
// carries the number of its call; a reply with another number is an error, and its
// connection is closed.
package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/serving/process/membership"
)

// Handler serves the calls of other entry instances. Methods must return well within
// Options.Silence, except Attach, which may last as long as the request.
type Handler interface {
	// Exchange processes a membership message and returns the reply.
	Exchange(ctx context.Context, m membership.Message) (membership.Message, error)
	// Head returns the head of the highest known configuration version, or ErrNotFound.
	Head(ctx context.Context) ([]byte, error)
	// Manifest returns a manifest by its hash, or ErrNotFound.
	Manifest(ctx context.Context, hash string) ([]byte, error)
	// Chunk returns a chunk by its hash, or ErrNotFound.
	Chunk(ctx context.Context, hash string) ([]byte, error)
	// Action answers a query about action records.
	Action(ctx context.Context, query []byte) ([]byte, error)
	// HandOver takes over an unfinished request. It must be idempotent by RequestID.
	HandOver(ctx context.Context, handOver HandOver) error
	// Find reports whether this instance holds a request.
	Find(ctx context.Context, requestID string) (bool, error)
	// Attach sends the pieces of a request's answer from offset on, and returns nil once the
	// answer is complete. It returns ErrNotFound if this instance does not hold the request.
	Attach(ctx context.Context, requestID string, offset int64, send func(piece []byte) error) error
}

// Forwarder is implemented by a Handler that serves requests for instances that reach no backend
// server.
type Forwarder interface {
	// Forward serves a request and sends the pieces of its answer. It returns nil once the answer is
	// complete, and ErrNotFound if this instance does not serve the request and never will. It may
	// last as long as the request.
	Forward(ctx context.Context, request []byte, send func(piece []byte) error) error
}

// HandOver is an unfinished request with its progress. Body and State are opaque to this
// package.
type HandOver struct {
	RequestID string `cbor:"1,keyasint"`
	Body      []byte `cbor:"2,keyasint"`
	State     []byte `cbor:"3,keyasint"`
}

// Options configure clients and servers.
type Options struct {
	// Silence is the timeout for progress of a call or a write.
	Silence time.Duration
	// KeepAlive is the interval between keep-alives of an idle Attach, well below Silence.
	KeepAlive time.Duration
	// Idle is how long the client keeps an idle connection open; the server keeps it open
	// twice as long.
	Idle time.Duration
	// IdleConnections limits the idle connections of a client.
	IdleConnections int
	// Connections limits the open connections of a server.
	Connections int
	// MessageBytes is the maximum size of an encoded message in bytes.
	MessageBytes int
	// TLS enables TLS if it is not nil.
	TLS *tls.Config
	// Traffic counts what is sent and received.
	Traffic *Traffic
}

// Default values of Options.
const (
	DefaultProgressTimeout = 2 * time.Second
	DefaultKeepAlive       = 500 * time.Millisecond
	DefaultIdleTimeout     = 30 * time.Second
	DefaultIdleConnections = 64
	DefaultConnections     = 1024
	DefaultMessageBytes    = 8 << 20
)

// DefaultOptions returns the default options with a new Traffic.
func DefaultOptions() Options {
	return Options{
		Silence:         DefaultProgressTimeout,
		KeepAlive:       DefaultKeepAlive,
		Idle:            DefaultIdleTimeout,
		IdleConnections: DefaultIdleConnections,
		Connections:     DefaultConnections,
		MessageBytes:    DefaultMessageBytes,
		Traffic:         new(Traffic),
	}
}

// Errors of calls, wrapped in Error.
var (
	// ErrNotFound means that the peer does not hold the requested item.
	ErrNotFound = errors.New("not found")
	// ErrTooLarge means that a message exceeds Options.MessageBytes and was not sent.
	ErrTooLarge = errors.New("message too large")
	// ErrNoProgress means that a call made no progress for Options.Silence.
	ErrNoProgress = errors.New("no progress")
	// ErrForeignReply means that a reply belongs to another call.
	ErrForeignReply = errors.New("reply of another call")
	// ErrTruncated means that a stream ended without its final piece.
	ErrTruncated = errors.New("stream ended early")
)

// Error is a failed call.
type Error struct {
	Address string
	Method  string
	// Sent is set if the peer may have received the call. If it is false, no byte of the call
	// was sent.
	Sent bool
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("peer %s: %s: %v", e.Address, e.Method, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
