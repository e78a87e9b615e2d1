package balancer

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeEntry is an entry instance that counts POST requests and can close their connections.
type fakeEntry struct {
	ready   atomic.Bool
	closing atomic.Bool
	posts   atomic.Int64
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/readyz" {
		if !e.ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	e.posts.Add(1)
	if e.closing.Load() {
		panic(http.ErrAbortHandler)
	}
}

func startBalancer(t *testing.T, entries ...*fakeEntry) string {
	t.Helper()
	var addresses []string
	for _, e := range entries {
		e.ready.Store(true)
		server := httptest.NewServer(e)
		t.Cleanup(server.Close)
		addresses = append(addresses, server.Listener.Addr().String())
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	ctx, cancel := context.WithCancel(context.Background())
	b := New(addresses, &http.Client{Transport: &http.Transport{}})
	ended := make(chan error, 2)
	go func() { ended <- b.Check(ctx) }()
	go func() { ended <- b.Serve(ctx, address) }()
	t.Cleanup(func() {
		cancel()
		<-ended
		<-ended
	})
	require.Eventually(t, func() bool { return post(address) == nil }, 10*time.Second, 10*time.Millisecond)
	for _, e := range entries {
		e.posts.Store(0)
	}
	return address
}

// post sends a keyed request over a new connection.
func post(address string) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/app/bookings", strings.NewReader("{}"))
	if err != nil {
		return err
	}
	req.Header.Set("Idempotency-Key", "k")
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func TestConnectionsAreDistributedOverReadyEntries(t *testing.T) {
	one, two := &fakeEntry{}, &fakeEntry{}
	address := startBalancer(t, one, two)
	var open []net.Conn
	for range 4 {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		open = append(open, conn)
	}
	require.Eventually(t, func() bool { return post(address) == nil }, 5*time.Second, 10*time.Millisecond)
	for _, conn := range open {
		require.NoError(t, conn.Close())
	}
	one.posts.Store(0)
	for range 8 {
		require.NoError(t, post(address))
	}
	require.Positive(t, one.posts.Load(), "connections rotate over idle entries")
	require.Less(t, one.posts.Load(), int64(8))
	one.ready.Store(false)
	time.Sleep(3 * checkInterval)
	one.posts.Store(0)
	for range 6 {
		require.NoError(t, post(address))
	}
	require.Zero(t, one.posts.Load())
	require.GreaterOrEqual(t, two.posts.Load(), int64(6))
}

func TestBrokenPostIsNotRepeated(t *testing.T) {
	one, two := &fakeEntry{}, &fakeEntry{}
	address := startBalancer(t, one, two)
	one.closing.Store(true)
	two.closing.Store(true)
	require.Error(t, post(address))
	require.Equal(t, int64(1), one.posts.Load()+two.posts.Load())
}
