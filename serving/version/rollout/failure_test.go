package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHolderLost guards against a candidate that still gets requests in trial without a holder,
// and against a shift that stops when its holder is lost.
func TestHolderLost(t *testing.T) {
	sim := startedSimulation(t, 4*time.Second)
	require.Equal(t, Trial, sim.record().Phase)
	sim.hasHolder = false
	sim.run(permitTTL + roundTicks*simulationTick)
	before := sim.sent["v2"]
	require.Positive(t, before)
	sim.run(2 * time.Second)
	require.Equal(t, before, sim.sent["v2"])

	sim = startedSimulation(t, 0)
	sim.inFlightOld = 1
	sim.run(8500 * time.Millisecond)
	require.Equal(t, Shift, sim.record().Phase)
	sim.hasHolder = false
	sim.run(5 * time.Second)
	old := sim.sent["v1"]
	sim.run(time.Second)
	require.Equal(t, old, sim.sent["v1"], "new requests stay with the candidate")
}

// TestTakeover guards against a new holder that restarts the roll-out, loses its predecessor's
// evidence, or is overridden by its predecessor.
func TestTakeover(t *testing.T) {
	tests := map[string]struct {
		at  time.Duration
		old int
		restart,
		noRequests, // no requests after the takeover
		bad bool
		want  Phase
		steps []Step
	}{
		"in trial": {
			at: 4 * time.Second, want: Completed,
			steps: []Step{StepTakeover, StepShift, StepCompleted},
		},
		"in trial, all processes restarted": {
			at: 4 * time.Second, restart: true, want: Completed,
			steps: []Step{StepTakeover, StepShift, StepCompleted},
		},
		"in trial, all processes restarted, no requests since": {
			at: 4 * time.Second, restart: true, noRequests: true, want: Completed,
			steps: []Step{StepTakeover, StepShift, StepCompleted},
		},
		"in shift": {
			at: 8500 * time.Millisecond, old: 1, want: Completed,
			steps: []Step{StepTakeover, StepCompleted},
		},
		"in trial, bad": {
			at: 750 * time.Millisecond, bad: true, want: Reverted,
			steps: []Step{StepTakeover, StepReverted},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 5)
			sim.inFlightOld = test.old
			sim.run(250 * time.Millisecond)
			sim.order("v2", usualDuration)
			sim.run(test.at)
			startedMS := sim.record().StartedMS
			predecessor := sim.decider
			sim.decider, sim.fencing, sim.steps = NewDecider(limits), 2, nil
			if test.bad {
				sim.respond = candidateOnly(alwaysFails)
			}
			if test.noRequests {
				sim.rate = 0
			}
			if test.restart {
				for _, n := range sim.instances {
					sim.restart(n)
				}
			}
			sim.run(time.Second)
			require.Empty(t, predecessor.Decide(sim.wallTime(), Input{
				Fencing: 1, Orders: sim.orders, Records: []Stored{{Record: Record{
					Service: "bench", To: "v2", Order: sim.orders[0].Revision, Phase: Trial, Fencing: 2,
				}, Revision: 99}},
			}), "the predecessor is superseded")
			sim.run(usualDuration - test.at - time.Second)
			require.Equal(t, test.want, sim.record().Phase, sim.record().Reason)
			require.Equal(t, test.steps, sim.stepNames())
			require.Equal(t, startedMS, sim.record().StartedMS)
		})
	}
}

// TestTakeoverAfterLastMoment guards against a new holder that reverts a good version before it
// has received the reports.
func TestTakeoverAfterLastMoment(t *testing.T) {
	sim := startedSimulation(t, 7*time.Second)
	sim.decider = NewDecider(limits)
	sim.hasHolder = false
	sim.run(4 * time.Second)
	sim.hasHolder, sim.fencing = true, 2
	sim.run(2 * time.Second)
	require.Equal(t, Completed, sim.record().Phase, sim.record().Reason)
}

