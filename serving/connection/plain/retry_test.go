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

// TestTransportRetriesBodies demonstrates when net/http retries a POST after a reused
// connection was closed: with an idempotency key and a body that can be rewound.
func TestTransportRetriesBodies(t *testing.T) {
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
			server := newClosingServer(t)
			client := &http.Client{Transport: &http.Transport{}}
			first, err := client.Get(server.address())
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, first.Body)
			require.NoError(t, err)
			require.NoError(t, first.Body.Close())
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

// TestSendNeverRetries guards against automatic retries of requests that net/http would retry
// on a persistent connection. Two measures prevent them, each sufficient alone: the separate
// connection, and the body that cannot be rewound.
func TestSendNeverRetries(t *testing.T) {
	for _, header := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		t.Run(header, func(t *testing.T) {
			server := newClosingServer(t)
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

// TestSendFollowsNoRedirect guards against a non-idempotent request that is sent again to the
// target of a redirect.
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
