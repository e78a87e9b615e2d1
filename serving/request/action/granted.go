package action

import (
	"maps"
	"slices"
	"time"
)

// grantedClaim is a claim that was granted to a caller of this process. It is retained so that
// this process can report the outcome to later callers and to peers.
type grantedClaim struct {
	record Record
	page   PageName
	// durable is set once the outcome is stored or can no longer be stored.
	durable bool
}

// waiter is a claim or a peer's query that waits for the outcome of a claim of this process.
// Exactly one of its fields is set: the nonce of the claim or the ID of the query.
type waiter struct {
	claim uint64
	query uint64
}

// addGranted records a pending claim as granted to its caller.
func (t *Table) addGranted(p *pending) *grantedClaim {
	h := &grantedClaim{record: p.record(t.self.Member()), page: p.key.page}
	t.granted[p.nonce] = h
	t.latestNonce[p.key.hash] = p.nonce
	return h
}

// MaySend reports whether a granted request may be sent, that is, whether its claim is still
// without an outcome.
func (t *Table) MaySend(nonce uint64) bool {
	h := t.granted[nonce]
	return h != nil && h.record.Outcome == Claimed
}

// Finish records the outcome of a granted claim. Later outcomes of the same claim are ignored.
func (t *Table) Finish(now time.Time, nonce uint64, outcome Outcome, answer *Answer) []Order {
	h := t.granted[nonce]
	if h != nil && h.record.Outcome == Claimed && outcome != Claimed {
		t.finish(now, h, outcome, answer)
	}
	return t.takeOrders()
}

func (t *Table) finish(now time.Time, h *grantedClaim, outcome Outcome, answer *Answer) {
	h.record.Outcome = outcome
	record := h.record
	if outcome == Done && answer != nil {
		h.record.Status = answer.Status
		record.Status = answer.Status
		t.answers.add(record.Nonce, answer)
		if answer.size() <= t.settings.InlineBytes {
			record.Answer = answer
		}
	}
	t.notify(now, record.Nonce)
	t.submit(now, h.page, &change{record: record, due: now.Add(t.settings.OutcomeDelay)})
}

// replyForClaim returns the reply for a claim of this process. A claim that is neither granted nor
// pending never runs.
func (t *Table) replyForClaim(nonce uint64) Reply {
	if h := t.granted[nonce]; h != nil {
		return t.grantedReply(h)
	}
	if t.pending[nonce] != nil {
		return Reply{State: InProgress}
	}
	return Reply{State: NeverRuns}
}

func (t *Table) grantedReply(h *grantedClaim) Reply {
	if h.record.Outcome == Claimed {
		return Reply{State: InProgress, Record: h.record}
	}
	record := h.record
	if record.Answer == nil {
		record.Answer = t.answers.get(record.Nonce)
	}
	return Reply{State: Finished, Record: record}
}

// notify sends the outcome of a claim of this process to all waiters.
func (t *Table) notify(now time.Time, nonce uint64) {
	waiting := t.waiters[nonce]
	delete(t.waiters, nonce)
	reply := t.replyForClaim(nonce)
	for _, w := range waiting {
		if w.query != 0 {
			t.respond(w.query, reply)
			continue
		}
		if p := t.pending[w.claim]; p != nil && p.state == awaiting && p.target.Nonce == nonce {
			t.handleReply(now, p, reply)
		}
	}
}

// purgeGranted removes stored outcomes after their retention in memory, and outcomes that were never
// stored once their keys have expired on every instance.
func (t *Table) purgeGranted(now time.Time) {
	if !t.sweep.purgeDue(now) {
		return
	}
	for _, nonce := range slices.Sorted(maps.Keys(t.granted)) {
		h := t.granted[nonce]
		if h.record.Outcome == Claimed || now.Before(t.keepUntil(h)) {
			continue
		}
		delete(t.granted, nonce)
		t.answers.remove(nonce)
		if t.latestNonce[h.record.Hash] == nonce {
			delete(t.latestNonce, h.record.Hash)
		}
	}
}

// keepUntil returns the time until which a finished holding is kept in memory.
func (t *Table) keepUntil(h *grantedClaim) time.Time {
	if h.durable {
		return h.page.expiry(t.settings.MemoryRetention)
	}
	return h.page.expiry(t.settings.Retention + t.settings.Grace)
}
