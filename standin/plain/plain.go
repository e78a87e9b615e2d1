// Package plain simulates a plain service: idempotent lookups by GET, and bookings, charges and
// corrections by POST. Each run is counted by its Idempotency-Key and by the id in its body, so
// that tests can detect repeated runs.
//
// # Usage
//
//	s := plain.New(plain.Config{Instance: "desk-a1"})
//	go s.Run(ctx) // returns when ctx ends or the time of a reclaim notice has passed
//	err := httpjson.Serve(ctx, "127.0.0.1:8080", s)
//
// # Locks
//
// The mutex of a Service guards its table.
package plain

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	wire "papayaport.dev/serving/connection/engine"
	"papayaport.dev/standin/httpjson"
)

// NotRunHeader is the header field of answers to requests that were not run.
const NotRunHeader = "X-Not-Run"

// ErrReclaimed is returned by Run once the time of a reclaim notice has passed.
var ErrReclaimed = errors.New("instance reclaimed")

// Config describes a plain service.
type Config struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	// Slots is the number of concurrent requests in load reports; it is not enforced.
	Slots int `json:"slots"`
}

// Call identifies one request for counting.
type Call struct {
	Idempotent bool
	Key        string
	ID         string
	Attempt    string
}

// Answer is the JSON body of an answer.
type Answer struct {
	Result   string `json:"result"`
	Path     string `json:"path"`
	ID       string `json:"id,omitempty"`
	Instance string `json:"instance"`
	// Run is the ordinal, from 1, of this run among those with the same key or id.
	Run int `json:"run"`
}

// results maps the path of a POST to the Result of its answer.
var results = map[string]string{
	"/bookings":    "booked",
	"/charges":     "charged",
	"/corrections": "posted",
}

// Service is the HTTP handler of a plain service.
type Service struct {
	cfg  Config
	mux  *http.ServeMux
	wake chan struct{}

	mu    sync.Mutex
	table *table
}

// New returns a service that has run no requests.
func New(cfg Config) *Service {
	s := &Service{cfg: cfg, mux: http.NewServeMux(), wake: make(chan struct{}, 1), table: newTable()}
	s.mux.HandleFunc("GET "+wire.LoadPath, s.load)
	s.mux.HandleFunc("GET /standin/runs", s.getRuns)
	s.mux.HandleFunc("POST /standin/faults", s.setFaults)
	s.mux.HandleFunc("POST /standin/reclaim", s.reclaim)
	s.mux.HandleFunc("GET /", s.serve)
	for path := range results {
		s.mux.HandleFunc("POST "+path, s.serve)
	}
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Run blocks until ctx ends, or returns ErrReclaimed once the time of a reclaim notice has passed.
func (s *Service) Run(ctx context.Context) error {
	for {
		s.mu.Lock()
		leaveAt := s.table.leaveAt
		s.mu.Unlock()
		var reclaimed <-chan time.Time
		if !leaveAt.IsZero() {
			reclaimed = time.After(time.Until(leaveAt))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-reclaimed:
			return ErrReclaimed
		case <-s.wake:
		}
	}
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, httpjson.MaxBodyBytes))
	if err != nil {
		httpjson.Fail(w, http.StatusBadRequest, "reading the request body: "+err.Error())
		return
	}
	s.writeHeader(w, r)
	faults := s.beginRequest(r.Method)
	defer s.endRequest()
	if faults.Refuse {
		w.Header().Set(NotRunHeader, "true")
		httpjson.Fail(w, http.StatusServiceUnavailable, "not run")
		return
	}
	if faults.CloseAfterRead && !faults.RunBeforeClose {
		httpjson.Abort()
	}
	if faults.Silent {
		<-r.Context().Done()
		httpjson.Abort()
	}
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	answer := s.run(r, body)
	time.Sleep(time.Duration(faults.AnswerDelayMS) * time.Millisecond)
	if faults.CloseAfterRead {
		httpjson.Abort()
	}
	httpjson.Write(w, http.StatusOK, answer)
}

func (s *Service) writeHeader(w http.ResponseWriter, r *http.Request) {
	if attempt := r.Header.Get(wire.AttemptHeader); attempt != "" {
		w.Header().Set(wire.AttemptHeader, attempt)
	}
	w.Header().Set(wire.IncarnationHeader, strconv.FormatUint(s.cfg.Incarnation, 10))
}

func (s *Service) beginRequest(method string) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.running++
	return s.table.takeFaults(method)
}

func (s *Service) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.running--
}

func (s *Service) run(r *http.Request, body []byte) Answer {
	var fields struct {
		ID string `json:"id"`
	}
	_ = json.Unmarshal(body, &fields) // a body without an id is counted by its key only
	call := Call{
		Idempotent: r.Method != http.MethodPost,
		Key:        r.Header.Get("Idempotency-Key"),
		ID:         fields.ID,
		Attempt:    r.Header.Get(wire.AttemptHeader),
	}
	answer := Answer{Result: "found", Path: r.URL.Path, ID: fields.ID, Instance: s.cfg.Instance}
	if !call.Idempotent {
		answer.Result = results[r.URL.Path]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	answer.Run = s.table.countRun(time.Now(), call)
	return answer
}

func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := wire.Load{Incarnation: s.cfg.Incarnation, Running: s.table.running, Slots: s.cfg.Slots}
	if !s.table.leaveAt.IsZero() {
		load.Leaving = true
		load.LeaveInMS = max(0, time.Until(s.table.leaveAt).Milliseconds())
	}
	httpjson.Write(w, http.StatusOK, load)
}

// Runs returns a copy of the recorded runs.
func (s *Service) Runs() Runs {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := s.table.runs
	runs.Keys = maps.Clone(runs.Keys)
	runs.IDs = maps.Clone(runs.IDs)
	runs.Attempts = maps.Clone(runs.Attempts)
	runs.AfterNoticeMS = slices.Clone(runs.AfterNoticeMS)
	return runs
}

func (s *Service) getRuns(w http.ResponseWriter, _ *http.Request) {
	httpjson.Write(w, http.StatusOK, s.Runs())
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	var in Faults
	if !httpjson.Read(w, r, &in) {
		return
	}
	s.mu.Lock()
	s.table.faults = in
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// Reclaim announces that the instance is reclaimed after leaveIn.
func (s *Service) Reclaim(leaveIn time.Duration) {
	s.mu.Lock()
	s.table.reclaim(time.Now(), leaveIn)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Service) reclaim(w http.ResponseWriter, r *http.Request) {
	var in struct {
		LeaveInMS int64 `json:"leave_in_ms"`
	}
	if !httpjson.Read(w, r, &in) {
		return
	}
	s.Reclaim(time.Duration(in.LeaveInMS) * time.Millisecond)
	w.WriteHeader(http.StatusNoContent)
}
