package rollout

import (
	"fmt"
	"time"
)

const (
	// lastLeast and lastPart are the time before the deadline at which a roll-out is settled at
	// the latest, the longer of the two: it leaves time for a slow store.
	lastLeast = 1500 * time.Millisecond
	lastPart  = 0.1
	// shiftMost and shiftPart are the time for the shift, the shorter of the two. The trial
	// lasts until then, because a version may turn bad late.
	shiftMost = 5 * time.Second
	shiftPart = 0.25
	// poolTime is how long a holder hears reports before it ends a trial that isn't bad: the
	// time that pooling takes in a fleet of 380.
	poolTime = 1300 * time.Millisecond
	// stepMost bounds the time between two looks. The lease of the duties ends before it, so a
	// longer step is a clock that was set.
	stepMost = 6 * time.Second
	// recentStep is how often evidence is kept for the test of recent answers, and recentSteps
	// how many are kept: the test is of the last two to three seconds, which is below the time
	// between the 50th bad answer and the end of requests (Limits.Rollback).
	recentStep  = time.Second
	recentSteps = 3
	// evidencePeriod is how often the evidence of a trial is saved in its record, for the case
	// that all processes are lost. No save begins in evidenceQuiet before the shift, so that the
	// record's revision is known when the verdict is written.
	evidencePeriod = 3 * time.Second
	evidenceQuiet  = time.Second
	// slotsPerRequest is how many ready slots the candidate must have for each request in
	// flight: load may double while the old servers end.
	slotsPerRequest = 2
)

// course is what the holder knows of one order beyond its record.
type course struct {
	order uint64
	// elapsed is the time since the order, summed over the holder's looks: a clock that is set
	// does not lengthen or shorten it by more than stepMost. begun is its value at this holder's first look.
	elapsed, begun time.Duration
	last           time.Time
	startedMS      int64
	taken          bool // the record was looked at before
	pool           pool
	evidence       Evidence
	earlier        []Evidence // newest last, one for each recentStep
	keptAt         time.Duration
	savedAt        time.Duration
	saved          int // candidate answers in the last save
	// finding is the newest, or the first that was bad.
	finding Finding
	// decided is the phase that ends the trial, kept until it is written.
	decided Phase
	reason  string
	step    Step // returned and not accepted yet
	// uncertain tells that the reply to a write of Completed was lost, which was conditioned on
	// the revision uncertainAt.
	uncertain   bool
	uncertainAt uint64
}

func newCourse(l *situation, order uint64) *course {
	c := &course{order: order, last: l.now, startedMS: l.now.UnixMilli()}
	if l.held && l.stored.Order == order {
		since := l.now.UnixMilli() - l.stored.StartedMS
		c.elapsed = max(time.Duration(since)*time.Millisecond, 0)
		c.startedMS = l.stored.StartedMS
		c.pool.base = l.stored.Evidence.Clone()
	}
	c.begun, c.keptAt, c.savedAt = c.elapsed, c.elapsed, c.elapsed
	return c
}

func (c *course) advance(now time.Time) {
	c.elapsed += min(max(now.Sub(c.last), 0), stepMost)
	c.last = now
}

// lastMoment returns the time after an order at which its roll-out is settled at the latest.
func lastMoment(duration time.Duration) time.Duration {
	part := time.Duration(lastPart * float64(duration))
	return max(duration-max(lastLeast, part), 0)
}

// shiftFrom returns the time after an order from which the shift may begin.
func shiftFrom(duration time.Duration) time.Duration {
	part := time.Duration(shiftPart * float64(duration))
	return max(lastMoment(duration)-min(part, shiftMost), 0)
}

// learn takes in the reports and judges the candidate. A bad verdict stays.
func (c *course) learn(l *situation) {
	c.pool.take(l.reports, c.order)
	c.evidence = c.pool.sum()
	if c.finding.Verdict == Bad {
		return
	}
	var recent *Evidence
	if len(c.earlier) == recentSteps {
		since := c.evidence.Since(c.earlier[0])
		recent = &since
	}
	c.finding = judge(c.evidence, recent)
	if c.elapsed-c.keptAt < recentStep {
		return
	}
	c.keptAt = c.elapsed
	c.earlier = append(c.earlier, c.evidence.settled())
	if len(c.earlier) > recentSteps {
		c.earlier = c.earlier[1:]
	}
}

// trial decides about a roll-out in trial.
func (c *course) trial(l *situation) *Decision {
	c.settle(l)
	if c.decided == "" {
		return c.goOn(l)
	}
	record := l.stored.Record
	record.Phase, record.Reason = c.decided, c.reason
	record.Bad = c.decided == Reverted && (c.finding.Verdict == Bad || c.finding.Doubtful)
	record.Evidence = c.evidence.settled()
	step := StepReverted
	if c.decided == Shift {
		record.From = l.others(record)
		step = StepShift
	}
	return &Decision{
		Record: record, Write: true, Permit: c.decided == Shift,
		Step: step, Finding: c.explained(c.reason),
	}
}

