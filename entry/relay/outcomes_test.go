package relay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/connection/upstream"
	"papayaport.dev/serving/version/deployment"
)

// TestOutcomes guards against evidence that blames a version for what its servers did not do,
// or misses what they did.
func TestOutcomes(t *testing.T) {
	for name, test := range map[string]struct {
		path    string
		server  http.HandlerFunc
		kind    string
		failed  bool
		firsts  int
		dropped int
		answers int
	}{
		"whole":                     {"/safe/1", fine, "", false, 1, 0, 1},
		"declined":                  {"/safe/1", status(404), "", false, 1, 0, 1},
		"failed":                    {"/unsafe/1", status(500), failedKind, true, 1, 0, 1},
		"broken":                    {"/unsafe/1", breakOff, failedKind, true, 0, 0, 1},
		"wrong":                     {"/unsafe/1", status(200, "Wrong"), wrongKind, true, 1, 0, 1},
		"not run":                   {"/unsafe/1", status(503, "Not-Run"), "", false, 0, 1, 0},
		"silent":                    {"/unsafe/1", hang, silentKind, true, 0, 0, 1},
		"a whole stream":            {"/stream/1", fine, "", false, 1, 0, 1},
		"a stream that is declined": {"/stream/1", status(404), "", false, 0, 0, 1},
		"a stream that fails":       {"/stream/1", status(500), failedKind, true, 0, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			outcomes := &told{}
			relay, _ := newRelay(t, outcomes, map[string]http.HandlerFunc{"v2": test.server})
			ask(relay, test.path)
			require.Len(t, outcomes.answers, test.answers)
			require.Equal(t, test.dropped, outcomes.dropped)
			require.Equal(t, test.firsts, outcomes.firsts)
			for i, answer := range outcomes.answers {
				require.Equal(t, test.failed, answer.Failed)
				require.Equal(t, test.kind, outcomes.kinds[i])
				require.True(t, answer.Candidate)
				require.Equal(t, "v2", answer.Server)
				require.Equal(t, test.failed, answer.WholeRatio == 0)
			}
			for _, attempt := range outcomes.begun {
				require.Positive(t, attempt.Estimate)
			}
		})
	}
}

// TestCallersThatLeave guards against a version that is blamed for impatient callers.
func TestCallersThatLeave(t *testing.T) {
	outcomes := &told{}
	relay, got := newRelay(t, outcomes, map[string]http.HandlerFunc{"v2": hang})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	request := httptest.NewRequest(http.MethodGet, "http://h/safe/1", nil).WithContext(ctx)
	relay.ServeHTTP(httptest.NewRecorder(), request)
	require.Equal(t, []string{"v2"}, got())
	require.Empty(t, outcomes.answers)
	require.Equal(t, 1, outcomes.dropped)
}

// TestServersThatAreNotReached guards against a version that is blamed for servers that got
// no request.
func TestServersThatAreNotReached(t *testing.T) {
	outcomes := &told{}
	relay, _ := newRelay(t, outcomes, map[string]http.HandlerFunc{"gone": fine})
	require.Equal(t, http.StatusServiceUnavailable, ask(relay, "/unsafe/1"))
	require.Empty(t, outcomes.begun)
	require.Empty(t, outcomes.answers)
	require.Empty(t, outcomes.sent, "credit for the candidate comes from requests that servers got")
}

// TestRatios guards against times that lie outside of what evidence tells apart.
func TestRatios(t *testing.T) {
	outcomes := &told{}
	relay, _ := newRelay(t, outcomes, map[string]http.HandlerFunc{"v1": func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(100 * time.Millisecond) // as long as the route's target
		fine(w, r)
	}})
	ask(relay, "/safe/1")
	ask(relay, "/stream/1")
	require.Len(t, outcomes.answers, 2)
	for _, answer := range outcomes.answers {
		require.False(t, answer.Candidate)
		require.Greater(t, answer.FirstRatio, 1.0)
		require.Less(t, answer.FirstRatio, 6.0)
	}
	stream := outcomes.answers[1]
	require.Less(t, stream.WholeRatio, stream.FirstRatio, "each event has its time")
}

// TestRequestsThatDidNotGoOut guards against a version that is blamed for a kept connection
// which its server had closed before any byte of the request left.
func TestRequestsThatDidNotGoOut(t *testing.T) {
	for name, test := range map[string]struct {
		err              error
		answers, dropped int
	}{
		"nothing went out": {&upstream.Error{Err: io.ErrClosedPipe}, 0, 1},
		"a part went out":  {&upstream.Error{Sent: true, Err: io.ErrClosedPipe}, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			outcomes := &told{}
			relay, _ := newRelay(t, outcomes, nil)
			r := &run{relay: relay, route: &deployment.Route{}, service: "app"}
			a := &attempt{cancel: func(error) {}, tale: tale{outcomes: outcomes}}
			a.tale.began(time.Now())
			r.noteFailure(a, test.err)
			require.Len(t, outcomes.answers, test.answers)
			require.Equal(t, test.dropped, outcomes.dropped)
		})
	}
}
