package gateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"papayaport.dev/serving/request/answer"
	"papayaport.dev/serving/request/route"
)

// Metrics are the gateway's metrics.
type Metrics struct{ set *metrics.Set }

// NewMetrics returns metrics that are registered in set.
func NewMetrics(set *metrics.Set) *Metrics { return &Metrics{set: set} }

func (m *Metrics) increment(name, service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`%s{service=%q}`, name, service)).Inc()
}

func (m *Metrics) observe(name, service string, seconds float64) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`%s{service=%q}`, name, service)).Update(seconds)
}

func (m *Metrics) countRequest(service, outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`papayaport_requests_total{service=%q,outcome=%q}`, service, outcome)).Inc()
}

func (m *Metrics) countAttempt(service string)  { m.increment("papayaport_attempts_total", service) }
func (m *Metrics) countRetry(service string)    { m.increment("papayaport_retries_total", service) }
func (m *Metrics) countHandOver(service string) { m.increment("papayaport_handed_over_total", service) }

func (m *Metrics) countTakeOver(service string) { m.increment("papayaport_taken_over_total", service) }

func (m *Metrics) countMigration(service, how string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`papayaport_moves_total{service=%q,how=%q}`, service, how)).Inc()
}

func (m *Metrics) countSavedPrefix(tokens int) {
	m.set.GetOrCreateCounter("papayaport_prefixes_saved_total").Inc()
	m.set.GetOrCreateCounter("papayaport_prefix_tokens_saved_total").Add(tokens)
}

func (m *Metrics) countDroppedChunk(verdict string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`papayaport_chunks_dropped_total{verdict=%q}`, verdict)).Inc()
}

func (m *Metrics) observeFirstToken(service string, wait time.Duration) {
	m.observe("papayaport_first_token_seconds", service, wait.Seconds())
}

// observeTokenInterval records the mean time between tokens of a complete answer.
func (m *Metrics) observeTokenInterval(r *run, now time.Time, end answer.End) {
	if tokens := r.log.Tokens(); end.Err == nil && tokens > 1 {
		m.observe("papayaport_between_tokens_seconds", r.file.Name, now.Sub(r.startedAt).Seconds()/float64(tokens))
	}
}

var resultNames = map[route.Result]string{
	route.OK: "ok", route.Failed: "failed", route.Silent: "silent",
	route.Wrong: "wrong", route.Refused: "refused", route.Cancelled: "cancelled",
}

const secondsPerHour = 3600

// recordAttempt records the result and cost of an attempt, and the prompt tokens that were
// computed and those found in the cache.
func (m *Metrics) recordAttempt(service string, a *attempt, end answer.End, result route.Result, now time.Time) {
	backend := a.choice.Backend
	slots := max(1, backend.Slots)
	cost := backend.PricePerHour / secondsPerHour * now.Sub(a.startedAt).Seconds() / float64(slots)
	m.set.GetOrCreateFloatCounter(fmt.Sprintf(`papayaport_cost_dollars_total{service=%q}`, service)).Add(cost)
	m.set.GetOrCreateCounter(fmt.Sprintf(`papayaport_attempt_results_total{service=%q,result=%q}`, service, resultNames[result])).Inc()
	saved := end.Usage.CachedTokens
	m.set.GetOrCreateCounter(fmt.Sprintf(`papayaport_tokens_saved_total{service=%q}`, service)).Add(saved)
	computed := end.Usage.PromptTokens - saved
	m.set.GetOrCreateCounter(fmt.Sprintf(`papayaport_tokens_computed_total{service=%q}`, service)).Add(computed)
	if a.number > 1 {
		m.set.GetOrCreateCounter(fmt.Sprintf(`papayaport_tokens_recomputed_total{service=%q}`, service)).Add(computed)
	}
}
