package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// pendingReport is a report on a request that has not ended.
type pendingReport struct {
	Report
	at time.Time
}

// addRequest adds the report on a request, or holds it back until the request has ended.
func (t *Table) addRequest(loss timedLoss) {
	one := Report{
		Part: loss.Digest, Server: loss.process(), Request: xxhash.Sum64String(loss.Request), AtMS: loss.wall.UnixMilli(), IsRequest: true,
	}
	if !loss.ended {
		if len(t.pending) < maxPending || t.pending[loss.Request] != nil {
			t.pending[loss.Request] = append(t.pending[loss.Request], pendingReport{one, loss.at})
		}
		return
	}
	t.changed = t.add(loss.at, one, true) || t.changed
	t.noteChanges(loss.at, []uint64{loss.Digest})
}

// Ended adds the end of a request that was lost at least once. Answered is set if a server answered
// it in the end: it is no suspect then.
func (t *Table) Ended(now time.Time, request string, answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judgeBurst(now)
	reports := t.pending[request]
	delete(t.pending, request)
	for i := range t.burst.losses {
		if loss := &t.burst.losses[i]; loss.Request == request {
			loss.ended = true
			if answered {
				loss.Digest = 0
			}
		}
	}
	if answered {
		return
	}
	for _, one := range reports {
		t.changed = t.add(one.at, one.Report, true) || t.changed
		t.noteChanges(now, []uint64{one.Part})
	}
}

// untilOfRequest returns when the quarantine of a request ends, the zero time if it is not
// quarantined.
func (t *Table) untilOfRequest(now time.Time, digest uint64, s *suspect) time.Time {
	needed := crashes
	if t.answeredRequests.has(now, digest) {
		// While servers crash for another reason, a request that callers repeat meets many crashes.
		needed = crashesOfAnswered
		if t.allAnswers-s.answersBefore() < otherAnswers {
			return time.Time{}
		}
	}
	if !suffice(s.all(), needed) || t.isBystander(now, digest, s) {
		return time.Time{}
	}
	return s.lastAt().Add(quarantinePeriod)
}

// isBystander reports whether a request was in flight in crashes that another request, or a
// quarantined part, explains: one that was lost in all of these crashes and in others.
func (t *Table) isBystander(now time.Time, digest uint64, s *suspect) bool {
	for id, other := range t.suspects {
		if id == digest || len(other.reports) <= len(s.reports) || !covers(id, other, s.all()) {
			continue
		}
		if other.isRequest && suffice(other.all(), crashes) {
			return true
		}
		if !other.isRequest && t.until(now, id, other).After(now) {
			return true
		}
	}
	return false
}

// isOneRequest reports whether one request was lost in all of these crashes, so that it explains
// them and not the part that the reports are of.
func (t *Table) isOneRequest(reports []Report) bool {
	for id, s := range t.suspects {
		if s.isRequest && len(s.reports) >= crashes && covers(id, s, reports) {
			return true
		}
	}
	return false
}

// covers reports whether a suspect was lost in the crashes of all reports.
func covers(id uint64, s *suspect, reports []Report) bool {
	for _, one := range reports {
		if s.reports[hash(id, one.Server)] == nil {
			return false
		}
	}
	return true
}

// answersBefore returns the number of answers that this instance had seen before the first report.
func (s *suspect) answersBefore() int {
	least := -1
	for _, one := range s.reports {
		if least < 0 || one.answers < least {
			least = one.answers
		}
	}
	return least
}

func (s *suspect) all() []Report {
	var all []Report
	for _, one := range s.reports {
		all = append(all, one.Report)
	}
	return all
}
