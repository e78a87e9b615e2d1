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
	c := &orderProgress{order: order, last: s.now, startedMS: s.now.UnixMilli()}
	if s.hasRecord && s.stored.Order == order {
		since := s.now.UnixMilli() - s.stored.StartedMS
		c.elapsed = max(time.Duration(since)*time.Millisecond, 0)
		c.startedMS = s.stored.StartedMS
		c.pool.base = s.stored.Evidence.Clone()
	}
	c.initialElapsed, c.snapshotAt, c.savedAt = c.elapsed, c.elapsed, c.elapsed
	return c
}

func (c *orderProgress) advance(now time.Time) {
	c.elapsed += min(max(now.Sub(c.last), 0), maxTimeStep)
	c.last = now
}

// settleDeadline returns the time after an order by which its roll-out is settled.
func settleDeadline(duration time.Duration) time.Duration {
	part := time.Duration(settleMarginShare * float64(duration))
	return max(duration-max(minSettleMargin, part), 0)
}

// earliestShift returns the time after an order from which the shift may start.
func earliestShift(duration time.Duration) time.Duration {
	part := time.Duration(shiftTimeShare * float64(duration))
	return max(settleDeadline(duration)-min(part, maxShiftTime), 0)
}

// update adds the reports and evaluates the candidate. A bad verdict is final.
func (c *orderProgress) update(s *serviceInput) {
	c.pool.update(s.reports, c.order)
	c.evidence = c.pool.sum()
	if c.finding.Verdict == Bad {
		return
	}
	var recent *Evidence
	if len(c.snapshots) == maxSnapshots {
		since := c.evidence.Since(c.snapshots[0])
		recent = &since
	}
	c.finding = evaluate(c.evidence, recent)
	if c.elapsed-c.snapshotAt < snapshotInterval {
		return
	}
	c.snapshotAt = c.elapsed
	c.snapshots = append(c.snapshots, c.evidence.withoutWaiting())
	if len(c.snapshots) > maxSnapshots {
		c.snapshots = c.snapshots[1:]
	}
}

// trial decides on a roll-out in trial.
func (c *orderProgress) trial(s *serviceInput) *Decision {
	c.decideTrial(s)
	if c.trialOutcome == "" {
		return c.continueTrial(s)
	}
	record := s.stored.Record
	record.Phase, record.Reason = c.trialOutcome, c.reason
	record.Bad = c.trialOutcome == Reverted && (c.finding.Verdict == Bad || c.finding.Doubtful)
	record.Evidence = c.evidence.withoutWaiting()
	step := StepReverted
	if c.trialOutcome == Shift {
		record.From = s.oldVersions(record)
		step = StepShift
	}
	return &Decision{
		Record: record, Write: true, Permit: c.trialOutcome == Shift,
		Step: step, Finding: c.findingWithReason(c.reason),
	}
}

// decideTrial ends the trial once the evidence suffices. Only the outcome Shift may still change
// afterwards, to a bad verdict.
func (c *orderProgress) decideTrial(s *serviceInput) {
	duration := time.Duration(s.stored.DurationMS) * time.Millisecond
	pooled := c.elapsed-c.initialElapsed >= poolingTime
	late := c.elapsed >= settleDeadline(duration) && pooled
	switch {
	case c.finding.Verdict == Bad:
		if c.trialOutcome == "" || c.trialOutcome == Shift {
			c.trialOutcome, c.reason = Reverted, c.finding.describe()
		}
	case c.trialOutcome != "":
	case len(s.oldVersions(s.stored.Record)) == 0 && s.versions[s.stored.To].Count > 0:
		c.trialOutcome, c.reason = Shift, "only version"
	case c.finding.Verdict == Good && c.elapsed >= earliestShift(duration) && pooled && s.hasCapacity():
		c.trialOutcome, c.reason = Shift, "good"
	case late && c.finding.Doubtful:
		c.trialOutcome, c.reason = Reverted, c.finding.describe()
	case late && (c.finding.Verdict == Good || s.versions[s.stored.To].Count == 0):
		c.trialOutcome, c.reason = Reverted, "too few servers"
	case late:
		c.trialOutcome, c.reason = Reverted, "too few answers"
	}
}

// continueTrial renews the permit of a trial and periodically saves its evidence.
func (c *orderProgress) continueTrial(s *serviceInput) *Decision {
	decision := &Decision{Record: s.stored.Record, Permit: true, Finding: c.finding}
	duration := time.Duration(s.stored.DurationMS) * time.Millisecond
	quiet := c.elapsed >= earliestShift(duration)-evidenceSaveCutoff
	answers, _ := c.evidence.Answers()
	if quiet || c.elapsed-c.savedAt < evidenceSaveInterval || answers <= c.savedAnswers {
		return decision
	}
	c.savedAt, c.savedAnswers = c.elapsed, answers
	decision.Record.Evidence = c.evidence.withoutWaiting()
	decision.Write, decision.Step = true, StepEvidence
	return decision
}

// shift decides on a roll-out in shift.
func (c *orderProgress) shift(s *serviceInput) *Decision {
	record := s.stored.Record
	if c.completionUnknown && c.completionRevision != s.stored.Revision {
		c.completionUnknown = false // the record shows the result of the write
	}
	// The store may already hold the completed record, and the old servers may be gone.
	if c.completionUnknown {
		return c.complete(s)
	}
	if c.finding.Verdict == Bad {
		return c.revert(record)
	}
	late := c.elapsed >= settleDeadline(time.Duration(record.DurationMS)*time.Millisecond)
	// Since all requests go to the candidate, evidence grows fast: a fault that the short trial
	// could not show appears here, while the old servers still run.
	if late && c.finding.Doubtful {
		return c.revert(record)
	}
	trusted := c.finding.Verdict == Good || len(s.oldVersions(record)) == 0
	if (late || s.shiftApplied(c.order)) && trusted && s.hasCapacity() {
		return c.complete(s)
	}
	return &Decision{Record: record, Permit: true, Finding: c.finding}
}

// revert ends the shift of a bad or doubtful version.
func (c *orderProgress) revert(record Record) *Decision {
	record.Phase, record.Bad, record.Reason = Reverted, true, c.finding.describe()
	record.Evidence = c.evidence.withoutWaiting()
	return &Decision{
		Record: record, Write: true, Step: StepReverted, Finding: c.findingWithReason(record.Reason),
	}
}

func (c *orderProgress) complete(s *serviceInput) *Decision {
	record := s.stored.Record
	record.Phase, record.Reason = Completed, "good"
	record.From = s.oldVersions(record)
	record.Evidence = c.evidence.withoutWaiting()
	return &Decision{
		Record: record, Write: true, Step: StepCompleted, Finding: c.findingWithReason(record.Reason),
	}
}

func (c *orderProgress) findingWithReason(reason string) Finding {
	finding := c.finding
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
