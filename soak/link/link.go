// Package link is a loopback proxy between two processes that delays, resets, cuts and
// silences connections without the help of either.
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
	// heldPeriod is the time between two looks whether a silenced direction goes on.
	heldPeriod = 5 * time.Millisecond
)

// Link is one proxy.
type Link struct {
	// Address is where the proxy listens.
	Address string
	target  string

	// mu guards the rest.
	mu    sync.Mutex
	way   plan.Way
	delay time.Duration
	conns map[*net.TCPConn]bool
}

// New starts a proxy in front of a target until ctx ends.
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

// SetTarget leads new connections elsewhere.
func (l *Link) SetTarget(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

// Disturb lets the link go wrong until Heal. Reset ends the connections of the moment and
// refuses new ones.
func (l *Link) Disturb(way plan.Way, delay time.Duration) {
	l.mu.Lock()
	l.way, l.delay = way, delay
	l.mu.Unlock()
	if way == plan.Reset {
		l.Reset()
	}
}

// Heal ends a disturbance.
func (l *Link) Heal() { l.Disturb("", 0) }

// Reset ends all connections with a reset.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		reset(conn)
	}
	clear(l.conns)
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // a connection that is closed already needs none
	_ = conn.Close()
}

func (l *Link) state() (plan.Way, time.Duration, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.way, l.delay, l.target
}

func (l *Link) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return // closed
		}
		go l.join(conn.(*net.TCPConn))
	}
}

func (l *Link) join(near *net.TCPConn) {
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
	both.Go(func() { l.copy(far, near, plan.CutThere) })
	both.Go(func() { l.copy(near, far, plan.CutBack) })
	both.Wait()
	l.mu.Lock()
	delete(l.conns, near)
	delete(l.conns, far)
	l.mu.Unlock()
	// A reset may have closed them before.
	_ = near.Close()
	_ = far.Close()
}

// copy carries one direction. While it is cut nothing is read, so that what a sender gave
// up by a reset is never delivered.
func (l *Link) copy(to, from *net.TCPConn, cut plan.Way) {
	buffer := make([]byte, bufferBytes)
	for {
		held := l.hold(cut)
		n, err := from.Read(buffer)
		_, delay, _ := l.state()
		time.Sleep(delay)
		// A reset leaves what came before it to be read.
		if held = l.hold(cut) || held; held && gone(from) {
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

// hold waits while a direction is cut, and tells whether it was.
func (l *Link) hold(cut plan.Way) (held bool) {
	for {
		way, _, _ := l.state()
		if way != cut && way != plan.Silence {
			return held
		}
		held = true
		time.Sleep(heldPeriod)
	}
}

// gone tells whether the other side reset a connection, without reading from it.
func gone(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	reset := false
	err = raw.Control(func(fd uintptr) { reset = socketError(int(fd)) })
	return err != nil || reset
}
