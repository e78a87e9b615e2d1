package relay

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/connection/room"
	"papayaport.dev/serving/connection/upstream"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/request/backpressure"
	"papayaport.dev/serving/request/budget"
	"papayaport.dev/serving/request/route"
	"papayaport.dev/serving/version/deployment"
	"papayaport.dev/serving/version/rollout"
)

// plainCodec is a dialect in which a header tells that a request was not run.
type plainCodec struct{}

// Receive implements Codec.
func (plainCodec) Receive(r *http.Request) (Call, error) {
	return Call{ID: "id", Method: r.Method, Target: r.RequestURI, Host: r.Host, Path: r.URL.Path, Header: http.Header{}}, nil
}

// Attempt implements Codec.
func (plainCodec) Attempt(*Call, Attempt) http.Header { return http.Header{} }

// Answer implements Codec.
func (plainCodec) Answer(_ int, header http.Header) Answer {
	return Answer{Valid: header.Get("Wrong") == "", NotRun: header.Get("Not-Run") != "", Header: http.Header{}}
}

// Refuse implements Codec.
func (plainCodec) Refuse(w http.ResponseWriter, _ *Call, failure *problem.Error) {
	w.WriteHeader(problem.Rows[failure.Kind].Status)
}

// others are the parts that these tests have no use for.
type others struct{ version *deployment.Version }

func (o others) Current() *deployment.Version                             { return o.version }
func (others) Began(string)                                               {}
func (others) Asked(time.Time, route.Backend, backpressure.Asked)         {}
func (others) Admitted(time.Time, string, int)                            {}
func (others) Admit(context.Context, string, string, int) (string, error) { return "", nil }

// told is Picks and Outcomes that keep what they are told.
type told struct {
	mu sync.Mutex
	// pick is the answer to a first attempt, and repeat that to the others.
	pick, repeat rollout.Pick
	repeats      []bool
	sent         []bool
	begun        []rollout.Attempt
	firsts       int
	dropped      int
	answers      []rollout.Answer
	kinds        []string
}

// Pick implements Picks.
func (o *told) Pick(_, _ string, repeat bool) rollout.Pick {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.repeats = append(o.repeats, repeat)
	if repeat {
		return o.repeat
	}
	return o.pick
}

// Sent implements Picks.
func (o *told) Sent(_, _ string, candidate bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent = append(o.sent, candidate)
}

// IsCandidate implements Picks.
func (o *told) IsCandidate(_, version string) bool { return version == "v2" }

// Began implements Outcomes.
func (o *told) Began(attempt rollout.Attempt) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.begun = append(o.begun, attempt)
	return uint64(len(o.begun))
}

// First implements Outcomes.
func (o *told) First(uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.firsts++
}

// Dropped implements Outcomes.
func (o *told) Dropped(uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dropped++
}

// Answered implements Outcomes.
func (o *told) Answered(answer rollout.Answer, kind string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.answers, o.kinds = append(o.answers, answer), append(o.kinds, kind)
}

// onTrial picks two servers of v2 first, and never v2 for a repeat; inShift picks all of them.
var (
	onTrial = told{
		pick:   rollout.Pick{Candidate: true, Only: "v2", Most: 2},
		repeat: rollout.Pick{Not: []string{"v2"}},
	}
	inShift = told{pick: rollout.Pick{Candidate: true, Only: "v2"}, repeat: rollout.Pick{Not: []string{"v2"}}}
)

// newRelay returns a relay with one server of each version, nil for one that is not listed,
// and gives what each server got.
func newRelay(t *testing.T, outcomes *told, servers map[string]http.HandlerFunc) (*Relay, func() []string) {
	var mu sync.Mutex
	var got []string
	routes, err := route.New(route.Self{Region: "r", FailureDomain: "a"}, route.LeastInFlight, rand.New(rand.NewPCG(1, 1)))
	require.NoError(t, err)
	var list []route.Backend
	for version, handler := range servers {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			got = append(got, version)
			mu.Unlock()
			handler(w, r)
		}))
		t.Cleanup(server.Close)
		address := strings.TrimPrefix(server.URL, "http://")
		if version == "gone" {
			server.Close()
		}
		list = append(list, route.Backend{
			ID: version, Incarnation: 1, Service: "app", Region: "r", FailureDomain: "a", Address: address, Slots: 8,
			Version: strings.Replace(version, "gone", "v2", 1),
		})
	}
	routes.SetBackends(time.Now(), list)
	plain := deployment.Route{
		Name: "safe", Host: "h", Prefix: "/safe/", Kind: deployment.Idempotent, MaxAttempts: 2, Timeout: 2 * time.Second,
		Target: 100 * time.Millisecond, Targets: []deployment.Target{{Service: "app", Weight: 1}},
	}
	unsafe, stream := plain, plain
	unsafe.Name, unsafe.Prefix, unsafe.Kind, unsafe.MaxAttempts = "unsafe", "/unsafe/", deployment.NonIdempotent, 1
	unsafe.Timeout = time.Second
	stream.Name, stream.Prefix, stream.Kind = "stream", "/stream/", deployment.Streaming
	version := deployment.New(deployment.Deployment{
		Version: 1, Routes: []deployment.Route{plain, unsafe, stream}, Services: []deployment.Service{{Name: "app"}},
	})
	log := logrus.New()
	log.SetOutput(io.Discard)
	rest := others{version}
	repeats := budget.New(budget.Limits{Ratio: 1, Window: time.Second, Allowance: 100}, time.Now())
	repeats.First()
	repeats.SetEntries(1)
	parts := Parts{
		Versions: rest, Routes: routes, Limiter: rest, Intake: rest, Servers: rest, Usage: rest,
		Budget: repeats,
		Pool:   upstream.New(upstream.Options{DialTimeout: time.Second, EchoHeader: "Echo"}), Room: room.New(1 << 20),
		Codec: plainCodec{}, Meters: NewMeters(metrics.NewSet()), Entries: func() int { return 1 }, Draw: rand.Float64,
		Log: log.WithField("part", "relay"),
	}
	if outcomes != nil {
		parts.Picks, parts.Outcomes = outcomes, outcomes
	}
	return New(parts), func() []string {
		mu.Lock()
		defer mu.Unlock()
		return got
	}
}

