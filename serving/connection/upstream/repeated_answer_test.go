package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/connection/upstream"
)

const (
	refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Id: %s\r\nNot-Run: 1\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n"
	success = "HTTP/1.1 200 OK\r\nX-Id: %s\r\nKeep-Alive: timeout=5\r\nContent-Length: 3\r\n\r\nran"
)

// TestRepeatedRefusalsAreNotTaken guards against a refusal that a server writes once more on a kept
// connection and that is taken for the answer to a later request, which the server runs: its
// caller would be told that it did not run.
func TestRepeatedRefusalsAreNotTaken(t *testing.T) {
	for name, test := range map[string]struct{ first, second string }{
		"the same request again": {"1", "1"},
		"another request":        {"1", "2"},
	} {
		t.Run(name, func(t *testing.T) {
			var refused atomic.Bool
			address, _ := serve(t, func(conn net.Conn, in *bufio.Reader) {
				kept := false
				for ; readRequest(in); kept = true {
					if !refused.Swap(true) {
						fmt.Fprintf(conn, refusal, test.first)
						continue
					}
					if kept {
						time.Sleep(20 * time.Millisecond)
						fmt.Fprintf(conn, refusal, test.first)
					}
					fmt.Fprintf(conn, success, test.second)
				}
			})
			pool := newPool()
			exchange := func(id string) (int, error) {
				server := upstream.Server{ID: "s", Incarnation: 1, Address: address}
				response, err := pool.Send(context.Background(), server, upstream.Request{ID: id, Method: http.MethodPost, Target: "/", Host: "h"})
				if err != nil {
					return 0, err
				}
				defer response.Close()
				_, err = io.Copy(io.Discard, response.Body)
				return response.Status, err
			}
			status, err := exchange(test.first)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, status)
			status, err = exchange(test.second)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
		})
	}
}
