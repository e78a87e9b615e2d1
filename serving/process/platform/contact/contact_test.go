package contact_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/platform/contact"
)

func TestContact(t *testing.T) {
	status := http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
	defer server.Close()
	c := contact.New(http.DefaultTransport)
	client := &http.Client{Transport: c}
	get := func(ctx context.Context, url string) {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		require.NoError(t, err)
		response, err := client.Do(request)
		if err == nil {
			_ = response.Body.Close()
		}
	}
	lastResponse, lost := c.State()
	require.Zero(t, lastResponse)
	require.False(t, lost)

	get(context.Background(), "http://127.0.0.1:1")
	lastResponse, lost = c.State()
	require.Zero(t, lastResponse)
	require.True(t, lost)

	status = http.StatusConflict
	get(context.Background(), server.URL)
	first, lost := c.State()
	require.NotZero(t, first)
	require.False(t, lost)

	status = http.StatusServiceUnavailable
	get(context.Background(), server.URL)
	lastResponse, lost = c.State()
	require.Equal(t, first, lastResponse)
	require.True(t, lost)

	status = http.StatusOK
	get(context.Background(), server.URL)
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	get(cancelled, server.URL)
	lastResponse, lost = c.State()
	require.True(t, lastResponse.After(first))
	require.False(t, lost)
}
