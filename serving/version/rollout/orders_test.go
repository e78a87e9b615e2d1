package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const usualDuration = 12 * time.Second

func alwaysFails(simulatedAttempt) outcome { return outcome{failed: true} }

// startedSimulation returns a simulation in which an order for v2 has run for a time.
func startedSimulation(t *testing.T, ran time.Duration) *simulation {
	sim := newSimulation(t, 5)
	sim.run(250 * time.Millisecond)
	sim.order("v2", usualDuration)
	sim.run(ran)
	return sim
}

// TestChangedOrders guards against a roll-out that continues after its order was deleted or
// replaced, and against a new order that inherits decisions made for another.
func TestChangedOrders(t *testing.T) {
	tests := map[string]struct {
		ran        time.Duration
		behave     func(simulatedAttempt) outcome
		noRequests bool // no requests before the change
		change     func(sim *simulation)
		run        time.Duration
		want       Record // Phase, To, Reason, Barred, From and Withdrawn
		steps      []Step // after the change
	}{
		"replaced in trial": {
			ran: 3 * time.Second,
			change: func(sim *simulation) {
				sim.servers["v3"] = 20
				sim.order("v3", usualDuration)
			},
			run: 5 * time.Second,
			want: Record{
				Phase: Trial, To: "v3", From: []string{"v1"}, Barred: []string{"v2"},
			},
			steps: []Step{StepTrial},
		},
		"replaced after completion": {
			ran: usualDuration,
			change: func(sim *simulation) {
				sim.servers["v1"], sim.servers["v3"] = 0, 20
				sim.order("v3", usualDuration)
			},
			run: usualDuration,
			want: Record{
				Phase: Completed, To: "v3", Reason: "good",
				From: []string{"v2"}, Barred: []string{"v1"},
			},
			steps: []Step{StepTrial, StepShift, StepCompleted},
		},
		"ordered back in trial": {
			ran:    3 * time.Second,
			change: func(sim *simulation) { sim.order("v1", usualDuration) },
			run:    time.Second,
			want: Record{
				Phase: Completed, To: "v1", Reason: "only version", Barred: []string{"v2"},
			},
			steps: []Step{StepCompleted},
		},
		"repeated in trial starts again": {
			ran:    6 * time.Second,
			change: func(sim *simulation) { sim.order("v2", usualDuration) },
			run:    6 * time.Second,
			want:   Record{Phase: Trial, To: "v2", From: []string{"v1"}},
			steps:  []Step{StepTrial},
		},
		"repeated after completion": {
			ran:    usualDuration,
			change: func(sim *simulation) { sim.order("v2", usualDuration) },
			run:    500 * time.Millisecond,
			want: Record{
				Phase: Completed, To: "v2", Reason: "completed before", From: []string{"v1"},
			},
			steps: []Step{StepRepeated},
		},
		"repeated after a bad verdict": {
			ran: 5 * time.Second, behave: candidateOnly(alwaysFails),
			change: func(sim *simulation) {
				sim.respond = candidateOnly(func(simulatedAttempt) outcome { return outcome{} })
				sim.order("v2", usualDuration)
			},
			run: usualDuration,
			want: Record{
				Phase: Reverted, To: "v2", Bad: true, Reason: "bad: failures", From: []string{"v1"},
			},
			steps: []Step{StepRepeated},
		},
		"withdrawn and ordered again after a bad verdict": {
			ran: 5 * time.Second, behave: candidateOnly(alwaysFails),
			change: func(sim *simulation) {
				sim.respond = candidateOnly(func(simulatedAttempt) outcome { return outcome{} })
				sim.order("", 0)
				sim.run(500 * time.Millisecond)
				sim.order("v2", usualDuration)
			},
			run:   usualDuration,
			want:  Record{Phase: Completed, To: "v2", Reason: "good", From: []string{"v1"}},
			steps: []Step{StepWithdrawn, StepTrial, StepShift, StepCompleted},
		},
		"repeated after too few answers": {
			ran: usualDuration, noRequests: true,
			change: func(sim *simulation) {
				sim.rate = 4
				sim.order("v2", usualDuration)
			},
			run:   usualDuration,
			want:  Record{Phase: Completed, To: "v2", Reason: "good", From: []string{"v1"}},
			steps: []Step{StepTrial, StepShift, StepCompleted},
		},
		"ordered back after a bad verdict": {
			ran: 5 * time.Second, behave: candidateOnly(alwaysFails),
			change: func(sim *simulation) { sim.order("v1", usualDuration) },
			run:    time.Second,
			want: Record{
				Phase: Completed, To: "v1", Reason: "only version", Barred: []string{"v2"},
			},
			steps: []Step{StepCompleted},
		},
		"withdrawn in trial": {
			ran:    3 * time.Second,
			change: func(sim *simulation) { sim.order("", 0) },
			run:    time.Second,
			want: Record{
				Phase: Reverted, To: "v2", Reason: "withdrawn", Withdrawn: true, From: []string{"v1"},
			},
			steps: []Step{StepWithdrawn},
		},
		"withdrawn after completion": {
			ran:    usualDuration,
			change: func(sim *simulation) { sim.order("", 0) },
			run:    time.Second,
			want:   Record{Phase: Completed, To: "v2", Reason: "good", From: []string{"v1"}},
		},
		"unreadable in trial goes on": {
			ran: 3 * time.Second,
			change: func(sim *simulation) {
				sim.rev++
				sim.orders = []Order{{Service: "bench", Revision: sim.rev}}
			},
			run:   9 * time.Second,
			want:  Record{Phase: Completed, To: "v2", Reason: "good", From: []string{"v1"}},
			steps: []Step{StepUnreadable, StepShift, StepCompleted},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 5)
			if test.behave != nil {
				sim.respond = test.behave
			}
			if test.noRequests {
				sim.rate = 0
			}
			sim.run(250 * time.Millisecond)
			sim.order("v2", usualDuration)
			sim.run(test.ran)
			sim.steps = nil
			test.change(sim)
			sim.run(test.run)
			got := sim.record()
			require.Equal(t, test.want.Phase, got.Phase, got.Reason)
			require.Equal(t, test.want.To, got.To)
			require.Contains(t, got.Reason, test.want.Reason)
			require.ElementsMatch(t, test.want.From, got.From)
			require.ElementsMatch(t, test.want.Barred, got.Barred)
			require.Equal(t, test.want.Withdrawn, got.Withdrawn)
			require.Equal(t, test.want.Bad, got.Bad)
			require.Equal(t, test.steps, sim.stepNames())
			before := sim.sent["v2"]
			sim.run(time.Second)
			if got.Phase == Reverted || got.To != "v2" {
				require.Equal(t, before, sim.sent["v2"], "v2 is barred")
			}
			require.Zero(t, sim.refused)
		})
	}
}

