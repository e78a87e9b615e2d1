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

// closer is a server that answers the first request on every connection, then reads
// a second one and closes the connection without an answer.
type closer struct {
	listener net.Listener
	posts    atomic.Int64
}

func newCloser(t *testing.T) *closer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c := &closer{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go c.accept()
	return c
}

func (c *closer) accept() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		go c.serve(conn)
	}
}

func (c *closer) serve(conn net.Conn) {
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

func (c *closer) address() string { return "http://" + c.listener.Addr().String() }

// TestTransportRepeatsByItself shows the behaviour of net/http that Send guards against.
func TestTransportRepeatsByItself(t *testing.T) {
	server := newCloser(t)
	client := &http.Client{}
	warm, err := client.Get(server.address())
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, warm.Body)
	require.NoError(t, err)
	require.NoError(t, warm.Body.Close())
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
			server := newCloser(t)
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

func TestSendTellsNothingLeft(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := "http://" + listener.Addr().String()
	require.NoError(t, listener.Close())
	sender := plain.New(pool.New(pool.DefaultOptions), time.Second, 1<<20)
	_, sent, err := sender.Send(context.Background(), plain.Attempt{ID: "a", Address: address, Method: http.MethodPost, Path: "/"})
	require.Error(t, err)
	require.False(t, sent)
}

// TestHeadWithoutEnd reads an answer whose head never ends, over kept connections and others.
func TestHeadWithoutEnd(t *testing.T) {
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
				// An answer to nothing would end the connection before the request is sent.
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
