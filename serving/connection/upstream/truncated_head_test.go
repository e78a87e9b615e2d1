package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/connection/upstream"
)

// TestTruncatedHeads guards against an empty or short success for an answer whose server closed
// the connection inside the head.
func TestTruncatedHeads(t *testing.T) {
	for name, head := range map[string]string{
		"a length":       "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 20\r\n\r\n",
		"chunks":         "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"the connection": "HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\n\r\n",
		"line feeds":     "HTTP/1.1 200 OK\nX-Id: 1\nX-Folded: a\n b\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			for cut := range len(head) {
				address, _ := serve(t, func(conn net.Conn, requests *bufio.Reader) {
					readRequest(requests)
					_, _ = io.WriteString(conn, head[:cut])
					_ = conn.(*net.TCPConn).CloseWrite()
				})
				server := upstream.Server{ID: fmt.Sprint(cut), Incarnation: 1, Address: address}
				_, err := newPool().Send(context.Background(), server, upstream.Request{ID: "1", Method: http.MethodPost, Target: "/", Host: "h"})
				var failure *upstream.Error
				require.ErrorAs(t, err, &failure, "cut after %d bytes", cut)
				require.True(t, failure.Sent)
			}
		})
	}
}
