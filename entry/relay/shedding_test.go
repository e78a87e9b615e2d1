package relay_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"papayaport.dev/entry/relay"
	"papayaport.dev/serving/connection/memorybudget"
	"papayaport.dev/serving/connection/upstream"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/request/backpressure"
	"papayaport.dev/serving/request/budget"
	"papayaport.dev/serving/request/route"
	"papayaport.dev/serving/request/scarcity"
	"papayaport.dev/serving/version/deployment"
)

// pathCodec is a relay.Codec that decodes requests by their path alone.
type pathCodec struct{}

func (pathCodec) Receive(r *http.Request) (relay.Call, error) {
	return relay.Call{
		ID: "id", Method: r.Method, Target: r.URL.Path, Host: r.Host, Path: r.URL.Path, APIKey: "key", Timeout: 5 * time.Second,
		Prompt: &relay.Prompt{PromptTokens: 1000, AnswerTokens: 10, Parts: []relay.Part{{ID: 1, Tokens: 1000}}},
	}, nil
}

func (pathCodec) Attempt(*relay.Call, relay.Attempt) http.Header { return http.Header{} }

func (pathCodec) Answer(_ int, header http.Header) relay.Answer {
	return relay.Answer{Valid: true, Header: header}
}

func (pathCodec) Refuse(w http.ResponseWriter, call *relay.Call, failure *problem.Error) {
	problem.Write(w, failure, call.ID)
}

// stubDependencies implements the dependencies of a relay that have no effect in these tests.
type stubDependencies struct{ version *deployment.Version }

func (o stubDependencies) Current() *deployment.Version                                    { return o.version }
func (stubDependencies) Started(string)                                                    {}
func (stubDependencies) ObserveBackpressure(time.Time, route.Backend, backpressure.Signal) {}
func (stubDependencies) Admitted(time.Time, string, int)                                   {}
func (stubDependencies) Admit(context.Context, string, string, int, int) (string, error) {
	return "", nil
}

// fakeShedder returns a fixed verdict and records the calls.
type fakeShedder struct {
	verdict  scarcity.Verdict
	requests []scarcity.Request
	// answered holds the argument of each call of Done.
	answered []bool
}

func (d *fakeShedder) Admit(_ time.Time, ask scarcity.Request) scarcity.Verdict {
	d.requests = append(d.requests, ask)
	return d.verdict
}

func (d *fakeShedder) Done(_ time.Time, _ scarcity.Request, answered bool) {
	d.answered = append(d.answered, answered)
}
func (d *fakeShedder) Overloaded(time.Time, string) bool { return true }

