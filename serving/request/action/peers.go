package action

import (
	"slices"
	"time"
)

const (
	// avoidDuration is how long a member is not chosen as a writer after a failed write.
	avoidDuration = 2 * time.Second
	// maxPolledMembers is the maximum number of other members up to which a key is polled. In larger
	// clusters no member is queried, so an earlier run can't be ruled out.
	maxPolledMembers = 64
)

// call is a query to a peer that has not been answered yet.
type call struct {
	kind   QueryKind
	to     Member
	page   PageName
	change *change
	claim  uint64
}

func (t *Table) call(c call, query Query, timeout time.Duration) {
	t.nextID++
	t.calls[t.nextID] = c
	query.To = c.to
	t.addOrder(Call{ID: t.nextID, To: c.to, Query: query, Timeout: timeout})
}

func (t *Table) callWriter(to Member, name PageName, c *change) {
	wait := t.settings.PeerTimeout
	query := Query{Kind: WriteQuery, Page: name, Record: c.record, Replaces: c.replaces, WaitMS: wait.Milliseconds()}
	t.call(call{kind: WriteQuery, to: to, page: name, change: c}, query, 2*wait)
}

// CallDone processes the reply to a Call order, or the error of the call. Duplicate replies
// are ignored.
func (t *Table) CallDone(now time.Time, id uint64, reply Reply, err error) []Order {
	c, found := t.calls[id]
	if !found {
		return t.takeOrders()
	}
	delete(t.calls, id)
	switch c.kind {
	case WriteQuery:
		t.handleWriterReply(now, c, reply, err)
	case AnswerQuery:
		t.handleHolderReply(now, c, reply, err)
	case ClaimQuery:
		t.handlePollReply(now, c, reply, err)
	}
	return t.takeOrders()
}

// handleWriterReply processes a writer's reply to a change. Without a definite reply the
// change is sent to the next writer. The first writer may still write it as well, which is
// harmless: the claim has the same nonce, and the outcome is identical.
func (t *Table) handleWriterReply(now time.Time, c call, reply Reply, err error) {
	if err == nil && reply.State == Written {
		found := reply.Record.Hash == c.change.record.Hash
		t.complete(now, c.page, c.change, reply.Record, found)
		return
	}
	if err == nil && (reply.State == Full || reply.State == Sealed) {
		t.refuseChange(now, c.change, reply.State)
		return
	}
	t.members.avoid(c.to, now.Add(avoidDuration))
	c.change.sent = true
	if t.wanted(now, c.change) {
		t.submit(now, c.page, c.change)
	}
}

func (t *Table) handleHolderReply(now time.Time, c call, reply Reply, err error) {
	p := t.pending[c.claim]
	if p == nil || p.state != awaiting {
		return
	}
	if err != nil {
		t.recheck(p)
		return
	}
	t.handleReply(now, p, reply)
}

// Query processes a peer's query. id identifies it in the Respond order.
func (t *Table) Query(now time.Time, id uint64, q Query) []Order {
	wait := time.Duration(q.WaitMS) * time.Millisecond
	t.queries[id] = now.Add(min(wait, t.settings.AnswerWait))
	switch {
	case q.To != t.self.Member():
		t.respond(id, Reply{State: Replaced})
	case q.Kind == WriteQuery:
		t.handleWriteQuery(now, id, q)
	case q.Kind == AnswerQuery:
		t.handleAnswerQuery(id, q.Record.Nonce)
	case q.Kind == ClaimQuery:
		t.respond(id, t.replyForKey(q.Record.Hash))
	default:
		t.respond(id, Reply{State: Unwritten})
	}
	return t.takeOrders()
}

// CancelQuery removes a query whose sender has stopped waiting.
func (t *Table) CancelQuery(id uint64) {
	t.dropQueryChange(id)
	delete(t.queries, id)
}

func (t *Table) respond(id uint64, reply Reply) {
	if _, waiting := t.queries[id]; !waiting {
		return
	}
	delete(t.queries, id)
	t.addOrder(Respond{Query: id, Reply: reply})
}

func (t *Table) handleWriteQuery(now time.Time, id uint64, q Query) {
	if !q.Page.valid() {
		t.respond(id, Reply{State: Unwritten})
		return
	}
	c := &change{record: q.Record, replaces: q.Replaces, query: id, due: now}
	if !c.isClaim() {
		c.due = now.Add(t.settings.OutcomeDelay)
	}
	t.submitHere(now, q.Page, c)
}

func (t *Table) handleAnswerQuery(id, nonce uint64) {
	reply := t.replyForClaim(nonce)
	if reply.State == InProgress {
		t.waiters[nonce] = append(t.waiters[nonce], waiter{query: id})
		return
	}
	t.respond(id, reply)
}

// replyForKey returns this process's claim on a key, InProgress if one is pending, or NoClaim.
func (t *Table) replyForKey(hash Hash) Reply {
	if h := t.granted[t.latestNonce[hash]]; h != nil && h.record.Outcome != NotRun {
		return t.grantedReply(h)
	}
	if t.pendingPerKey[hash] > 0 {
		return Reply{State: InProgress}
	}
	return Reply{State: NoClaim}
}

// pollAll starts polls for this process's claims among changes that could not be written.
func (t *Table) pollAll(changes []*change) {
	for _, c := range changes {
		if p := t.pending[c.record.Nonce]; p != nil && c.isClaim() && !p.polling {
			t.poll(p)
		}
	}
}

// poll queries all other members for claims on a key whose page can't be swapped.
func (t *Table) poll(p *pending) {
	p.polling = true
	p.ruledOut = map[Member]bool{}
	if len(t.members.others) > maxPolledMembers {
		return
	}
	for _, member := range t.members.others {
		query := Query{Kind: ClaimQuery, Page: p.key.page, Record: Record{Hash: p.key.hash}}
		t.call(call{kind: ClaimQuery, claim: p.nonce, to: member}, query, t.settings.PeerTimeout)
	}
}

func (t *Table) handlePollReply(now time.Time, c call, reply Reply, err error) {
	p := t.pending[c.claim]
	if p == nil || err != nil {
		return
	}
	switch {
	case reply.State == NoClaim:
		p.ruledOut[c.to] = true
	case reply.State == Finished && p.state == writing && reply.Record.Fingerprint == p.claim.Fingerprint:
		p.target = reply.Record
		t.handleOutcome(now, p, reply.Record)
	}
}

// mayHaveRun reports whether an earlier run of the request is possible, as far as is known
// without the store. To rule it out, every member must have replied that it never claimed the key, no member may
// have disappeared since the key was created, and no member may have purged its outcome yet.
func (t *Table) mayHaveRun(p *pending) bool {
	if p.deadline.After(p.key.created.Add(t.settings.MemoryRetention - t.settings.Skew)) {
		return true
	}
	since := p.key.created.Add(-t.settings.Skew)
	if t.started.After(since) || t.members.lostAt.After(since) || t.pendingPerKey[p.key.hash] > 1 {
		return true
	}
	return slices.ContainsFunc(t.members.others, func(m Member) bool { return !p.ruledOut[m] })
}
