// Package dialer opens connections that are reset when they are closed. Otherwise buffered bytes of a
// canceled call could arrive seconds later, when a network partition heals, and act on behalf of a
// caller that has given up.
//
// # Usage
//
//	d := dialer.New(800*time.Millisecond, net.KeepAliveConfig{Enable: true, Idle: time.Second})
//	transport := &http.Transport{DialContext: d.DialContext}
package dialer

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/serving/connection/socketbuffer"
)

// Dialer opens TCP connections with a bounded receive buffer.
type Dialer struct{ dialer net.Dialer }

// New returns a dialer with a time limit for each connection and its keep-alive probes.
func New(timeout time.Duration, keepAlive net.KeepAliveConfig) *Dialer {
	return &Dialer{net.Dialer{Timeout: timeout, Control: socketbuffer.Control, KeepAliveConfig: keepAlive}}
}

// DialContext opens a connection.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			return nil, errors.Wrap(err, "set linger")
		}
	}
	return conn, nil
}