// TestStoreFaults guards against verdicts that faults of the store undo, delay forever, or
// change.
func TestStoreFaults(t *testing.T) {
	tests := map[string]struct {
		behave   func(simulatedAttempt) outcome
		phase    Phase // writes of this phase fail
		answer   WriteResult
		apply    bool
		times    int           // how many writes fail
		until    time.Duration // how long writes fail, instead
		turnsBad bool          // the candidate turns bad with the first failing write
		want     Phase
		within   time.Duration
	}{
		"down at the first write": {
			phase: Trial, answer: NotWritten, until: 2 * time.Second, want: Completed, within: usualDuration,
		},
		"down at the shift, past the deadline": {
			phase: Shift, answer: NotWritten, until: 20 * time.Second,
			want: Completed, within: 22 * time.Second,
		},
		"down at completion, past the deadline": {
			phase: Completed, answer: NotWritten, until: 20 * time.Second,
			want: Completed, within: 21 * time.Second,
		},
		"down at a bad verdict": {
			behave: candidateOnly(alwaysFails), phase: Reverted, answer: NotWritten, until: 8 * time.Second,
			want: Reverted, within: 9 * time.Second,
		},
		"reply to the shift lost": {
			phase: Shift, answer: Unknown, apply: true, times: 1, want: Completed, within: usualDuration,
		},
		"reply to completion lost": {
			phase: Completed, answer: Unknown, apply: true, times: 1, want: Completed, within: usualDuration,
		},
		"reply to completion lost, turns bad": {
			phase: Completed, answer: Unknown, times: 6, turnsBad: true, want: Completed, within: usualDuration,
		},
		"completion refused, turns bad": {
			phase: Completed, answer: NotWritten, times: 6, turnsBad: true, want: Reverted, within: usualDuration,
		},
		"reply to a bad verdict lost": {
			behave: candidateOnly(alwaysFails), phase: Reverted, answer: Unknown, apply: true, times: 1,
			want: Reverted, within: usualDuration,
		},
		"shift refused, turns bad": {
			phase: Shift, answer: NotWritten, until: 20 * time.Second, turnsBad: true,
			want: Reverted, within: usualDuration,
		},
		"conflict": {
			phase: Shift, answer: Conflict, times: 3, want: Completed, within: usualDuration,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 5)
			if test.behave != nil {
				sim.respond = test.behave
			}
			sim.run(250 * time.Millisecond)
			sim.order("v2", usualDuration)
			failed := 0
			sim.write = func(d Decision) (WriteResult, bool) {
				down := failed < test.times || sim.elapsed < test.until
				if d.Record.Phase != test.phase || !down {
					return Accepted, true
				}
				failed++
				if test.turnsBad {
					sim.respond = candidateOnly(alwaysFails)
				}
				return test.answer, test.apply
			}
			sim.run(test.within)
			require.Positive(t, failed)
			require.Equal(t, test.want, sim.record().Phase, sim.record().Reason)
			if test.want == Reverted && test.behave != nil {
				require.LessOrEqual(t, sim.lastCandidate-sim.fiftiethBad, limits.Rollback)
				require.LessOrEqual(t, float64(sim.sent["v2"]), 0.1*float64(sim.total)+50)
			}
		})
	}
}

// TestTrialOutcomeIsFinal guards against a failed trial that goes on because the store rejects
// the record until a later evaluation comes out better.
func TestTrialOutcomeIsFinal(t *testing.T) {
	sim := newSimulation(t, 5)
	sim.servers["v2"], sim.inFlight = 2, 40
	sim.run(250 * time.Millisecond)
	sim.order("v2", usualDuration)
	sim.write = func(d Decision) (WriteResult, bool) {
		if d.Record.Phase == Reverted && sim.elapsed < 15*time.Second {
			return NotWritten, false
		}
		return Accepted, true
	}
	sim.run(usualDuration)
	require.Equal(t, Trial, sim.record().Phase)
	sim.servers["v2"] = 20
	sim.run(5 * time.Second)
	require.Equal(t, Reverted, sim.record().Phase)
	require.Equal(t, []Step{StepTrial, StepReverted}, sim.stepNames(), "repeated steps are marked as such")
}

