package plain

import "time"

// Runs counts what a plain service ran.
type Runs struct {
	// Keys counts runs of non-idempotent requests by Idempotency-Key.
	Keys map[string]int `json:"keys"`
	// IDs counts runs of non-idempotent requests by the "id" field of their body.
	IDs map[string]int `json:"ids"`
	// Attempts counts runs of all requests by attempt id.
	Attempts map[string]int `json:"attempts"`
	// Lookups is the number of idempotent requests that ran.
	Lookups int `json:"lookups"`
	// AfterNoticeMS lists, for every run that began after a reclaim notice, the time
	// between the two in milliseconds.
	AfterNoticeMS []int64 `json:"after_notice_ms"`
}

// Faults is the misbehaviour of a plain service, set by POST /standin/faults. Every call
// replaces what was set before.
type Faults struct {
	// CloseAfterRead reads a request and ends the connection.
	CloseAfterRead bool `json:"close_after_read"`
	// RunBeforeClose runs the request before its connection ends.
	RunBeforeClose bool `json:"run_before_close"`
	// Refuse answers 503 with X-Not-Run and runs nothing.
	Refuse bool `json:"refuse"`
	// Silent reads requests and never answers.
	Silent bool `json:"silent"`
	// DelayMS is the time between reading and running a request, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// AnswerDelayMS is the time between running and answering a request, in milliseconds.
	AnswerDelayMS int64 `json:"answer_delay_ms"`
	// Times is the number of requests that are hit; 0 for all.
	Times int `json:"times"`
	// PostOnly spares requests other than POST.
	PostOnly bool `json:"post_only"`
}

// table is the state of a plain service.
type table struct {
	runs    Runs
	faults  Faults
	running int
	noticed time.Time
	leaveAt time.Time
}

func newTable() *table {
	return &table{runs: Runs{Keys: map[string]int{}, IDs: map[string]int{}, Attempts: map[string]int{}}}
}

// takeFaults returns the faults of the next request.
func (t *table) takeFaults(method string) Faults {
	if t.faults.PostOnly && method != "POST" {
		return Faults{}
	}
	faults := t.faults
	if t.faults.Times == 1 {
		t.faults = Faults{}
	}
	if t.faults.Times > 1 {
		t.faults.Times--
	}
	return faults
}

// run counts a run and returns its number for the request's id or key.
func (t *table) run(now time.Time, call Call) int {
	if !t.noticed.IsZero() {
		t.runs.AfterNoticeMS = append(t.runs.AfterNoticeMS, now.Sub(t.noticed).Milliseconds())
	}
	if call.Attempt != "" {
		t.runs.Attempts[call.Attempt]++
	}
	if call.Idempotent {
		t.runs.Lookups++
		return 1
	}
	number := 1
	if call.ID != "" {
		t.runs.IDs[call.ID]++
		number = t.runs.IDs[call.ID]
	}
	if call.Key != "" {
		t.runs.Keys[call.Key]++
		number = t.runs.Keys[call.Key]
	}
	return number
}

// reclaim announces that the instance goes after leaveIn.
func (t *table) reclaim(now time.Time, leaveIn time.Duration) {
	at := now.Add(leaveIn)
	if t.noticed.IsZero() {
		t.noticed = now
	}
	if t.leaveAt.IsZero() || at.Before(t.leaveAt) {
		t.leaveAt = at
	}
}
