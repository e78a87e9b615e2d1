// Package socketbuffer bounds the bytes that the kernel holds for connections whose reader is slower
// than the sender, in both directions. By default the kernel enlarges the buffers of each connection to
// many megabytes, so that senders without end, or readers that read nothing, fill the memory of the
// machine.
//
// # Usage
//
//	dialer := net.Dialer{Control: socketbuffer.Control}
//	listener, err := socketbuffer.Listen("10.0.0.1:8080", socketbuffer.AcceptedBytes, socketbuffer.Bytes)
package socketbuffer

import (
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"
)

const (
	// Bytes is the size that is requested for each buffer of a connection. Linux doubles it for its own
	// overhead. It allows 64 MB/s at a round-trip time of 1 ms.
	Bytes = 64 << 10
	// AcceptedBytes is the same for a connection that was accepted, whose requests and answers are mostly
	// small.
	AcceptedBytes = 16 << 10
)

// Control bounds the buffers of a socket before it is connected, as net.Dialer.Control.
func Control(_, _ string, socket syscall.RawConn) error { return bound(socket, Bytes, Bytes) }

// Listen opens a TCP listener at an address "IP:PORT" and requests sizes for the buffers of the connections
// that it accepts, before they are accepted.
func Listen(address string, receive, send int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, socket syscall.RawConn) error { return bound(socket, receive, send) }}
	return config.Listen(context.Background(), "tcp", address)
}

func bound(socket syscall.RawConn, receive, send int) error {
	var optionErr error
	err := socket.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receive)
		if optionErr == nil {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, send)
		}
	})
	if err == nil {
		err = optionErr
	}
	return errors.Wrap(err, "bound socket buffers")
}
