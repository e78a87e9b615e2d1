package site

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// TestRequestAtShutdown guards that a request which arrives between the last check of the requests
// in flight and the closing of the listener gets a complete response.
func TestRequestAtShutdown(t *testing.T) {
	begun := make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		time.Sleep(200 * time.Millisecond)
		_, _ = io.WriteString(w, "whole") // the caller's side checks it
	}))
	server.Start()
	defer server.Close()
	got := make(chan string, 1)
	go func() {
		response, err := http.Get(server.URL)
		if err != nil {
			got <- err.Error()
			return
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		if err != nil {
			got <- err.Error()
			return
		}
		got <- string(body)
	}()
	<-begun
	finishServer(logrus.NewEntry(logrus.New()), server.Config, time.Now().Add(2*time.Second))
	require.Equal(t, "whole", <-got)
}
