package rollout

import (
	"fmt"
	"time"
)

const (
	// A roll-out is settled at the latest minSettleMargin or settleMarginShare of its duration
	// before the deadline, whichever is longer, to leave time for a slow store.
	minSettleMargin   = 1500 * time.Millisecond
	settleMarginShare = 0.1
	// The shift gets maxShiftTime or shiftTimeShare of the duration, whichever is shorter. The
	// trial lasts until then, because a version may turn bad late.
	maxShiftTime   = 5 * time.Second
	shiftTimeShare = 0.25
	// poolingTime is how long a holder collects reports before it ends a trial whose candidate
	// is not bad: the time that pooling takes with 380 instances.
	poolingTime = 1300 * time.Millisecond
	// maxTimeStep bounds the time counted between two evaluations. The lease on the duties
	// expires earlier, so a longer step means that the wall clock was set.
	maxTimeStep = 6 * time.Second
	// snapshotInterval is the time between snapshots of the evidence, and maxSnapshots their
	// number: recent answers are those of the last two to three seconds. That is less than
	// Limits.Rollback, the time from the 50th bad answer to the last request.
	snapshotInterval = time.Second
	maxSnapshots     = 3
	// evidenceSaveInterval is how often the evidence of a trial is saved in its record, in case
	// all processes are lost. No save starts within evidenceSaveCutoff before the shift, so that
	// the record's revision is known when the verdict is written.
	evidenceSaveInterval = 3 * time.Second
	evidenceSaveCutoff   = time.Second
	// slotsPerRequest is the number of ready slots that the candidate needs for each request in
	// flight: the load may double while the old servers drain.
	slotsPerRequest = 2
)

// orderProgress is the holder's state of one order, in addition to the record.
type orderProgress struct {
	order uint64
	// elapsed is the time since the order, summed over the evaluations, so that setting the
	// clock changes it by at most maxTimeStep. initialElapsed is its value at this holder's
	// first evaluation.
	elapsed, initialElapsed time.Duration
	last                    time.Time
	startedMS               int64
	examined                bool // the record was evaluated before
	pool                    pool
	evidence                Evidence
	snapshots               []Evidence // newest last, one for each snapshotInterval
	snapshotAt              time.Duration
	savedAt                 time.Duration
	savedAnswers            int // candidate answers in the last save
	// finding is the latest one, or the first with the verdict Bad.
	finding Finding
	// trialOutcome is the phase that ends the trial, kept until it is written.
	trialOutcome Phase
	reason       string
	pendingStep  Step // returned, write not accepted yet
	// completionUnknown is set if the reply to a write of Completed was lost. The write was
	// conditional on completionRevision.
	completionUnknown  bool
	completionRevision uint64
}

func newOrderProgress(s *serviceInput, order uint64) *orderProgress {
	p := &orderProgress{order: order, last: s.now, startedMS: s.now.UnixMilli()}
	if s.hasRecord && s.stored.Order == order {
		since := s.now.UnixMilli() - s.stored.StartedMS
		p.elapsed = max(time.Duration(since)*time.Millisecond, 0)
		p.startedMS = s.stored.StartedMS
		p.pool.base = s.stored.Evidence.Clone()
	}
	p.initialElapsed, p.snapshotAt, p.savedAt = p.elapsed, p.elapsed, p.elapsed
	return p
}

func (p *orderProgress) advance(now time.Time) {
	p.elapsed += min(max(now.Sub(p.last), 0), maxTimeStep)
	p.last = now
}

// settleDeadline returns the time from an order to the latest moment at which its roll-out is
// settled.
func settleDeadline(duration time.Duration) time.Duration {
	part := time.Duration(settleMarginShare * float64(duration))
	return max(duration-max(minSettleMargin, part), 0)
}

// earliestShift returns the time from an order to the earliest start of its shift.
func earliestShift(duration time.Duration) time.Duration {
	part := time.Duration(shiftTimeShare * float64(duration))
	return max(settleDeadline(duration)-min(part, maxShiftTime), 0)
}

// update adds the reports and evaluates the candidate. A bad verdict is final.
func (p *orderProgress) update(s *serviceInput) {
	p.pool.update(s.reports, p.order)
	p.evidence = p.pool.sum()
	if p.finding.Verdict == Bad {
		return
	}
	var recent *Evidence
	if len(p.snapshots) == maxSnapshots {
		since := p.evidence.Since(p.snapshots[0])
		recent = &since
	}
	p.finding = evaluate(p.evidence, recent)
	if p.elapsed-p.snapshotAt < snapshotInterval {
		return
	}
	p.snapshotAt = p.elapsed
	p.snapshots = append(p.snapshots, p.evidence.withoutWaiting())
	if len(p.snapshots) > maxSnapshots {
		p.snapshots = p.snapshots[1:]
	}
}

// trial decides on a roll-out in trial.
func (p *orderProgress) trial(s *serviceInput) *Decision {
	p.decideTrial(s)
	if p.trialOutcome == "" {
		return p.continueTrial(s)
	}
	record := s.stored.Record
	record.Phase, record.Reason = p.trialOutcome, p.reason
	record.Bad = p.trialOutcome == Reverted && (p.finding.Verdict == Bad || p.finding.Doubtful)
	record.Evidence = p.evidence.withoutWaiting()
	step := StepReverted
	if p.trialOutcome == Shift {
		record.From = s.oldVersions(record)
		step = StepShift
	}
	return &Decision{
		Record: record, Write: true, Permit: p.trialOutcome == Shift,
		Step: step, Finding: p.findingWithReason(p.reason),
	}
}

