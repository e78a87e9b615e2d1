package fakeplatform

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// FirstVersion is the default of Server.Version.
const FirstVersion = "v1"

// Defect is the fault of a bad version of a server's software. The zero value is a good
// version.
type Defect struct {
	// FailureShare is the fraction of the requests that are answered with status 500.
	FailureShare float64
	// SlowFactor is the factor by which the service time grows; 0 and 1 mean no change.
	SlowFactor float64
	// These limit the defect: the minimum time since the server's start, the minimum number of
	// other running requests, and the prefix of the affected paths.
	ActiveAfter      time.Duration
	MinOtherRequests int
	PathPrefix       string
}

// Bad reports whether there is a defect.
func (d Defect) Bad() bool { return d.FailureShare > 0 || d.SlowFactor > 0 }

// applyDefect returns whether a request that has just begun fails, and the factor on its service
// time.
func (b *Backend) applyDefect(r *http.Request) (fails bool, slower float64) {
	b.mu.Lock()
	d := b.Defect
	others := b.active - 1
	b.mu.Unlock()
	if !d.Bad() || time.Since(b.started) < d.ActiveAfter || others < d.MinOtherRequests || !strings.HasPrefix(r.URL.Path, d.PathPrefix) {
		return false, 1
	}
	return rand.Float64() < d.FailureShare, max(d.SlowFactor, 1)
}

// SetDefect replaces the server's defect.
func (b *Backend) SetDefect(defect Defect) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Defect = defect
}

// recordBadAnswer records an answer that the defect has affected.
func (b *Backend) recordBadAnswer(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.badAnswers = append(b.badAnswers, Arrival{id, time.Now()})
}

// BadAnswers returns the answers that the server's defect affected, with the times of their ends.
func (b *Backend) BadAnswers() []Arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Arrival(nil), b.badAnswers...)
}

// StopCountingLost stops the server at once, as Stop does, and counts the interrupted requests for LostRequests.
func (b *Backend) StopCountingLost() {
	b.mu.Lock()
	if !b.cut {
		b.cut, b.interrupted = true, b.active
	}
	b.mu.Unlock()
	b.Stop()
}

// LostRequests returns the number of requests that were running when the server was cut, or began
// after that.
func (b *Backend) LostRequests() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.interrupted
}

// countInterrupted counts a request that began after the server was cut. The caller holds b.mu.
func (b *Backend) countInterrupted() {
	if b.cut {
		b.interrupted++
	}
}
