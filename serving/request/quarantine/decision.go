package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// until returns when the quarantine of a part or request ends, the zero time if it is not
// quarantined.
func (t *Table) until(now time.Time, part uint64, s *suspect) time.Time {
	if s.isRequest {
		return t.untilOfRequest(now, part, s)
	}
	answered := t.answeredParts.has(now, part)
	needed := crashes
	if answered {
		needed = crashesOfAnswered
	}
	if len(s.reports) < needed {
		return time.Time{}
	}
	var counted []Report
	first, answers := false, t.answers
	for _, one := range s.reports {
		if (answered || one.First) && t.isExplained(one.Report) {
			continue
		}
		counted = append(counted, one.Report)
		first, answers = first || one.First, min(answers, one.answers)
	}
	others := t.answers - answers
	if !suffice(counted, needed) || t.isOneRequest(counted) || (answered && others < otherAnswers) || (first && others < otherAnswersOfFirst) {
		return time.Time{}
	}
	return s.lastAt().Add(quarantinePeriod)
}

// suffice reports whether reports of one part tell of enough separate crashes under enough requests.
func suffice(reports []Report, needed int) bool {
	if len(reports) < needed {
		return false
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.AtMS, b.AtMS) })
	different := map[uint64]bool{}
	separate, last := 0, Report{}
	for _, one := range reports {
		different[one.Request] = true
		if separate == 0 || one.Request == last.Request || one.AtMS-last.AtMS >= separation.Milliseconds() {
			separate, last = separate+1, one
		}
	}
	return separate >= needed && len(different) >= requests
}

// isExplained reports whether a crash counts against another part: one that is neither the first of
// its prompt nor was answered recently, and that was lost in enough crashes, this one among them.
func (t *Table) isExplained(one Report) bool {
	for part, s := range t.suspects {
		if s.isRequest || part == one.Part || len(s.reports) < crashes {
			continue
		}
		other := s.reports[hash(part, one.Server)]
		if other == nil || other.First || t.answeredParts.has(other.at, part) {
			continue
		}
		if suffice(s.all(), crashes) {
			return true
		}
	}
	return false
}
