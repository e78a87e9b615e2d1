package outside

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// FirstVersion is the version of servers that name none.
const FirstVersion = "v1"

// Defect is what a bad version of a server's software does wrong. The zero value is a good
// version.
type Defect struct {
	// Failing is the part of the requests that it answers with a 5xx of its own.
	Failing float64
	// Slower is by how many times its answers take longer; 0 is as long as usual.
	Slower float64
	// After is the time from the server's start on which the defect shows, Above the number
	// of other requests in flight at the server beyond which it does, and Prefix begins the
	// paths that have it.
	After  time.Duration
	Above  int
	Prefix string
}

// Bad tells whether there is a defect.
func (d Defect) Bad() bool { return d.Failing > 0 || d.Slower > 0 }

// defect returns whether the server fails a request that it just began, and how many times
// as long it works at it.
func (b *Backend) defect(r *http.Request) (fails bool, slower float64) {
	b.mu.Lock()
	d := b.Defect
	others := b.active - 1
	b.mu.Unlock()
	if !d.Bad() || time.Since(b.started) < d.After || others < d.Above || !strings.HasPrefix(r.URL.Path, d.Prefix) {
		return false, 1
	}
	return rand.Float64() < d.Failing, max(d.Slower, 1)
}

// SetDefect changes what the server does wrong from now on.
func (b *Backend) SetDefect(defect Defect) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Defect = defect
}

// answeredBadly notes a bad answer that has just been given.
func (b *Backend) answeredBadly(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bad = append(b.bad, Arrival{id, time.Now()})
}

// Bad returns the answers that the server's defect spoiled, by the time of their ends.
func (b *Backend) Bad() []Arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Arrival(nil), b.bad...)
}

// Cut ends the server at once, as Stop does, and Lost tells later what that cost.
func (b *Backend) Cut() {
	b.mu.Lock()
	if !b.gone {
		b.gone, b.lost = true, b.active
	}
	b.mu.Unlock()
	b.Stop()
}

// Lost returns the number of requests that ran when Cut ended the server, or began after.
func (b *Backend) Lost() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lost
}

// countLost counts a request that began at a server that Cut has ended. The caller has b.mu
// locked.
func (b *Backend) countLost() {
	if b.gone {
		b.lost++
	}
}
