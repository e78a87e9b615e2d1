package action

import "time"

// unseenTimeout is how long a holder must be missing from the live members before it counts as
// gone.
const unseenTimeout = 3 * time.Second

// await makes p wait for the outcome of target, another claim on the same key. The holder of
// target is queried if it is another process.
func (t *Table) await(now time.Time, p *pending, target Record) {
	if !p.target.sameClaim(target) {
		p.ownerGone = false
		p.unseenSince = time.Time{}
	}
	p.state = awaiting
	p.target = target
	p.retryAt = time.Time{}
	if target.Owner == t.self.Member() {
		t.awaitHere(now, p)
		return
	}
	wait := min(t.settings.AnswerWait, p.deadline.Sub(now))
	query := Query{Kind: AnswerQuery, Page: p.key.page, Record: claimReference(target), WaitMS: wait.Milliseconds()}
	t.call(call{kind: AnswerQuery, claim: p.nonce, to: target.Owner}, query, wait+t.settings.PeerTimeout)
}

// claimReference returns a record with only the fields that identify a claim.
func claimReference(record Record) Record {
	return Record{Hash: record.Hash, Owner: record.Owner, Nonce: record.Nonce}
}

func (t *Table) awaitHere(now time.Time, p *pending) {
	reply := t.replyForClaim(p.target.Nonce)
	if reply.State == InProgress {
		t.waiters[p.target.Nonce] = append(t.waiters[p.target.Nonce], waiter{claim: p.nonce})
		return
	}
	t.handleReply(now, p, reply)
}

// handleReply continues a claim after the holder of its target replied.
func (t *Table) handleReply(now time.Time, p *pending, reply Reply) {
	switch reply.State {
	case Finished:
		t.handleOutcome(now, p, reply.Record)
	case NeverRuns:
		t.replaceClaim(now, p)
	case Replaced:
		p.ownerGone = true
		t.recheck(p)
	default:
		p.retryAt = now.Add(t.jitter(t.settings.RetryInterval))
	}
}

func (t *Table) handleOutcome(now time.Time, p *pending, record Record) {
	switch {
	case record.Outcome == NotRun:
		t.replaceClaim(now, p)
	case record.Outcome == Unknown:
		t.end(now, p, nil, answerLost())
	case record.Answer == nil:
		t.end(now, p, nil, answerExpired(record.Status))
	default:
		t.end(now, p, record.Answer, nil)
	}
}

// replaceClaim submits a claim that replaces its target, whose request was never sent. If the
// stored record has an outcome by then, the record is kept.
func (t *Table) replaceClaim(now time.Time, p *pending) {
	if p.target.Outcome == Done {
		t.end(now, p, nil, answerExpired(p.target.Status))
		return
	}
	p.replaces = p.target.id()
	t.write(now, p)
}

// recheck reads the page after the query to the holder failed, because the holder may have
// written its outcome before it exited.
func (t *Table) recheck(p *pending) {
	p.state = rechecking
	t.addOrder(Read{Page: p.key.page, Claim: p.nonce})
}

// ReadDone processes the result of a Read order.
func (t *Table) ReadDone(now time.Time, order Read, result StoreResult) []Order {
	state := t.page(order.Page)
	if result.State == StoreOK {
		state.updateIfNewer(result)
	}
	if p := t.pending[order.Claim]; p != nil && p.state == rechecking {
		t.handleRecheck(now, p, state)
	}
	return t.takeOrders()
}

func (t *Table) handleRecheck(now time.Time, p *pending, state *pageState) {
	record, found := state.records[p.key.hash]
	if found && (record.Outcome != p.target.Outcome || !record.sameClaim(p.target)) {
		t.decide(now, p, record)
		return
	}
	if !t.ownerGone(now, p) {
		p.state = awaiting
		p.retryAt = now.Add(t.jitter(t.settings.RetryInterval))
		return
	}
	if p.target.Outcome == Done {
		t.end(now, p, nil, answerExpired(p.target.Status))
		return
	}
	t.end(now, p, nil, answerLost())
}

// ownerGone reports whether the holder of the awaited claim has exited. A holder that is not
// among the live members may have just started, so it counts as gone only after a delay.
func (t *Table) ownerGone(now time.Time, p *pending) bool {
	if p.ownerGone {
		return true
	}
	switch t.members.presence(p.target.Owner) {
	case gone:
		return true
	case present:
		p.unseenSince = time.Time{}
		return false
	}
	if p.unseenSince.IsZero() {
		p.unseenSince = now
	}
	return now.Sub(p.unseenSince) >= unseenTimeout
}
