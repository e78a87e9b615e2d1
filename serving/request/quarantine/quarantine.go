// Package quarantine finds the requests, and the parts of prompts, that crash backend servers, and
// keeps requests that are the same or have such a part away from them.
//
// A request during whose start its server closed the connection is a suspect, and so are all parts
// of its prompt that other requests may share. The request is known by a digest of its target,
// caller and body, so that it is recognized when it comes again. Many requests are in flight when a server crashes,
// so one crash says little. A part is quarantined once it was lost in several crashes, under
// several requests, and no request with it was answered since. Parts that requests with other
// parts are answered with are thereby cleared; of a lost request's parts, those that were answered
// recently are suspected only if all of them were.
//
// Crashes that one request explains do not count against the parts of its prompt, and crashes that a
// part or another request explains do not count against a request that was in flight beside it. A
// request that was answered in the end, by another server, is no suspect.
//
// When the connections to several servers break at the same moment, the network is the cause, and
// no server is taken for crashed.
//
// The reports of all entry instances count together. A Snapshot is a set of reports and a set of
// the reports that answers have cleared. Both only grow until their retention ends, so that
// snapshots can be merged in any order and more than once.
//
// # Usage
//
//	table := quarantine.New()
//	table.Lost(now, wall, quarantine.Loss{...})      // a server closed the connection
//	table.Served(now, quarantine.Answer{...})        // a server answered
//	table.Ended(now, request, answered)              // a request with a loss has ended
//	table.Merge(now, snapshot)                       // from another instance
//	changes := table.TakeChanges(now)                // for the log
//	if cause, left := table.Check(now, content); cause != quarantine.None {
//		// refuse the request: it has not run
//	}
//
// # Locks
//
// The table has one mutex. No other lock is taken while it is held.
package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crashes is the number of separate crashes after which a part is quarantined, and
	// crashesOfAnswered that of a part that was answered within historyPeriod.
	crashes           = 3
	crashesOfAnswered = 6
	// otherAnswers is the number of answers without a part that this instance must have seen since
	// the first report of the part if it was answered recently, and otherAnswersOfFirst that for the
	// first part of a prompt. While servers crash for other reasons, such parts are not answered
	// either, and most callers would be refused.
	otherAnswers        = 30
	otherAnswersOfFirst = 5
	// requests is the number of different requests among these crashes. The attempts of one
	// request can meet several servers that crash for another reason.
	requests = 2
	// separation is the least time between two crashes that are counted separately, unless the same
	// request met both servers: instances notice one failure of the network at different times.
	separation = 100 * time.Millisecond
	// burstPeriod is the time in which losses at burstServers servers count as a failure of the
	// network.
	burstPeriod  = 100 * time.Millisecond
	burstServers = 3
	// quarantinePeriod is how long a part is quarantined after the last crash. Afterwards one more
	// crash is enough, until the reports are dropped after retention. The reports of other parts
	// are dropped after suspectPeriod.
	quarantinePeriod = 5 * time.Minute
	suspectPeriod    = 5 * time.Minute
	retention        = 30 * time.Minute
	// historyPeriod is how long an answer counts as recent.
	historyPeriod = 10 * time.Minute
	// Bounds of the memory: parts with reports, reports of a part or request, cleared reports, parts or
	// requests with a recent answer, and servers that are down.
	maxParts   = 64
	maxReports = 16
	// maxRequests bounds the requests with reports, maxOwnRequests those of them that an instance
	// writes to its record, and maxPending the requests with a loss that have not ended.
	maxRequests    = 256
	maxOwnRequests = 32
	maxPending     = 1024
	maxCleared     = 512
	maxHistory     = 8192
	maxDown        = 1024
)

// known is a fact with the time at which it became known here. Own is set when this instance
// observed it.
type known struct {
	at  time.Time
	own bool
}

type report struct {
	Report
	known
	// answers is the number of answers that this instance had seen before, with a prompt for a part.
	answers int
}

// suspect is a part or a request with reports that are not cleared.
type suspect struct {
	reports     map[uint64]*report
	isRequest   bool
	quarantined bool
}

