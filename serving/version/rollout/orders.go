package rollout

import (
	"maps"
	"slices"
)

// maxBarredVersions bounds the barred versions of a record, to keep it small. Beyond it, the
// oldest ones without servers are dropped.
const maxBarredVersions = 64

// startOrder returns the first record of an order.
func (s *serviceInput) startOrder(p *orderProgress) *Decision {
	if s.hasRecord && s.stored.To == s.order.To {
		switch {
		case s.stored.Phase == Completed:
			return s.repeatOutcome(p, "completed before")
		case s.stored.Phase == Reverted && s.stored.Bad && !s.stored.Withdrawn:
			return s.repeatOutcome(p, s.stored.Reason)
		}
	}
	record := Record{
		Service: s.service, To: s.order.To, Order: s.order.Revision, Phase: Trial,
		StartedMS: p.startedMS, DurationMS: s.order.Duration.Milliseconds(),
	}
	if s.hasRecord {
		record.Barred = s.barredVersions()
	}
	record.From = s.oldVersions(record)
	step := StepTrial
	if len(record.From) == 0 && s.versions[record.To].Count > 0 {
		record.Phase, record.Reason = Completed, "only version"
		step = StepCompleted
	}
	return &Decision{
		Record: record, Write: true, Step: step, Finding: Finding{Reason: record.Reason},
	}
}

// repeatOutcome answers an order whose roll-out was settled under an earlier order.
func (s *serviceInput) repeatOutcome(p *orderProgress, reason string) *Decision {
	record := s.stored.Record
	record.Order, record.Reason = s.order.Revision, reason
	record.StartedMS, record.DurationMS = p.startedMS, s.order.Duration.Milliseconds()
	return &Decision{
		Record: record, Write: true, Step: StepRepeated, Finding: Finding{Reason: reason},
	}
}

// withdraw settles a record whose order the operator deleted.
func (s *serviceInput) withdraw() *Decision {
	record := s.stored.Record
	switch {
	case record.Phase.InProgress():
		record.Phase, record.Reason = Reverted, "withdrawn"
	case record.Phase == Reverted && record.Bad && !record.Withdrawn:
		// A later order for the version starts a new roll-out.
	default:
		return nil
	}
	record.Withdrawn = true
	return &Decision{
		Record: record, Write: true, Step: StepWithdrawn, Finding: Finding{Reason: "withdrawn"},
	}
}

// barredVersions returns the versions that stay barred under a new order.
func (s *serviceInput) barredVersions() []string {
	bars := slices.Clone(s.stored.Barred)
	if s.stored.Phase == Completed {
		bars = appendMissing(bars, s.stored.From...)
	} else {
		bars = appendMissing(bars, s.stored.To)
	}
	bars = slices.DeleteFunc(bars, func(version string) bool { return version == s.order.To })
	for i := 0; len(bars) > maxBarredVersions && i < len(bars); {
		if _, serves := s.versions[bars[i]]; serves {
			i++
			continue
		}
		bars = slices.Delete(bars, i, i+1)
	}
	return bars
}

// oldVersions returns the old versions of a record: those in its From, and those with servers
// that are neither barred nor the candidate.
func (s *serviceInput) oldVersions(record Record) []string {
	others := slices.Clone(record.From)
	for _, version := range slices.Sorted(maps.Keys(s.versions)) {
		if version != record.To && !slices.Contains(record.Barred, version) {
			others = appendMissing(others, version)
		}
	}
	return others
}
