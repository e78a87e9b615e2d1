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

// Client calls other entry instances over connections that it keeps for a while.
type Client struct {
	options Options
	pool    *drpcpool.Pool[string, *link]
	calls   atomic.Uint64
}

// connectionsPerPeer bounds the unused connections kept to one peer.
const connectionsPerPeer = 4

// New returns a client.
func New(options Options) *Client {
	c := &Client{
		options: options,
		pool: drpcpool.New[string, *link](drpcpool.Options{
			Expiration:  options.Idle,
			Capacity:    options.IdleConnections,
			KeyCapacity: connectionsPerPeer,
		}),
	}
	c.calls.Store(rand.Uint64())
	return c
}

// Close closes the unused connections.
func (c *Client) Close() error { return errors.Wrap(c.pool.Close(), "close peer connections") }

// Exchange sends a membership message and returns the reply.
func (c *Client) Exchange(ctx context.Context, address string, m membership.Message) (membership.Message, error) {
	var reply exchange
	in := &exchange{Call: c.calls.Add(1), Message: m}
	if err := c.repeat(ctx, address, ExchangeMethod, in, &reply, in.Call); err != nil {
		return membership.Message{}, err
	}
	return reply.Message, nil
}

// Head returns the head of the highest configuration at a peer.
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
	if err := c.repeat(ctx, address, method, in, &reply, in.Call); err != nil {
		return nil, err
	}
	return reply.Data, nil
}

// Action sends a query of the action records and returns the answer. It goes out once.
func (c *Client) Action(ctx context.Context, address string, query []byte) ([]byte, error) {
	var reply content
	in := &content{Call: c.calls.Add(1), Data: query}
	if _, err := c.invoke(ctx, address, ActionMethod, in, &reply, in.Call); err != nil {
		return nil, err
	}
	return reply.Data, nil
}

// HandOver gives an unfinished request to a peer. It goes out once; after an *Error
// with Sent the peer may have it.
func (c *Client) HandOver(ctx context.Context, address string, handOver HandOver) error {
	var reply answer
	in := &transfer{Call: c.calls.Add(1), HandOver: handOver}
	_, err := c.invoke(ctx, address, HandOverMethod, in, &reply, in.Call)
	return err
}

// Find tells whether a peer holds a request.
func (c *Client) Find(ctx context.Context, address, requestID string) (bool, error) {
	var reply answer
	in := &find{Call: c.calls.Add(1), RequestID: requestID}
	if err := c.repeat(ctx, address, FindMethod, in, &reply, in.Call); err != nil {
		return false, err
	}
	return reply.Found, nil
}

// repeat makes an idempotent call, once more over a new connection when a kept one
// turns out to be dead or silent.
func (c *Client) repeat(ctx context.Context, address string, method Method, in drpc.Message, out numbered, call uint64) error {
	dialled, err := c.invoke(ctx, address, method, in, out, call)
	if err == nil || dialled || ctx.Err() != nil || !worthRepeating(err) {
		return err
	}
	_, err = c.invoke(ctx, address, method, in, out, call)
	return err
}

func worthRepeating(err error) bool {
	return !errors.Is(err, ErrTooLarge) && !errors.Is(err, ErrNotFound)
}

// invoke makes one call and tells whether it dialled for it.
func (c *Client) invoke(ctx context.Context, address string, method Method, in drpc.Message, out numbered, call uint64) (bool, error) {
	out.reset()
	l, fresh, err := c.open(ctx, address)
	if err != nil {
		return true, &Error{Address: address, Method: string(method), Err: err}
	}
	err = l.guarded(ctx, c.options.Silence, func(ctx context.Context) error {
		return l.Invoke(ctx, string(method), encode(c.options, method), in, out)
	})
	if err == nil && out.call() != call {
		err = ErrForeign
	}
	if err != nil {
		return fresh, c.failed(address, method, l, err)
	}
	c.pool.Put(address, l)
	return fresh, nil
}

// failed gives up the connection of a failed call unless the peer itself answered. After
// a silence all unused connections to the peer go as well.
func (c *Client) failed(address string, method Method, l *link, err error) error {
	switch {
	case errors.Is(err, ErrSilent):
		c.evict(address)
		_ = l.Close()
	case drpcerr.Code(err) == notFoundCode:
		err = errors.Wrap(ErrNotFound, err.Error())
		c.pool.Put(address, l)
	default:
		_ = l.Close()
	}
	return &Error{Address: address, Method: string(method), Sent: !errors.Is(err, ErrTooLarge), Err: err}
}

// evict closes all unused connections to a peer.
func (c *Client) evict(address string) {
	for {
		l, ok := c.pool.Take(address)
		if !ok {
			return
		}
		_ = l.Close()
	}
}
