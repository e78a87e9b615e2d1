// Package gateway answers callers: it checks their requests, admits them, sends them
// to backend servers and gives back whole answers.
//
// A model request becomes a run, which follows its answer over several attempts and
// stays readable while its caller comes and goes. A plain request is passed through,
// and a non-idempotent one is sent at most once.
//
// Lock order: runs.mu, then run.mu. No lock is held during I/O or while a table of
// another package is called.
//
// # Usage
//
//	handler := gateway.New(gateway.Parts{...})
//	server := &http.Server{Handler: handler}
//	handler.Leaving("engine-a1", incarnation, deadline)
//	handler.HandOver(ctx)
package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

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

// Versions gives the configuration in force.
type Versions interface {
	Service(name string) (*service.File, bool)
	Ready() bool
}

// Actions claims the keys of non-idempotent requests.
type Actions interface {
	Claim(ctx context.Context, claim action.Claim) (*action.Ticket, error)
}

// Peers reaches the other entry instances that may hold or take a request.
type Peers interface {
	// Ranked returns peer addresses, the likeliest holder of a request first.
	Ranked(request string) []string
	// Rank returns the place of this instance among all entry instances for a name, from 0.
	Rank(name string) int
	Find(ctx context.Context, address, request string) (bool, error)
	Attach(ctx context.Context, address, request string, offset int64, receive func(piece []byte) error) error
	HandOver(ctx context.Context, address, request string, body, state []byte) error
}

// Parts is what a gateway works with.
type Parts struct {
	Versions  Versions
	Routes    *route.Table
	Admission *admission.Table
	Retries   *retry.Table
	Actions   Actions
	Peers     Peers
	Pool      *pool.Pool
	Sender    *plain.Sender
	Meters    *Meters
	Limits    settings.Limits
	Clock     func() time.Time
	Log       *logrus.Entry
}

// Gateway is the callers' side of an entry instance.
type Gateway struct {
	Parts
	admitter *admitter
	runs     *runs
	moves    *mover
	draining atomic.Bool
	inFlight atomic.Int64
	// cut ends when the callers' connections must break off.
	cut    context.Context
	cutNow context.CancelFunc
}

// New returns a gateway.
func New(parts Parts) *Gateway {
	g := &Gateway{Parts: parts, admitter: newAdmitter(parts.Admission, parts.Clock), runs: newRuns(parts.Clock)}
	g.moves = newMover(g)
	g.cut, g.cutNow = context.WithCancel(context.Background())
	return g
}

// Paths of the callers' listener.
const (
	chatPath  = "/v1/chat/completions"
	livePath  = "/livez"
	readyPath = "/readyz"
)

// ServeHTTP answers one caller's request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case livePath:
		w.WriteHeader(http.StatusOK)
	case readyPath:
		g.answerReady(w)
	default:
		g.serve(w, r)
	}
}

func (g *Gateway) answerReady(w http.ResponseWriter) {
	if g.draining.Load() {
		problem.Write(w, problem.New(problem.Leaving, "draining"), "")
		return
	}
	if !g.Versions.Ready() {
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
	call, err := g.receive(w, r)
	defer func() { _ = http.NewResponseController(w).SetWriteDeadline(time.Time{}) }()
	if err != nil {
		g.refuse(w, call, err)
		return
	}
	w.Header().Set(requestHeader, call.id)
	if r.URL.Path == chatPath {
		g.serveChat(w, call)
		return
	}
	g.servePlain(w, call)
}

// refuse answers a call with a problem document.
func (g *Gateway) refuse(w http.ResponseWriter, call *call, err error) {
	id, name := "", ""
	if call != nil {
		id, name = call.id, call.service()
	}
	failure := problem.From(err)
	document := failure.Document(id)
	g.Meters.answered(name, string(document.Outcome))
	g.Log.WithFields(logrus.Fields{"request_id": id, "service": name, "kind": failure.Kind}).
		Debug("gateway: request refused: " + failure.Detail)
	problem.Write(w, failure, id)
}

// Drain makes the instance unready. Requests that still arrive are answered.
func (g *Gateway) Drain(draining bool) { g.draining.Store(draining) }

// Cut breaks off the callers' connections whose answers are not whole, so that the
// callers come back to other entry instances.
func (g *Gateway) Cut() { g.cutNow() }

// Draining tells whether the instance is unready because it drains.
func (g *Gateway) Draining() bool { return g.draining.Load() }

// InFlight returns the number of callers' requests that have no whole answer yet.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// Runs returns the number of model requests that are being answered here, those that
// other entry instances have taken over left out.
func (g *Gateway) Runs() int { return g.runs.active() }

// Tick lets queued requests go on. It is called every TickPeriod.
func (g *Gateway) Tick(now time.Time) {
	g.admitter.tick(now)
	g.moves.tick(now)
	g.runs.forget(now)
}

// TickPeriod is the time between calls of Tick.
const TickPeriod = 50 * time.Millisecond

// plainService returns the service that a plain path names, and the path behind it.
func plainService(path string) (string, string) {
	name, rest, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return name, "/" + rest
}
