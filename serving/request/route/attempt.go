package route

import (
	"sort"
	"time"

	"papayaport.dev/serving/request/prefix"
)

// attempt is one request sent to one backend server and not finished.
type attempt struct {
	backend   *backend
	sentAt    moment
	lastToken moment
	estimated time.Duration
	// prefill is the number of prompt tokens that count as waiting at the server.
	prefill int
	// answer is the number of answer tokens that may still come.
	answer  int
	ahead   ahead
	started bool
}

// maxSpare bounds the finished attempts that are kept for reuse.
const maxSpare = 1024

// Sent notes that an attempt went out to the chosen backend server, which will hold the
// prompt's blocks from now on. An attempt id that is in use already is ignored.
func (t *Table) Sent(now time.Time, id string, choice Choice, request Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.backends[choice.Backend.ID]
	if b == nil || b.Incarnation != choice.Backend.Incarnation || t.attempts[id] != nil {
		return
	}
	a := t.takeAttempt()
	*a = attempt{
		backend:   b,
		sentAt:    at(now),
		estimated: choice.mean,
		ahead:     choice.ahead,
		prefill:   max(request.PromptTokens-choice.CachedTokens, 0),
		answer:    max(request.AnswerTokens, 0),
	}
	t.attempts[id] = a
	if b.own.inFlight == 0 {
		b.health.progress = a.sentAt
	}
	b.own.inFlight++
	b.own.prefill += a.prefill
	b.ownAnswer += a.answer
	if b.reported {
		b.unsettled.send(a.sentAt, a.prefill)
	}
	if t.parts.prefix {
		b.group.known.storeAll(request.Blocks, b.column)
		b.group.hit(a.sentAt, request.Blocks)
	}
}

// takeAttempt returns an attempt record.
func (t *Table) takeAttempt() *attempt {
	last := len(t.spare) - 1
	if last < 0 {
		return &attempt{}
	}
	a := t.spare[last]
	t.spare = t.spare[:last]
	return a
}

// FirstToken notes the first token of an attempt and the prompt tokens that the server
// had cached, below 0 when it didn't say.
func (t *Table) FirstToken(now time.Time, id string, _ int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.attempts[id]
	if a == nil || a.started {
		return
	}
	a.start()
	a.countToken()
	a.lastToken = at(now)
	a.backend.health.progress = a.lastToken
	a.observe(a.lastToken)
	a.learnRate(a.lastToken)
}

// observe compares the time to the first token with its estimate, if there was one.
func (a *attempt) observe(now moment) {
	if a.estimated > 0 {
		difference := a.backend.observed.add(now, now.since(a.sentAt)-a.estimated)
		a.backend.group.errors.add(now, difference)
	}
}

// start ends the prefill of an attempt.
func (a *attempt) start() {
	if a.started {
		return
	}
	a.started = true
	a.backend.own.prefill -= a.prefill
}

// countToken notes that one token less is to come.
func (a *attempt) countToken() {
	if a.answer > 0 {
		a.answer--
		a.backend.ownAnswer--
	}
}

// Token notes a further token of an attempt.
func (t *Table) Token(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.attempts[id]
	if a == nil {
		return
	}
	a.countToken()
	last := a.lastToken
	a.lastToken = at(now)
	a.backend.health.progress = a.lastToken
	if a.started {
		a.backend.observed.addBetween(a.lastToken.since(last))
	}
}

// Done notes the end of an attempt and the prompt tokens that the server computed,
// below 0 when it didn't say.
func (t *Table) Done(now time.Time, id string, result Result, _ int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.attempts[id]
	if a == nil {
		return
	}
	delete(t.attempts, id)
	b, ended := a.backend, at(now)
	if !a.started && result == OK {
		a.observe(ended)
	}
	a.start()
	b.own.inFlight--
	b.ownAnswer -= a.answer
	if b.reported {
		b.unsettled.finish(ended)
	}
	b.health.progress = ended
	b.health.add(ended, result, t.random)
	if len(t.spare) < maxSpare {
		t.spare = append(t.spare, a)
	}
}

// Stored notes that a backend server took over the cached work of a whole chain.
func (t *Table) Stored(id string, blocks []prefix.Block) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.backends[id]; b != nil && t.parts.prefix {
		b.group.known.storeAll(blocks, b.column)
	}
}

// OnBackend returns the ids of the attempts on the known incarnation of a backend server,
// in order.
func (t *Table) OnBackend(id string) []string {
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
