package quarantine

import "time"

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

// dropOldestPart drops the part whose last crash is the oldest, a quarantined one only if all are.
func (t *Table) dropOldestPart() {
	var oldest uint64
	var found *suspect
	for part, s := range t.suspects {
		if found == nil || (found.quarantined && !s.quarantined) ||
			(found.quarantined == s.quarantined && s.lastAt().Before(found.lastAt())) {
			oldest, found = part, s
		}
	}
	for id := range found.reports {
		t.drop(oldest, id)
	}
	delete(t.suspects, oldest)
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
