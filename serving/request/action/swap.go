package action

import (
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/serving/process/problem"
)

const (
	// pageIdle is how long a page without changes is kept in memory.
	pageIdle = time.Minute
	// maxBackoff is the largest factor on RetryInterval after failed swaps in a row.
	maxBackoff = 8
)

// pageState is the last known content of a page, and the changes to be written.
type pageState struct {
	name     PageName
	revision uint64
	records  records
	// sealed is set if the page accepts no more claims.
	sealed    bool
	changes   []*change
	flight    *flight
	notBefore time.Time
	failures  int
	conflicts int
	usedAt    time.Time
}

// flight is a swap without a result yet.
type flight struct {
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

// updateIfNewer applies the result of a read if it is newer.
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

// submit sends a change to the page's usual writer, which may be this process.
func (t *Table) submit(now time.Time, name PageName, c *change) {
	if to := t.members.writer(now, name); to != t.self.Member() && !t.draining {
		t.callWriter(to, name, c)
		return
	}
	t.submitHere(now, name, c)
}

func (t *Table) submitHere(now time.Time, name PageName, c *change) {
	state := t.page(name)
	state.changes = append(state.changes, c)
	t.flush(now, state)
}

// flush swaps the page if something is due to be written.
func (t *Table) flush(now time.Time, state *pageState) {
	state.usedAt = now
	if state.flight != nil || now.Before(state.notBefore) || !state.due(now) {
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
		t.settleAll(now, state, changes)
		return
	}
	value, changes := t.encode(now, state, next, changes)
	if value == nil {
		return
	}
	t.nextID++
	state.flight = &flight{sequence: t.nextID, records: next, changes: changes}
	t.order(Swap{Page: state.name, Sequence: t.nextID, Value: value, IfRevision: state.revision})
}

func (s *pageState) due(now time.Time) bool {
	return slices.ContainsFunc(s.changes, func(c *change) bool { return !now.Before(c.due) })
}

// merge applies changes to a copy of the records. The second result reports whether a swap is
// needed. A swap that changes nothing is needed if only its result can show the current
// content of the store.
func (s *pageState) merge(changes []*change) (records, bool) {
	next := maps.Clone(s.records)
	write := false
	for _, c := range changes {
		if next.apply(c) != settled {
			write = true
		}
	}
	return next, write
}

// encode returns the stored form of next and the changes in it. If the page would
// grow over its limit, the new answers stay out of it, then the new claims.
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

// refuse ends the claims among changes because the page is full or sealed. Outcomes are
// kept for the next swap of a full page.
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

// refuseChange ends a change of this process that a full or sealed page can't take.
func (t *Table) refuseChange(now time.Time, c *change, reason ReplyState) {
	if !c.isClaim() {
		t.settleOutcome(c, Record{}, false)
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

// SwapDone processes the result of a Swap order. A second result of the same order is ignored.
func (t *Table) SwapDone(now time.Time, order Swap, result StoreResult) []Order {
	state := t.page(order.Page)
	if state.flight == nil || state.flight.sequence != order.Sequence {
		return t.takeOrders()
	}
	done := state.flight
	state.flight = nil
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

func (t *Table) swapSucceeded(now time.Time, state *pageState, done *flight, revision uint64) {
	state.records = done.records
	state.revision = revision
	state.failures = 0
	state.conflicts = 0
	state.notBefore = now.Add(t.settings.FlushInterval)
	t.settleAll(now, state, done.changes)
}

// swapConflicted merges the changes again into what the store holds. No earlier swap can
// take effect any more, because the revision has moved on. The first conflict is
// followed at once by another swap: it only shows a page that wasn't read before.
func (t *Table) swapConflicted(now time.Time, state *pageState, done *flight, result StoreResult) {
	state.replace(result)
	state.failures = 0
	state.requeue(done.changes)
	state.conflicts++
	if state.conflicts > 1 {
		state.notBefore = now.Add(t.jitter(t.settings.FlushInterval))
	}
}

// swapFailed forwards the changes of a failed swap to other members, which may reach the store
// from their failure domains. If those failed too, this process retries.
func (t *Table) swapFailed(now time.Time, state *pageState, done *flight, unsure bool) {
	t.members.avoid(t.self.Member(), now.Add(avoidTime))
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

// forward forwards a change that was not written here to another writer and reports whether
// there is one. A peer's change is returned to the peer.
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

// requeue puts changes back in front of those that were added meanwhile.
func (s *pageState) requeue(changes []*change) { s.changes = append(changes, s.changes...) }

// stillWanted returns the changes that are still to be written. A claim whose caller
// has been answered is left out; if it may be in the store already, it is recorded as
// not run. So is the change of a peer that no longer waits left out.
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

// dropQueryChange removes the change of a peer that no longer waits.
func (t *Table) dropQueryChange(id uint64) {
	for _, state := range t.pages {
		state.changes = slices.DeleteFunc(state.changes, func(c *change) bool { return c.query == id })
	}
}

func (t *Table) settleAll(now time.Time, state *pageState, changes []*change) {
	for _, c := range changes {
		record, found := state.records[c.record.Hash]
		t.settle(now, state.name, c, record, found)
	}
}

// settle ends a change: record is what the store holds under its key.
func (t *Table) settle(now time.Time, name PageName, c *change, record Record, found bool) {
	switch {
	case c.query != 0:
		t.respond(c.query, Reply{State: Stands, Record: record})
	case !c.isClaim():
		t.settleOutcome(c, record, found)
	default:
		t.settleClaim(now, name, c, record, found)
	}
}

func (t *Table) settleOutcome(c *change, record Record, found bool) {
	h := t.holding[c.record.Nonce]
	if h == nil {
		return
	}
	h.durable = true
	if found && record.sameClaim(h.record) && record.Answer != nil {
		t.answers.remove(h.record.Nonce)
		h.record.Answer = record.Answer
	}
}

func (t *Table) settleClaim(now time.Time, name PageName, c *change, record Record, found bool) {
	p := t.pending[c.record.Nonce]
	switch {
	case p != nil && found:
		t.decide(now, p, record)
	case p != nil:
		t.write(now, p)
	case found && record.sameClaim(c.record) && record.Outcome == Claimed && t.holding[record.Nonce] == nil:
		c.record.Outcome = NotRun
		t.submit(now, name, c)
	}
}

// tickPages flushes due changes and removes idle pages from memory.
func (t *Table) tickPages(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(t.pages)) {
		state := t.pages[name]
		if len(state.changes) > 0 {
			t.flush(now, state)
		}
		if len(state.changes) == 0 && state.flight == nil && now.Sub(state.usedAt) > pageIdle {
			delete(t.pages, name)
		}
	}
}
