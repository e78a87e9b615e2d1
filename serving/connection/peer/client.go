package peer

import (
	"context"
	"math/rand/v2"
	"sync/atomic"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcpool"

	"papayaport.dev/serving/process/membership"
)

// Client calls other entry instances over pooled connections.
type Client struct {
	options Options
	pool    *drpcpool.Pool[string, *connection]
	calls   atomic.Uint64
}

// connectionsPerPeer limits the idle connections to one peer.
const connectionsPerPeer = 4

// New returns a client without connections.
func New(options Options) *Client {
	c := &Client{
		options: options,
		pool: drpcpool.New[string, *connection](drpcpool.Options{
			Expiration:  options.Idle,
			Capacity:    options.IdleConnections,
			KeyCapacity: connectionsPerPeer,
		}),
	}
	c.calls.Store(rand.Uint64())
	return c
}

// Close closes the idle connections.
func (c *Client) Close() error { return errors.Wrap(c.pool.Close(), "close peer connections") }

// Exchange sends a membership message and returns the reply.
func (c *Client) Exchange(ctx context.Context, address string, m membership.Message) (membership.Message, error) {
	var reply exchange
	in := &exchange{Call: c.calls.Add(1), Message: m}
	if err := c.invokeIdempotent(ctx, address, ExchangeMethod, in, &reply, in.Call); err != nil {
		return membership.Message{}, err
	}
	return reply.Message, nil
}

// Head returns the head of the highest configuration version at a peer.
func (c *Client) Head(ctx context.Context, address string) ([]byte, error) {
	return c.fetch(ctx, address, HeadMethod, "")
}

// Manifest returns a manifest by its hash from a peer.
func (c *Client) Manifest(ctx context.Context, address, hash string) ([]byte, error) {
	return c.fetch(ctx, address, ManifestMethod, hash)
}

// Chunk returns a chunk by its hash from a peer.
func (c *Client) Chunk(ctx context.Context, address, hash string) ([]byte, error) {
	return c.fetch(ctx, address, ChunkMethod, hash)
}

func (c *Client) fetch(ctx context.Context, address string, method Method, hash string) ([]byte, error) {
	var reply content
	in := &fetch{Call: c.calls.Add(1), Hash: hash}
	if err := c.invokeIdempotent(ctx, address, method, in, &reply, in.Call); err != nil {
		return nil, err
	}
	return reply.Data, nil
}

// Action sends a query about action records and returns the answer. It is sent once.
func (c *Client) Action(ctx context.Context, address string, query []byte) ([]byte, error) {
	var reply content
	in := &content{Call: c.calls.Add(1), Data: query}
	if _, err := c.invoke(ctx, address, ActionMethod, in, &reply, in.Call); err != nil {
		return nil, err
	}
	return reply.Data, nil
}

// HandOver hands an unfinished request over to a peer. It is sent once; after an *Error with
// Sent the peer may have accepted it.
func (c *Client) HandOver(ctx context.Context, address string, handOver HandOver) error {
	var reply answer
	in := &transfer{Call: c.calls.Add(1), HandOver: handOver}
	_, err := c.invoke(ctx, address, HandOverMethod, in, &reply, in.Call)
	return err
}

// Find reports whether a peer holds a request.
func (c *Client) Find(ctx context.Context, address, requestID string) (bool, error) {
	var reply answer
	in := &find{Call: c.calls.Add(1), RequestID: requestID}
	if err := c.invokeIdempotent(ctx, address, FindMethod, in, &reply, in.Call); err != nil {
		return false, err
	}
	return reply.Found, nil
}

// invokeIdempotent makes an idempotent call, and retries it once over a new connection if it
// failed on a pooled one.
func (c *Client) invokeIdempotent(ctx context.Context, address string, method Method, in drpc.Message, out numberedReply, call uint64) error {
	dialled, err := c.invoke(ctx, address, method, in, out, call)
	if err == nil || dialled || ctx.Err() != nil || !isRetryable(err) {
		return err
	}
	_, err = c.invoke(ctx, address, method, in, out, call)
	return err
}

func isRetryable(err error) bool {
	return !errors.Is(err, ErrTooLarge) && !errors.Is(err, ErrNotFound)
}

// invoke makes one call and reports whether it opened a new connection for it.
func (c *Client) invoke(ctx context.Context, address string, method Method, in drpc.Message, out numberedReply, call uint64) (bool, error) {
	out.reset()
	conn, dialled, err := c.open(ctx, address)
	if err != nil {
		return true, &Error{Address: address, Method: string(method), Err: err}
	}
	err = conn.withProgressTimeout(ctx, c.options.Silence, func(ctx context.Context) error {
		return conn.Invoke(ctx, string(method), newEncoding(c.options, method), in, out)
	})
	if err == nil && out.call() != call {
		err = ErrForeignReply
	}
	if err != nil {
		return dialled, c.closeFailed(address, method, conn, err)
	}
	c.pool.Put(address, conn)
	return dialled, nil
}

// closeFailed closes the connection of a failed call, unless the peer replied that the item is not
// found. After a progress timeout it also closes all idle connections to the peer. It returns
// the error as an *Error.
func (c *Client) closeFailed(address string, method Method, conn *connection, err error) error {
	switch {
	case errors.Is(err, ErrNoProgress):
		c.evict(address)
		_ = conn.Close()
	case drpcerr.Code(err) == notFoundCode:
		err = errors.Wrap(ErrNotFound, err.Error())
		c.pool.Put(address, conn)
	default:
		_ = conn.Close()
	}
	return &Error{Address: address, Method: string(method), Sent: !errors.Is(err, ErrTooLarge), Err: err}
}

// evict closes all idle connections to a peer.
func (c *Client) evict(address string) {
	for {
		conn, ok := c.pool.Take(address)
		if !ok {
			return
		}
		_ = conn.Close()
	}
}
