package link_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/soak/link"
	"papayaport.dev/soak/plan"
)

// echo starts an echo server and returns its address.
func echo(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return listener.Addr().String()
}

func TestDisturb(t *testing.T) {
	for name, test := range map[string]struct {
		way plan.Disturbance
		// answered is true if an echo arrives during the fault, and after if one arrives once
		// the link is healed.
		answered, after bool
	}{
		"delay":     {plan.Delay, true, true},
		"reset":     {plan.Reset, false, false},
		"cut there": {plan.CutForward, false, true},
		"cut back":  {plan.CutBackward, false, true},
		"silence":   {plan.Silence, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := link.New(t.Context(), echo(t))
			require.NoError(t, err)
			conn, err := net.Dial("tcp", l.Address)
			require.NoError(t, err)
			defer conn.Close()
			answers := func() bool {
				if _, err := conn.Write([]byte("x")); err != nil {
					return false
				}
				if err := conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond)); err != nil {
					return false
				}
				_, err := io.ReadFull(conn, make([]byte, 1))
				return err == nil
			}
			require.True(t, answers())
			l.Disturb(test.way, 50*time.Millisecond)
			begun := time.Now()
			require.Equal(t, test.answered, answers())
			if test.way == plan.Delay {
				require.GreaterOrEqual(t, time.Since(begun), 100*time.Millisecond, "both ways")
			}
			l.Heal()
			require.Equal(t, test.after, answers())
		})
	}
}

// TestGivenUpIsNotDelivered guards against data that is delivered after the sender has reset the
// connection: it sends during a partition, resets, and heals the link.
func TestGivenUpIsNotDelivered(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	l, err := link.New(context.Background(), listener.Addr().String())
	require.NoError(t, err)
	conn, err := net.Dial("tcp", l.Address)
	require.NoError(t, err)
	far, err := listener.Accept()
	require.NoError(t, err)
	l.Disturb(plan.Silence, 0)
	_, err = conn.Write([]byte("x"))
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	require.NoError(t, conn.(*net.TCPConn).SetLinger(0))
	require.NoError(t, conn.Close())
	time.Sleep(50 * time.Millisecond)
	l.Heal()
	require.NoError(t, far.SetReadDeadline(time.Now().Add(300*time.Millisecond)))
	n, _ := far.Read(make([]byte, 1))
	require.Zero(t, n)
}
