package engine

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	wire "papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/request/prefix"
)

// maxCatchUp bounds the steps that are made up for after a pause of the process.
const maxCatchUp = 100 * time.Millisecond

// Refusal is an answer to a request that did not start.
type Refusal struct {
	Status int
	Reason string
}

// Error implements error.
func (r *Refusal) Error() string { return r.Reason }

// Token is one token of a job, or its end.
type Token struct {
	Job   uint64
	Index int
	Text  string
	// Usage is set at the end.
	Usage *wire.Usage
}

// job is one accepted request.
type job struct {
	id       uint64
	attempt  string
	model    string
	priority int
	prompt   string
	text     strings.Builder
	tokens   []string
	next     int
	resumed  bool
	prefill  float64
	usage    wire.Usage
}

// Model is the state of an engine without its listener. It is not safe for concurrent use.
type Model struct {
	cfg      Config
	random   *rand.Rand
	cache    *cache
	events   events
	models   map[string]bool
	role     string
	fencing  uint64
	running  []*job
	queued   []*job
	lastJob  uint64
	stepEnds time.Time
	slow     float64
	exports  map[string]Transfer
	reports  []report
	leaveAt  time.Time
	noticed  time.Time
	totals   totals
	runs     Runs
}

// totals counts tokens since the start.
type totals struct{ computed, recomputed, cached int64 }

// New returns an idle engine.
func New(cfg Config) *Model {
	m := &Model{
		cfg:     cfg,
		random:  rand.New(rand.NewPCG(cfg.Seed, 1)),
		models:  map[string]bool{},
		slow:    1,
		exports: map[string]Transfer{},
		runs:    Runs{Attempts: map[string]*Run{}, Prompts: map[string]int{}},
	}
	m.cache = newCache(cfg.CacheTokens, m.record)
	for _, name := range cfg.Models {
		m.models[name] = true
	}
	return m
}

// Submit accepts a request and returns its job.
func (m *Model) Submit(now time.Time, c wire.Completion) (uint64, error) {
	if len(c.Messages) == 0 {
		return 0, &Refusal{http.StatusBadRequest, "messages are missing"}
	}
	if len(m.models) > 0 && !m.models[c.Model] {
		return 0, &Refusal{http.StatusServiceUnavailable, "model " + c.Model + " is not loaded"}
	}
	m.lastJob++
	j := newJob(m.lastJob, c)
	if j.next > len(j.tokens) {
		return 0, &Refusal{http.StatusBadRequest, "resume is behind the end of the answer"}
	}
	m.runs.start(now, m.noticed, c, j)
	m.queued = append(m.queued, j)
	m.admit()
	m.schedule(now)
	return j.id, nil
}

func newJob(id uint64, c wire.Completion) *job {
	j := &job{id: id, attempt: c.Attempt, model: c.Model, priority: c.Priority, prompt: wire.Prompt(c.Messages)}
	j.tokens = answer(c.Model, j.prompt, c.MaxTokens)
	j.text.WriteString(j.prompt)
	j.usage.PromptTokens = prefix.Tokens(len(j.prompt))
	if c.Resume != nil {
		j.resume(*c.Resume)
	}
	return j
}

// resume continues behind a text. A text that is not the start of the answer leads to
// another answer, as it would with a model.
func (j *job) resume(r wire.Resume) {
	j.resumed = r.Tokens > 0
	j.next = r.Tokens
	j.text.WriteString(r.Text)
	if r.Tokens > len(j.tokens) || Text(j.tokens[:r.Tokens]) == r.Text {
		return
	}
	for i, other := range answer(j.model, j.text.String(), len(j.tokens)) {
		if i >= r.Tokens {
			j.tokens[i] = " " + strings.TrimSpace(other)
		}
	}
}

// admit moves waiting jobs into free slots, highest priority and oldest first.
func (m *Model) admit() {
	slices.SortStableFunc(m.queued, func(a, b *job) int { return b.priority - a.priority })
	for len(m.queued) > 0 && len(m.running) < m.cfg.Slots {
		j := m.queued[0]
		m.queued = m.queued[1:]
		m.begin(j)
		m.running = append(m.running, j)
	}
}

