// Package gateway serves the callers of an entry instance: it validates and admits their
// requests, forwards them to backend servers and returns complete answers.
//
// A model request becomes a run. A run collects the answer over one or more attempts, and
// callers may disconnect from it and re-attach to it. A plain request (a request for a
// service that is not a model) is proxied; a non-idempotent one is sent at most once.
//
// # Locks
//
// Lock order: runTable.mu, then run.mu. No lock is held during I/O or during calls to the
// tables of other packages.
//
// # Usage
//
//	handler := gateway.New(gateway.Dependencies{...})
//	server := &http.Server{Handler: handler}
//	handler.MarkLeaving("engine-a1", incarnation, deadline)
//	handler.HandOver()
package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/connection/inbound"
	"papayaport.dev/serving/connection/memorybudget"
	"papayaport.dev/serving/connection/plain"
	"papayaport.dev/serving/connection/pool"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/process/settings"
	"papayaport.dev/serving/request/action"
	"papayaport.dev/serving/request/admission"
	"papayaport.dev/serving/request/retry"
	"papayaport.dev/serving/request/route"
	"papayaport.dev/serving/version/service"
)

// Configuration provides the configuration in force.
type Configuration interface {
	Service(name string) (*service.File, bool)
	Ready() bool
}

// Actions claims the idempotency keys of non-idempotent requests.
type Actions interface {
	Claim(ctx context.Context, claim action.Claim) (*action.Ticket, error)
}

// Peers calls the other entry instances, which may hold a request or take one over.
type Peers interface {
	// Ranked returns peer addresses, the most likely holder of a request first.
	Ranked(request string) []string
	// Rank returns the rank of this instance among all entry instances for a name, from 0.
	Rank(name string) int
	Find(ctx context.Context, address, request string) (bool, error)
	Attach(ctx context.Context, address, request string, offset int64, receive func(piece []byte) error) error
	HandOver(ctx context.Context, address, request string, body, state []byte) error
}

// Dependencies holds the dependencies of a gateway.
type Dependencies struct {
	Configuration Configuration
	Routes        *route.Table
	Admission     *admission.Table
	Retries       *retry.Table
	Actions       Actions
	Peers         Peers
	Pool          *pool.Pool
	Sender        *plain.Sender
	Metrics       *Metrics
	Limits        settings.Limits
	// Bodies bounds the memory of request bodies while they are served; nil means that it is not bounded.
	Bodies *memorybudget.Budget
	Clock  func() time.Time
	Log    *logrus.Entry
}

// Gateway is the HTTP handler for the callers of an entry instance.
type Gateway struct {
	Dependencies
	admitter *admitter
	runs     *runTable
	migrator *migrator
	draining atomic.Bool
	inFlight atomic.Int64
	// disconnect is cancelled when the connections of callers must be closed.
	disconnect      context.Context
	startDisconnect context.CancelFunc
}

// New returns a gateway that uses the given dependencies.
func New(deps Dependencies) *Gateway {
	g := &Gateway{Dependencies: deps, admitter: newAdmitter(deps.Admission, deps.Clock), runs: newRunTable(deps.Clock)}
	g.migrator = newMigrator(g)
	g.disconnect, g.startDisconnect = context.WithCancel(context.Background())
	return g
}

// Paths of the callers' listener. Any other path names a plain service.
const (
	chatPath  = "/v1/chat/completions"
	livePath  = "/livez"
	readyPath = "/readyz"
)

// ServeHTTP handles one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case livePath:
		w.WriteHeader(http.StatusOK)
	case readyPath:
		g.serveReady(w)
	default:
		g.serve(w, r)
	}
}

func (g *Gateway) serveReady(w http.ResponseWriter) {
	if g.draining.Load() {
		problem.Write(w, problem.New(problem.Leaving, "draining"), "")
		return
	}
	if !g.Configuration.Ready() {
		problem.Write(w, problem.New(problem.NotReady, "no configuration yet"), "")
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	call, err := g.newCall(w, r)
	defer call.releaseBody()
	defer func() { _ = http.NewResponseController(w).SetWriteDeadline(time.Time{}) }()
	if err != nil {
		g.refuse(w, call, err)
		return
	}
	w.Header().Set(requestHeader, call.id)
	if r.URL.Path == chatPath {
		g.serveChat(w, call)
	} else {
		g.servePlain(w, call)
	}
	if call.account != nil {
		inbound.Served(r.Context())
	}
}

// refuse responds to a call with a problem document.
func (g *Gateway) refuse(w http.ResponseWriter, call *call, err error) {
	id, name := "", ""
	if call != nil {
		id, name = call.id, call.service()
	}
	failure := problem.From(err)
	document := failure.Document(id)
	g.Metrics.countRequest(name, string(document.Outcome))
	g.Log.WithFields(logrus.Fields{"request_id": id, "service": name, "kind": failure.Kind}).
		Debug("gateway: request refused: " + failure.Detail)
	problem.Write(w, failure, id)
}

// Drain marks the instance as draining, and thereby as not ready, or reverts that.
// Requests that still arrive are served.
func (g *Gateway) Drain(draining bool) { g.draining.Store(draining) }

// DisconnectCallers closes the connections of callers whose answers are incomplete, so that these
// callers reconnect to other entry instances.
func (g *Gateway) DisconnectCallers() { g.startDisconnect() }

// Draining reports whether the instance is draining.
func (g *Gateway) Draining() bool { return g.draining.Load() }

// InFlight returns the number of callers' requests whose answers are incomplete.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// Runs returns the number of unfinished model requests that this instance runs, not
// counting those that other entry instances have taken over.
func (g *Gateway) Runs() int { return g.runs.countLocal() }

// Tick admits queued requests, plans migrations off leaving backend servers and removes
// expired runs. It must be called every TickPeriod.
func (g *Gateway) Tick(now time.Time) {
	g.admitter.tick(now)
	g.migrator.tick(now)
	g.runs.expire(now)
}

// TickPeriod is the interval between calls of Tick.
const TickPeriod = 50 * time.Millisecond

// splitServicePath splits the path of a plain request into the service's name and the path
// at the backend server.
func splitServicePath(path string) (string, string) {
	name, rest, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return name, "/" + rest
}
