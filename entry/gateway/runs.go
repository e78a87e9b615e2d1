package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/request/answer"
	"papayaport.dev/serving/request/handover"
	"papayaport.dev/serving/request/prefix"
	"papayaport.dev/serving/request/route"
	"papayaport.dev/serving/version/service"
)

const (
	// endedRetention is how long an ended run is retained for callers that reconnect.
	endedRetention = 60 * time.Second
	// abandonTimeout is how long a run without readers continues.
	abandonTimeout = 20 * time.Second
	// maxRetainedRuns is the number of retained runs above which ended ones are removed early.
	maxRetainedRuns = 2_000
)

// run is one model request with its answer and its attempts.
type run struct {
	// key is "SERVICE/ACCOUNT/REQUEST".
	key         string
	id          string
	file        *service.File
	account     string
	priority    int
	deadline    time.Time
	body        []byte
	fingerprint uint64
	chat        chatRequest
	blocks      []prefix.Block
	promptSize  int
	log         *answer.Log
	assembly    *answer.Assembly
	ctx         context.Context
	cancel      context.CancelCauseFunc

	mu       sync.Mutex
	attempts int
	excluded []string
	current  *attempt
	// holderAddress is the peer address of the run's holder; empty while this instance holds it.
	holderAddress string
	// remote is set once another entry instance holds the run and its answer is mirrored.
	remote bool
	// nextBackend is the id of the backend server preferred for the next attempt.
	nextBackend string
	readers     int
	// readersChangedAt is when a reader last attached or detached.
	readersChangedAt time.Time
	endedAt          time.Time
	startedAt        time.Time
}

// attempt is one attempt of a run at a backend server.
type attempt struct {
	id string
	// number counts a run's attempts from 1, including those made by other entry instances.
	number         int
	choice         route.Choice
	startedAt      time.Time
	cancel         context.CancelCauseFunc
	firstTokenSeen atomic.Bool
}

func newRun(key string, c *call, body chatRequest) *run {
	prompt := body.prompt()
	r := &run{
		key: key, id: c.id, file: c.file, account: c.account.Name,
		priority: c.priority, deadline: c.deadline, body: c.body,
		fingerprint: handover.Fingerprint(c.body),
		chat:        body, blocks: prefix.Blocks(prompt), promptSize: prefix.Tokens(len(prompt)),
		log: answer.NewLog(), assembly: answer.New(body.MaxTokens),
		startedAt: c.received,
	}
	r.ctx, r.cancel = context.WithCancelCause(context.Background())
	return r
}

// routeRequest returns the routing input for the next attempt.
func (r *run) routeRequest() route.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return route.Request{
		Service: r.file.Name, Blocks: r.blocks,
		PromptTokens: r.promptSize + r.log.Tokens(),
		AnswerTokens: max(1, r.chat.MaxTokens-r.log.Tokens()),
		Priority:     r.priority, Deadline: r.deadline,
		Target: r.file.LatencyTarget, Exclude: r.excluded,
	}
}

func (r *run) completion(id string) engine.Completion {
	completion := engine.Completion{
		Model: r.file.Model.Name, Messages: r.chat.Messages, MaxTokens: r.chat.MaxTokens,
		Stream: true, Priority: r.priority, Attempt: id,
	}
	if text, tokens := r.log.Text(); tokens > 0 {
		completion.Resume = &engine.Resume{Text: text, Tokens: tokens}
	}
	return completion
}

// beginAttempt registers a new attempt. It returns false if the run is being handed over.
func (r *run) beginAttempt(a *attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holderAddress != "" {
		return false
	}
	r.attempts++
	r.current = a
	r.nextBackend = ""
	return true
}

func (r *run) exclude(backend string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current = nil
	r.excluded = append(r.excluded, backend)
}

func (r *run) finish(now time.Time, end answer.End) {
	r.mu.Lock()
	r.endedAt = now
	r.current = nil
	r.mu.Unlock()
	r.log.Finish(end)
	r.cancel(errEnded)
}

func (r *run) addReaders(delta int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers += delta
	r.readersChangedAt = now
}

// abandoned reports whether an unfinished run has had no reader for abandonTimeout.
func (r *run) abandoned(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endedAt.IsZero() && r.readers == 0 && !r.readersChangedAt.IsZero() && now.Sub(r.readersChangedAt) > abandonTimeout
}

// failed reports whether the run ended without a complete answer.
func (r *run) failed() bool {
	end := r.log.Ended()
	return end != nil && end.Err != nil
}

func (r *run) expired(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.endedAt.IsZero() && now.Sub(r.endedAt) > endedRetention
}

func (r *run) isRemote() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.remote
}

func (r *run) location() (*attempt, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current, r.holderAddress
}

// runTable holds the unfinished and the recently ended model requests of this entry instance.
type runTable struct {
	clock     func() time.Time
	mu        sync.Mutex
	byKey     map[string]*run
	order     []*run
	expiredAt time.Time
}

func newRunTable(clock func() time.Time) *runTable {
	return &runTable{clock: clock, byKey: map[string]*run{}}
}

// add stores a run, or returns the one that is already stored under its key. A failed run
// is replaced.
func (t *runTable) add(r *run) (stored *run, added bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if existing, found := t.byKey[r.key]; found && !existing.failed() {
		return existing, false
	}
	t.byKey[r.key] = r
	t.order = append(t.order, r)
	return r, true
}

func (t *runTable) get(key string) (*run, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, found := t.byKey[key]
	return r, found
}

func (t *runTable) remove(r *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byKey[r.key] == r {
		delete(t.byKey, r.key)
	}
}

// unfinished returns the unfinished runs.
func (t *runTable) unfinished() []*run {
	t.mu.Lock()
	defer t.mu.Unlock()
	var open []*run
	for _, r := range t.order {
		if r.log.Ended() == nil {
			open = append(open, r)
		}
	}
	return open
}

// countLocal returns the number of unfinished runs that are not mirrored from a peer.
func (t *runTable) countLocal() int {
	count := 0
	for _, r := range t.unfinished() {
		if !r.isRemote() {
			count++
		}
	}
	return count
}

const expiryPeriod = time.Second

// expire removes expired runs and cancels abandoned ones.
func (t *runTable) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.expiredAt) < expiryPeriod {
		return
	}
	t.expiredAt = now
	excess := len(t.order) - maxRetainedRuns
	retained := t.order[:0]
	for _, r := range t.order {
		if r.abandoned(now) {
			r.cancel(errAbandoned)
		}
		drop := r.expired(now) || (excess > 0 && r.log.Ended() != nil)
		if !drop {
			retained = append(retained, r)
			continue
		}
		excess--
		if t.byKey[r.key] == r {
			delete(t.byKey, r.key)
		}
	}
	clear(t.order[len(retained):])
	t.order = retained
}

var (
	errEnded      = problem.New(problem.Internal, "the request has ended")
	errAbandoned  = problem.New(problem.DeadlineExceeded, "the caller left")
	errHandedOver = problem.New(problem.Leaving, "the request was handed over to another instance")
)
