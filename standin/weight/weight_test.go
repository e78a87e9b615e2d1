package weight

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"papayaport.dev/serving/process/platform/weight"
)

func TestFetchesShareTheRate(t *testing.T) {
	s := New(Config{BytesPerSecond: 10 << 20, Parallel: 2, ModelBytes: 1 << 20})
	server := httptest.NewServer(s)
	defer server.Close()
	client := weight.New(http.DefaultClient, server.URL)
	began := time.Now()
	var group errgroup.Group
	for range 2 {
		group.Go(func() error { return client.Fetch(context.Background(), "farewell-7b", 0) })
	}
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.active == 2
	}, 5*time.Second, time.Millisecond)
	require.ErrorIs(t, client.Fetch(context.Background(), "farewell-7b", 1), weight.ErrBusy)
	require.NoError(t, group.Wait())
	require.GreaterOrEqual(t, time.Since(began), 200*time.Millisecond, "two models of 0.1 s each share the rate")
	require.NoError(t, client.Fetch(context.Background(), "farewell-7b", 1), "another fetch is admitted")
}
