package action

import (
	"maps"
	"slices"
	"time"
)

// holding is a claim that was granted to a caller of this process. It is retained so that
// this process can report the outcome to others.
type holding struct {
	record Record
	page   PageName
	// durable is set once the outcome is stored in the page.
	durable bool
}

// waiter is a claim or a peer's query that waits for the outcome of a claim here.
type waiter struct {
	claim uint64
	query uint64
}

func (t *Table) hold(p *pending) *holding {
	h := &holding{record: p.record(t.self.Member()), page: p.key.page}
	t.holding[p.nonce] = h
	t.latest[p.key.hash] = p.nonce
	return h
}

// MaySend reports whether a granted request may be sent: its claim has no outcome yet.
func (t *Table) MaySend(nonce uint64) bool {
	h := t.holding[nonce]
	return h != nil && h.record.Outcome == Claimed
}

// Finish records the outcome of a granted claim. Only the first outcome counts.
func (t *Table) Finish(now time.Time, nonce uint64, outcome Outcome, answer *Answer) []Order {
	h := t.holding[nonce]
	if h != nil && h.record.Outcome == Claimed && outcome != Claimed {
		t.finish(now, h, outcome, answer)
	}
	return t.takeOrders()
}

func (t *Table) finish(now time.Time, h *holding, outcome Outcome, answer *Answer) {
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

// answerOf returns the state of a claim of this process.
func (t *Table) answerOf(nonce uint64) Reply {
	if h := t.holding[nonce]; h != nil {
		return t.holdingReply(h)
	}
	if t.pending[nonce] != nil {
		return Reply{State: InProgress}
	}
	return Reply{State: NeverRuns}
}

func (t *Table) holdingReply(h *holding) Reply {
	if h.record.Outcome == Claimed {
		return Reply{State: InProgress, Record: h.record}
	}
	record := h.record
	if record.Answer == nil {
		record.Answer = t.answers.get(record.Nonce)
	}
	return Reply{State: Finished, Record: record}
}

// notify sends the outcome of a claim of this process to all that wait for it.
func (t *Table) notify(now time.Time, nonce uint64) {
	waiting := t.waiters[nonce]
	delete(t.waiters, nonce)
	reply := t.answerOf(nonce)
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

// purgeHolding removes stored outcomes after Settings.Memory, and outcomes that were never
// stored once their keys have expired at every instance.
func (t *Table) purgeHolding(now time.Time) {
	if !t.sweep.purgeDue(now) {
		return
	}
	for _, nonce := range slices.Sorted(maps.Keys(t.holding)) {
		h := t.holding[nonce]
		if h.record.Outcome == Claimed || now.Before(t.keepUntil(h)) {
			continue
		}
		delete(t.holding, nonce)
		t.answers.remove(nonce)
		if t.latest[h.record.Hash] == nonce {
			delete(t.latest, h.record.Hash)
		}
	}
}

func (t *Table) keepUntil(h *holding) time.Time {
	if h.durable {
		return h.page.expiry(t.settings.Memory)
	}
	return h.page.expiry(t.settings.Retention + t.settings.Grace)
}
