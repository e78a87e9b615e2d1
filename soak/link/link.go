// Package link implements a TCP proxy on loopback that injects network faults between two
// processes: delays, resets and one-way or two-way partitions.
//
// # Locks
//
// Link.mu guards the mode, the delay, the target and the set of connections. It is not held
// during network calls except closing a connection.
//
// # Usage
//
//	l, err := link.New(ctx, "127.0.0.1:8080")
//	client.Dial(l.Address)
//	l.Disturb(plan.Silence, 0)
//	l.Heal()
package link

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/soak/plan"
)

const (
	bufferBytes = 32 << 10
	dialTimeout = time.Second
	// pollInterval is how often a cut direction checks whether it is healed.
	pollInterval = 5 * time.Millisecond
)

// Link is a proxy in front of one target.
type Link struct {
	// Address is the proxy's listen address.
	Address string
	target  string

	// mu guards the rest.
	mu    sync.Mutex
	mode  plan.Disturbance
	delay time.Duration
	conns map[*net.TCPConn]bool
}

// New starts a proxy in front of a target. It runs until ctx ends.
func New(ctx context.Context, target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	l := &Link{Address: listener.Addr().String(), target: target, conns: map[*net.TCPConn]bool{}}
	context.AfterFunc(ctx, func() {
		_ = listener.Close() // closed once
		l.Reset()
	})
	go l.accept(listener)
	return l, nil
}

// SetTarget changes the target of new connections.
func (l *Link) SetTarget(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

// Disturb injects a fault until Heal is called. plan.Reset resets all current connections and
// all new ones.
func (l *Link) Disturb(way plan.Disturbance, delay time.Duration) {
	l.mu.Lock()
	l.mode, l.delay = way, delay
	l.mu.Unlock()
	if way == plan.Reset {
		l.Reset()
	}
}

// Heal ends the injected fault.
func (l *Link) Heal() { l.Disturb("", 0) }

// Reset resets all connections.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		reset(conn)
	}
	clear(l.conns)
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // fails only on a closed connection
	_ = conn.Close()
}

func (l *Link) state() (plan.Disturbance, time.Duration, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode, l.delay, l.target
}

func (l *Link) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return // closed
		}
		go l.forward(conn.(*net.TCPConn))
	}
}

func (l *Link) forward(near *net.TCPConn) {
	way, _, target := l.state()
	if way == plan.Reset {
		reset(near)
		return
	}
	conn, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		reset(near)
		return
	}
	far := conn.(*net.TCPConn)
	l.mu.Lock()
	l.conns[near], l.conns[far] = true, true
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.copy(far, near, plan.CutForward) })
	both.Go(func() { l.copy(near, far, plan.CutBackward) })
	both.Wait()
	l.mu.Lock()
	delete(l.conns, near)
	delete(l.conns, far)
	l.mu.Unlock()
	// They may have been closed by Reset already.
	_ = near.Close()
	_ = far.Close()
}

// copy forwards one direction. Nothing is read while the direction is cut, so that data of a
// connection that the sender resets meanwhile is never delivered.
func (l *Link) copy(to, from *net.TCPConn, cut plan.Disturbance) {
	buffer := make([]byte, bufferBytes)
	for {
		held := l.waitWhileCut(cut)
		n, err := from.Read(buffer)
		_, delay, _ := l.state()
		time.Sleep(delay)
		// Data that arrived before a reset can still be read and must be dropped.
		if held = l.waitWhileCut(cut) || held; held && isReset(from) {
			reset(to)
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			var closed *net.OpError
			if errors.As(err, &closed) {
				reset(to)
				return
			}
			_ = to.CloseWrite() // the other direction may have ended it
			return
		}
	}
}

// waitWhileCut waits while a direction is cut, and returns whether it was.
func (l *Link) waitWhileCut(cut plan.Disturbance) (held bool) {
	for {
		way, _, _ := l.state()
		if way != cut && way != plan.Silence {
			return held
		}
		held = true
		time.Sleep(pollInterval)
	}
}

// isReset reports whether the peer has reset a connection, without reading from it.
func isReset(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	reset := false
	err = raw.Control(func(fd uintptr) { reset = socketError(int(fd)) })
	return err != nil || reset
}
