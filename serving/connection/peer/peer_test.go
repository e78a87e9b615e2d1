package peer_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"papayaport.dev/serving/connection/peer"
	"papayaport.dev/serving/process/membership"
)

// handler is a peer.Handler with configurable delay and truncation.
type handler struct {
	mu        sync.Mutex
	handOvers []peer.HandOver
	delay     time.Duration
	truncate  bool
}

func (h *handler) Exchange(_ context.Context, m membership.Message) (membership.Message, error) {
	time.Sleep(h.delay)
	m.Reply = true
	return m, nil
}

func (h *handler) Head(context.Context) ([]byte, error) { return []byte("head"), nil }

func (h *handler) Manifest(_ context.Context, hash string) ([]byte, error) {
	return []byte("manifest " + hash), nil
}

func (h *handler) Chunk(_ context.Context, hash string) ([]byte, error) {
	if hash == "missing" {
		return nil, errors.Wrap(peer.ErrNotFound, "chunk")
	}
	return bytes.Repeat([]byte(hash[:1]), 1<<20), nil
}

func (h *handler) Action(_ context.Context, query []byte) ([]byte, error) {
	return append([]byte("re: "), query...), nil
}

func (h *handler) HandOver(_ context.Context, handOver peer.HandOver) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handOvers = append(h.handOvers, handOver)
	return nil
}

func (h *handler) Find(_ context.Context, requestID string) (bool, error) {
	return requestID == "known", nil
}

func (h *handler) Attach(_ context.Context, requestID string, offset int64, send func([]byte) error) error {
	if requestID != "known" {
		return peer.ErrNotFound
	}
	for i := offset; i < 5; i++ {
		time.Sleep(h.delay)
		if err := send([]byte(fmt.Sprint(i))); err != nil {
			return err
		}
	}
	if h.truncate {
		return errors.New("the request moved")
	}
	return nil
}

func testOptions() peer.Options {
	options := peer.DefaultOptions()
	options.Silence = 500 * time.Millisecond
	options.KeepAlive = 50 * time.Millisecond
	return options
}

// serve starts a server at address and returns its address and a function that stops it.
func serve(t *testing.T, address string, h peer.Handler, options peer.Options) (string, func()) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return peer.Serve(ctx, listener, h, options) })
	stop := sync.OnceFunc(func() {
		cancel()
		require.NoError(t, group.Wait())
	})
	t.Cleanup(stop)
	return listener.Addr().String(), stop
}

func newClient(t *testing.T, options peer.Options) *peer.Client {
	t.Helper()
	c := peer.New(options)
	t.Cleanup(func() { require.NoError(t, c.Close()) })
	return c
}

func TestCalls(t *testing.T) {
	ctx := t.Context()
	h := &handler{}
	address, _ := serve(t, "127.0.0.1:0", h, testOptions())
	options := testOptions()
	c := newClient(t, options)

	message := membership.Message{From: membership.Member{Instance: "entry-1", Incarnation: 1 << 60}, Count: 7}
	reply, err := c.Exchange(ctx, address, message)
	require.NoError(t, err)
	message.Reply = true
	require.Equal(t, message, reply)

	head, err := c.Head(ctx, address)
	require.NoError(t, err)
	require.Equal(t, "head", string(head))
	manifest, err := c.Manifest(ctx, address, "m1")
	require.NoError(t, err)
	require.Equal(t, "manifest m1", string(manifest))
	chunk, err := c.Chunk(ctx, address, "c1")
	require.NoError(t, err)
	require.Len(t, chunk, 1<<20)
	_, err = c.Chunk(ctx, address, "missing")
	require.ErrorIs(t, err, peer.ErrNotFound)

	action, err := c.Action(ctx, address, []byte("key"))
	require.NoError(t, err)
	require.Equal(t, "re: key", string(action))
	handOver := peer.HandOver{RequestID: "r1", Body: []byte("body"), State: []byte("state")}
	require.NoError(t, c.HandOver(ctx, address, handOver))
	require.Equal(t, []peer.HandOver{handOver}, h.handOvers)
	for id, want := range map[string]bool{"known": true, "other": false} {
		found, err := c.Find(ctx, address, id)
		require.NoError(t, err)
		require.Equal(t, want, found)
	}

	require.Equal(t, int64(1), options.Traffic.Dials.Load(), "consecutive calls must share a connection")
	require.Greater(t, options.Traffic.In.Load(), int64(1<<20))
	require.Positive(t, options.Traffic.Out.Load())
	require.Positive(t, options.Traffic.Method(peer.ExchangeMethod).Out.Load())
}

func TestConcurrentCallsGetTheirOwnReplies(t *testing.T) {
	// The time-out of silent calls is not under test: 16 callers may get no CPU for its half second.
	address, _ := serve(t, "127.0.0.1:0", &handler{}, peer.DefaultOptions())
	c := newClient(t, peer.DefaultOptions())
	var group errgroup.Group
	for i := range 16 {
		group.Go(func() error {
			for j := range 50 {
				query := fmt.Sprint(i, "/", j)
				reply, err := c.Action(t.Context(), address, []byte(query))
				if err != nil {
					return err
				}
				if string(reply) != "re: "+query {
					return errors.Errorf("reply %q to %q", reply, query)
				}
			}
			return nil
		})
	}
	require.NoError(t, group.Wait())
}

func TestAttach(t *testing.T) {
	cases := map[string]struct {
		id     string
		offset int64
		h      *handler
		want   string
		err    error
	}{
		"whole":                            {id: "known", h: &handler{}, want: "01234"},
		"from an offset":                   {id: "known", offset: 3, h: &handler{}, want: "34"},
		"slower than the progress timeout": {id: "known", offset: 4, h: &handler{delay: 1200 * time.Millisecond}, want: "4"},
		"unknown request":                  {id: "other", h: &handler{}, err: peer.ErrNotFound},
		"without a final piece":            {id: "known", h: &handler{truncate: true}, want: "01234", err: errAny},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			address, _ := serve(t, "127.0.0.1:0", c.h, testOptions())
			var got bytes.Buffer
			err := newClient(t, testOptions()).Attach(t.Context(), address, c.id, c.offset, func(piece []byte) error {
				got.Write(piece)
				return nil
			})
			require.Equal(t, c.want, got.String())
			switch c.err {
			case nil:
				require.NoError(t, err)
			case errAny:
				require.Error(t, err)
			default:
				require.ErrorIs(t, err, c.err)
			}
		})
	}
}

var errAny = errors.New("any error")
