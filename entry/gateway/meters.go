package gateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"papayaport.dev/serving/request/answer"
	"papayaport.dev/serving/request/route"
)

// Meters counts what the gateway does, in one metrics set.
type Meters struct{ set *metrics.Set }

// NewMeters returns meters that register in set.
func NewMeters(set *metrics.Set) *Meters { return &Meters{set: set} }

func (m *Meters) count(name, service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`%s{service=%q}`, name, service)).Inc()
}

func (m *Meters) observe(name, service string, seconds float64) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`%s{service=%q}`, name, service)).Update(seconds)
}

func (m *Meters) answered(service, outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`papayaport_requests_total{service=%q,outcome=%q}`, service, outcome)).Inc()
}

func (m *Meters) attempted(service string)  { m.count("papayaport_attempts_total", service) }
func (m *Meters) retried(service string)    { m.count("papayaport_retries_total", service) }
func (m *Meters) handedOver(service string) { m.count("papayaport_handed_over_total", service) }
func (m *Meters) takenOver(service string)  { m.count("papayaport_taken_over_total", service) }

func (m *Meters) moved(service, how string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`papayaport_moves_total{service=%q,how=%q}`, service, how)).Inc()
}

func (m *Meters) prefixSaved(tokens int) {
	m.set.GetOrCreateCounter("papayaport_prefixes_saved_total").Inc()
	m.set.GetOrCreateCounter("papayaport_prefix_tokens_saved_total").Add(tokens)
}

func (m *Meters) dropped(verdict string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`papayaport_chunks_dropped_total{verdict=%q}`, verdict)).Inc()
}

func (m *Meters) firstToken(service string, wait time.Duration) {
	m.observe("papayaport_first_token_seconds", service, wait.Seconds())
}

// finished notes a run's end.
func (m *Meters) finished(r *run, now time.Time, end answer.End) {
	if tokens := r.log.Tokens(); end.Err == nil && tokens > 1 {
		m.observe("papayaport_between_tokens_seconds", r.file.Name, now.Sub(r.started).Seconds()/float64(tokens))
	}
}

var resultNames = map[route.Result]string{
	route.OK: "ok", route.Failed: "failed", route.Silent: "silent",
	route.Wrong: "wrong", route.Refused: "refused", route.Cancelled: "cancelled",
}

const secondsPerHour = 3600

// settled notes an attempt's end: its result, cost and the tokens computed and saved.
func (m *Meters) settled(service string, a *attempt, end answer.End, result route.Result, now time.Time) {
	backend := a.choice.Backend
	slots := max(1, backend.Slots)
	cost := backend.PricePerHour / secondsPerHour * now.Sub(a.started).Seconds() / float64(slots)
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