func (m *Model) begin(j *job) {
	text := j.text.String()
	cached := m.cache.lookup(text)
	left := max(0, prefix.Tokens(len(text))-cached)
	j.usage.CachedTokens = cached
	j.prefill = float64(left)
	m.totals.cached += int64(cached)
	m.totals.computed += int64(left)
	if j.resumed {
		m.totals.recomputed += int64(left)
		return
	}
	m.totals.recomputed += int64(min(left, m.cache.computedBefore(text, cached)))
}

func (m *Model) schedule(now time.Time) {
	if m.stepEnds.IsZero() && len(m.running) > 0 {
		m.stepEnds = now.Add(m.stepTime())
	}
}

func (m *Model) stepTime() time.Duration { return m.cfg.stepTime(len(m.running), m.slow) }

// Next returns when Advance has something to do, zero when idle.
func (m *Model) Next() time.Time { return m.stepEnds }

// Advance makes the steps that ended by now and returns their tokens.
func (m *Model) Advance(now time.Time) []Token {
	var out []Token
	for !m.stepEnds.IsZero() && !m.stepEnds.After(now) {
		out = append(out, m.step()...)
		if now.Sub(m.stepEnds) > maxCatchUp && !m.stepEnds.IsZero() {
			m.stepEnds = now
		}
	}
	return out
}

func (m *Model) step() []Token {
	took := m.stepTime()
	budget := m.cfg.PrefillPerSecond / m.slow * took.Seconds()
	var out []Token
	for _, j := range m.running {
		budget = m.compute(j, budget)
		if j.prefill > 0 {
			continue
		}
		out = append(out, m.emit(j)...)
	}
	m.running = slices.DeleteFunc(m.running, func(j *job) bool { return j.next > len(j.tokens) })
	m.admit()
	if len(m.running) == 0 {
		m.stepEnds = time.Time{}
		return out
	}
	m.stepEnds = m.stepEnds.Add(m.stepTime())
	return out
}

// compute spends a step's prefill budget on a job and returns the rest.
func (m *Model) compute(j *job, budget float64) float64 {
	if j.prefill <= 0 {
		return budget
	}
	spent := min(budget, j.prefill)
	j.prefill -= spent
	if j.prefill < 0.5 {
		j.prefill = 0
		m.cache.insert(j.text.String())
	}
	return budget - spent
}

// emit returns a job's next token, and its end behind the last one.
func (m *Model) emit(j *job) []Token {
	var out []Token
	if j.next < len(j.tokens) {
		word := j.tokens[j.next]
		out = append(out, Token{Job: j.id, Index: j.next, Text: word})
		j.text.WriteString(word)
		j.usage.CompletionTokens++
		j.next++
		m.runs.token(j)
	}
	if j.next < len(j.tokens) {
		return out
	}
	usage := j.usage
	m.cache.insert(j.text.String())
	m.runs.finish(j)
	j.next = len(j.tokens) + 1
	return append(out, Token{Job: j.id, Index: len(j.tokens), Usage: &usage})
}

// Cancel ends all jobs of an attempt and keeps their cache. It returns the ended jobs.
func (m *Model) Cancel(attempt string) []uint64 {
	return m.drop(func(j *job) bool { return j.attempt == attempt })
}

// CancelJob ends one job.
func (m *Model) CancelJob(id uint64) { m.drop(func(j *job) bool { return j.id == id }) }

func (m *Model) drop(matches func(*job) bool) []uint64 {
	var ended []uint64
	remove := func(j *job) bool {
		if !matches(j) {
			return false
		}
		ended = append(ended, j.id)
		m.keep(j)
		m.runs.cancel(j)
		return true
	}
	m.running = slices.DeleteFunc(m.running, remove)
	m.queued = slices.DeleteFunc(m.queued, remove)
	m.admit()
	return ended
}

// keep stores the cache of a job whose prompt is computed.
func (m *Model) keep(j *job) {
	if j.prefill == 0 && j.usage.CompletionTokens > 0 {
		m.cache.insert(j.text.String())
	}
}

// Slow multiplies the time of all steps from now on.
func (m *Model) Slow(factor float64) error {
	if factor <= 0 {
		return errors.Errorf("slow factor is %v, must be positive", factor)
	}
	m.slow = factor
	return nil
}
