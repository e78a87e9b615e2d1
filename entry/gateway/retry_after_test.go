package gateway

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/problem"
)

// TestRetryAfterHoldsBackRequests guards against requests to a backend server within the
// time that it stated in the Retry-After header of a 503 response.
func TestRetryAfterHoldsBackRequests(t *testing.T) {
	for name, test := range map[string]struct {
		service    string
		retryAfter string
		heldBack   bool
	}{
		"engine":                      {"model-bench", "5", true},
		"engine, a date":              {"model-bench", "Fri, 04 Dec 2026 10:00:00 GMT", false},
		"engine, no Retry-After":      {"model-bench", "", false},
		"plain service":               {"desk-app", "5", true},
		"plain service, not a number": {"desk-app", "soon", false},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newTestCluster(t, "e1")
			var reached atomic.Int64
			cluster.addBackend("busy", test.service, func(rw http.ResponseWriter, _ *http.Request) {
				reached.Add(1)
				if test.retryAfter != "" {
					rw.Header().Set("Retry-After", test.retryAfter)
				}
				rw.WriteHeader(http.StatusServiceUnavailable)
			})
			server := cluster.serve("e1")
			request := func() {
				if test.service == "model-bench" {
					_, header := requestID()
					requestChat(t, server.URL, false, header)
					return
				}
				post, err := http.NewRequest(http.MethodPost, server.URL+"/desk-app/corrections", strings.NewReader("{}"))
				require.NoError(t, err)
				post.Header.Set("Authorization", "Bearer "+accountKey)
				response, err := http.DefaultClient.Do(post)
				require.NoError(t, err)
				require.NoError(t, response.Body.Close())
			}
			request()
			before := reached.Load()
			require.Positive(t, before)
			for range 3 {
				request()
			}
			if test.heldBack {
				require.Equal(t, before, reached.Load())
				_, err := cluster.gateways["e1"].Routes.Choose(time.Now(), (&plainRequest{call: &call{file: plainFile()}}).routeRequest())
				if test.service == "desk-app" {
					require.Equal(t, problem.HeldBack, problem.From(err).Kind)
				}
				return
			}
			require.Greater(t, reached.Load(), before)
		})
	}
}
