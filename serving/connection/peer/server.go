package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

// Serve serves the calls that arrive at listener until ctx ends or the listener fails. It
// closes the listener and returns after the last connection has ended.
func Serve(ctx context.Context, listener net.Listener, handler Handler, options Options) error {
	mux := drpcmux.New()
	s := &server{handler: handler, options: options}
	if err := mux.Register(s, description{options}); err != nil {
		return errors.Wrap(err, "register peer methods")
	}
	if options.TLS != nil {
		listener = tls.NewListener(listener, options.TLS)
	}
	limited := &limitedListener{Listener: listener, options: options, slots: make(chan struct{}, options.Connections)}
	manager := managerOptions(options)
	manager.InactivityTimeout = 2 * options.Idle
	drpcServer := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: manager})
	return errors.Wrap(drpcServer.Serve(ctx, limited), "serve peers")
}

// messageOverhead is the allowance for the framing of a message in bytes.
const messageOverhead = 1 << 10

func managerOptions(options Options) drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: options.MessageBytes + messageOverhead},
	}
}

// limitedListener limits the open connections. A connection above the limit is closed at
// once, so that its client can try another peer.
type limitedListener struct {
	net.Listener
	options Options
	slots   chan struct{}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			metered := &meteredConn{Conn: newFrameConn(conn), traffic: l.options.Traffic, silence: l.options.Silence}
			return &limitedConn{Conn: metered, slots: l.slots}, nil
		default:
			_ = conn.Close()
		}
	}
}

type limitedConn struct {
	net.Conn
	slots chan struct{}
	once  sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.slots })
	return c.Conn.Close()
}

// server translates wire messages into calls of the handler.
type server struct {
	handler Handler
	options Options
}

func (s *server) exchange(ctx context.Context, m *exchange) (*exchange, error) {
	reply, err := s.handler.Exchange(ctx, m.Message)
	return &exchange{Call: m.Call, Message: reply}, wireError(err)
}

func (s *server) head(ctx context.Context, m *fetch) (*content, error) {
	data, err := s.handler.Head(ctx)
	return &content{Call: m.Call, Data: data}, wireError(err)
}

func (s *server) manifest(ctx context.Context, m *fetch) (*content, error) {
	data, err := s.handler.Manifest(ctx, m.Hash)
	return &content{Call: m.Call, Data: data}, wireError(err)
}

func (s *server) chunk(ctx context.Context, m *fetch) (*content, error) {
	data, err := s.handler.Chunk(ctx, m.Hash)
	return &content{Call: m.Call, Data: data}, wireError(err)
}

func (s *server) action(ctx context.Context, m *content) (*content, error) {
	data, err := s.handler.Action(ctx, m.Data)
	return &content{Call: m.Call, Data: data}, wireError(err)
}

func (s *server) handOver(ctx context.Context, m *transfer) (*answer, error) {
	err := s.handler.HandOver(ctx, m.HandOver)
	return &answer{Call: m.Call, Found: err == nil}, wireError(err)
}

func (s *server) find(ctx context.Context, m *find) (*answer, error) {
	found, err := s.handler.Find(ctx, m.RequestID)
	return &answer{Call: m.Call, Found: found}, wireError(err)
}

// attach sends the pieces of an answer.
func (s *server) attach(m *find, stream drpc.Stream) error {
	return s.sendPieces(AttachMethod, m.Call, stream, func(ctx context.Context, send func([]byte) error) error {
		return s.handler.Attach(ctx, m.RequestID, m.Offset, send)
	})
}

// forward sends the pieces of the answer to a forwarded request.
func (s *server) forward(m *content, stream drpc.Stream) error {
	forwarder, ok := s.handler.(Forwarder)
	if !ok {
		return wireError(ErrNotFound)
	}
	return s.sendPieces(ForwardMethod, m.Call, stream, func(ctx context.Context, send func([]byte) error) error {
		return forwarder.Forward(ctx, m.Data, send)
	})
}

// sendPieces sends the pieces that a method of the handler returns, and keep-alives between them.
func (s *server) sendPieces(method Method, call uint64, stream drpc.Stream, handle func(ctx context.Context, send func([]byte) error) error) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	out := &pieceSender{stream: stream, call: call, encoding: newEncoding(s.options, method)}
	var keepAlives sync.WaitGroup
	keepAlives.Go(func() { out.keepAlive(ctx, s.options.KeepAlive) })
	err := handle(ctx, out.send)
	cancel()
	keepAlives.Wait()
	if err != nil {
		return wireError(err)
	}
	return out.end()
}

// pieceSender writes a stream of pieces. Its mutex is held while a piece is written.
type pieceSender struct {
	mu       sync.Mutex
	stream   drpc.Stream
	call     uint64
	next     uint64
	encoding drpc.Encoding
}

func (p *pieceSender) send(data []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	err := p.stream.MsgSend(&piece{Call: p.call, Index: p.next, Data: data}, p.encoding)
	p.next++
	return errors.Wrap(err, "send piece")
}

func (p *pieceSender) end() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return errors.Wrap(p.stream.MsgSend(&piece{Call: p.call, Index: p.next, Last: true}, p.encoding), "send final piece")
}

func (p *pieceSender) keepAlive(ctx context.Context, period time.Duration) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p.mu.Lock()
		err := p.stream.MsgSend(&piece{Call: p.call, Index: p.next, KeepAlive: true}, p.encoding)
		p.mu.Unlock()
		if err != nil {
			return
		}
	}
}

func wireError(err error) error {
	if errors.Is(err, ErrNotFound) {
		return drpcerr.WithCode(err, notFoundCode)
	}
	return err
}
