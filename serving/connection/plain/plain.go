// Package plain sends requests to plain services, which are those that are not models, and
// reads their answers completely.
//
// The Transport of net/http automatically retries a request when a persistent connection
// fails and the request is a GET, or has an Idempotency-Key and a body that can be rewound.
// Send therefore opens a new connection for every non-idempotent attempt and gives the
// transport only that connection, so that it cannot retry.
//
// # Usage
//
//	sender := plain.New(connections, time.Second, 8<<20)
//	answer, sent, err := sender.Send(ctx, plain.Attempt{...})
//	if err != nil && !sent {
//		// no byte of the attempt was sent: it was not executed
//	}
package plain

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/serving/connection/answer"
	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/connection/pool"
	"papayaport.dev/serving/connection/socketbuffer"
)

// Errors of an attempt.
var (
	// ErrTooLarge means that an answer exceeds the size limit.
	ErrTooLarge = errors.New("answer over the limit")
	// ErrForeign means that an answer echoes the id of another attempt.
	ErrForeign = errors.New("answer belongs to another attempt")
)

// Attempt is one attempt of a request.
type Attempt struct {
	ID          string
	Backend     string
	Incarnation uint64
	// Address is the base URL of the backend server.
	Address    string
	Method     string
	Path       string
	Query      string
	Header     http.Header
	Body       []byte
	Idempotent bool
}

// Answer is the complete answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// ClientPool provides HTTP clients with persistent connections by backend server.
type ClientPool interface {
	Client(id string, incarnation uint64) *http.Client
	Drop(id string)
}

// Sender sends attempts.
type Sender struct {
	pool        ClientPool
	dialTimeout time.Duration
	answerBytes int64
}

// New returns a sender that accepts answers with bodies of up to answerBytes bytes.
func New(clients ClientPool, dialTimeout time.Duration, answerBytes int64) *Sender {
	return &Sender{pool: clients, dialTimeout: dialTimeout, answerBytes: answerBytes}
}

// Send makes one attempt. The second result reports whether any byte of a non-idempotent
// attempt may have been sent; it is always true for an idempotent one.
func (s *Sender) Send(ctx context.Context, attempt Attempt) (Answer, bool, error) {
	if attempt.Idempotent {
		got, err := s.exchange(ctx, s.pool.Client(attempt.Backend, attempt.Incarnation), attempt)
		if err != nil {
			s.pool.Drop(attempt.Backend)
		}
		return got, true, err
	}
	return s.sendOnce(ctx, attempt)
}

func (s *Sender) sendOnce(ctx context.Context, attempt Attempt) (Answer, bool, error) {
	conn, err := s.dial(ctx, attempt.Address)
	if err != nil {
		return Answer{}, false, errors.Wrap(err, "connect to backend server")
	}
	defer conn.Close()
	transport := &http.Transport{
		DialContext:            (&singleConnDialer{conn: conn}).dial,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: pool.MaxHeadBytes,
	}
	client := &http.Client{Transport: answer.NewTransport(transport), CheckRedirect: refuseRedirect}
	got, err := s.exchange(ctx, client, attempt)
	return got, conn.written.Load(), err
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (s *Sender) dial(ctx context.Context, address string) (*writeTrackingConn, error) {
	parsed, err := url.Parse(address)
	if err != nil {
		return nil, errors.Wrap(err, "parse address")
	}
	dialer := net.Dialer{Timeout: s.dialTimeout, Control: socketbuffer.Control}
	conn, err := dialer.DialContext(ctx, "tcp", parsed.Host)
	if err != nil {
		return nil, err
	}
	return &writeTrackingConn{Conn: conn}, nil
}

// writeTrackingConn records whether anything was written.
type writeTrackingConn struct {
	net.Conn
	written atomic.Bool
}

// Write records the write before it starts.
func (c *writeTrackingConn) Write(data []byte) (int, error) {
	c.written.Store(true)
	return c.Conn.Write(data)
}

// singleConnDialer returns a connection from its first dial and fails afterwards.
type singleConnDialer struct {
	mu   sync.Mutex
	conn net.Conn
}

var errConnUsed = errors.New("the connection of the attempt was already used")

func (s *singleConnDialer) dial(context.Context, string, string) (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil {
		return nil, errConnUsed
	}
	conn := s.conn
	s.conn = nil
	return conn, nil
}

func (s *Sender) exchange(ctx context.Context, client *http.Client, attempt Attempt) (Answer, error) {
	request, err := newRequest(ctx, attempt)
	if err != nil {
		return Answer{}, err
	}
	response, err := client.Do(request)
	if err != nil {
		return Answer{}, errors.Wrap(err, "send to backend server")
	}
	defer response.Body.Close()
	return s.read(response, attempt.ID)
}

// opaqueReader hides the reader's type, so that net/http cannot derive GetBody and rewind the body.
type opaqueReader struct{ io.Reader }

func newRequest(ctx context.Context, attempt Attempt) (*http.Request, error) {
	target := attempt.Address + attempt.Path
	if attempt.Query != "" {
		target += "?" + attempt.Query
	}
	request, err := http.NewRequestWithContext(ctx, attempt.Method, target, nil)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	if len(attempt.Body) > 0 {
		request.Body = io.NopCloser(opaqueReader{bytes.NewReader(attempt.Body)})
		request.ContentLength = int64(len(attempt.Body))
	}
	request.Header = forwardedHeader(attempt.Header)
	request.Header.Set(engine.AttemptHeader, attempt.ID)
	return request, nil
}

// hopHeaders are the hop-by-hop headers (RFC 9110, section 7.6.1), and Authorization, since
// the caller's key is not passed on to backend servers.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Authorization", "Expect",
}

func forwardedHeader(header http.Header) http.Header {
	out := header.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, listed := range header.Values("Connection") {
		for name := range strings.SplitSeq(listed, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

func (s *Sender) read(response *http.Response, attempt string) (Answer, error) {
	if echoed := response.Header.Get(engine.AttemptHeader); echoed != "" && echoed != attempt {
		return Answer{}, errors.Wrapf(ErrForeign, "attempt %s answered as %s", attempt, echoed)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, s.answerBytes+1))
	if err != nil {
		return Answer{}, errors.Wrap(err, "read answer")
	}
	if int64(len(data)) > s.answerBytes {
		return Answer{}, ErrTooLarge
	}
	return Answer{Status: response.StatusCode, Header: forwardedHeader(response.Header), Body: data}, nil
}
