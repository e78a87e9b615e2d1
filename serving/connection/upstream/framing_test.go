package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/connection/upstream"
)

// TestFraming guards against a log that does not tell how an answer marked its end.
func TestFraming(t *testing.T) {
	for name, test := range map[string]struct {
		answer  string
		framing upstream.Framing
	}{
		"a length":       {"Content-Length: 2\r\n\r\nok", upstream.ByLength},
		"an empty body":  {"Content-Length: 0\r\n\r\n", upstream.ByLength},
		"chunks":         {"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", upstream.ByChunks},
		"the connection": {"\r\nok", upstream.ByConnection},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := serve(t, func(conn net.Conn, requests *bufio.Reader) {
				readRequest(requests)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+test.answer)
			})
			server := upstream.Server{ID: "s", Incarnation: 1, Address: address}
			response, err := newPool().Send(context.Background(), server, upstream.Request{ID: "1", Method: http.MethodGet, Target: "/", Host: "h"})
			require.NoError(t, err)
			defer response.Close()
			require.Equal(t, test.framing, response.Framing)
		})
	}
}
