package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/connection/upstream"
)

// serve runs a script for each connection. It returns the listener's address and a channel
// with the error that ended each connection.
func serve(t *testing.T, script func(conn net.Conn, requests *bufio.Reader)) (address string, ended chan error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	ended = make(chan error, 16)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				script(conn, bufio.NewReader(conn))
				_, err := io.Copy(io.Discard, conn)
				ended <- err
			}()
		}
	}()
	return listener.Addr().String(), ended
}

func readRequest(requests *bufio.Reader) bool {
	request, err := http.ReadRequest(requests)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err == nil
}

func writeAnswer(conn net.Conn, id, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newPool() *upstream.Pool {
	return upstream.New(upstream.Options{DialTimeout: time.Second, EchoHeader: "X-Id"})
}

func send(ctx context.Context, pool *upstream.Pool, address, id string, limit int) (string, error) {
	server := upstream.Server{ID: "s", Incarnation: 1, Address: address, MaxConnections: limit}
	response, err := pool.Send(ctx, server, upstream.Request{ID: id, Method: http.MethodPost, Target: "/", Host: "h", Body: []byte("x")})
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// TestCancelledRequestsAreReset guards against a cancelled request whose connection is closed
// without a reset.
func TestCancelledRequestsAreReset(t *testing.T) {
	address, ended := serve(t, func(_ net.Conn, requests *bufio.Reader) { readRequest(requests) })
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := send(ctx, newPool(), address, "1", 0)
	var failure *upstream.Error
	require.ErrorAs(t, err, &failure)
	require.True(t, failure.Sent)
	require.ErrorIs(t, <-ended, syscall.ECONNRESET)
}

// TestConnectionReuse checks that consecutive requests share a connection, and that a
// connection with unsolicited bytes is not reused.
func TestConnectionReuse(t *testing.T) {
	connections := make(chan struct{}, 16)
	var extra atomic.Bool
	var answered atomic.Int64
	address, _ := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		connections <- struct{}{}
		for readRequest(requests) {
			writeAnswer(conn, strconv.FormatInt(answered.Add(1), 10), "ok")
			if extra.Load() {
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		}
	})
	pool := newPool()
	for id := range 3 {
		body, err := send(context.Background(), pool, address, strconv.Itoa(id+1), 0)
		require.NoError(t, err)
		require.Equal(t, "ok", body)
	}
	require.Len(t, connections, 1)
	extra.Store(true)
	for id := range 2 {
		_, err := send(context.Background(), pool, address, strconv.Itoa(id+4), 0)
		require.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
	require.Len(t, connections, 2)
}

// TestForeignAnswers checks that answers to other requests are skipped, up to a limit.
func TestForeignAnswers(t *testing.T) {
	for name, test := range map[string]struct {
		foreign int
		fails   bool
	}{"one": {1, false}, "three": {3, false}, "too many": {4, true}} {
		t.Run(name, func(t *testing.T) {
			address, _ := serve(t, func(conn net.Conn, requests *bufio.Reader) {
				readRequest(requests)
				for range test.foreign {
					writeAnswer(conn, "other", "foreign")
				}
				writeAnswer(conn, "1", "own")
			})
			body, err := send(context.Background(), newPool(), address, "1", 0)
			if test.fails {
				require.ErrorIs(t, err, upstream.ErrForeignAnswer)
				return
			}
			require.NoError(t, err)
			require.Equal(t, "own", body)
		})
	}
}

// TestUnsentRequests checks that Error.Sent is false for requests that were never sent.
func TestUnsentRequests(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	refused := listener.Addr().String()
	require.NoError(t, listener.Close())
	silent, _ := serve(t, func(_ net.Conn, requests *bufio.Reader) { readRequest(requests) })
	pool := newPool()
	go func() { _, _ = send(context.Background(), pool, silent, "1", 1) }()
	time.Sleep(50 * time.Millisecond)
	for name, address := range map[string]string{"refused": refused, "all connections in use": silent} {
		t.Run(name, func(t *testing.T) {
			from := pool
			if address == refused {
				from = newPool()
			}
			_, err := send(context.Background(), from, address, "2", 1)
			var failure *upstream.Error
			require.ErrorAs(t, err, &failure)
			require.False(t, failure.Sent)
		})
	}
}

// TestWithheldRequests guards against a request that is sent although its server stopped
// accepting requests before a connection was available. The connection stays usable.
func TestWithheldRequests(t *testing.T) {
	var requests atomic.Int64
	address, _ := serve(t, func(conn net.Conn, in *bufio.Reader) {
		for readRequest(in) {
			requests.Add(1)
			writeAnswer(conn, "1", "ok")
		}
	})
	pool := newPool()
	server := upstream.Server{ID: "s", Incarnation: 1, Address: address}
	sendIf := func(accepted bool) error {
		response, err := pool.Send(context.Background(), server, upstream.Request{
			ID: "1", Method: http.MethodGet, Target: "/", Host: "h", StillAccepted: func() bool { return accepted },
		})
		if err != nil {
			return err
		}
		defer response.Close()
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
	for _, accepted := range []bool{false, true, false, true} {
		err := sendIf(accepted)
		if accepted {
			require.NoError(t, err)
			continue
		}
		var failure *upstream.Error
		require.ErrorAs(t, err, &failure)
		require.ErrorIs(t, err, upstream.ErrWithheld)
		require.False(t, failure.Sent)
	}
	require.Equal(t, int64(2), requests.Load())
}