// decideTrial ends the trial once the evidence suffices. Only the outcome Shift may still change
// afterwards, to a bad verdict.
func (p *orderProgress) decideTrial(s *serviceInput) {
	duration := time.Duration(s.stored.DurationMS) * time.Millisecond
	pooled := p.elapsed-p.initialElapsed >= poolingTime
	late := p.elapsed >= settleDeadline(duration) && pooled
	switch {
	case p.finding.Verdict == Bad:
		if p.trialOutcome == "" || p.trialOutcome == Shift {
			p.trialOutcome, p.reason = Reverted, p.finding.describe()
		}
	case p.trialOutcome != "":
	case len(s.oldVersions(s.stored.Record)) == 0 && s.versions[s.stored.To].Count > 0:
		p.trialOutcome, p.reason = Shift, "only version"
	case p.finding.Verdict == Good && p.elapsed >= earliestShift(duration) && pooled && s.hasCapacity():
		p.trialOutcome, p.reason = Shift, "good"
	case late && p.finding.Doubtful:
		p.trialOutcome, p.reason = Reverted, p.finding.describe()
	case late && (p.finding.Verdict == Good || s.versions[s.stored.To].Count == 0):
		p.trialOutcome, p.reason = Reverted, "too few servers"
	case late:
		p.trialOutcome, p.reason = Reverted, "too few answers"
	}
}

// continueTrial renews the permit of a trial and periodically saves its evidence.
func (p *orderProgress) continueTrial(s *serviceInput) *Decision {
	decision := &Decision{Record: s.stored.Record, Permit: true, Finding: p.finding}
	duration := time.Duration(s.stored.DurationMS) * time.Millisecond
	quiet := p.elapsed >= earliestShift(duration)-evidenceSaveCutoff
	answers, _ := p.evidence.Answers()
	if quiet || p.elapsed-p.savedAt < evidenceSaveInterval || answers <= p.savedAnswers {
		return decision
	}
	p.savedAt, p.savedAnswers = p.elapsed, answers
	decision.Record.Evidence = p.evidence.withoutWaiting()
	decision.Write, decision.Step = true, StepEvidence
	return decision
}

// shift decides on a roll-out in shift.
func (p *orderProgress) shift(s *serviceInput) *Decision {
	record := s.stored.Record
	if p.completionUnknown && p.completionRevision != s.stored.Revision {
		p.completionUnknown = false // the record shows the result of the write
	}
	// The store may already hold the completed record, and the old servers may be gone.
	if p.completionUnknown {
		return p.complete(s)
	}
	if p.finding.Verdict == Bad {
		return p.revert(record)
	}
	late := p.elapsed >= settleDeadline(time.Duration(record.DurationMS)*time.Millisecond)
	// Since all requests go to the candidate, evidence grows fast: a fault that the short trial
	// could not show appears here, while the old servers still run.
	if late && p.finding.Doubtful {
		return p.revert(record)
	}
	trusted := p.finding.Verdict == Good || len(s.oldVersions(record)) == 0
	if (late || s.shiftApplied(p.order)) && trusted && s.hasCapacity() {
		return p.complete(s)
	}
	return &Decision{Record: record, Permit: true, Finding: p.finding}
}

// revert ends the shift of a bad or doubtful version.
func (p *orderProgress) revert(record Record) *Decision {
	record.Phase, record.Bad, record.Reason = Reverted, true, p.finding.describe()
	record.Evidence = p.evidence.withoutWaiting()
	return &Decision{
		Record: record, Write: true, Step: StepReverted, Finding: p.findingWithReason(record.Reason),
	}
}

func (p *orderProgress) complete(s *serviceInput) *Decision {
	record := s.stored.Record
	record.Phase, record.Reason = Completed, "good"
	record.From = s.oldVersions(record)
	record.Evidence = p.evidence.withoutWaiting()
	return &Decision{
		Record: record, Write: true, Step: StepCompleted, Finding: p.findingWithReason(record.Reason),
	}
}

func (p *orderProgress) findingWithReason(reason string) Finding {
	finding := p.finding
	finding.Reason = reason
	return finding
}

// describe returns a one-line reason for a bad or doubtful verdict.
func (f Finding) describe() string {
	verdict := f.Verdict
	if f.Doubtful {
		verdict = "doubtful"
	}
	where := "all routes"
	if f.Route != "" {
		where = "route " + f.Route
	}
	return fmt.Sprintf("%s: %s on %s, %d of %d", verdict, f.Test, where, f.Bad, f.Answers)
}

// hasCapacity reports whether the candidate has enough ready servers for the service.
func (s *serviceInput) hasCapacity() bool {
	ready := s.versions[s.stored.To]
	if ready.Count == 0 {
		return false
	}
	old := 0
	for _, version := range s.oldVersions(s.stored.Record) {
		old += s.versions[version].Slots
	}
	if ready.Slots >= old {
		return true
	}
	if len(s.reports) == 0 {
		return false
	}
	running := 0
	for _, report := range s.reports {
		running += max(report.InFlight, 0)
	}
	// Instances without a report are assumed to run as many requests as the others.
	running += running * max(s.missingReports, 0) / len(s.reports)
	return ready.Slots >= slotsPerRequest*running
}

// shiftApplied reports whether all reporting instances follow the shift and have no requests in
// flight at old servers.
func (s *serviceInput) shiftApplied(order uint64) bool {
	for _, report := range s.reports {
		if report.Order != order || report.Applied != Shift || report.InFlightOld > 0 {
			return false
		}
	}
	return len(s.reports) > 0
}
