package route

import (
	"sort"
	"time"

	"papayaport.dev/serving/request/prefix"
)

// attempt is a request in flight at a backend server.
type attempt struct {
	backend   *backend
	sentAt    monotime
	lastToken monotime
	estimated time.Duration
	// prefill is the number of prompt tokens that count as queued at the server.
	prefill int
	// answer is the number of answer tokens still expected.
	answer      int
	pendingWork pendingWork
	started     bool
}

// maxFreeAttempts limits the finished attempts that are kept for reuse.
const maxFreeAttempts = 1024

// Sent records that an attempt was sent to the selected backend server, and that the server will
// have the prompt's blocks cached. An attempt id that is already in use is ignored.
func (t *Table) Sent(now time.Time, id string, choice Choice, request Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.backends[choice.Backend.ID]
	if b == nil || b.Incarnation != choice.Backend.Incarnation || t.attempts[id] != nil {
		return
	}
	a := t.newAttempt()
	*a = attempt{
		backend:     b,
		sentAt:      toMonotime(now),
		estimated:   choice.mean,
		pendingWork: choice.pendingWork,
		prefill:     max(request.PromptTokens-choice.CachedTokens, 0),
		answer:      max(request.AnswerTokens, 0),
	}
	t.attempts[id] = a
	if b.ownLoad.inFlight == 0 {
		b.health.lastProgress = a.sentAt
	}
	b.ownLoad.inFlight++
	b.ownLoad.prefill += a.prefill
	b.ownAnswerTokens += a.answer
	if b.reported {
		b.unsettled.addSend(a.sentAt, a.prefill)
	}
	if t.features.prefix {
		b.group.cache.storeChain(request.Blocks, b.column)
		b.group.countHit(a.sentAt, request.Blocks)
	}
}

// newAttempt returns a reused or new attempt.
func (t *Table) newAttempt() *attempt {
	last := len(t.freeAttempts) - 1
	if last < 0 {
		return &attempt{}
	}
	a := t.freeAttempts[last]
	t.freeAttempts = t.freeAttempts[:last]
	return a
}

// FirstToken records the first token of an attempt. The number of prompt tokens that the server had
// cached, negative when it is not known, is not used.
func (t *Table) FirstToken(now time.Time, id string, _ int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.attempts[id]
	if a == nil || a.started {
		return
	}
	a.start()
	a.countToken()
	a.lastToken = toMonotime(now)
	a.backend.health.lastProgress = a.lastToken
	a.observe(a.lastToken)
	a.learnRate(a.lastToken)
}

// observe compares the time to the first token with its estimate, if there is one.
func (a *attempt) observe(now monotime) {
	if a.estimated > 0 {
		difference := a.backend.observedLatency.add(now, now.since(a.sentAt)-a.estimated)
		a.backend.group.errors.add(now, difference)
	}
}

// start marks the prefill of an attempt as finished.
func (a *attempt) start() {
	if a.started {
		return
	}
	a.started = true
	a.backend.ownLoad.prefill -= a.prefill
}

// countToken subtracts one token from those still expected.
func (a *attempt) countToken() {
	if a.answer > 0 {
		a.answer--
		a.backend.ownAnswerTokens--
	}
}

// Token records a further token of an attempt.
func (t *Table) Token(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.attempts[id]
	if a == nil {
		return
	}
	a.countToken()
	last := a.lastToken
	a.lastToken = toMonotime(now)
	a.backend.health.lastProgress = a.lastToken
	if a.started {
		a.backend.observedLatency.addBetween(a.lastToken.since(last))
	}
}

// Done records the end of an attempt. The number of prompt tokens that the server computed,
// negative when it is not known, is not used.
func (t *Table) Done(now time.Time, id string, result Result, _ int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.attempts[id]
	if a == nil {
		return
	}
	delete(t.attempts, id)
	b, ended := a.backend, toMonotime(now)
	if !a.started && result == OK {
		a.observe(ended)
	}
	a.start()
	b.ownLoad.inFlight--
	b.ownAnswerTokens -= a.answer
	if b.reported {
		b.unsettled.addFinish(ended)
	}
	b.health.lastProgress = ended
	b.health.add(ended, result, t.random)
	if len(t.freeAttempts) < maxFreeAttempts {
		t.freeAttempts = append(t.freeAttempts, a)
	}
}

// MarkCached records that the cache entries of a whole chain were transferred to a backend server.
func (t *Table) MarkCached(id string, blocks []prefix.Block) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.backends[id]; b != nil && t.features.prefix {
		b.group.cache.storeChain(blocks, b.column)
	}
}

// AttemptsAt returns the sorted ids of the attempts in flight at the known incarnation of a backend
// server.
func (t *Table) AttemptsAt(id string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.backends[id]
	var ids []string
	for attemptID, a := range t.attempts {
		if b != nil && a.backend == b {
			ids = append(ids, attemptID)
		}
	}
	sort.Strings(ids)
	return ids
}
