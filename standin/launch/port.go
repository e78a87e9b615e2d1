package launch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/pkg/errors"
)

// probeTimeout bounds one look whether a process listens.
const probeTimeout = 300 * time.Millisecond

// addresses gives out free ports on a loopback IP that no other system is likely to
// have: on 127.0.0.1 any outgoing connection may take a port before its process listens.
type addresses struct {
	ip    string
	given map[string]bool
}

// lowestLoopback is the second byte of the lowest IP in use.
const lowestLoopback = 64

func newAddresses() *addresses {
	ip := fmt.Sprintf("127.%d.%d.%d", lowestLoopback+rand.IntN(128), rand.IntN(256), 1+rand.IntN(254))
	return &addresses{ip: ip, given: map[string]bool{}}
}

// take returns addresses on which nothing listens and that were not given out before.
func (a *addresses) take(count int) ([]string, error) {
	var taken []string
	for len(taken) < count {
		listener, err := net.Listen("tcp", net.JoinHostPort(a.ip, "0"))
		if err != nil {
			return nil, errors.Wrap(err, "looking for a free port")
		}
		address := listener.Addr().String()
		_ = listener.Close()
		if a.given[address] {
			continue
		}
		a.given[address] = true
		taken = append(taken, address)
	}
	return taken, nil
}

// one returns one address.
func (a *addresses) one() (string, error) {
	taken, err := a.take(1)
	if err != nil {
		return "", err
	}
	return taken[0], nil
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
