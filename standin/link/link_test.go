package link

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startEchoServer starts a server that answers every line with the same line, and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveLines(conn)
		}
	}()
	return listener.Addr().String()
}

func serveLines(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		_, _ = conn.Write([]byte(line))
	}
}

// roundTrip sends a line and reports whether it is echoed within a time limit.
func roundTrip(conn net.Conn, within time.Duration) bool {
	if _, err := conn.Write([]byte("lookup\n")); err != nil {
		return false
	}
	_ = conn.SetReadDeadline(time.Now().Add(within))
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && line == "lookup\n"
}

func TestModes(t *testing.T) {
	const short, long = 150 * time.Millisecond, 5 * time.Second
	tests := map[string]struct {
		faults Faults
		// old and fresh are whether connections that are open before the fault, and those opened
		// during it, work; heal whether the former work again after it.
		old, fresh, heal bool
	}{
		"pass":        {Faults{Mode: Pass}, true, true, true},
		"cut":         {Faults{Mode: Cut}, false, false, false},
		"freeze":      {Faults{Mode: Freeze}, false, false, true},
		"silent":      {Faults{Mode: Silent}, false, true, false},
		"no answers":  {Faults{Mode: NoAnswers}, false, false, true},
		"no requests": {Faults{Mode: NoRequests}, false, false, true},
		"slow":        {Faults{Mode: Delay, DelayMS: 400}, false, false, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			l := New()
			address := freeAddress(t)
			require.NoError(t, l.Add(ctx, Relay{Name: "store-a", Listen: address, Target: startEchoServer(t)}))
			conn := dial(t, address)
			require.True(t, roundTrip(conn, long))

			test.faults.Relay = "store-*"
			require.NoError(t, l.Set(test.faults))
			wait := short
			if test.old {
				wait = long
			}
			require.Equal(t, test.old, roundTrip(conn, wait), "open connection")
			fresh := dial(t, address)
			wait = short
			if test.fresh {
				wait = long
			}
			require.Equal(t, test.fresh, roundTrip(fresh, wait), "new connection")

			require.NoError(t, l.Set(Faults{Relay: "store-a"}))
			require.True(t, roundTrip(dial(t, address), long), "connection after the fault")
			wait = short
			if test.heal {
				wait = long
			}
			require.Equal(t, test.heal, roundTrip(conn, wait), "open connection after the fault")
		})
	}
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func TestFaultsFromOneSourceDoNotAffectOthers(t *testing.T) {
	for _, mode := range []Mode{Cut, Freeze, Silent, NoAnswers} {
		t.Run(string(mode), func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			l, address := New(), freeAddress(t)
			require.NoError(t, l.Add(ctx, Relay{Name: "peers-1", Listen: address, Target: startEchoServer(t)}))
			affected, other := dialFrom(t, "127.0.3.1", address), dialFrom(t, "127.0.4.1", address)
			require.True(t, roundTrip(affected, 5*time.Second))
			require.True(t, roundTrip(other, 5*time.Second))
			require.NoError(t, l.Set(Faults{Relay: "peers-*", From: "127.0.3.*", Mode: mode}))
			require.False(t, roundTrip(affected, 150*time.Millisecond))
			require.True(t, roundTrip(other, 5*time.Second))
		})
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

func dialFrom(t *testing.T, ip, address string) net.Conn {
	t.Helper()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	conn, err := dialer.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func TestSetRejectsUnknownModeAndRelay(t *testing.T) {
	l := New()
	require.ErrorContains(t, l.Set(Faults{Relay: "*", Mode: "explode"}), "explode")
	require.ErrorContains(t, l.Set(Faults{Relay: "nobody"}), "nobody")
}
