package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"
)

// link is a client's connection to a peer. It carries one call at a time.
type link struct {
	*drpcconn.Conn
	counted *countedConn
}

// open takes an unused connection to a peer or dials one, and tells whether it dialled.
func (c *Client) open(ctx context.Context, address string) (*link, bool, error) {
	if l, ok := c.pool.Take(address); ok {
		return l, false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.Silence)
	defer cancel()
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, true, errors.Wrap(err, "dial peer")
	}
	c.options.Traffic.Dials.Add(1)
	counted := &countedConn{Conn: conn, traffic: c.options.Traffic, silence: c.options.Silence}
	options := drpcconn.Options{Manager: managerOptions(c.options)}
	return &link{Conn: drpcconn.NewWithOptions(counted, options), counted: counted}, true, nil
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	var plain net.Dialer
	if c.options.TLS == nil {
		return plain.DialContext(ctx, "tcp", address)
	}
	secure := tls.Dialer{NetDialer: &plain, Config: c.options.TLS}
	return secure.DialContext(ctx, "tcp", address)
}

// guarded makes a call that ends with ErrSilent when no byte has passed for the given time.
func (l *link) guarded(ctx context.Context, silence time.Duration, call func(context.Context) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(silence, func() { cancel(ErrSilent) })
	defer timer.Stop()
	l.counted.timer.Store(timer)
	defer l.counted.timer.Store(nil)
	err := call(ctx)
	if err != nil && errors.Is(context.Cause(ctx), ErrSilent) {
		return errors.Wrap(ErrSilent, err.Error())
	}
	return err
}
