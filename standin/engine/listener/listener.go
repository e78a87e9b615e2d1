// Package listener serves a simulated engine over HTTP: completions as server-sent events or as
// one body, cancellation, KV cache transfers, cache events, load reports and orders, and the
// fault injection for tests below /standin.
//
// # Usage
//
//	l := listener.New(engine.Default(), http.DefaultClient)
//	go l.Run(ctx) // returns when ctx ends or the time of a reclaim notice has passed
//	err := httpjson.Serve(ctx, "127.0.0.1:8000", l)
//
// # Locks
//
// The mutex of a Listener guards the engine, its jobs and its faults.
package listener

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	wire "papayaport.dev/serving/connection/engine"
	"papayaport.dev/standin/engine"
	"papayaport.dev/standin/httpjson"
)

// idleWait is the longest time that Run sleeps.
const idleWait = time.Second

// ErrReclaimed is returned by Run once the time of a reclaim notice has passed.
var ErrReclaimed = errors.New("instance reclaimed")

// Listener is an engine with its HTTP handler.
type Listener struct {
	cfg    engine.Config
	client *http.Client
	mux    *http.ServeMux
	wake   chan struct{}

	mu      sync.Mutex
	model   *engine.Model
	jobs    map[uint64]chan engine.Token
	faults  Faults
	leaveAt time.Time
}

// New returns the listener of a new engine. The client is used for requests to other engines and
// the weight store.
func New(cfg engine.Config, client *http.Client) *Listener {
	l := &Listener{
		cfg:    cfg,
		client: client,
		mux:    http.NewServeMux(),
		wake:   make(chan struct{}, 1),
		model:  engine.New(cfg),
		jobs:   map[uint64]chan engine.Token{},
	}
	l.mux.HandleFunc("POST "+wire.CompletionsPath, l.complete)
	l.mux.HandleFunc("POST "+wire.CancelPath, l.cancel)
	l.mux.HandleFunc("POST "+wire.ExportPath, l.export)
	l.mux.HandleFunc("POST "+wire.ImportPath, l.importKV)
	l.mux.HandleFunc("GET "+transferPath+"/{handle}", l.transfer)
	l.mux.HandleFunc("GET "+wire.EventsPath, l.events)
	l.mux.HandleFunc("GET "+wire.LoadPath, l.load)
	l.mux.HandleFunc("POST "+wire.OrdersPath, l.order)
	l.mux.HandleFunc("GET /standin/runs", l.runs)
	l.mux.HandleFunc("GET /standin/faults", l.getFaults)
	l.mux.HandleFunc("POST /standin/faults", l.setFaults)
	l.mux.HandleFunc("POST /standin/reclaim", l.reclaim)
	return l
}

// ServeHTTP implements http.Handler.
func (l *Listener) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// Run executes the engine's steps until ctx ends, or returns ErrReclaimed once the time of a
// reclaim notice has passed.
func (l *Listener) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-l.wake:
		}
		wait, reclaimed := l.advance(time.Now())
		if reclaimed {
			return ErrReclaimed
		}
		timer.Reset(wait)
	}
}

// advance executes the due steps. It returns the time until the next one, and whether the engine
// has been reclaimed.
func (l *Listener) advance(now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leaveAt.IsZero() && !now.Before(l.leaveAt) {
		return 0, true
	}
	for _, token := range l.model.Advance(now) {
		l.deliver(token)
	}
	return l.untilNext(now), false
}

func (l *Listener) untilNext(now time.Time) time.Duration {
	wait := idleWait
	if next := l.model.Next(); !next.IsZero() {
		wait = min(wait, next.Sub(now))
	}
	if !l.leaveAt.IsZero() {
		wait = min(wait, l.leaveAt.Sub(now))
	}
	return max(0, wait)
}

func (l *Listener) deliver(token engine.Token) {
	job := l.jobs[token.Job]
	if job == nil {
		return
	}
	job <- token // does not block: the channel has room for a whole answer
	if token.Usage != nil {
		l.closeJob(token.Job)
	}
}

// closeJob closes and removes a job's channel.
func (l *Listener) closeJob(id uint64) {
	if job := l.jobs[id]; job != nil {
		close(job)
		delete(l.jobs, id)
	}
}

func (l *Listener) signalWake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Reclaim announces that the engine is reclaimed after leaveIn.
func (l *Listener) Reclaim(leaveIn time.Duration) {
	l.mu.Lock()
	l.leaveAt = l.model.Reclaim(time.Now(), leaveIn)
	l.mu.Unlock()
	l.signalWake()
}

// Reclaim is the body of POST /standin/reclaim.
type Reclaim struct {
	LeaveInMS int64 `json:"leave_in_ms"`
}

func (l *Listener) reclaim(w http.ResponseWriter, r *http.Request) {
	var in Reclaim
	if !httpjson.Read(w, r, &in) {
		return
	}
	l.Reclaim(time.Duration(in.LeaveInMS) * time.Millisecond)
	w.WriteHeader(http.StatusNoContent)
}

// refuse sends err as a refusal and marks the request as not run; other errors than a *Refusal
// become status 502.
func refuse(w http.ResponseWriter, err error) {
	var refusal *engine.Refusal
	if !errors.As(err, &refusal) {
		refusal = &engine.Refusal{Status: http.StatusBadGateway, Reason: err.Error()}
	}
	w.Header().Set("X-Not-Run", "true")
	httpjson.Fail(w, refusal.Status, refusal.Reason)
}
