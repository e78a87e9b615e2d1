package upstream

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestConnectionsCloseWithReset guards against a request that reaches its server seconds after it
// was answered or sent to another one: the kernel's keep-alive probes had timed out and closed
// its connection without a reset, and the bytes arrived after a network partition ended.
func TestConnectionsCloseWithReset(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	c, err := New(Options{DialTimeout: time.Second}).acquire(context.Background(), Server{ID: "s", Address: listener.Addr().String()}, "1")
	require.NoError(t, err)
	defer c.close()
	raw, err := c.raw.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	option := func(name int) (value int) {
		require.NoError(t, raw.Control(func(fd uintptr) {
			value, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, name)
		}))
		require.NoError(t, err)
		return value
	}
	require.Zero(t, option(syscall.SO_KEEPALIVE), "keep-alive probes must be off, since they close a connection without a reset")
	require.NotZero(t, option(syscall.SO_LINGER)&1, "closing must send a reset")
}
