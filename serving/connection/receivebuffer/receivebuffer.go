// Package receivebuffer bounds the bytes that the kernel holds for connections whose reader is slower
// than the sender. By default the kernel enlarges the buffer of each connection to many megabytes, so
// that senders without end fill the memory of the machine although little is read.
//
// # Usage
//
//	dialer := net.Dialer{Control: receivebuffer.Control}
//	listener = receivebuffer.Listen(listener) // bounds accepted connections
package receivebuffer

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// Bytes is the size that is requested for the buffer of one connection. Linux doubles it for its own
// overhead. It allows 64 MB/s at a round-trip time of 1 ms.
const Bytes = 64 << 10

// Control bounds the receive buffer of a socket before it is connected, as net.Dialer.Control.
func Control(_, _ string, socket syscall.RawConn) error {
	var optionErr error
	err := socket.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, Bytes)
	})
	if err == nil {
		err = optionErr
	}
	return errors.Wrap(err, "bound receive buffer")
}

// Listen returns a listener that bounds the receive buffers of the connections it accepts.
func Listen(listener net.Listener) net.Listener { return boundListener{listener} }

type boundListener struct{ net.Listener }

// Accept implements net.Listener. A connection whose buffer can't be bounded is closed.
func (l boundListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok || tcp.SetReadBuffer(Bytes) == nil {
			return conn, nil
		}
		_ = conn.Close() // it was closed before it was accepted
	}
}
