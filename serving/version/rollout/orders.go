package rollout

import (
	"maps"
	"slices"
)

// barredMost bounds the versions that a record bars. The oldest without servers are dropped
// beyond it, since a record must stay small.
const barredMost = 64

// begin returns the first record of an order.
func (l *situation) begin(c *course) *Decision {
	if l.held && l.stored.To == l.order.To {
		switch {
		case l.stored.Phase == Completed:
			return l.repeat(c, "completed before")
		case l.stored.Phase == Reverted && l.stored.Bad && !l.stored.Withdrawn:
			return l.repeat(c, l.stored.Reason)
		}
	}
	record := Record{
		Service: l.service, To: l.order.To, Order: l.order.Revision, Phase: Trial,
		StartedMS: c.startedMS, DurationMS: l.order.Duration.Milliseconds(),
	}
	if l.held {
		record.Barred = l.bars()
	}
	record.From = l.others(record)
	step := StepTrial
	if len(record.From) == 0 && l.versions[record.To].Count > 0 {
		record.Phase, record.Reason = Completed, "only version"
		step = StepCompleted
	}
	return &Decision{
		Record: record, Write: true, Step: step, Finding: Finding{Reason: record.Reason},
	}
}

// repeat answers an order that asks again for what was settled.
func (l *situation) repeat(c *course, reason string) *Decision {
	record := l.stored.Record
	record.Order, record.Reason = l.order.Revision, reason
	record.StartedMS, record.DurationMS = c.startedMS, l.order.Duration.Milliseconds()
	return &Decision{
		Record: record, Write: true, Step: StepRepeated, Finding: Finding{Reason: reason},
	}
}

// withdrawn settles a record whose order the operator took back.
func (l *situation) withdrawn() *Decision {
	record := l.stored.Record
	switch {
	case record.Phase.InProgress():
		record.Phase, record.Reason = Reverted, "withdrawn"
	case record.Phase == Reverted && record.Bad && !record.Withdrawn:
		// From now on an order for the version is a new roll-out.
	default:
		return nil
	}
	record.Withdrawn = true
	return &Decision{
		Record: record, Write: true, Step: StepWithdrawn, Finding: Finding{Reason: "withdrawn"},
	}
}

// bars returns the versions that the stored record leaves barred under a new order.
func (l *situation) bars() []string {
	bars := slices.Clone(l.stored.Barred)
	if l.stored.Phase == Completed {
		bars = with(bars, l.stored.From...)
	} else {
		bars = with(bars, l.stored.To)
	}
	bars = slices.DeleteFunc(bars, func(version string) bool { return version == l.order.To })
	for i := 0; len(bars) > barredMost && i < len(bars); {
		if _, serves := l.versions[bars[i]]; serves {
			i++
			continue
		}
		bars = slices.Delete(bars, i, i+1)
	}
	return bars
}

// others returns the old versions of a record: those it names, and those with servers that it
// neither bars nor moves to.
func (l *situation) others(record Record) []string {
	others := slices.Clone(record.From)
	for _, version := range slices.Sorted(maps.Keys(l.versions)) {
		if version != record.To && !slices.Contains(record.Barred, version) {
			others = with(others, version)
		}
	}
	return others
}