func ask(handler http.Handler, path string) int {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "http://h"+path, nil))
	return recorder.Code
}

func fine(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("data: 1\n\n")) }

func status(code int, header ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for _, name := range header {
			w.Header().Set(name, "1")
		}
		w.WriteHeader(code)
	}
}

func breakOff(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// TestVersionsOfAttempts guards against requests that reach a version which was not picked,
// and against callers that get the failure of a version on trial although the old one serves.
func TestVersionsOfAttempts(t *testing.T) {
	for name, test := range map[string]struct {
		picks   *told
		servers map[string]http.HandlerFunc
		// got are the versions that the request reaches, asked whether each pick is a repeat, and
		// sent whether each counts towards the candidate.
		got         []string
		asked, sent []bool
		status      int
	}{
		"the candidate": {
			&told{pick: onTrial.pick},
			map[string]http.HandlerFunc{"v1": fine, "v2": fine},
			[]string{"v2"},
			[]bool{false},
			[]bool{true},
			200,
		},
		"the old version": {
			&told{pick: rollout.Pick{Not: []string{"v2"}}},
			map[string]http.HandlerFunc{"v1": fine, "v2": fine},
			[]string{"v1"},
			[]bool{false},
			[]bool{false},
			200,
		},
		"no server of the candidate": {
			&told{pick: onTrial.pick, repeat: onTrial.repeat},
			map[string]http.HandlerFunc{"v1": fine},
			[]string{"v1"},
			[]bool{false, true},
			[]bool{false},
			200,
		},
		"no old server": {
			&told{pick: onTrial.repeat, repeat: onTrial.repeat},
			map[string]http.HandlerFunc{"v2": fine},
			nil,
			[]bool{false},
			nil, 503,
		},
		"failed on trial": {
			&told{pick: onTrial.pick, repeat: onTrial.repeat},
			map[string]http.HandlerFunc{"v1": fine, "v2": status(500)},
			[]string{"v2", "v1"},
			[]bool{false, true},
			[]bool{true, false},
			200,
		},
		"broken on trial": {
			&told{pick: onTrial.pick, repeat: onTrial.repeat},
			map[string]http.HandlerFunc{"v1": fine, "v2": breakOff},
			[]string{"v2", "v1"},
			[]bool{false, true},
			[]bool{true, false},
			200,
		},
		"not run on trial": {
			&told{pick: onTrial.pick, repeat: onTrial.repeat},
			map[string]http.HandlerFunc{"v1": fine, "v2": status(503, "Not-Run")},
			[]string{"v2", "v1"},
			[]bool{false, true},
			[]bool{true, false},
			200,
		},
		"not reached on trial": {
			&told{pick: onTrial.pick, repeat: onTrial.repeat},
			map[string]http.HandlerFunc{"v1": fine, "gone": fine},
			[]string{"v1"},
			[]bool{false, true},
			[]bool{false},
			200,
		},
		"failed in shift": {
			&told{pick: inShift.pick, repeat: inShift.repeat},
			map[string]http.HandlerFunc{"v1": fine, "v2": status(500)},
			[]string{"v2", "v1"},
			[]bool{false, true},
			[]bool{true, false},
			200,
		},
		"failed in shift, no old server": {
			&told{pick: inShift.pick, repeat: inShift.repeat},
			map[string]http.HandlerFunc{"v2": status(500)},
			[]string{"v2", "v2"},
			[]bool{false, true, false},
			[]bool{true, true},
			500,
		},
		"failed on trial, no old server": {
			&told{pick: onTrial.pick, repeat: onTrial.repeat},
			map[string]http.HandlerFunc{"v2": status(500)},
			[]string{"v2"},
			[]bool{false, true, false},
			[]bool{true},
			502, // it may have run
		},
		"not run in shift": {
			&told{pick: inShift.pick, repeat: inShift.repeat},
			map[string]http.HandlerFunc{"v1": fine, "v2": status(503, "Not-Run")},
			[]string{"v2", "v2"},
			[]bool{false, false},
			[]bool{true, true},
			503,
		},
		"failed at the old version": {
			&told{pick: onTrial.repeat, repeat: onTrial.repeat},
			map[string]http.HandlerFunc{"v1": status(500), "v2": fine},
			[]string{"v1", "v1"},
			[]bool{false, false},
			[]bool{false, false},
			500,
		},
	} {
		t.Run(name, func(t *testing.T) {
			relay, got := newRelay(t, test.picks, test.servers)
			require.Equal(t, test.status, ask(relay, "/safe/1"))
			require.Equal(t, test.got, got())
			require.Equal(t, test.asked, test.picks.repeats)
			require.Equal(t, test.sent, test.picks.sent)
		})
	}
}

// TestWithoutRollouts guards against a deployment without bounds that fails for want of them.
func TestWithoutRollouts(t *testing.T) {
	relay, got := newRelay(t, nil, map[string]http.HandlerFunc{"v1": fine, "v2": status(500)})
	for range 20 {
		require.Equal(t, http.StatusOK, ask(relay, "/safe/1"))
		if len(got()) > 20 {
			return // a server of each version was asked
		}
	}
	require.Contains(t, got(), "v2")
}
