package launch

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
)

// probeTimeout bounds one look whether a process listens.
const probeTimeout = 300 * time.Millisecond

// freeAddresses returns loopback addresses on which nothing listens.
func freeAddresses(count int) ([]string, error) {
	addresses := make([]string, 0, count)
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "looking for a free port")
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

func freeAddress() (string, error) {
	addresses, err := freeAddresses(1)
	if err != nil {
		return "", err
	}
	return addresses[0], nil
}

func listening(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: probeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
