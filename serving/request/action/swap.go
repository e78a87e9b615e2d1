package action

import (
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/serving/process/problem"
)

const (
	// pageIdleTimeout is how long an unused page without pending changes is kept in memory.
	pageIdleTimeout = time.Minute
	// maxBackoff is the largest multiple of RetryInterval after consecutive failed swaps.
	maxBackoff = 8
)

// pageState is the most recently read or written content of a page and its pending changes.
type pageState struct {
	name     PageName
	revision uint64
	records  records
	// sealed is set once the page accepts no more claims.
	sealed    bool
	changes   []*change
	inFlight  *orderedSwap
	notBefore time.Time
	failures  int
	conflicts int
	usedAt    time.Time
}

// orderedSwap is a swap that was ordered and whose result is not in yet.
type orderedSwap struct {
	sequence uint64
	records  records
	changes  []*change
}

func (t *Table) page(name PageName) *pageState {
	state, found := t.pages[name]
	if !found {
		state = &pageState{name: name, records: records{}}
		t.pages[name] = state
	}
	return state
}

// updateIfNewer applies the result of a read if its revision is newer than the cached one.
func (s *pageState) updateIfNewer(result StoreResult) {
	if result.Revision <= s.revision {
		return
	}
	s.replace(result)
}

func (s *pageState) replace(result StoreResult) {
	decoded, err := decode(result.Value)
	s.sealed = errors.Is(err, errSealed)
	if err != nil && !s.sealed {
		return
	}
	s.records = decoded
	s.revision = result.Revision
}

// submit passes a change to the page's preferred writer, which may be this process. While
// draining, this process writes the change itself.
func (t *Table) submit(now time.Time, name PageName, c *change) {
	if to := t.members.writer(now, name); to != t.self.Member() && !t.draining {
		t.callWriter(to, name, c)
		return
	}
	t.submitHere(now, name, c)
}

// submitHere queues a change to be written by this process.
func (t *Table) submitHere(now time.Time, name PageName, c *change) {
	state := t.page(name)
	state.changes = append(state.changes, c)
	t.flush(now, state)
}

// flush orders a swap of the page if a change is due, no swap is in flight and notBefore
// has passed.
func (t *Table) flush(now time.Time, state *pageState) {
	state.usedAt = now
	if state.inFlight != nil || now.Before(state.notBefore) || !state.due(now) {
		return
	}
	changes := t.stillWanted(now, state.changes)
	state.changes = nil
	if state.sealed {
		t.refuse(now, state, changes, Sealed)
		return
	}
	next, write := state.merge(changes)
	if !write {
		t.completeAll(now, state, changes)
		return
	}
	value, changes := t.encode(now, state, next, changes)
	if value == nil {
		return
	}
	t.nextID++
	state.inFlight = &orderedSwap{sequence: t.nextID, records: next, changes: changes}
	t.addOrder(Swap{Page: state.name, Sequence: t.nextID, Value: value, IfRevision: state.revision})
}

func (s *pageState) due(now time.Time) bool {
	return slices.ContainsFunc(s.changes, func(c *change) bool { return !now.Before(c.due) })
}

// merge applies changes to a copy of the records. The second result reports whether a swap is
// needed. A swap that changes no record is still needed if only its result can confirm that
// the cached content is current.
func (s *pageState) merge(changes []*change) (records, bool) {
	next := maps.Clone(s.records)
	write := false
	for _, c := range changes {
		if next.apply(c) != unchanged {
			write = true
		}
	}
	return next, write
}

// encode returns the stored form of next and the changes that it contains. If the page
// would exceed Settings.PageBytes, the new answers are left out. If it is still too large,
// the new claims are refused and encode returns nil.
func (t *Table) encode(now time.Time, state *pageState, next records, changes []*change) ([]byte, []*change) {
	value, err := next.encode()
	if err == nil && len(value) <= t.settings.PageBytes {
		return value, changes
	}
	next.stripAnswers(changes)
	value, err = next.encode()
	if err == nil && len(value) <= t.settings.PageBytes {
		return value, changes
	}
	t.refuse(now, state, changes, Full)
	return nil, nil
}

// refuse rejects changes because the page is full or sealed. If the page is full, outcomes
// are requeued for its next swap.
func (t *Table) refuse(now time.Time, state *pageState, changes []*change, reason ReplyState) {
	for _, c := range changes {
		switch {
		case !c.isClaim() && reason == Full:
			state.changes = append(state.changes, c)
		case c.query != 0:
			t.respond(c.query, Reply{State: reason})
		default:
			t.refuseChange(now, c, reason)
		}
	}
	state.notBefore = now.Add(t.settings.FlushInterval)
}

// refuseChange rejects a change of this process for a full or sealed page.
func (t *Table) refuseChange(now time.Time, c *change, reason ReplyState) {
	if !c.isClaim() {
		t.completeOutcome(c, Record{}, false)
		return
	}
	p := t.pending[c.record.Nonce]
	switch {
	case p == nil:
	case reason == Full:
		t.end(now, p, nil, problem.New(problem.QueueFull, "the page of the key is full; use a new key"))
	default:
		t.end(now, p, nil, problem.New(problem.KeyExpired, "the records of the key's time are closed").WithOutcome(problem.Unknown))
	}
}

// SwapDone processes the result of a Swap order. Duplicate and outdated results are ignored.
func (t *Table) SwapDone(now time.Time, order Swap, result StoreResult) []Order {
	state := t.page(order.Page)
	if state.inFlight == nil || state.inFlight.sequence != order.Sequence {
		return t.takeOrders()
	}
	done := state.inFlight
	state.inFlight = nil
	switch result.State {
	case StoreOK:
		t.swapSucceeded(now, state, done, result.Revision)
	case StoreConflict:
		t.swapConflicted(now, state, done, result)
	case StoreUnknown:
		t.swapFailed(now, state, done, true)
	case StoreUnavailable:
		t.swapFailed(now, state, done, false)
	}
	t.flush(now, state)
	return t.takeOrders()
}

