package store

import (
	"net/http"
	"strconv"
	"time"

	"papayaport.dev/serving/process/platform"
	"papayaport.dev/standin/httpjson"
)

// maxWait is the longest wait of a watch.
const maxWait = time.Minute

// read wraps the handler of a read with its count, rate limit and faults.
func (s *Store) read(count *uint64, serve http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, ok := s.admit(w, r, count, s.reads); ok {
			serve(w, r)
		}
	})
}

// readRevision returns the revision that reads see: the current one less StaleReads.
func (s *Store) readRevision() uint64 {
	if s.faults.StaleReads > s.table.revision {
		return 0
	}
	return s.table.revision - s.faults.StaleReads
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	entry := s.table.get(r.PathValue("key"), s.readRevision())
	s.mu.Unlock()
	if entry.Revision == 0 {
		httpjson.Fail(w, http.StatusNotFound, "no such key")
		return
	}
	httpjson.Write(w, http.StatusOK, entry)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	entries := s.table.list(r.URL.Query().Get("prefix"), s.readRevision())
	s.mu.Unlock()
	httpjson.Write(w, http.StatusOK, entries)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		httpjson.Fail(w, http.StatusBadRequest, "after is not a number")
		return
	}
	waitMS, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	timer := time.NewTimer(min(maxWait, time.Duration(waitMS)*time.Millisecond))
	defer timer.Stop()
	for {
		entries, changes, outage := s.changesAfter(query.Get("prefix"), after)
		if outage {
			httpjson.Fail(w, http.StatusServiceUnavailable, "outage")
			return
		}
		if len(entries.Entries) > 0 {
			httpjson.Write(w, http.StatusOK, entries)
			return
		}
		select {
		case <-changes:
		case <-timer.C:
			httpjson.Write(w, http.StatusOK, entries)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesAfter returns the keys that changed after a revision, a channel that is closed at the
// next change, and whether there is an outage.
func (s *Store) changesAfter(prefix string, after uint64) (platform.Entries, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.changed(prefix, after, s.readRevision()), s.changes, s.faults.Outage
}
