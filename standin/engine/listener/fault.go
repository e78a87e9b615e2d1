package listener

import (
	"net/http"

	"papayaport.dev/standin/httpjson"
)

// Faults is the misbehaviour of an engine, set by POST /standin/faults. Every call
// replaces what was set before.
type Faults struct {
	// Nonsense sends events that are not JSON.
	Nonsense bool `json:"nonsense"`
	// ForeignAttempt sends the chunks of another attempt with another answer.
	ForeignAttempt bool `json:"foreign_attempt"`
	// TruncateAfter ends a stream behind this number of tokens; 0 for never.
	TruncateAfter int `json:"truncate_after"`
	// ExtraTokens is the number of tokens behind the end of an answer.
	ExtraTokens int `json:"extra_tokens"`
	// Silent accepts requests and never answers; running streams stop as well.
	Silent bool `json:"silent"`
	// CloseAfterRead reads a request, ends the connection and runs nothing.
	CloseAfterRead bool `json:"close_after_read"`
	// SlowFactor multiplies the time of all work; 0 leaves it as it is.
	SlowFactor float64 `json:"slow_factor"`
	// Times is the number of requests that are hit; 0 for all.
	Times int `json:"times"`
}

// cuts tells whether a stream ends behind the given number of tokens.
func (f Faults) cuts(sent int) bool { return f.TruncateAfter > 0 && sent >= f.TruncateAfter }

func (l *Listener) setFaults(w http.ResponseWriter, r *http.Request) {
	var in Faults
	if !httpjson.Read(w, r, &in) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if in.SlowFactor != 0 {
		if err := l.model.Slow(in.SlowFactor); err != nil {
			httpjson.Fail(w, http.StatusBadRequest, err.Error())
			return
		}
	}
	l.faults = in
	w.WriteHeader(http.StatusNoContent)
}

// getFaults tells what is set; nothing is left when Times requests have been hit.
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

func (l *Listener) silentNow() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults.Silent
}
