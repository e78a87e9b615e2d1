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

// maxCatchUp is the maximum delay that is caught up on after a pause of the process; later steps
// are scheduled from the current time.
const maxCatchUp = 100 * time.Millisecond

// Refusal is the error of a request that was not started.
type Refusal struct {
	Status int
	Reason string
}

// Error implements error.
func (r *Refusal) Error() string { return r.Reason }

// Token is one token of a job, or the marker of its end.
type Token struct {
	Job   uint64
	Index int
	Text  string
	// Usage is set only in the end marker.
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

// Model is the state of a simulated engine. It is not safe for concurrent use.
type Model struct {
	cfg        Config
	random     *rand.Rand
	cache      *cache
	events     events
	models     map[string]bool
	role       string
	fencing    uint64
	running    []*job
	queued     []*job
	lastJob    uint64
	stepEnds   time.Time
	slow       float64
	exports    map[string]Transfer
	reports    []report
	leaveAt    time.Time
	noticeTime time.Time
	totals     totals
	runs       Runs
}

// totals counts prompt tokens since the start.
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

// Submit accepts a request and returns its job id. The error of a refused one is a *Refusal.
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
		return 0, &Refusal{http.StatusBadRequest, "resume is past the end of the answer"}
	}
	m.runs.recordStart(now, m.noticeTime, c, j)
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

// resume continues the answer after a given text. As with a real model, a text that is not the
// start of the answer leads to a different continuation.
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

// admit moves queued jobs into free slots, by descending priority and then by age.
func (m *Model) admit() {
	slices.SortStableFunc(m.queued, func(a, b *job) int { return b.priority - a.priority })
	for len(m.queued) > 0 && len(m.running) < m.cfg.Slots {
		j := m.queued[0]
		m.queued = m.queued[1:]
		m.startJob(j)
		m.running = append(m.running, j)
	}
}

func (m *Model) startJob(j *job) {
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

// Next returns the end of the current step, when Advance is due; zero when idle.
func (m *Model) Next() time.Time { return m.stepEnds }

// Advance executes the steps that have ended at the time now and returns their tokens.
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
		budget = m.prefillJob(j, budget)
		if j.prefill > 0 {
			continue
		}
		out = append(out, m.nextToken(j)...)
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

// prefillJob spends a step's prefill budget, in tokens, on a job and returns the remaining budget.
func (m *Model) prefillJob(j *job, budget float64) float64 {
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

// nextToken returns a job's next token, followed by the end marker if it is the last one.
func (m *Model) nextToken(j *job) []Token {
	var out []Token
	if j.next < len(j.tokens) {
		word := j.tokens[j.next]
		out = append(out, Token{Job: j.id, Index: j.next, Text: word})
		j.text.WriteString(word)
		j.usage.CompletionTokens++
		j.next++
		m.runs.countToken(j)
	}
	if j.next < len(j.tokens) {
		return out
	}
	usage := j.usage
	m.cache.insert(j.text.String())
	m.runs.recordFinish(j)
	j.next = len(j.tokens) + 1
	return append(out, Token{Job: j.id, Index: len(j.tokens), Usage: &usage})
}

// Cancel cancels all jobs of an attempt, keeps their cache and returns their ids.
func (m *Model) Cancel(attempt string) []uint64 {
	return m.cancelMatching(func(j *job) bool { return j.attempt == attempt })
}

// CancelJob cancels one job.
func (m *Model) CancelJob(id uint64) { m.cancelMatching(func(j *job) bool { return j.id == id }) }

func (m *Model) cancelMatching(matches func(*job) bool) []uint64 {
	var cancelled []uint64
	remove := func(j *job) bool {
		if !matches(j) {
			return false
		}
		cancelled = append(cancelled, j.id)
		m.cacheProgress(j)
		m.runs.recordCancel(j)
		return true
	}
	m.running = slices.DeleteFunc(m.running, remove)
	m.queued = slices.DeleteFunc(m.queued, remove)
	m.admit()
	return cancelled
}

// cacheProgress caches the text of a job that has generated tokens.
func (m *Model) cacheProgress(j *job) {
	if j.prefill == 0 && j.usage.CompletionTokens > 0 {
		m.cache.insert(j.text.String())
	}
}

// SetSlowFactor sets the factor that multiplies the duration of all later steps.
func (m *Model) SetSlowFactor(factor float64) error {
	if factor <= 0 {
		return errors.Errorf("slow factor is %v, must be positive", factor)
	}
	m.slow = factor
	return nil
}
