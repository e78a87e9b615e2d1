package outside

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
	// Failing is the fraction of the requests that are answered with status 500.
	Failing float64
	// Slower is the factor by which the service time grows; 0 and 1 mean no change.
	Slower float64
	// These limit the defect: the minimum time since the server's start, the minimum number of
	// other running requests, and the prefix of the affected paths.
	After  time.Duration
	Above  int
	Prefix string
}

// Bad reports whether there is a defect.
func (d Defect) Bad() bool { return d.Failing > 0 || d.Slower > 0 }

// applyDefect returns whether a request that has just begun fails, and the factor on its service
// time.
func (b *Backend) applyDefect(r *http.Request) (fails bool, slower float64) {
	b.mu.Lock()
	d := b.Defect
	others := b.active - 1
	b.mu.Unlock()
	if !d.Bad() || time.Since(b.started) < d.After || others < d.Above || !strings.HasPrefix(r.URL.Path, d.Prefix) {
		return false, 1
	}
	return rand.Float64() < d.Failing, max(d.Slower, 1)
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

// Bad returns the answers that the server's defect affected, with the times of their ends.
func (b *Backend) Bad() []Arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Arrival(nil), b.badAnswers...)
}

// Cut stops the server at once, as Stop does, and counts the interrupted requests for Lost.
func (b *Backend) Cut() {
	b.mu.Lock()
	if !b.cut {
		b.cut, b.interrupted = true, b.active
	}
	b.mu.Unlock()
	b.Stop()
}

// Lost returns the number of requests that were running when the server was cut, or began
// after that.
func (b *Backend) Lost() int {
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