func (t *Table) swapSucceeded(now time.Time, state *pageState, done *orderedSwap, revision uint64) {
	state.records = done.records
	state.revision = revision
	state.failures = 0
	state.conflicts = 0
	state.notBefore = now.Add(t.settings.FlushInterval)
	t.completeAll(now, state, done.changes)
}

// swapConflicted replaces the cached page by the stored one and requeues the changes, which
// are merged into it by the next swap. No earlier swap can still take effect, because the
// revision has advanced. After the first conflict the swap is retried without delay: that
// conflict usually means only that the page had not been read before.
func (t *Table) swapConflicted(now time.Time, state *pageState, done *orderedSwap, result StoreResult) {
	state.replace(result)
	state.failures = 0
	state.requeue(done.changes)
	state.conflicts++
	if state.conflicts > 1 {
		state.notBefore = now.Add(t.jitter(t.settings.FlushInterval))
	}
}

// swapFailed forwards the changes of a failed swap to other members, which may be able to
// reach the store from their failure domains. Changes that cannot be forwarded are retried
// by this process with exponential back-off. unsure is set if the swap may have taken effect.
func (t *Table) swapFailed(now time.Time, state *pageState, done *orderedSwap, unsure bool) {
	t.members.avoid(t.self.Member(), now.Add(avoidDuration))
	state.failures++
	backoff := min(1<<min(state.failures-1, maxBackoff), maxBackoff)
	state.notBefore = now.Add(t.jitter(t.settings.RetryInterval * time.Duration(backoff)))
	t.pollAll(done.changes)
	var kept []*change
	for _, c := range done.changes {
		c.sent = c.sent || unsure
		if !t.forward(now, state.name, c) {
			kept = append(kept, c)
		}
	}
	state.requeue(kept)
}

// forward passes a change that this process failed to write to another writer and reports
// whether it was passed on. A peer's change is answered with Unwritten instead, so that the
// peer chooses the next writer.
func (t *Table) forward(now time.Time, name PageName, c *change) bool {
	if c.query != 0 {
		t.respond(c.query, Reply{State: Unwritten})
		return true
	}
	to := t.members.writer(now, name)
	if t.draining || to == t.self.Member() || c.isClaim() && t.pending[c.record.Nonce] == nil {
		return false
	}
	t.callWriter(to, name, c)
	return true
}

// requeue puts changes back at the head of the queue.
func (s *pageState) requeue(changes []*change) { s.changes = append(changes, s.changes...) }

// stillWanted returns the changes that still have to be written. It leaves out claims whose
// callers have been answered, unless the claim may already be stored: such a claim is
// recorded as not run. It also leaves out changes of peers whose queries have ended.
func (t *Table) stillWanted(now time.Time, changes []*change) []*change {
	wanted := make([]*change, 0, len(changes))
	for _, c := range changes {
		if t.wanted(now, c) {
			wanted = append(wanted, c)
		}
	}
	return wanted
}

func (t *Table) wanted(now time.Time, c *change) bool {
	if c.query != 0 {
		return now.Before(t.queries[c.query])
	}
	if !c.isClaim() || t.pending[c.record.Nonce] != nil {
		return true
	}
	c.record.Outcome = NotRun
	return c.sent
}

// dropQueryChange removes the change of a peer's query that has ended.
func (t *Table) dropQueryChange(id uint64) {
	for _, state := range t.pages {
		state.changes = slices.DeleteFunc(state.changes, func(c *change) bool { return c.query == id })
	}
}

func (t *Table) completeAll(now time.Time, state *pageState, changes []*change) {
	for _, c := range changes {
		record, found := state.records[c.record.Hash]
		t.complete(now, state.name, c, record, found)
	}
}

// complete completes a change. record is the stored record of its key, if found is set.
func (t *Table) complete(now time.Time, name PageName, c *change, record Record, found bool) {
	switch {
	case c.query != 0:
		t.respond(c.query, Reply{State: Written, Record: record})
	case !c.isClaim():
		t.completeOutcome(c, record, found)
	default:
		t.completeClaim(now, name, c, record, found)
	}
}

// completeOutcome marks an outcome of this process as stored, which also covers a page that is
// sealed or has no record of the claim. An answer stored in the page is removed from the cache.
func (t *Table) completeOutcome(c *change, record Record, found bool) {
	h := t.granted[c.record.Nonce]
	if h == nil {
		return
	}
	h.durable = true
	if found && record.sameClaim(h.record) && record.Answer != nil {
		t.answers.remove(h.record.Nonce)
		h.record.Answer = record.Answer
	}
}

// completeClaim continues a pending claim after a swap. If the claim was stored although it
// is no longer pending and was never granted, it is recorded as not run.
func (t *Table) completeClaim(now time.Time, name PageName, c *change, record Record, found bool) {
	p := t.pending[c.record.Nonce]
	switch {
	case p != nil && found:
		t.decide(now, p, record)
	case p != nil:
		t.write(now, p)
	case found && record.sameClaim(c.record) && record.Outcome == Claimed && t.granted[record.Nonce] == nil:
		c.record.Outcome = NotRun
		t.submit(now, name, c)
	}
}

// tickPages flushes due changes and evicts idle pages from memory.
func (t *Table) tickPages(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(t.pages)) {
		state := t.pages[name]
		if len(state.changes) > 0 {
			t.flush(now, state)
		}
		if len(state.changes) == 0 && state.inFlight == nil && now.Sub(state.usedAt) > pageIdleTimeout {
			delete(t.pages, name)
		}
	}
}
