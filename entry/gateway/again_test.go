package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/problem"
)

// TestRequestIDMayBeUsedAgainAfterAFailure repeats a request under its id once the
// failure that ended it has passed.
func TestRequestIDMayBeUsedAgainAfterAFailure(t *testing.T) {
	w := newWorld(t, "e1")
	server := w.serve("e1")
	_, header := requestID()
	require.Equal(t, problem.NoBackend, ask(t, server.URL, false, header).doc.Kind)
	w.add("engine", "model-bench", (&fakeEngine{tokens: 10}).ServeHTTP)
	got := ask(t, server.URL, false, header)
	require.Equal(t, http.StatusOK, got.status, got.doc)
	require.Equal(t, wholeText(10), got.text)
}

// TestSuccessesPayForRetries spends the retry budget of a plain service, and fills it again.
func TestSuccessesPayForRetries(t *testing.T) {
	w := newWorld(t, "e1")
	var broken atomic.Bool
	var attempts atomic.Int64
	for _, id := range []string{"one", "two"} {
		w.add(id, "desk-app", func(http.ResponseWriter, *http.Request) {
			attempts.Add(1)
			if broken.Load() {
				panic(http.ErrAbortHandler)
			}
		})
	}
	server := w.serve("e1")
	look := func(times int) int64 {
		before := attempts.Load()
		for range times {
			request, err := http.NewRequest(http.MethodGet, server.URL+"/desk-app/status/1", nil)
			require.NoError(t, err)
			request.Header.Set("Authorization", "Bearer "+accountKey)
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
		}
		return attempts.Load() - before
	}
	broken.Store(true)
	look(60)
	require.Less(t, look(5), int64(5+5), "the budget is spent")
	broken.Store(false)
	look(40)
	broken.Store(true)
	require.GreaterOrEqual(t, look(10), int64(10+15), "40 successes pay for 20 retries")
}
