package engine

import (
	"maps"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	wire "papayaport.dev/serving/connection/engine"
)

// NoNotice is the AfterNoticeMS of a run that started before any reclaim notice.
const NoNotice = -1

// Runs records the requests that an engine ran.
type Runs struct {
	// Attempts holds the runs by attempt id.
	Attempts map[string]*Run `json:"attempts"`
	// Prompts counts starts by PromptID.
	Prompts map[string]int `json:"prompts"`
}

// Run records the execution of one attempt id.
type Run struct {
	Prompt string `json:"prompt"`
	Starts int    `json:"starts"`
	// First is the index of the first requested token.
	First     int  `json:"first"`
	Tokens    int  `json:"tokens"`
	Finished  bool `json:"finished"`
	Cancelled bool `json:"cancelled"`
	// AfterNoticeMS is the time from the reclaim notice to the start of the run, in
	// milliseconds, or NoNotice.
	AfterNoticeMS int64 `json:"after_notice_ms"`
}

// PromptID returns the key of the messages' prompt in Runs.Prompts.
func PromptID(messages []wire.Message) string { return promptID(wire.Prompt(messages)) }

func promptID(prompt string) string { return strconv.FormatUint(xxhash.Sum64String(prompt), 16) }

func (r *Runs) recordStart(now, noticed time.Time, c wire.Completion, j *job) {
	run := r.run(c.Attempt)
	run.Prompt = promptID(j.prompt)
	run.Starts++
	run.First = j.next
	run.AfterNoticeMS = NoNotice
	if !noticed.IsZero() {
		run.AfterNoticeMS = now.Sub(noticed).Milliseconds()
	}
	r.Prompts[run.Prompt]++
}

func (r *Runs) run(attempt string) *Run {
	run := r.Attempts[attempt]
	if run == nil {
		run = &Run{}
		r.Attempts[attempt] = run
	}
	return run
}

func (r *Runs) countToken(j *job)   { r.run(j.attempt).Tokens++ }
func (r *Runs) recordFinish(j *job) { r.run(j.attempt).Finished = true }
func (r *Runs) recordCancel(j *job) { r.run(j.attempt).Cancelled = true }

// Runs returns a copy of the recorded runs.
func (m *Model) Runs() Runs {
	out := Runs{Attempts: make(map[string]*Run, len(m.runs.Attempts)), Prompts: maps.Clone(m.runs.Prompts)}
	for attempt, run := range m.runs.Attempts {
		copied := *run
		out.Attempts[attempt] = &copied
	}
	return out
}
