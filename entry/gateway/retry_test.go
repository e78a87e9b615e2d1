package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/problem"
)

// TestRequestIDReusableAfterFailure guards against a failed run that blocks its
// request id: the retry must start a new run.
func TestRequestIDReusableAfterFailure(t *testing.T) {
	cluster := newTestCluster(t, "e1")
	server := cluster.serve("e1")
	_, header := requestID()
	require.Equal(t, problem.NoBackend, requestChat(t, server.URL, false, header).doc.Kind)
	cluster.addBackend("engine", "model-bench", (&fakeEngine{tokens: 10}).ServeHTTP)
	got := requestChat(t, server.URL, false, header)
	require.Equal(t, http.StatusOK, got.status, got.doc)
	require.Equal(t, answerText(10), got.text)
}

// TestSuccessesReplenishRetryBudget exhausts the retry budget of a plain service and replenishes
// it with successful requests.
func TestSuccessesReplenishRetryBudget(t *testing.T) {
	cluster := newTestCluster(t, "e1")
	var broken atomic.Bool
	var attempts atomic.Int64
	for _, id := range []string{"one", "two"} {
		cluster.addBackend(id, "desk-app", func(http.ResponseWriter, *http.Request) {
			attempts.Add(1)
			if broken.Load() {
				panic(http.ErrAbortHandler)
			}
		})
	}
	server := cluster.serve("e1")
	attemptsFor := func(requests int) int64 {
		before := attempts.Load()
		for range requests {
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
	attemptsFor(60)
	require.Less(t, attemptsFor(5), int64(5+5), "the budget must be exhausted")
	broken.Store(false)
	attemptsFor(40)
	broken.Store(true)
	require.GreaterOrEqual(t, attemptsFor(10), int64(10+15), "40 successes must allow 20 retries")
}