// Table holds the suspected parts. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	suspects map[uint64]*suspect
	cleared  map[uint64]known
	// answeredParts and answeredRequests hold what was answered recently.
	answeredParts, answeredRequests history
	burst                           burst
	// pending holds the reports on requests that have not ended, by request.
	pending map[string][]pendingReport
	// down holds the incarnations of servers that have answered nothing since their last loss.
	down map[uint64]bool
	// answers counts the requests with a prompt that were answered, and allAnswers all requests.
	answers, allAnswers int
	digest              uint64
	// changed is set when Own has changed, and changes holds what TakeChanges returns next.
	changed   bool
	changes   []Change
	nextPrune time.Time
}

// New returns a table without suspected parts.
func New() *Table {
	return &Table{
		suspects: map[uint64]*suspect{}, cleared: map[uint64]known{}, down: map[uint64]bool{}, pending: map[string][]pendingReport{},
	}
}

// Check returns why a request is quarantined, None if it is not, and for how much longer.
func (t *Table) Check(now time.Time, content Content) (cause Cause, left time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judgeBurst(now)
	if len(t.suspects) == 0 {
		return None, 0
	}
	for _, id := range content.ids() {
		s := t.suspects[id]
		if s == nil {
			continue
		}
		if until := t.until(now, id, s); until.Sub(now) > left {
			left, cause = until.Sub(now), Part
			if s.isRequest {
				cause = Request
			}
		}
	}
	return cause, left
}

// Lost adds a request that was lost. Wall is the time of day.
func (t *Table) Lost(now, wall time.Time, loss Loss) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judgeBurst(now)
	if len(t.burst.losses) == 0 {
		t.burst.since = now
	}
	t.burst.losses = append(t.burst.losses, timedLoss{Loss: loss, at: now, wall: wall})
}

func (t *Table) addLoss(loss timedLoss) {
	for _, part := range t.leastAnswered(loss.at, loss.Parts) {
		one := Report{
			Part: part, Server: loss.process(), Request: xxhash.Sum64String(loss.Request), AtMS: loss.wall.UnixMilli(), First: part == loss.Parts[0],
		}
		t.changed = t.add(loss.at, one, true) || t.changed
	}
	t.noteChanges(loss.at, loss.Parts)
	if loss.Digest != 0 {
		t.addRequest(loss)
	}
}

// Served adds a request that was answered completely. It clears the reports of its parts that were
// known when its answer began, since a server crashes when it begins to write an answer.
func (t *Table) Served(now time.Time, answer Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judgeBurst(now)
	delete(t.down, process(answer.Server, answer.Incarnation))
	t.allAnswers++
	t.answeredRequests.add(now, answer.Digest)
	if len(answer.Parts) > 0 {
		t.answers++
		t.answeredParts.add(now, answer.Parts...)
	}
	for _, part := range answer.ids() {
		s := t.suspects[part]
		if s == nil {
			continue
		}
		for id, one := range s.reports {
			if one.at.Before(answer.BegunAt) {
				t.changed = true
				t.clearReport(id, part, known{now, true})
			}
		}
	}
	t.noteChanges(now, answer.ids())
}

// Merge adds the reports of another instance.
func (t *Table) Merge(now time.Time, from Snapshot) { t.merge(now, from, false) }

// Inherit adds the reports that the previous process of this instance observed.
func (t *Table) Inherit(now time.Time, from Snapshot) { t.merge(now, from, true) }

func (t *Table) merge(now time.Time, from Snapshot, own bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var parts []uint64
	for _, id := range from.Cleared {
		if _, found := t.cleared[id]; !found {
			parts = append(parts, t.clearReport(id, 0, known{now, own})...)
		}
	}
	for _, one := range from.Reports {
		if t.add(now, one, own) {
			parts = append(parts, one.Part)
		}
	}
	t.noteChanges(now, parts)
}

// TakeChanges returns the parts that were quarantined or released since the last call.
func (t *Table) TakeChanges(now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judgeBurst(now)
	changes := t.changes
	t.changes = nil
	return changes
}

// Own returns what this instance observed, for its record in the store.
func (t *Table) Own(now time.Time) Snapshot { return t.snapshot(now, true) }

