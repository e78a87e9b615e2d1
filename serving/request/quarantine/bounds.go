package quarantine

import (
	"slices"
	"time"
)

// prune drops what is older than retention.
func (t *Table) prune(now time.Time) {
	if now.Before(t.nextPrune) {
		return
	}
	t.nextPrune = now.Add(time.Minute)
	for part, s := range t.suspects {
		kept := suspectPeriod
		if s.quarantined {
			kept = retention
		}
		for id, one := range s.reports {
			if now.Sub(one.at) > kept {
				t.drop(part, id)
			}
		}
		if len(s.reports) == 0 {
			delete(t.suspects, part)
		}
	}
	for id, fact := range t.cleared {
		if now.Sub(fact.at) > retention {
			delete(t.cleared, id)
			t.digest ^= hash(id, 0)
		}
	}
}

// makeRoom drops a part, or a request, if there is no room for another one: the one whose last crash
// is the oldest, and a quarantined one only if all are. Of requests those with the fewest crashes go
// first, since each crash adds all requests that were in flight.
func (t *Table) makeRoom(isRequest bool) {
	bound := maxParts
	if isRequest {
		bound = maxRequests
	}
	count := 0
	var oldest uint64
	var found *suspect
	for part, s := range t.suspects {
		if s.isRequest != isRequest {
			continue
		}
		count++
		if found == nil || s.isDroppedBefore(found) {
			oldest, found = part, s
		}
	}
	if count < bound {
		return
	}
	for id := range found.reports {
		t.drop(oldest, id)
	}
	delete(t.suspects, oldest)
}

func (s *suspect) isDroppedBefore(other *suspect) bool {
	switch {
	case s.quarantined != other.quarantined:
		return other.quarantined
	case s.isRequest && len(s.reports) != len(other.reports):
		return len(s.reports) < len(other.reports)
	}
	return s.lastAt().Before(other.lastAt())
}

// unwritten returns the requests whose reports do not go into this instance's record, so that many
// crashes do not make the records large.
func (t *Table) unwritten(ownOnly bool) map[uint64]bool {
	if !ownOnly {
		return nil
	}
	var own []uint64
	for id, s := range t.suspects {
		if s.isRequest && s.isOwn() {
			own = append(own, id)
		}
	}
	if len(own) <= maxOwnRequests {
		return nil
	}
	slices.SortFunc(own, func(a, b uint64) int {
		if t.suspects[a].isDroppedBefore(t.suspects[b]) {
			return 1
		}
		return -1
	})
	left := map[uint64]bool{}
	for _, id := range own[maxOwnRequests:] {
		left[id] = true
	}
	return left
}

func (s *suspect) isOwn() bool {
	for _, one := range s.reports {
		if one.own {
			return true
		}
	}
	return false
}

func (t *Table) dropOldestReport(part uint64, s *suspect) {
	var oldest *report
	for _, one := range s.reports {
		if oldest == nil || one.at.Before(oldest.at) {
			oldest = one
		}
	}
	t.drop(part, oldest.id())
}

// lastAt returns when the last report became known here.
func (s *suspect) lastAt() time.Time {
	var last time.Time
	for _, one := range s.reports {
		if one.at.After(last) {
			last = one.at
		}
	}
	return last
}

func (t *Table) dropOldestCleared() {
	var oldest uint64
	var oldestAt time.Time
	for id, fact := range t.cleared {
		if oldestAt.IsZero() || fact.at.Before(oldestAt) {
			oldest, oldestAt = id, fact.at
		}
	}
	delete(t.cleared, oldest)
	t.digest ^= hash(oldest, 0)
}
