package plain_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/connection/plain"
	"papayaport.dev/serving/connection/pool"
)

// TestTransportRepeatsBodies shows when net/http sends a POST again by itself on a
// reused connection that closes: with a key and a body that it can rewind.
func TestTransportRepeatsBodies(t *testing.T) {
	tests := map[string]struct {
		header string
		rewind bool
		want   int64
	}{
		"key and GetBody":         {"Idempotency-Key", true, 2},
		"older key and GetBody":   {"X-Idempotency-Key", true, 2},
		"key without GetBody":     {"Idempotency-Key", false, 1},
		"GetBody without any key": {"X-Other", true, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := newCloser(t)
			client := &http.Client{Transport: &http.Transport{}}
			warm, err := client.Get(server.address())
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, warm.Body)
			require.NoError(t, err)
			require.NoError(t, warm.Body.Close())
			request, err := http.NewRequest(http.MethodPost, server.address(), bytes.NewReader([]byte(`{"id":"1"}`)))
			require.NoError(t, err)
			request.Header.Set(test.header, "k")
			if !test.rewind {
				request.GetBody = nil
			}
			_, err = client.Do(request)
			require.Error(t, err)
			require.Equal(t, test.want, server.posts.Load())
		})
	}
}

// TestSendNeverRepeats sends what net/http would send again, after many requests on kept
// connections to the same server. Two things guard against it, each alone enough: the
// connection of its own, and the body that can't be rewound.
func TestSendNeverRepeats(t *testing.T) {
	for _, header := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		t.Run(header, func(t *testing.T) {
			server := newCloser(t)
			sender := plain.New(pool.New(pool.DefaultOptions), time.Second, 1<<20)
			lookup := plain.Attempt{ID: "a", Backend: "b", Address: server.address(), Path: "/", Method: http.MethodGet, Idempotent: true}
			for range 4 {
				_, _, err := sender.Send(context.Background(), lookup)
				require.NoError(t, err)
			}
			charge := plain.Attempt{
				ID: "c", Backend: "b", Address: server.address(), Path: "/", Method: http.MethodPost,
				Header: http.Header{header: {"k"}}, Body: []byte(`{"id":"1"}`),
			}
			_, sent, err := sender.Send(context.Background(), charge)
			require.Error(t, err)
			require.True(t, sent)
			require.EqualValues(t, 1, server.posts.Load())
		})
	}
}

// TestSendFollowsNoRedirect counts the requests at the target of a redirect.
func TestSendFollowsNoRedirect(t *testing.T) {
	var followed atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/target" {
			followed.Add(1)
			return
		}
		http.Redirect(w, r, "/target", http.StatusTemporaryRedirect)
	}))
	defer server.Close()
	sender := plain.New(pool.New(pool.DefaultOptions), time.Second, 1<<20)
	answer, _, err := sender.Send(context.Background(), plain.Attempt{
		ID: "c", Backend: "b", Address: server.URL, Path: "/", Method: http.MethodPost, Body: []byte(`{"id":"1"}`),
	})
	require.NoError(t, err)
	require.Equal(t, http.StatusTemporaryRedirect, answer.Status)
	require.Zero(t, followed.Load())
}
