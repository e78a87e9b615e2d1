// Package weight simulates the weight store: fetches share a transfer rate, and concurrent fetches
// beyond a limit are refused.
//
// # Usage
//
//	s := weight.New(weight.Config{BytesPerSecond: 4 << 30, Parallel: 2, ModelBytes: 1 << 30})
//	err := httpjson.Serve(ctx, "127.0.0.1:8700", s)
package weight

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"papayaport.dev/serving/process/platform"
	"papayaport.dev/standin/httpjson"
)

// Config describes a weight store.
type Config struct {
	// BytesPerSecond is the transfer rate of all fetches together.
	BytesPerSecond float64
	// Parallel is the maximum number of concurrent fetches; more are refused.
	Parallel int
	// ModelBytes is the size of a model if its fetch does not give one.
	ModelBytes int64
}

// Store is the HTTP handler of the weight store. Its mutex guards the fields below it.
type Store struct {
	cfg Config
	mux *http.ServeMux

	mu        sync.Mutex
	active    int
	busyUntil time.Time
	fetched   map[string]int
}

// New returns an idle store.
func New(cfg Config) *Store {
	s := &Store{cfg: cfg, mux: http.NewServeMux(), fetched: map[string]int{}}
	s.mux.HandleFunc("POST "+platform.WeightsPath+"/{model}", s.fetch)
	s.mux.HandleFunc("GET /standin/runs", s.getFetched)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Store) fetch(w http.ResponseWriter, r *http.Request) {
	size, _ := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
	if size <= 0 {
		size = s.cfg.ModelBytes
	}
	wait, ok := s.beginFetch(time.Now(), size)
	if !ok {
		w.Header().Set("Retry-After", "1")
		httpjson.Fail(w, http.StatusTooManyRequests, "too many concurrent fetches")
		return
	}
	defer s.endFetch()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return
	}
	s.mu.Lock()
	s.fetched[r.PathValue("model")]++
	s.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}

// beginFetch reserves a fetch and returns the time until its last byte is transferred, or false if
// there are too many fetches.
func (s *Store) beginFetch(now time.Time, size int64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active >= s.cfg.Parallel {
		return 0, false
	}
	s.active++
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	s.busyUntil = s.busyUntil.Add(time.Duration(float64(size) / s.cfg.BytesPerSecond * float64(time.Second)))
	return s.busyUntil.Sub(now), true
}

func (s *Store) endFetch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

func (s *Store) getFetched(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	httpjson.Write(w, http.StatusOK, s.fetched)
}
