package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"papayaport.dev/serving/connection/socketbuffer"
)

// connection is a client's connection to a peer. It carries one call at a time.
type connection struct {
	*drpcconn.Conn
	metered *meteredConn
}

// open takes an idle connection to a peer from the pool or dials a new one. It reports
// whether it dialled.
func (c *Client) open(ctx context.Context, address string) (*connection, bool, error) {
	if pooled, ok := c.pool.Take(address); ok {
		return pooled, false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.Silence)
	defer cancel()
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, true, errors.Wrap(err, "dial peer")
	}
	c.options.Traffic.Dials.Add(1)
	metered := &meteredConn{Conn: conn, traffic: c.options.Traffic, silence: c.options.Silence}
	options := drpcconn.Options{Manager: managerOptions(c.options)}
	return &connection{Conn: drpcconn.NewWithOptions(metered, options), metered: metered}, true, nil
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	plain := net.Dialer{Control: socketbuffer.Control}
	if c.options.TLS == nil {
		return plain.DialContext(ctx, "tcp", address)
	}
	secure := tls.Dialer{NetDialer: &plain, Config: c.options.TLS}
	return secure.DialContext(ctx, "tcp", address)
}

// withProgressTimeout makes a call that fails with ErrNoProgress if no byte is sent or
// received for the given time.
func (c *connection) withProgressTimeout(ctx context.Context, silence time.Duration, call func(context.Context) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(silence, func() { cancel(ErrNoProgress) })
	defer timer.Stop()
	c.metered.timer.Store(timer)
	defer c.metered.timer.Store(nil)
	err := call(ctx)
	if err != nil && errors.Is(context.Cause(ctx), ErrNoProgress) {
		return errors.Wrap(ErrNoProgress, err.Error())
	}
	return err
}
