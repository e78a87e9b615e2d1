package listener

import (
	"net/http"

	"papayaport.dev/standin/httpjson"
)

// Faults are the faults that an engine injects, set by POST /standin/faults. Every call replaces
// all previous faults.
type Faults struct {
	// Nonsense sends events whose data is not valid JSON.
	Nonsense bool `json:"nonsense"`
	// ForeignAttempt sends chunks with the id and the text of another attempt.
	ForeignAttempt bool `json:"foreign_attempt"`
	// TruncateAfter aborts an answer after this number of tokens; 0 for never.
	TruncateAfter int `json:"truncate_after"`
	// ExtraTokens is the number of tokens sent after the end of an answer.
	ExtraTokens int `json:"extra_tokens"`
	// Silent accepts requests and never answers them; running streams stall as well.
	Silent bool `json:"silent"`
	// CloseAfterRead reads a request and closes the connection without running it.
	CloseAfterRead bool `json:"close_after_read"`
	// SlowFactor multiplies the duration of all steps; 0 leaves the current factor in place.
	SlowFactor float64 `json:"slow_factor"`
	// Times is the number of requests that are affected; 0 for all.
	Times int `json:"times"`
}

// truncatesAt reports whether an answer is aborted after the given number of tokens.
func (f Faults) truncatesAt(sent int) bool { return f.TruncateAfter > 0 && sent >= f.TruncateAfter }

func (l *Listener) setFaults(w http.ResponseWriter, r *http.Request) {
	var in Faults
	if !httpjson.Read(w, r, &in) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if in.SlowFactor != 0 {
		if err := l.model.SetSlowFactor(in.SlowFactor); err != nil {
			httpjson.Fail(w, http.StatusBadRequest, err.Error())
			return
		}
	}
	l.faults = in
	w.WriteHeader(http.StatusNoContent)
}

// getFaults sends the current faults; they are empty once Times requests have been affected.
func (l *Listener) getFaults(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	httpjson.Write(w, http.StatusOK, l.faults)
}

// takeFaults returns the faults of the next request.
func (l *Listener) takeFaults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	faults := l.faults
	if l.faults.Times == 1 {
		l.faults = Faults{}
	}
	if l.faults.Times > 1 {
		l.faults.Times--
	}
	return faults
}

func (l *Listener) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults.Silent
}
