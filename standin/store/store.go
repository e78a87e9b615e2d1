// Package store simulates the platform's key-value service: compare-and-swap, leases with fencing
// tokens, watches by long polling, rate limits, call counts, and faults that can be changed at
// run time.
//
// # Usage
//
//	s := store.New(store.Config{WritesPerSecond: 400, ReadsPerSecond: 2000})
//	err := httpjson.Serve(ctx, "127.0.0.1:2379", s)
//
// # Locks
//
// The mutex of a Store guards its table, counts and faults.
package store

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"papayaport.dev/serving/process/platform"
	"papayaport.dev/standin/httpjson"
)

// Config describes a store.
type Config struct {
	// WritesPerSecond and ReadsPerSecond are the rate limits; 0 for no limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
	Seed            uint64
}

// Faults are the faults that a store injects, set by POST /standin/faults. Every call replaces
// all previous faults.
type Faults struct {
	// Outage answers every call with status 503 without executing it. Waiting watches end.
	Outage bool `json:"outage"`
	// Silent never answers a call.
	Silent bool `json:"silent"`
	// SlowMS delays every call, in milliseconds.
	SlowMS int64 `json:"slow_ms"`
	// LoseAnswers is the probability that a write is applied but its connection is closed
	// without an answer.
	LoseAnswers float64 `json:"lose_answers"`
	// LoseRequests is the probability that a write is not applied and its connection is closed
	// without an answer.
	LoseRequests float64 `json:"lose_requests"`
	// StaleReads is the number of revisions by which reads lag behind.
	StaleReads uint64 `json:"stale_reads"`
	Seed       uint64 `json:"seed"`
}

// Calls counts calls by kind. Limited counts those over the rate limit, and Refused those during
// an outage.
type Calls struct {
	Get     uint64 `json:"get"`
	List    uint64 `json:"list"`
	Watch   uint64 `json:"watch"`
	Put     uint64 `json:"put"`
	Delete  uint64 `json:"delete"`
	Lease   uint64 `json:"lease"`
	Limited uint64 `json:"limited"`
	Refused uint64 `json:"refused"`
}

// Reads returns the number of reads, including watches.
func (c Calls) Reads() uint64 { return c.Get + c.List + c.Watch }

// Writes returns the number of writes, including calls on leases.
func (c Calls) Writes() uint64 { return c.Put + c.Delete + c.Lease }

// Store is the HTTP handler of a key-value table.
type Store struct {
	mux    *http.ServeMux
	writes *rate.Limiter
	reads  *rate.Limiter

	mu      sync.Mutex
	table   *table
	calls   Calls
	faults  Faults
	random  *rand.Rand
	changes chan struct{}
}

// New returns an empty store.
func New(cfg Config) *Store {
	s := &Store{
		mux:     http.NewServeMux(),
		writes:  newLimiter(cfg.WritesPerSecond),
		reads:   newLimiter(cfg.ReadsPerSecond),
		table:   newTable(),
		random:  rand.New(rand.NewPCG(cfg.Seed, 1)),
		changes: make(chan struct{}),
	}
	s.mux.Handle("GET "+platform.KeysPath+"/{key}", s.read(&s.calls.Get, s.get))
	s.mux.Handle("GET "+platform.KeysPath, s.read(&s.calls.List, s.list))
	s.mux.Handle("GET "+platform.WatchPath, s.read(&s.calls.Watch, s.watch))
	s.mux.Handle("PUT "+platform.KeysPath+"/{key}", s.write(&s.calls.Put, s.put))
	s.mux.Handle("DELETE "+platform.KeysPath+"/{key}", s.write(&s.calls.Delete, s.remove))
	s.mux.Handle("POST "+platform.LeasesPath+"/{name}/{verb}", s.write(&s.calls.Lease, s.lease))
	s.mux.HandleFunc("GET /standin/calls", s.getCalls)
	s.mux.HandleFunc("POST /standin/faults", s.setFaults)
	return s
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/4)))
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Calls returns the numbers of calls so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// SetFaults replaces all faults.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.random = rand.New(rand.NewPCG(faults.Seed, 2))
	s.notifyWatches()
}

// notifyWatches makes waiting watches check for changes again. The caller holds s.mu.
func (s *Store) notifyWatches() {
	close(s.changes)
	s.changes = make(chan struct{})
}

func (s *Store) getCalls(w http.ResponseWriter, _ *http.Request) {
	httpjson.Write(w, http.StatusOK, s.Calls())
}

func (s *Store) setFaults(w http.ResponseWriter, r *http.Request) {
	var in Faults
	if !httpjson.Read(w, r, &in) {
		return
	}
	s.SetFaults(in)
	w.WriteHeader(http.StatusNoContent)
}

// admit counts a call and applies the faults and the rate limit. It returns the current faults,
// and false if it has already answered the call.
func (s *Store) admit(w http.ResponseWriter, r *http.Request, count *uint64, limit *rate.Limiter) (Faults, bool) {
	s.mu.Lock()
	*count++
	faults := s.faults
	limited := !limit.AllowN(time.Now(), 1)
	switch {
	case faults.Outage:
		s.calls.Refused++
	case limited:
		s.calls.Limited++
	}
	s.mu.Unlock()
	if faults.Silent {
		<-r.Context().Done()
		httpjson.Abort()
	}
	if faults.SlowMS > 0 {
		pause(r, time.Duration(faults.SlowMS)*time.Millisecond)
	}
	switch {
	case faults.Outage:
		httpjson.Fail(w, http.StatusServiceUnavailable, "outage")
	case limited:
		httpjson.Fail(w, http.StatusTooManyRequests, "over the rate limit")
	}
	return faults, !faults.Outage && !limited
}

// pause waits, and aborts the request if the caller disconnects.
func pause(r *http.Request, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		httpjson.Abort()
	}
}
