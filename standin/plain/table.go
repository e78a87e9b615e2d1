package plain

import "time"

// Runs counts the requests that a plain service ran.
type Runs struct {
	// Keys counts runs of non-idempotent requests by Idempotency-Key.
	Keys map[string]int `json:"keys"`
	// IDs counts runs of non-idempotent requests by the "id" field of their body.
	IDs map[string]int `json:"ids"`
	// Attempts counts runs of all requests by attempt id.
	Attempts map[string]int `json:"attempts"`
	// Lookups is the number of idempotent requests that ran.
	Lookups int `json:"lookups"`
	// AfterNoticeMS holds, for every run that started after a reclaim notice, the time between the
	// two in milliseconds.
	AfterNoticeMS []int64 `json:"after_notice_ms"`
}

// Faults are the faults that a plain service injects, set by POST /standin/faults. Every call
// replaces all previous faults.
type Faults struct {
	// CloseAfterRead reads a request and closes the connection without an answer.
	CloseAfterRead bool `json:"close_after_read"`
	// RunBeforeClose runs the request before CloseAfterRead closes its connection.
	RunBeforeClose bool `json:"run_before_close"`
	// Refuse answers with status 503 and X-Not-Run without running the request.
	Refuse bool `json:"refuse"`
	// Silent reads requests, and neither runs nor answers them.
	Silent bool `json:"silent"`
	// DelayMS is the time between reading and running a request, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// AnswerDelayMS is the time between running and answering a request, in milliseconds.
	AnswerDelayMS int64 `json:"answer_delay_ms"`
	// Times is the number of requests that are affected; 0 for all.
	Times int `json:"times"`
	// PostOnly limits the faults to POST requests.
	PostOnly bool `json:"post_only"`
}

// table is the state of a plain service.
type table struct {
	runs       Runs
	faults     Faults
	running    int
	noticeTime time.Time
	leaveAt    time.Time
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

// countRun counts a run and returns its ordinal for the request's key or id.
func (t *table) countRun(now time.Time, call Call) int {
	if !t.noticeTime.IsZero() {
		t.runs.AfterNoticeMS = append(t.runs.AfterNoticeMS, now.Sub(t.noticeTime).Milliseconds())
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

// reclaim announces that the instance is reclaimed after leaveIn. A later notice replaces an
// earlier one only if its time is earlier.
func (t *table) reclaim(now time.Time, leaveIn time.Duration) {
	at := now.Add(leaveIn)
	if t.noticeTime.IsZero() {
		t.noticeTime = now
	}
	if t.leaveAt.IsZero() || at.Before(t.leaveAt) {
		t.leaveAt = at
	}
}
