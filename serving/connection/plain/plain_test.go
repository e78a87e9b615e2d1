package plain_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/connection/plain"
	"papayaport.dev/serving/connection/pool"
)

// closingServer is a server that answers all requests except POST. It counts a POST and closes the
// connection without an answer.
type closingServer struct {
	listener net.Listener
	posts    atomic.Int64
}

func newClosingServer(t *testing.T) *closingServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c := &closingServer{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go c.accept()
	return c
}

func (c *closingServer) accept() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		go c.serve(conn)
	}
}

func (c *closingServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.Method == http.MethodPost {
			c.posts.Add(1)
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	}
}

func (c *closingServer) address() string { return "http://" + c.listener.Addr().String() }

// TestTransportRetriesOnItsOwn demonstrates the retry of net/http that Send must prevent.
func TestTransportRetriesOnItsOwn(t *testing.T) {
	server := newClosingServer(t)
	client := &http.Client{}
	first, err := client.Get(server.address())
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, first.Body)
	require.NoError(t, err)
	require.NoError(t, first.Body.Close())
	request, err := http.NewRequest(http.MethodPost, server.address(), http.NoBody)
	require.NoError(t, err)
	request.Header.Set("Idempotency-Key", "k")
	_, err = client.Do(request)
	require.Error(t, err)
	require.Greater(t, server.posts.Load(), int64(1))
}

func TestSendRunsOnce(t *testing.T) {
	tests := map[string]struct {
		method string
		body   []byte
	}{
		"body":    {http.MethodPost, []byte(`{"id":"1"}`)},
		"no body": {http.MethodPost, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := newClosingServer(t)
			sender := plain.New(pool.New(pool.DefaultOptions), time.Second, 1<<20)
			attempt := plain.Attempt{ID: "a", Backend: "b", Address: server.address(), Path: "/", Method: http.MethodGet, Idempotent: true}
			_, _, err := sender.Send(context.Background(), attempt)
			require.NoError(t, err)
			attempt.Method, attempt.Body, attempt.Idempotent = test.method, test.body, false
			attempt.Header = http.Header{"Idempotency-Key": {"k"}}
			_, sent, err := sender.Send(context.Background(), attempt)
			require.Error(t, err)
			require.True(t, sent)
			require.Equal(t, int64(1), server.posts.Load())
		})
	}
}

func TestSendReportsUnsent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := "http://" + listener.Addr().String()
	require.NoError(t, listener.Close())
	sender := plain.New(pool.New(pool.DefaultOptions), time.Second, 1<<20)
	_, sent, err := sender.Send(context.Background(), plain.Attempt{ID: "a", Address: address, Method: http.MethodPost, Path: "/"})
	require.Error(t, err)
	require.False(t, sent)
}

// TestEndlessHead guards against an endless head of an answer, over persistent connections
// and over single-use ones.
func TestEndlessHead(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	closed := make(chan struct{}, 2)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				// An answer before the request would make the client close the connection.
				_, err := http.ReadRequest(bufio.NewReader(conn))
				if err == nil {
					_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
				}
				for err == nil {
					_, err = io.WriteString(conn, strings.Repeat("X-Line: x\r\n", 100))
				}
				closed <- struct{}{}
			}()
		}
	}()
	sender := plain.New(pool.New(pool.DefaultOptions), time.Second, 1<<20)
	for name, idempotent := range map[string]bool{"idempotent": true, "non-idempotent": false} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, sent, err := sender.Send(ctx, plain.Attempt{
				ID: "1", Backend: "b", Address: "http://" + listener.Addr().String(), Method: http.MethodGet, Path: "/", Idempotent: idempotent,
			})
			require.Error(t, err)
			require.True(t, sent)
			require.NoError(t, ctx.Err())
			<-closed
		})
	}
}
