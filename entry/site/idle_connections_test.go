package site

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/version/deployment"
)

// TestRequestOnAnOverdueConnection guards that a request which is read from a connection
// between the decision to close it and the close is not forwarded.
func TestRequestOnAnOverdueConnection(t *testing.T) {
	var c idleConnections
	var passed atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { passed.Add(1) }))
	c.attach(server.Config)
	server.Start()
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	ask := func() error {
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			return err
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return err
		}
		return response.Body.Close()
	}
	require.NoError(t, ask())
	limits := deployment.Limits{HeaderTimeout: time.Second, IdleTimeout: time.Second}
	require.Eventually(t, func() bool { // once the connection is idle
		return len(c.overdue(time.Now().Add(time.Minute), limits)) == 1
	}, time.Second, time.Millisecond)
	require.Error(t, ask())
	require.Equal(t, int64(1), passed.Load())
}
