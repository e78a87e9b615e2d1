package relay

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"papayaport.dev/serving/connection/event"
	"papayaport.dev/serving/connection/memorybudget"
	"papayaport.dev/serving/connection/upstream"
)

// Metrics holds the metrics of requests and attempts.
type Metrics struct{ set *metrics.Set }

// NewMetrics returns metrics that are registered in set.
func NewMetrics(set *metrics.Set) *Metrics { return &Metrics{set: set} }

func (m *Metrics) attempt(service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("papayaport_attempts_total{service=%q}", service)).Inc()
}

// responseOverLimit counts a response that was aborted because it exceeded a size or memory
// limit. Other errors are not counted.
func (m *Metrics) responseOverLimit(service string, err error) {
	bound := ""
	switch {
	case errors.Is(err, upstream.ErrHeadTooLarge):
		bound = "head"
	case errors.Is(err, memorybudget.ErrTooLarge):
		bound = "body"
	case errors.Is(err, event.ErrTooLarge):
		bound = "event"
	case errors.Is(err, memorybudget.ErrNoMemory), errors.Is(err, event.ErrNoMemory):
		bound = "memory"
	default:
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("papayaport_answers_past_a_bound_total{service=%q,bound=%q}", service, bound)).Inc()
}

// withheld counts a request that was not sent because its server no longer accepted requests
// when a connection was available.
func (m *Metrics) withheld(service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("papayaport_withheld_total{service=%q}", service)).Inc()
}

func (m *Metrics) request(service, route string, status int, kind string, first, took time.Duration) {
	if kind == "" {
		kind = "ok"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("papayaport_requests_total{service=%q,status=\"%d\",kind=%q}", service, status, kind)).Inc()
	if first > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf("papayaport_first_byte_seconds{route=%q}", route)).Update(first.Seconds())
	}
	m.set.GetOrCreateHistogram(fmt.Sprintf("papayaport_request_seconds{route=%q}", route)).Update(took.Seconds())
}
