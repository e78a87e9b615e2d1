package relay

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"papayaport.dev/serving/connection/event"
	"papayaport.dev/serving/connection/room"
	"papayaport.dev/serving/connection/upstream"
)

// Meters counts what happens to requests.
type Meters struct{ set *metrics.Set }

// NewMeters returns meters in a set.
func NewMeters(set *metrics.Set) *Meters { return &Meters{set: set} }

func (m *Meters) attempted(service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("papayaport_attempts_total{service=%q}", service)).Inc()
}

// noteEndless counts an answer that was given up because it passed a bound; other errors are
// none of its own.
func (m *Meters) noteEndless(service string, err error) {
	bound := ""
	switch {
	case errors.Is(err, upstream.ErrEndless):
		bound = "head"
	case errors.Is(err, room.ErrTooLarge):
		bound = "body"
	case errors.Is(err, event.ErrTooLarge):
		bound = "event"
	case errors.Is(err, room.ErrFull), errors.Is(err, event.ErrNoRoom):
		bound = "memory"
	default:
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("papayaport_answers_past_a_bound_total{service=%q,bound=%q}", service, bound)).Inc()
}

// withheld counts a request that a server took no more when a connection to it was there.
func (m *Meters) withheld(service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("papayaport_withheld_total{service=%q}", service)).Inc()
}

func (m *Meters) answered(service, route string, status int, kind string, first, took time.Duration) {
	if kind == "" {
		kind = "ok"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("papayaport_requests_total{service=%q,status=\"%d\",kind=%q}", service, status, kind)).Inc()
	if first > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf("papayaport_first_byte_seconds{route=%q}", route)).Update(first.Seconds())
	}
	m.set.GetOrCreateHistogram(fmt.Sprintf("papayaport_request_seconds{route=%q}", route)).Update(took.Seconds())
}
