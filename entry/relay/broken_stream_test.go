package relay

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/version/deployment"
)

const (
	// byConnection and byChunks begin the answer of a stream without a length.
	byConnection = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	byChunks     = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	firstEvent   = "id: 1\ndata: a\n\n"
	lastEvent    = "id: 2\ndata: b\n\n"
)

// answerInOrder returns a handler that answers each request with the next of the given bytes and
// closes the connection.
func answerInOrder(t *testing.T, answers []string) http.HandlerFunc {
	var next atomic.Int64
	return func(w http.ResponseWriter, _ *http.Request) {
		answer := answers[min(int(next.Add(1)), len(answers))-1]
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(conn, answer)
		_ = conn.Close()
	}
}

// callStream sends a request through a relay to servers that give the answers in order. It
// returns the status, the body and the error with which the body ended.
func callStream(t *testing.T, resumable bool, answers []string) (status int, body string, err error) {
	handler := answerInOrder(t, answers)
	handlerRelay, _ := newRelay(t, nil, map[string]http.HandlerFunc{"v1": handler, "v2": handler})
	version := handlerRelay.Versions.Current()
	for i := range version.Routes {
		version.Routes[i].Resumable = resumable && version.Routes[i].Kind == deployment.Streaming
	}
	server := httptest.NewServer(handlerRelay)
	defer server.Close()
	request, err := http.NewRequest(http.MethodPost, server.URL+"/stream/1", strings.NewReader("x"))
	require.NoError(t, err)
	request.Host = "h"
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// TestBrokenStreamsAreNotComplete guards against a stream that a server broke off and that reaches
// its caller as a complete answer.
func TestBrokenStreamsAreNotComplete(t *testing.T) {
	for name, test := range map[string]struct {
		resumable bool
		answers   []string
		body      string
		whole     bool
	}{
		"complete":                                   {false, []string{byConnection + firstEvent + lastEvent}, firstEvent + lastEvent, true},
		"no event stream":                            {false, []string{"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"}, "{}", true},
		"inside an event":                            {false, []string{byConnection + firstEvent + "id: 2\nda"}, firstEvent, false},
		"inside an event of a chunked answer":        {false, []string{byChunks + "f\r\n" + firstEvent + "\r\n5\r\nid: 2\r\n0\r\n\r\n"}, firstEvent, false},
		"inside a chunk":                             {false, []string{byChunks + "1f\r\n" + firstEvent + "id: 2"}, firstEvent, false},
		"inside an event, resumed":                   {true, []string{byConnection + firstEvent + "id: 2\nda", byConnection + lastEvent}, firstEvent + lastEvent, true},
		"inside an event, resumed and broken again":  {true, []string{byConnection + firstEvent + "id: 2\nda", byConnection + "id: 2\nda"}, firstEvent, false},
		"the next server fails":                      {true, []string{byConnection + firstEvent + "id: 2\nda", "HTTP/1.1 500 E\r\nContent-Length: 5\r\n\r\nerror"}, firstEvent, false},
		"the next server refuses":                    {true, []string{byConnection + firstEvent + "id: 2\nda", "HTTP/1.1 503 E\r\nNot-Run: 1\r\nContent-Length: 5\r\n\r\nerror"}, firstEvent, false},
		"the next server's head is cut off":          {true, []string{byConnection + firstEvent + "id: 2\nda", "HTTP/1.1 200 OK\r\nContent-Ty"}, firstEvent, false},
		"a cut inside an event and no other attempt": {false, []string{byConnection + firstEvent + lastEvent + ":"}, firstEvent + lastEvent, false},
	} {
		t.Run(name, func(t *testing.T) {
			status, body, err := callStream(t, test.resumable, test.answers)
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, test.body, body)
			if test.whole {
				require.NoError(t, err)
				return
			}
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	}
}

// TestStreamsWithoutEventsFail guards against a success with an empty body for a stream whose
// server closed its connection in the head of its answer or before the first event.
func TestStreamsWithoutEventsFail(t *testing.T) {
	for name, answer := range map[string]string{
		"after the head":        byConnection,
		"inside the head":       strings.TrimSuffix(byConnection, "pe: text/event-stream\r\n\r\n"),
		"after the status line": "HTTP/1.1 200 OK\r\n",
		"before the blank line": strings.TrimSuffix(byConnection, "\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			status, _, err := callStream(t, false, []string{answer})
			require.NoError(t, err)
			require.Equal(t, http.StatusBadGateway, status)
		})
	}
	t.Run("after the head of the next server", func(t *testing.T) {
		_, body, err := callStream(t, true, []string{byConnection + firstEvent + "id: 2\nda", byConnection})
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		require.Equal(t, firstEvent, body)
	})
}

// TestOtherMediaTypeInStream guards against the text of an error in the middle of a stream: the
// server that was to resume it answered with a success of another media type.
func TestOtherMediaTypeInStream(t *testing.T) {
	const failure = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 13\r\n\r\n{\"error\":1}\n\n"
	_, body, err := callStream(t, true, []string{byConnection + firstEvent + "id: 2\nda", failure})
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Equal(t, firstEvent, body)
}

// TestStreamsWithoutIDsAreNotResumed guards against the pieces of two runs in one stream: without
// the id of the last event that the caller has, another server begins at the first event.
func TestStreamsWithoutIDsAreNotResumed(t *testing.T) {
	for name, test := range map[string]struct {
		sent  string
		body  string
		whole bool
	}{
		"no id":                     {"data: a\n\n", "data: a\n\n", false},
		"no id in the last event":   {firstEvent + "data: b\n\n", firstEvent + "data: b\n\n", false},
		"an id":                     {firstEvent, firstEvent + lastEvent, true},
		"a comment behind the id":   {firstEvent + ": keep-alive\n\n", firstEvent + ": keep-alive\n\n" + lastEvent, true},
		"a comment before any data": {": keep-alive\n\n", ": keep-alive\n\n" + lastEvent, true},
	} {
		t.Run(name, func(t *testing.T) {
			_, body, err := callStream(t, true, []string{byConnection + test.sent + "id: 2\nda", byConnection + lastEvent})
			require.Equal(t, test.body, body)
			if test.whole {
				require.NoError(t, err)
				return
			}
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	}
}
