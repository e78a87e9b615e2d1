package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"papayaport.dev/serving/process/problem"
	"papayaport.dev/standin/caller"

	"github.com/pkg/errors"
)

// Report summarizes the outcomes of a run.
type Report struct {
	Requests int `json:"requests"`
	// Whole counts complete and correct answers, and Wrong complete ones with a wrong text.
	Whole int `json:"whole"`
	Wrong int `json:"wrong"`
	// Met counts requests that met the latency target.
	Met int `json:"met"`
	// Refused counts problem documents by kind, and Broken all other failures.
	Refused map[problem.Kind]int `json:"refused,omitempty"`
	Broken  int                  `json:"broken"`
	// FirstBroken is the message of the first other failure.
	FirstBroken   string  `json:"first_broken,omitempty"`
	FirstToken    Summary `json:"first_token_ms"`
	BetweenTokens Summary `json:"between_tokens_ms"`
	PromptTokens  int     `json:"prompt_tokens"`
	CachedTokens  int     `json:"cached_tokens"`
}

// Summary holds quantiles and the maximum in milliseconds.
type Summary struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Range of the histograms in microseconds, and their number of significant figures.
const (
	minMicros          = 1
	maxMicros          = int64(2 * time.Minute / time.Microsecond)
	significantFigures = 3
)

// Summarize returns the report of outcomes for latency targets in milliseconds.
func Summarize(outcomes []Outcome, firstTokenMS, betweenTokensMS float64) Report {
	r := Report{Requests: len(outcomes), Refused: map[problem.Kind]int{}}
	first := hdrhistogram.New(minMicros, maxMicros, significantFigures)
	between := hdrhistogram.New(minMicros, maxMicros, significantFigures)
	for i := range outcomes {
		o := &outcomes[i]
		r.count(o)
		if o.Met(firstTokenMS, betweenTokensMS) {
			r.Met++
		}
		if o.FirstToken > 0 {
			record(first, o.FirstToken)
		}
		for _, b := range o.Between {
			record(between, b)
		}
	}
	r.FirstToken, r.BetweenTokens = summarize(first), summarize(between)
	return r
}

// count adds the outcome of one request to the counters.
func (r *Report) count(o *Outcome) {
	var refused *caller.Refusal
	switch {
	case errors.As(o.Err, &refused):
		r.Refused[refused.Kind]++
	case o.Err != nil:
		r.Broken++
		if r.FirstBroken == "" {
			r.FirstBroken = o.Err.Error()
		}
	case o.Correct:
		r.Whole++
	default:
		r.Wrong++
	}
	if o.Usage != nil {
		r.PromptTokens += o.Usage.PromptTokens
		r.CachedTokens += o.Usage.CachedTokens
	}
}

// record adds a time, clamped to the range of the histogram.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

func summarize(h *hdrhistogram.Histogram) Summary {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Summary{P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}
