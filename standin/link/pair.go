package link

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// pieceBytes is the size of the copy buffer, the largest piece that is forwarded at a time.
	pieceBytes = 32 << 10
	// dialTimeout is the timeout for connecting to a target.
	dialTimeout = time.Second
)

// pair is a caller's connection with its connection to the target. The Link's mutex guards the
// field silent.
type pair struct {
	caller, target net.Conn
	silent         bool
}

func (p *pair) close() {
	_ = p.caller.Close()
	_ = p.target.Close()
}

// forward connects to the relay's target and copies data in both directions until they end.
func (l *Link) forward(ctx context.Context, r *relay, caller net.Conn) {
	defer caller.Close()
	if l.isCut(r, caller) {
		return
	}
	target, err := net.DialTimeout("tcp", r.Target, dialTimeout)
	if err != nil {
		return
	}
	p := &pair{caller: caller, target: target}
	defer p.close()
	if !l.add(r, p) {
		return
	}
	defer l.remove(r, p)
	stop := context.AfterFunc(ctx, p.close)
	defer stop()
	var group errgroup.Group
	group.Go(func() error { return l.copyHalf(ctx, r, p, caller, target, NoRequests) })
	group.Go(func() error { return l.copyHalf(ctx, r, p, target, caller, NoAnswers) })
	_ = group.Wait()
}

func (l *Link) isCut(r *relay, caller net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return r.modeFor(caller) == Cut
}

// add registers a connection. It returns false if the relay is cut.
func (l *Link) add(r *relay, p *pair) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.modeFor(p.caller) == Cut {
		return false
	}
	r.conns[p] = true
	return true
}

func (l *Link) remove(r *relay, p *pair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(r.conns, p)
}

// copyHalf copies one direction; dropped is the mode that drops its data.
func (l *Link) copyHalf(ctx context.Context, r *relay, p *pair, from, to net.Conn, dropped Mode) error {
	buffer := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && l.gate(ctx, r, p, dropped) {
			if _, err := to.Write(buffer[:n]); err != nil {
				p.close()
				return err
			}
		}
		if err != nil {
			l.gate(ctx, r, p, dropped)
			return closeHalf(p, to, err)
		}
	}
}

// closeHalf forwards a regular end of one direction, and closes both connections after an error.
func closeHalf(p *pair, to net.Conn, err error) error {
	half, ok := to.(*net.TCPConn)
	if !ok || !errors.Is(err, io.EOF) {
		p.close()
		return err
	}
	return half.CloseWrite()
}

// gate waits until a piece may be forwarded, and returns false if it must be dropped.
func (l *Link) gate(ctx context.Context, r *relay, p *pair, dropped Mode) bool {
	for {
		l.mu.Lock()
		mode, delay, silent, modeChanged := r.modeFor(p.caller), r.delay, p.silent, r.modeChanged
		l.mu.Unlock()
		switch {
		case silent, mode == dropped:
			return false
		case mode == Delay:
			time.Sleep(delay)
			return true
		case mode != Freeze:
			return true
		}
		select {
		case <-modeChanged:
		case <-ctx.Done():
			return false
		}
	}
}
