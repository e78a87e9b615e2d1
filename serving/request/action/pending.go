package action

import (
	"time"

	"papayaport.dev/serving/process/problem"
)

// waitState is the event that a pending claim waits for.
type waitState uint8

const (
	// writing waits for the claim to be written into its page.
	writing waitState = iota
	// awaiting waits for the answer of another claim on the same key.
	awaiting
	// rechecking waits for a read of the page after the query to the other claim's holder failed.
	rechecking
)

// pending is a claim that is not resolved yet.
type pending struct {
	claim    Claim
	key      key
	window   time.Duration
	nonce    uint64
	deadline time.Time
	state    waitState
	replaces ClaimID
	// target is the record of the claim that is awaited.
	target Record
	// ownerGone is set if the holder of target has exited.
	ownerGone bool
	// unseenSince is when the holder of target was first missing from the live members.
	unseenSince time.Time
	retryAt     time.Time

	// pollAt is the latest time at which the other members are queried about the key. They are
	// queried earlier if a swap with the claim fails.
	pollAt  time.Time
	polling bool
	// ruledOut contains the members that replied NoClaim.
	ruledOut map[Member]bool
}

func (p *pending) record(owner Member) Record {
	return Record{Hash: p.key.hash, Owner: owner, Nonce: p.nonce, Fingerprint: p.claim.Fingerprint}
}

// Claim starts a claim whose caller waits until deadline. The returned nonce identifies the
// claim in Resolve orders.
func (t *Table) Claim(now time.Time, c Claim, deadline time.Time) (uint64, []Order) {
	nonce := t.newNonce()
	t.startClaim(now, nonce, c, deadline)
	return nonce, t.takeOrders()
}

func (t *Table) startClaim(now time.Time, nonce uint64, c Claim, deadline time.Time) {
	parsed, err := parseKey(c)
	window := min(c.Window, t.settings.Retention)
	if err == nil {
		err = parsed.checkAge(now, window, t.settings.Skew)
	}
	if err == nil && len(t.pending) >= t.settings.MaxWaiting {
		err = problem.New(problem.QueueFull, "%d claims wait already", len(t.pending)).WithOutcome(problem.Unknown)
	}
	if err != nil {
		t.addOrder(Resolve{Claim: nonce, Err: err})
		return
	}
	p := &pending{claim: c, key: parsed, window: window, nonce: nonce, deadline: deadline}
	p.pollAt = deadline.Add(-min(2*t.settings.PeerTimeout, deadline.Sub(now)/2))
	t.pending[nonce] = p
	t.pendingPerKey[parsed.hash]++
	t.resolveLocally(now, p)
}

// resolveLocally resolves a claim from local state if possible, and otherwise writes it.
func (t *Table) resolveLocally(now time.Time, p *pending) {
	if own := t.granted[t.latestNonce[p.key.hash]]; own != nil && own.record.Outcome != NotRun {
		t.decide(now, p, own.record)
		return
	}
	if record, found := t.page(p.key.page).records[p.key.hash]; found {
		t.decide(now, p, record)
		return
	}
	t.write(now, p)
}

func (t *Table) write(now time.Time, p *pending) {
	p.state = writing
	p.retryAt = time.Time{}
	t.submit(now, p.key.page, &change{record: p.record(t.self.Member()), replaces: p.replaces, due: now})
}

// decide grants, resolves or continues a claim according to the current record of its key.
func (t *Table) decide(now time.Time, p *pending, record Record) {
	if record.Fingerprint != p.claim.Fingerprint {
		t.end(now, p, nil, problem.New(problem.KeyConflict, "the key was used for another request"))
		return
	}
	switch record.Outcome {
	case Claimed:
		t.decideClaimed(now, p, record)
	case Done:
		t.decideDone(now, p, record)
	case Unknown:
		t.end(now, p, nil, answerLost())
	case NotRun:
		t.write(now, p)
	}
}

func (t *Table) decideClaimed(now time.Time, p *pending, record Record) {
	switch {
	case record.id() == p.record(t.self.Member()).id():
		t.grant(now, p)
	case record.id() == p.replaces:
		t.write(now, p)
	default:
		t.await(now, p, record)
	}
}

func (t *Table) decideDone(now time.Time, p *pending, record Record) {
	if record.Answer != nil {
		t.end(now, p, record.Answer, nil)
		return
	}
	t.await(now, p, record)
}

// grant makes the caller the holder of its key, unless the key has expired in the meantime:
// its page may then have been deleted, so nothing would prevent a repeat from running.
func (t *Table) grant(now time.Time, p *pending) {
	t.removePending(p)
	h := t.addGranted(p)
	if err := p.key.checkAge(now, p.window, t.settings.Skew); err != nil {
		t.finish(now, h, NotRun, nil)
		t.addOrder(Resolve{Claim: p.nonce, Err: err})
		return
	}
	t.addOrder(Resolve{Claim: p.nonce})
}

func (t *Table) removePending(p *pending) {
	delete(t.pending, p.nonce)
	t.pendingPerKey[p.key.hash]--
	if t.pendingPerKey[p.key.hash] == 0 {
		delete(t.pendingPerKey, p.key.hash)
	}
}

// end resolves a claim without granting it.
func (t *Table) end(now time.Time, p *pending, answer *Answer, err error) {
	t.removePending(p)
	t.addOrder(Resolve{Claim: p.nonce, Answer: answer, Err: err})
	t.notify(now, p.nonce)
}

// Cancel ends a pending claim whose caller has stopped waiting. A granted claim is not
// affected.
func (t *Table) Cancel(now time.Time, nonce uint64) []Order {
	if p, found := t.pending[nonce]; found {
		t.end(now, p, nil, t.deadlineError(p))
	}
	return t.takeOrders()
}

func answerLost() *problem.Error {
	return problem.New(problem.AnswerLost, "the request may have run; its answer is lost")
}

func answerExpired(status int) *problem.Error {
	return problem.New(problem.AnswerLost, "the request ran and was answered with status %d; the answer is no longer held", status).
		WithOutcome(problem.Failed)
}