// settle decides how the trial ends, once it can. Of what is decided only a shift may change,
// to a bad verdict.
func (c *course) settle(l *situation) {
	duration := time.Duration(l.stored.DurationMS) * time.Millisecond
	pooled := c.elapsed-c.begun >= poolTime
	late := c.elapsed >= lastMoment(duration) && pooled
	switch {
	case c.finding.Verdict == Bad:
		if c.decided == "" || c.decided == Shift {
			c.decided, c.reason = Reverted, c.finding.describe()
		}
	case c.decided != "":
	case len(l.others(l.stored.Record)) == 0 && l.versions[l.stored.To].Count > 0:
		c.decided, c.reason = Shift, "only version"
	case c.finding.Verdict == Good && c.elapsed >= shiftFrom(duration) && pooled && l.enough():
		c.decided, c.reason = Shift, "good"
	case late && c.finding.Doubtful:
		c.decided, c.reason = Reverted, c.finding.describe()
	case late && (c.finding.Verdict == Good || l.versions[l.stored.To].Count == 0):
		c.decided, c.reason = Reverted, "too few servers"
	case late:
		c.decided, c.reason = Reverted, "too few answers"
	}
}

// goOn renews the permits of a trial, and saves its evidence from time to time.
func (c *course) goOn(l *situation) *Decision {
	decision := &Decision{Record: l.stored.Record, Permit: true, Finding: c.finding}
	duration := time.Duration(l.stored.DurationMS) * time.Millisecond
	quiet := c.elapsed >= shiftFrom(duration)-evidenceQuiet
	answers, _ := c.evidence.Answers()
	if quiet || c.elapsed-c.savedAt < evidencePeriod || answers <= c.saved {
		return decision
	}
	c.savedAt, c.saved = c.elapsed, answers
	decision.Record.Evidence = c.evidence.settled()
	decision.Write, decision.Step = true, StepEvidence
	return decision
}

// shift decides about a roll-out in shift.
func (c *course) shift(l *situation) *Decision {
	record := l.stored.Record
	if c.uncertain && c.uncertainAt != l.stored.Revision {
		c.uncertain = false // the record says what became of the write
	}
	// The store may hold the completed record already, and the old servers be gone.
	if c.uncertain {
		return c.complete(l)
	}
	if c.finding.Verdict == Bad {
		return c.revert(record)
	}
	late := c.elapsed >= lastMoment(time.Duration(record.DurationMS)*time.Millisecond)
	// With all requests at the candidate evidence grows fast: what the trial was too short to
	// tell shows here, while the old servers still run.
	if late && c.finding.Doubtful {
		return c.revert(record)
	}
	trusted := c.finding.Verdict == Good || len(l.others(record)) == 0
	if (late || l.applied(c.order)) && trusted && l.enough() {
		return c.complete(l)
	}
	return &Decision{Record: record, Permit: true, Finding: c.finding}
}

// revert ends a shift of a version that is bad or doubtful.
func (c *course) revert(record Record) *Decision {
	record.Phase, record.Bad, record.Reason = Reverted, true, c.finding.describe()
	record.Evidence = c.evidence.settled()
	return &Decision{
		Record: record, Write: true, Step: StepReverted, Finding: c.explained(record.Reason),
	}
}

func (c *course) complete(l *situation) *Decision {
	record := l.stored.Record
	record.Phase, record.Reason = Completed, "good"
	record.From = l.others(record)
	record.Evidence = c.evidence.settled()
	return &Decision{
		Record: record, Write: true, Step: StepCompleted, Finding: c.explained(record.Reason),
	}
}

func (c *course) explained(reason string) Finding {
	finding := c.finding
	finding.Reason = reason
	return finding
}

// describe says in a line what a bad or doubtful verdict rests on.
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

// enough tells whether the candidate has enough ready servers for the service.
func (l *situation) enough() bool {
	ready := l.versions[l.stored.To]
	if ready.Count == 0 {
		return false
	}
	old := 0
	for _, version := range l.others(l.stored.Record) {
		old += l.versions[version].Slots
	}
	if ready.Slots >= old {
		return true
	}
	if len(l.reports) == 0 {
		return false
	}
	running := 0
	for _, report := range l.reports {
		running += max(report.InFlight, 0)
	}
	// Instances that did not report are taken to run as many requests as the others.
	running += running * max(l.unheard, 0) / len(l.reports)
	return ready.Slots >= slotsPerRequest*running
}

// applied tells whether all instances that respond follow the shift and none has requests at
// old servers.
func (l *situation) applied(order uint64) bool {
	for _, report := range l.reports {
		if report.Order != order || report.Applied != Shift || report.InFlightOld > 0 {
			return false
		}
	}
	return len(l.reports) > 0
}
