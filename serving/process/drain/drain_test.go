package drain_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"papayaport.dev/serving/process/drain"
)

var start = time.Unix(1_790_000_000, 0)

// until steps the machine with the given load until it ends, and returns the time of the first
// occurrence of each order.
func until(machine *drain.Machine, limit time.Duration, load func(time.Duration) drain.Load) map[drain.Order]time.Duration {
	first := map[drain.Order]time.Duration{}
	for at := time.Duration(0); at <= limit && !machine.Ended(); at += 50 * time.Millisecond {
		for _, order := range machine.Step(start.Add(at), load(at)) {
			if _, seen := first[order]; !seen {
				first[order] = at
			}
		}
	}
	return first
}

func TestSteps(t *testing.T) {
	busyUntil := func(end time.Duration) func(time.Duration) drain.Load {
		return func(at time.Duration) drain.Load {
			if at >= end {
				return drain.Load{}
			}
			return drain.Load{Callers: 2, Runs: 1}
		}
	}
	tests := map[string]struct {
		grace, deadline, busy time.Duration
		orders                map[drain.Order]time.Duration
	}{
		"idle": {5 * time.Second, 0, 0, map[drain.Order]time.Duration{
			drain.Unready: 0, drain.CloseIdle: drain.SettleTime, drain.End: drain.SettleTime,
		}},
		"ends within the grace period": {5 * time.Second, 0, 3 * time.Second, map[drain.Order]time.Duration{
			drain.Unready: 0, drain.CloseIdle: drain.SettleTime, drain.End: 3 * time.Second,
		}},
		"long request": {5 * time.Second, 0, 60 * time.Second, map[drain.Order]time.Duration{
			drain.Unready: 0, drain.CloseIdle: drain.SettleTime, drain.HandOver: 5 * time.Second, drain.End: 60 * time.Second,
		}},
		"reclaim": {30 * time.Second, 10 * time.Second, 60 * time.Second, map[drain.Order]time.Duration{
			drain.Unready: 0, drain.CloseIdle: drain.SettleTime, drain.HandOver: 7 * time.Second,
			drain.Cut: 9700 * time.Millisecond, drain.End: 10 * time.Second,
		}},
		"reclaim within a second": {30 * time.Second, time.Second, 60 * time.Second, map[drain.Order]time.Duration{
			drain.Unready: 0, drain.HandOver: 0, drain.CloseIdle: 700 * time.Millisecond,
			drain.Cut: 700 * time.Millisecond, drain.End: time.Second,
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			limits := drain.Limits{Grace: test.grace}
			if test.deadline > 0 {
				limits.Deadline = start.Add(test.deadline)
			}
			machine := drain.New(start, limits)
			require.Equal(t, test.orders, until(machine, 2*time.Minute, busyUntil(test.busy)))
			require.True(t, machine.Ended())
			require.Empty(t, machine.Step(start.Add(time.Hour), drain.Load{Callers: 1}))
		})
	}
}

// TestStatefulStop runs shutdowns while callers come and go and a deadline may be set at any time.
// A shutdown without a deadline must cut no connection, one with a deadline only within CutLead of
// it, and the shutdown must not end before that while a caller waits.
func TestStatefulStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		grace := time.Duration(rapid.IntRange(0, 8000).Draw(t, "grace")) * time.Millisecond
		machine := drain.New(now, drain.Limits{Grace: grace})
		var deadline time.Time
		load := drain.Load{Callers: rapid.IntRange(0, 5).Draw(t, "callers")}
		load.Runs = rapid.IntRange(0, load.Callers).Draw(t, "runs")
		var given []drain.Order
		for steps := 0; steps < 300 && !machine.Ended(); steps++ {
			now = now.Add(time.Duration(rapid.IntRange(10, 100).Draw(t, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 99).Draw(t, "reclaim") == 0 {
				deadline = earliest(deadline, now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(t, "notice"))*time.Millisecond))
				machine.Shorten(deadline)
			}
			load.Callers = max(0, load.Callers+rapid.IntRange(-1, 1).Draw(t, "caller"))
			load.Runs = min(load.Runs, load.Callers)
			orders := machine.Step(now, load)
			given = append(given, orders...)
			near := !deadline.IsZero() && !now.Before(deadline.Add(-drain.CutLead))
			if slices.Contains(orders, drain.Cut) && !near {
				t.Fatalf("cut at %v with deadline %v", now, deadline)
			}
			if slices.Contains(orders, drain.End) && load.Callers > 0 && !near {
				t.Fatalf("ended at %v with %d callers and deadline %v", now, load.Callers, deadline)
			}
			late := !deadline.IsZero() && now.After(deadline.Add(-drain.HandOverLead+time.Second))
			if late && load.Runs > 0 && !machine.Ended() && !slices.Contains(given, drain.HandOver) {
				t.Fatalf("no hand-over at %v with deadline %v", now, deadline)
			}
		}
		if given[0] != drain.Unready {
			t.Fatalf("first order is %v", given[0])
		}
		if !deadline.IsZero() && now.After(deadline.Add(200*time.Millisecond)) && !machine.Ended() {
			t.Fatalf("not ended at %v with deadline %v", now, deadline)
		}
	})
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
