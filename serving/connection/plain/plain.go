// Package plain sends requests to plain services and reads their whole answers.
//
// net/http's Transport repeats a request by itself when a kept-alive connection
// fails and the request is a GET, or carries an Idempotency-Key and can rewind its
// body. Send therefore opens a new connection for every non-idempotent attempt and
// gives the library exactly that one connection, so that it has nothing to repeat on.
//
// # Usage
//
//	sender := plain.New(connections, time.Second, 8<<20)
//	answer, sent, err := sender.Send(ctx, plain.Attempt{...})
//	if err != nil && !sent {
//		// no byte of the attempt left: it did not run
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

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/connection/pool"
)

// Errors of an attempt.
var (
	// ErrTooLarge means that an answer passed the limit.
	ErrTooLarge = errors.New("answer over the limit")
	// ErrForeign means that an answer names another attempt.
	ErrForeign = errors.New("answer belongs to another attempt")
)

// Attempt is one send of a request.
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

// Answer is a backend server's whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Clients gives the kept-alive client of a backend server.
type Clients interface {
	Client(id string, incarnation uint64) *http.Client
	Drop(id string)
}

// Sender sends attempts.
type Sender struct {
	clients     Clients
	dialTimeout time.Duration
	answerBytes int64
}

// New returns a sender that reads answers up to answerBytes.
func New(clients Clients, dialTimeout time.Duration, answerBytes int64) *Sender {
	return &Sender{clients: clients, dialTimeout: dialTimeout, answerBytes: answerBytes}
}

// Send makes one attempt. The second result tells whether any byte of a
// non-idempotent attempt may have left; it is always true for an idempotent one.
func (s *Sender) Send(ctx context.Context, attempt Attempt) (Answer, bool, error) {
	if attempt.Idempotent {
		answer, err := s.exchange(ctx, s.clients.Client(attempt.Backend, attempt.Incarnation), attempt)
		if err != nil {
			s.clients.Drop(attempt.Backend)
		}
		return answer, true, err
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
		DialContext:            (&single{conn: conn}).dial,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: pool.HeadBytes,
	}
	client := &http.Client{Transport: transport, CheckRedirect: refuseRedirect}
	answer, err := s.exchange(ctx, client, attempt)
	return answer, conn.written.Load(), err
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (s *Sender) dial(ctx context.Context, address string) (*watchedConn, error) {
	parsed, err := url.Parse(address)
	if err != nil {
		return nil, errors.Wrap(err, "parse address")
	}
	dialer := net.Dialer{Timeout: s.dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", parsed.Host)
	if err != nil {
		return nil, err
	}
	return &watchedConn{Conn: conn}, nil
}

// watchedConn notes whether anything was written.
type watchedConn struct {
	net.Conn
	written atomic.Bool
}

// Write notes the write before it happens.
func (c *watchedConn) Write(data []byte) (int, error) {
	c.written.Store(true)
	return c.Conn.Write(data)
}

// single gives one connection once.
type single struct {
	mu   sync.Mutex
	conn net.Conn
}

var errUsed = errors.New("the attempt's connection is used up")

func (s *single) dial(context.Context, string, string) (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil {
		return nil, errUsed
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

// body hides the reader's type, so that net/http can't make a GetBody of it.
type body struct{ io.Reader }

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
		request.Body = io.NopCloser(body{bytes.NewReader(attempt.Body)})
		request.ContentLength = int64(len(attempt.Body))
	}
	request.Header = forwarded(attempt.Header)
	request.Header.Set(engine.AttemptHeader, attempt.ID)
	return request, nil
}

// hopHeaders are the headers of one connection (RFC 9110, section 7.6.1), and the
// caller's key, which backend servers never see.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Authorization", "Expect",
}

func forwarded(header http.Header) http.Header {
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
	return Answer{Status: response.StatusCode, Header: forwarded(response.Header), Body: data}, nil
}