// TestConcurrentRollouts guards against a roll-out that waits for that of another service or is
// evaluated by its reports, and against decisions in random order.
func TestConcurrentRollouts(t *testing.T) {
	in := Input{Fencing: 1, Servers: make(map[string]map[string]Servers)}
	var evidence [2]Evidence
	for i, service := range []string{"bench", "atlas"} {
		in.Orders = append(in.Orders, Order{
			Service: service, To: "v2", Duration: usualDuration, Revision: uint64(10 + i),
		})
		in.Servers[service] = map[string]Servers{"v1": {Count: 4, Slots: 40}, "v2": {Count: 4, Slots: 40}}
	}
	d := NewDecider(limits)
	stored := make(map[string]Stored)
	now := start
	for range 48 {
		now = now.Add(250 * time.Millisecond)
		in.Records, in.Reports = nil, nil
		for i, service := range []string{"bench", "atlas"} {
			if s, ok := stored[service]; ok {
				in.Records = append(in.Records, s)
			}
			for range 20 {
				evidence[i].update("review", "", false, func(t *Tally) { t.answered(false, 1, 1) })
			}
			for range 2 {
				evidence[i].update("review", "s1", true, func(t *Tally) { t.answered(i == 1, 1, 1) })
			}
			in.Reports = append(in.Reports, Report{
				Service: service, Order: uint64(10 + i), Instance: "a", Incarnation: 1,
				Applied: stored[service].Phase, Evidence: evidence[i].Clone(),
			})
		}
		decisions := d.Decide(now, in)
		for i, decision := range decisions {
			if i > 0 {
				require.Less(t, decisions[i-1].Record.Service, decision.Record.Service)
			}
			if decision.Write {
				service := decision.Record.Service
				stored[service] = Stored{Record: decision.Record, Revision: stored[service].Revision + 1}
				d.HandleWriteResult(now, decision, Accepted)
			}
		}
	}
	require.Equal(t, Completed, stored["bench"].Phase, stored["bench"].Reason)
	require.Equal(t, Reverted, stored["atlas"].Phase, stored["atlas"].Reason)
}