// TestLoadShedding guards that the shedder decides once per request, only for model services and
// while the load of the fleet is known, and that a rejected request reaches no server and takes
// no slot.
func TestLoadShedding(t *testing.T) {
	refused := func(reason scarcity.Reason) scarcity.Verdict {
		return scarcity.Verdict{Reason: reason, RetryAfter: 2500 * time.Millisecond}
	}
	admitted := scarcity.Verdict{Admitted: true, Reason: scarcity.Served}
	for name, test := range map[string]struct {
		path    string
		verdict scarcity.Verdict
		unknown bool
		status  int
		asked   int
		reached int
		// lost makes the server close connections without a response.
		lost     bool
		answered []bool
		line     logrus.Fields
		metric   string
	}{
		"admitted":    {path: "/model/", verdict: admitted, status: 200, asked: 1, reached: 1, answered: []bool{true}, metric: `decisions_total{service="model",rank="3",reason="served"} 1`},
		"answer lost": {path: "/model/", verdict: admitted, lost: true, status: 502, asked: 1, reached: 1, answered: []bool{false}},
		"deadline": {
			path: "/model/", verdict: refused(scarcity.Deadline), status: 503, asked: 1,
			line: logrus.Fields{"kind": problem.DeadlineInfeasible, "reason": scarcity.Deadline, "rank": 3, "target_ms": int64(800), "retry_after_ms": int64(2500)}, metric: `rank="3",reason="deadline"} 1`,
		},
		"gives way": {
			path: "/model/", verdict: refused(scarcity.Outranked), status: 503, asked: 1,
			line: logrus.Fields{"kind": problem.QueueFull, "reason": scarcity.Outranked}, metric: `crowded{service="model"} 1`,
		},
		"plain service":          {path: "/plain/", verdict: refused(scarcity.Deadline), status: 200, reached: 1},
		"work of others unknown": {path: "/model/", verdict: refused(scarcity.Deadline), unknown: true, status: 200, reached: 1},
	} {
		t.Run(name, func(t *testing.T) {
			var reached atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				reached.Add(1)
				if test.lost {
					panic(http.ErrAbortHandler)
				}
				_, err := io.WriteString(w, "id: 1\ndata: x\n\n")
				require.NoError(t, err)
			}))
			defer server.Close()
			shedder := &fakeShedder{verdict: test.verdict}
			logger, lines := logtest.NewNullLogger()
			set := metrics.NewSet()
			routes := newRoutes(t, strings.TrimPrefix(server.URL, "http://"))
			handler := relay.New(relay.Dependencies{
				Versions: stubDependencies{newVersion()}, Limiter: stubDependencies{}, Usage: stubDependencies{}, BackpressureObserver: stubDependencies{}, AdmissionObserver: stubDependencies{}, Routes: routes,
				Budget: budget.New(budget.Limits{Window: time.Second}, time.Now()), Pool: upstream.New(upstream.Options{DialTimeout: time.Second}),
				Room: memorybudget.New(1 << 20), Codec: pathCodec{}, Metrics: relay.NewMetrics(set), Entries: func() int { return 1 }, Draw: rand.Float64,
				Log: logrus.NewEntry(logger), LoadShedder: shedder, LoadKnown: func(time.Time) bool { return !test.unknown },
			})
			answer := httptest.NewRecorder()
			handler.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "http://host"+test.path, nil))
			require.Equal(t, test.status, answer.Code, answer.Body.String())
			require.Len(t, shedder.requests, test.asked)
			require.Equal(t, test.reached, int(reached.Load()))
			require.Empty(t, routes.LocalLoad())
			for field, value := range test.line {
				require.Equal(t, value, lines.LastEntry().Data[field], field)
			}
			text := &strings.Builder{}
			set.WritePrometheus(text)
			require.Contains(t, text.String(), test.metric)
			require.Equal(t, test.answered, shedder.answered)
			if test.reached > 0 {
				return
			}
			require.Equal(t, "3", answer.Header().Get("Retry-After"))
			require.Contains(t, answer.Body.String(), `"outcome":"not_run"`)
			request := shedder.requests[0]
			require.InDelta(t, 5*time.Second, request.TimeLeft, float64(time.Second))
			require.Greater(t, request.FirstEvent, 90*time.Millisecond) // 1,000 tokens at 10,000 a second
			require.Zero(t, request.FullResponse)
			require.NotZero(t, request.ID)
			require.Equal(t, admittedCount(newRoutes(t, "")), admittedCount(routes))
		})
	}
}

func newVersion() *deployment.Version {
	rank := 3
	return deployment.New(deployment.Deployment{
		Version: 1,
		Routes: []deployment.Route{
			{Name: "model", Host: "host", Prefix: "/model/", Kind: deployment.Streaming, Target: 800 * time.Millisecond, MaxAttempts: 1, Targets: []deployment.Target{{Service: "model", Weight: 1}}},
			{Name: "plain", Host: "host", Prefix: "/plain/", Kind: deployment.Idempotent, Target: 800 * time.Millisecond, MaxAttempts: 1, Targets: []deployment.Target{{Service: "plain", Weight: 1}}},
		},
		Services: []deployment.Service{{Name: "model", Engine: &deployment.Engine{Slots: 8}}, {Name: "plain"}},
		Accounts: []deployment.Account{{Name: "account", Keys: []string{"key"}, Priority: &rank}},
	})
}

// newRoutes returns a table with one server of each service, limited to one request per second.
func newRoutes(t *testing.T, address string) *route.Table {
	table, err := route.New(route.Self{Region: "r", FailureDomain: "a"}, route.Papayaport, rand.New(rand.NewPCG(1, 2)))
	require.NoError(t, err)
	now := time.Now().Add(-10 * time.Second)
	table.SetEntries(now, []backpressure.Entry{{FailureDomain: "a"}})
	var backends []route.Backend
	for _, service := range []string{"model", "plain"} {
		backends = append(backends, route.Backend{ID: service + "-1", Incarnation: 1, Service: service, Address: address, Region: "r", FailureDomain: "a", Slots: 8, PrefillPerSec: 10_000, DecodeMS: 10})
	}
	table.SetBackends(now, backends)
	for _, b := range backends {
		table.ApplyBackpressure(now, now, b.ID, 1, backpressure.Signal{Limited: true, PerSecond: 1})
	}
	return table
}

// admittedCount returns how many requests at once pass the rate limit of the model server.
func admittedCount(table *route.Table) int {
	now := time.Now()
	for taken := 0; taken < 1000; taken++ {
		if _, err := table.Choose(now, route.Request{Service: "model"}); err != nil {
			return taken
		}
	}
	return 1000
}
