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
	// keepEnded is how long an ended run stays readable for a caller that comes back.
	keepEnded = 60 * time.Second
	// keepUnread is how long a run goes on without a reader.
	keepUnread = 20 * time.Second
	// maxEnded bounds the ended runs that are kept.
	maxEnded = 2_000
)

// run is one model request with its answer, over all its attempts.
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
	chat        chat
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
	// handedTo is the peer address that holds the request now; empty while it is here.
	handedTo string
	// away tells that another entry instance has the request and its answer comes from there.
	away bool
	// target is the backend server that the next attempt should use.
	target  string
	readers int
	unread  time.Time
	ended   time.Time
	started time.Time
}

// attempt is one send of a run.
type attempt struct {
	id string
	// number counts a run's attempts from 1, those at other entry instances included.
	number  int
	choice  route.Choice
	started time.Time
	cancel  context.CancelCauseFunc
	first   atomic.Bool
}

func newRun(key string, c *call, body chat) *run {
	prompt := body.prompt()
	r := &run{
		key: key, id: c.id, file: c.file, account: c.account.Name,
		priority: c.priority, deadline: c.deadline, body: c.body,
		fingerprint: handover.Fingerprint(c.body),
		chat:        body, blocks: prefix.Blocks(prompt), promptSize: prefix.Tokens(len(prompt)),
		log: answer.Open(), assembly: answer.New(body.MaxTokens),
		started: c.received,
	}
	r.ctx, r.cancel = context.WithCancelCause(context.Background())
	return r
}

// routeRequest returns what the choice of a backend server depends on.
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

// begin notes a new attempt, unless the run went to another entry instance.
func (r *run) begin(a *attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.handedTo != "" {
		return false
	}
	r.attempts++
	r.current = a
	r.target = ""
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
	r.ended = now
	r.current = nil
	r.mu.Unlock()
	r.log.Finish(end)
	r.cancel(errEnded)
}

func (r *run) read(delta int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers += delta
	r.unread = now
}

// abandoned tells whether nobody has read the run for a while.
func (r *run) abandoned(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended.IsZero() && r.readers == 0 && !r.unread.IsZero() && now.Sub(r.unread) > keepUnread
}

// failed tells whether the run ended without a whole answer.
func (r *run) failed() bool {
	end := r.log.Ended()
	return end != nil && end.Err != nil
}

func (r *run) expired(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.ended.IsZero() && now.Sub(r.ended) > keepEnded
}

func (r *run) elsewhere() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.away
}

func (r *run) location() (*attempt, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current, r.handedTo
}

// runs holds the model requests of this entry instance, ended ones for a while.
type runs struct {
	clock  func() time.Time
	mu     sync.Mutex
	byKey  map[string]*run
	order  []*run
	forgot time.Time
}

func newRuns(clock func() time.Time) *runs {
	return &runs{clock: clock, byKey: map[string]*run{}}
}

// add holds a run, or returns the one that is held under its key already. A run that
// failed gives way.
func (s *runs) add(r *run) (held *run, added bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, found := s.byKey[r.key]; found && !known.failed() {
		return known, false
	}
	s.byKey[r.key] = r
	s.order = append(s.order, r)
	return r, true
}

func (s *runs) get(key string) (*run, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, found := s.byKey[key]
	return r, found
}

func (s *runs) remove(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byKey[r.key] == r {
		delete(s.byKey, r.key)
	}
}

// all returns the runs that have not ended.
func (s *runs) all() []*run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var open []*run
	for _, r := range s.order {
		if r.log.Ended() == nil {
			open = append(open, r)
		}
	}
	return open
}

// active returns the number of runs that are being answered here.
func (s *runs) active() int {
	count := 0
	for _, r := range s.all() {
		if !r.elsewhere() {
			count++
		}
	}
	return count
}

const forgetPeriod = time.Second

// forget drops ended runs after a while, and ends those that nobody reads.
func (s *runs) forget(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.forgot) < forgetPeriod {
		return
	}
	s.forgot = now
	excess := len(s.order) - maxEnded
	kept := s.order[:0]
	for _, r := range s.order {
		if r.abandoned(now) {
			r.cancel(errAbandoned)
		}
		drop := r.expired(now) || (excess > 0 && r.log.Ended() != nil)
		if !drop {
			kept = append(kept, r)
			continue
		}
		excess--
		if s.byKey[r.key] == r {
			delete(s.byKey, r.key)
		}
	}
	clear(s.order[len(kept):])
	s.order = kept
}

var (
	errEnded      = problem.New(problem.Internal, "the request has ended")
	errAbandoned  = problem.New(problem.DeadlineExceeded, "the caller left")
	errHandedOver = problem.New(problem.Leaving, "the request went to another instance")
)
