package store

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/serving/process/platform"
	"papayaport.dev/standin/httpjson"
)

// result is the answer to a write.
type result struct {
	status int
	body   any
}

// write wraps the handler of a write with its count, rate limit and faults.
func (s *Store) write(count *uint64, execute func(*http.Request) result) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults, ok := s.admit(w, r, count, s.writes)
		if !ok {
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, 2*platform.MaxValueBytes)
		if s.randomly(faults.LoseRequests) {
			httpjson.Abort()
		}
		out := execute(r)
		if s.randomly(faults.LoseAnswers) {
			httpjson.Abort()
		}
		if out.status == http.StatusNoContent {
			w.WriteHeader(out.status)
			return
		}
		httpjson.Write(w, out.status, out.body)
	})
}

func (s *Store) randomly(probability float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < probability
}

func badRequest(err error) result {
	return result{http.StatusBadRequest, httpjson.Failure{Error: err.Error()}}
}

func answer(ok bool, body any) result {
	if !ok {
		return result{http.StatusConflict, body}
	}
	return result{http.StatusOK, body}
}

func (s *Store) put(r *http.Request) result {
	var in platform.Value
	if err := decode(r, &in); err != nil {
		return badRequest(err)
	}
	if len(in.Value) > platform.MaxValueBytes {
		return result{http.StatusRequestEntityTooLarge, httpjson.Failure{Error: "value is too large"}}
	}
	c, err := parseCondition(r)
	if err != nil {
		return badRequest(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.table.put(time.Now(), r.PathValue("key"), in.Value, c)
	if !ok {
		return answer(false, entry)
	}
	s.notifyWatches()
	return answer(true, platform.Entry{Key: entry.Key, Revision: entry.Revision})
}

func (s *Store) remove(r *http.Request) result {
	c, err := parseCondition(r)
	if err != nil {
		return badRequest(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.table.remove(time.Now(), r.PathValue("key"), c)
	if !ok {
		return answer(false, entry)
	}
	s.notifyWatches()
	return result{http.StatusNoContent, nil}
}

// parseCondition parses the query parameters if_revision=N and lease=NAME:FENCING.
func parseCondition(r *http.Request) (condition, error) {
	var c condition
	query := r.URL.Query()
	if text := query.Get("if_revision"); text != "" {
		revision, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return c, errors.Errorf("if_revision is %q, must be a number", text)
		}
		c.revision = &revision
	}
	if text := query.Get("lease"); text != "" {
		cut := strings.LastIndexByte(text, ':')
		fencing, err := strconv.ParseUint(text[cut+1:], 10, 64)
		if cut < 0 || err != nil {
			return c, errors.Errorf("lease is %q, must be NAME:FENCING", text)
		}
		c.lease, c.fencing = text[:cut], fencing
	}
	return c, nil
}

func (s *Store) lease(r *http.Request) result {
	var in platform.LeaseRequest
	if err := decode(r, &in); err != nil {
		return badRequest(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name := r.PathValue("name")
	switch r.PathValue("verb") {
	case "acquire":
		lease, ok := s.table.acquire(time.Now(), name, in)
		return answer(ok, lease)
	case "renew":
		lease, ok := s.table.renew(time.Now(), name, in)
		return answer(ok, lease)
	case "release":
		if lease, ok := s.table.release(time.Now(), name, in); !ok {
			return answer(false, lease)
		}
		return result{http.StatusNoContent, nil}
	}
	return result{http.StatusNotFound, httpjson.Failure{Error: "unknown lease operation"}}
}
