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

// TestObservedResults guards against roll-out evidence that counts failures which the servers of
// a version did not cause, or misses those that they caused.
func TestObservedResults(t *testing.T) {
	for name, test := range map[string]struct {
		path    string
		server  http.HandlerFunc
		kind    string
		failed  bool
		firsts  int
		dropped int
		answers int
	}{
		"whole":                     {"/safe/1", serveOK, "", false, 1, 0, 1},
		"declined":                  {"/safe/1", serveStatus(404), "", false, 1, 0, 1},
		"failed":                    {"/unsafe/1", serveStatus(500), kindFailed, true, 1, 0, 1},
		"broken":                    {"/unsafe/1", abortConnection, kindFailed, true, 0, 0, 1},
		"wrong":                     {"/unsafe/1", serveStatus(200, "Wrong"), kindWrong, true, 1, 0, 1},
		"not run":                   {"/unsafe/1", serveStatus(503, "Not-Run"), "", false, 0, 1, 0},
		"silent":                    {"/unsafe/1", hangUntilDone, kindSilent, true, 0, 0, 1},
		"a whole stream":            {"/stream/1", serveOK, "", false, 1, 0, 1},
		"a stream that is declined": {"/stream/1", serveStatus(404), "", false, 0, 0, 1},
		"a stream that fails":       {"/stream/1", serveStatus(500), kindFailed, true, 0, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			observed := &fakeRollout{}
			relay, _ := newRelay(t, observed, map[string]http.HandlerFunc{"v2": test.server})
			sendRequest(relay, test.path)
			require.Len(t, observed.finished, test.answers)
			require.Equal(t, test.dropped, observed.dropped)
			require.Equal(t, test.firsts, observed.firstResponses)
			for i, answer := range observed.finished {
				require.Equal(t, test.failed, answer.Failed)
				require.Equal(t, test.kind, observed.kinds[i])
				require.True(t, answer.Candidate)
				require.Equal(t, "v2", answer.Server)
				require.Equal(t, test.failed, answer.WholeRatio == 0)
			}
			for _, attempt := range observed.started {
				require.Positive(t, attempt.Estimate)
			}
		})
	}
}

// TestCallerDisconnect guards against counting a request that its caller cancelled as a failure
// of the version.
func TestCallerDisconnect(t *testing.T) {
	observed := &fakeRollout{}
	relay, got := newRelay(t, observed, map[string]http.HandlerFunc{"v2": hangUntilDone})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	request := httptest.NewRequest(http.MethodGet, "http://h/safe/1", nil).WithContext(ctx)
	relay.ServeHTTP(httptest.NewRecorder(), request)
	require.Equal(t, []string{"v2"}, got())
	require.Empty(t, observed.finished)
	require.Equal(t, 1, observed.dropped)
}

// TestUnreachableServer guards against evidence against a version whose servers received no
// request.
func TestUnreachableServer(t *testing.T) {
	observed := &fakeRollout{}
	relay, _ := newRelay(t, observed, map[string]http.HandlerFunc{"gone": serveOK})
	require.Equal(t, http.StatusServiceUnavailable, sendRequest(relay, "/unsafe/1"))
	require.Empty(t, observed.started)
	require.Empty(t, observed.finished)
	require.Empty(t, observed.sent, "only requests that servers received count towards the candidate")
}

// TestLatencyRatios guards against latency ratios outside the range that the evidence resolves.
func TestLatencyRatios(t *testing.T) {
	observed := &fakeRollout{}
	relay, _ := newRelay(t, observed, map[string]http.HandlerFunc{"v1": func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(100 * time.Millisecond) // as long as the route's target
		serveOK(w, r)
	}})
	sendRequest(relay, "/safe/1")
	sendRequest(relay, "/stream/1")
	require.Len(t, observed.finished, 2)
	for _, answer := range observed.finished {
		require.False(t, answer.Candidate)
		require.Greater(t, answer.FirstRatio, 1.0)
		require.Less(t, answer.FirstRatio, 6.0)
	}
	stream := observed.finished[1]
	require.Less(t, stream.WholeRatio, stream.FirstRatio, "the expected time grows with each event")
}

// TestUnsentRequests guards against counting a failure of the version when its server closed a
// kept-alive connection before any byte of the request was sent.
func TestUnsentRequests(t *testing.T) {
	for name, test := range map[string]struct {
		err              error
		answers, dropped int
	}{
		"nothing went out": {&upstream.Error{Err: io.ErrClosedPipe}, 0, 1},
		"a part went out":  {&upstream.Error{Sent: true, Err: io.ErrClosedPipe}, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			observed := &fakeRollout{}
			relay, _ := newRelay(t, observed, nil)
			r := &requestState{relay: relay, call: &Call{}, route: &deployment.Route{}, service: "app"}
			a := &attempt{cancel: func(error) {}, observation: observation{observer: observed}}
			a.observation.started(time.Now())
			r.recordFailure(a, test.err)
			require.Len(t, observed.finished, test.answers)
			require.Equal(t, test.dropped, observed.dropped)
		})
	}
}
