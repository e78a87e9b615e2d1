package launch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/pkg/errors"
)

// probeTimeout is the timeout of one connection attempt to a starting process.
const probeTimeout = 300 * time.Millisecond

// addressPool allocates free ports on a random loopback IP that other systems are unlikely to
// use: on 127.0.0.1 an outgoing connection may take a port before its process listens on it.
type addressPool struct {
	ip        string
	allocated map[string]bool
}

// minSecondOctet is the lowest second octet of the loopback IPs.
const minSecondOctet = 64

func newAddressPool() *addressPool {
	ip := fmt.Sprintf("127.%d.%d.%d", minSecondOctet+rand.IntN(128), rand.IntN(256), 1+rand.IntN(254))
	return &addressPool{ip: ip, allocated: map[string]bool{}}
}

// allocate returns addresses on which nothing listens and that were not allocated before.
func (a *addressPool) allocate(count int) ([]string, error) {
	var taken []string
	for len(taken) < count {
		listener, err := net.Listen("tcp", net.JoinHostPort(a.ip, "0"))
		if err != nil {
			return nil, errors.Wrap(err, "finding a free port")
		}
		address := listener.Addr().String()
		_ = listener.Close()
		if a.allocated[address] {
			continue
		}
		a.allocated[address] = true
		taken = append(taken, address)
	}
	return taken, nil
}

// allocateOne returns one address.
func (a *addressPool) allocateOne() (string, error) {
	taken, err := a.allocate(1)
	if err != nil {
		return "", err
	}
	return taken[0], nil
}

func isListening(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: probeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