// TestLaggingView guards against a holder that writes a record again, or stops its permits,
// while its view does not show the accepted write.
func TestLaggingView(t *testing.T) {
	for name, revision := range map[string]uint64{"revision unknown": 0, "revision known": 5} {
		t.Run(name, func(t *testing.T) {
			d := NewDecider(limits)
			in := Input{
				Fencing: 1,
				Orders:  []Order{{Service: "bench", To: "v2", Duration: usualDuration, Revision: 4}},
				Servers: map[string]map[string]Servers{
					"bench": {"v1": {Count: 1, Slots: 1}, "v2": {Count: 1, Slots: 1}},
				},
			}
			first := d.Decide(start, in)
			require.Len(t, first, 1)
			require.True(t, first[0].Write)
			first[0].WrittenRevision = revision
			d.HandleWriteResult(start, first[0], Accepted)
			for i := range 4 {
				next := d.Decide(start.Add(time.Duration(i)*250*time.Millisecond), in)
				require.Len(t, next, 1)
				require.False(t, next[0].Write)
				require.True(t, next[0].Permit)
				require.Equal(t, Trial, next[0].Record.Phase)
				require.Equal(t, revision, next[0].Revision)
			}
			again := d.Decide(start.Add(writeVisibilityTimeout+time.Second), in)
			require.True(t, again[0].Write, "the record is gone")
		})
	}
}

// TestPartitionedInstance guards against exposure on an instance that does not learn that a
// version was reverted.
func TestPartitionedInstance(t *testing.T) {
	sim := startedSimulation(t, 2*time.Second)
	cut := sim.instances[0]
	cut.partitioned = true
	sim.respond = candidateOnly(alwaysFails)
	sim.run(5 * time.Second)
	require.Equal(t, Reverted, sim.record().Phase)
	order, phase := cut.gate.Applied("bench")
	require.Equal(t, sim.record().Order, order)
	require.Equal(t, Trial, phase, "the partitioned instance still has the trial")
	require.LessOrEqual(t, sim.lastCandidate-sim.fiftiethBad, limits.Rollback)
	before := sim.sent["v2"]
	sim.run(2 * time.Second)
	require.Equal(t, before, sim.sent["v2"])
}

// TestClockSetForward guards against a trial cut short because the wall clock was set forward.
func TestClockSetForward(t *testing.T) {
	sim := newSimulation(t, 5)
	sim.order("v2", time.Minute)
	sim.run(5 * time.Second)
	sim.skew = time.Hour
	sim.run(30 * time.Second)
	require.Equal(t, Trial, sim.record().Phase)
	sim.run(25 * time.Second)
	require.Equal(t, Completed, sim.record().Phase)
}

// TestBadEndsPermits guards against permits for a bad version while the store is down, or a
// stale view shows the record in trial.
func TestBadEndsPermits(t *testing.T) {
	for name, lagging := range map[string]bool{"store down": false, "view lags": true} {
		t.Run(name, func(t *testing.T) {
			var evidence Evidence
			cohort{n: 200}.add(&evidence, "review", false)
			cohort{n: 50, failed: 50}.add(&evidence, "review", true)
			record := Record{
				Service: "bench", To: "v2", Order: 4, Fencing: 1, Phase: Trial,
				StartedMS: start.UnixMilli(), DurationMS: usualDuration.Milliseconds(), From: []string{"v1"},
			}
			d := NewDecider(limits)
			if lagging {
				d.HandleWriteResult(start, Decision{Record: record, Revision: 9, Write: true}, Accepted)
			}
			decisions := d.Decide(start.Add(time.Second), Input{
				Fencing: 1,
				Orders:  []Order{{Service: "bench", To: "v2", Duration: usualDuration, Revision: 4}},
				Records: []Stored{{Record: record, Revision: 9}},
				Reports: []Report{{
					Service: "bench", Order: 4, Instance: "a", Incarnation: 1, Applied: Trial,
					Evidence: evidence,
				}},
			})
			for _, decision := range decisions {
				require.False(t, decision.Permit)
				require.Equal(t, Reverted, decision.Record.Phase)
			}
			require.Equal(t, !lagging, len(decisions) == 1)
		})
	}
}
