// Package weight is the stand-in of the weight store: a fetch takes the time of its
// bytes at a shared rate, and too many at once are refused.
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
	// BytesPerSecond is the rate of all fetches together.
	BytesPerSecond float64
	// Parallel is the number of fetches at a time; more are refused.
	Parallel int
	// ModelBytes is the size of a model whose fetch names none.
	ModelBytes int64
}

// Store serves weights. The mutex guards all fields behind it.
type Store struct {
	cfg Config
	mux *http.ServeMux

	mu      sync.Mutex
	active  int
	free    time.Time
	fetched map[string]int
}

// New returns an idle store.
func New(cfg Config) *Store {
	s := &Store{cfg: cfg, mux: http.NewServeMux(), fetched: map[string]int{}}
	s.mux.HandleFunc("POST "+platform.WeightsPath+"/{model}", s.fetch)
	s.mux.HandleFunc("GET /standin/runs", s.runs)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Store) fetch(w http.ResponseWriter, r *http.Request) {
	size, _ := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
	if size <= 0 {
		size = s.cfg.ModelBytes
	}
	wait, ok := s.begin(time.Now(), size)
	if !ok {
		w.Header().Set("Retry-After", "1")
		httpjson.Fail(w, http.StatusTooManyRequests, "over the rate")
		return
	}
	defer s.end()
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

// begin takes a place and returns the time until the bytes are through.
func (s *Store) begin(now time.Time, size int64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active >= s.cfg.Parallel {
		return 0, false
	}
	s.active++
	if s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(time.Duration(float64(size) / s.cfg.BytesPerSecond * float64(time.Second)))
	return s.free.Sub(now), true
}

func (s *Store) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

func (s *Store) runs(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	httpjson.Write(w, http.StatusOK, s.fetched)
}