// All returns what is known from all instances, for a peer.
func (t *Table) All(now time.Time) Snapshot { return t.snapshot(now, false) }

// Digest returns a digest of what All returns.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digest
}

// TakeChanged reports whether Own has changed since the last call.
func (t *Table) TakeChanged(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judgeBurst(now)
	changed := t.changed
	t.changed = false
	return changed
}

// Quarantined returns the number of quarantined parts and requests.
func (t *Table) Quarantined(now time.Time) (parts, requests int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.suspects {
		switch {
		case !t.until(now, id, s).After(now):
		case s.isRequest:
			requests++
		default:
			parts++
		}
	}
	return parts, requests
}

func (t *Table) snapshot(now time.Time, ownOnly bool) Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judgeBurst(now)
	t.prune(now)
	var all Snapshot
	left := t.unwritten(ownOnly)
	for id, s := range t.suspects {
		for _, one := range s.reports {
			if (one.own && !left[id]) || !ownOnly {
				all.Reports = append(all.Reports, one.Report)
			}
		}
	}
	for id, fact := range t.cleared {
		if fact.own || !ownOnly {
			all.Cleared = append(all.Cleared, id)
		}
	}
	slices.SortFunc(all.Reports, func(a, b Report) int { return cmp.Compare(a.id(), b.id()) })
	slices.Sort(all.Cleared)
	return all
}

// leastAnswered returns the parts that no request was answered with recently, or all parts if
// there was one for each.
func (t *Table) leastAnswered(now time.Time, parts []uint64) []uint64 {
	var suspected []uint64
	for _, part := range parts {
		if !t.answeredParts.has(now, part) {
			suspected = append(suspected, part)
		}
	}
	if len(suspected) == 0 {
		return parts
	}
	return suspected
}

// add stores a report unless it is known or cleared, and reports whether it was stored.
func (t *Table) add(now time.Time, one Report, own bool) bool {
	id := one.id()
	if _, cleared := t.cleared[id]; cleared {
		return false
	}
	s := t.suspects[one.Part]
	if s == nil {
		t.makeRoom(one.IsRequest)
		s = &suspect{reports: map[uint64]*report{}, isRequest: one.IsRequest}
		t.suspects[one.Part] = s
	}
	if same := s.reports[id]; same != nil {
		// Instances report the same crash with different times and requests. All keep the earliest.
		if one.AtMS < same.AtMS || (one.AtMS == same.AtMS && one.Request < same.Request) {
			same.Report = one
		}
		return false
	}
	if len(s.reports) >= maxReports {
		t.dropOldestReport(one.Part, s)
	}
	answers := t.answers
	if one.IsRequest {
		answers = t.allAnswers
	}
	s.reports[id] = &report{one, known{now, own}, answers}
	t.digest ^= id
	return true
}

// clearReport marks a report as cleared. Part is its part, 0 if unknown. It returns the parts that had
// the report.
func (t *Table) clearReport(id, part uint64, fact known) (parts []uint64) {
	if len(t.cleared) >= maxCleared {
		t.dropOldestCleared()
	}
	t.cleared[id] = fact
	t.digest ^= hash(id, 0)
	for other, s := range t.suspects {
		if (part == 0 || part == other) && s.reports[id] != nil {
			t.drop(other, id)
			parts = append(parts, other)
		}
	}
	return parts
}

func (t *Table) drop(part, id uint64) {
	delete(t.suspects[part].reports, id)
	t.digest ^= id
}

// noteChanges records which of the given parts were quarantined or released, and forgets those
// without reports.
func (t *Table) noteChanges(now time.Time, parts []uint64) {
	for _, part := range parts {
		s := t.suspects[part]
		if s == nil {
			continue
		}
		quarantined := t.until(now, part, s).After(now)
		if quarantined != s.quarantined {
			s.quarantined = quarantined
			t.changes = append(t.changes, Change{Part: part, IsRequest: s.isRequest, Quarantined: quarantined, Crashes: len(s.reports)})
		}
		if len(s.reports) == 0 {
			delete(t.suspects, part)
		}
	}
}

func hash(a, b uint64) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, a), b))
}
