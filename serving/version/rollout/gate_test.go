package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// limits are the platform's defaults.
var limits = Limits{ExposureShare: 0.1, ExposureSlack: 50, Rollback: 5 * time.Second}

// start is the boot time at which the gates under test receive an order.
var start = time.UnixMilli(1_000_000)

// trialState is an instance's view of a trial of v2 against v1.
func trialState(phase Phase) State {
	return State{
		Orders: []Order{{Service: "bench", To: "v2", Duration: 12 * time.Second, Revision: 7}},
		Records: []Record{{
			Service: "bench", To: "v2", Order: 7, Phase: phase, StartedMS: 5000,
			From: []string{"v1"}, Barred: []string{"v0"},
		}},
		Entries:    1,
		StartedMS:  1000,
		OldServers: map[string]int{"bench": 60},
	}
}

func permits(order uint64) []Permit {
	return []Permit{{Service: "bench", Order: order, Phase: Trial}}
}

// TestGatePicks guards against the use of versions that a phase excludes, and of the candidate
// without credit, permit or verdict.
func TestGatePicks(t *testing.T) {
	tests := map[string]struct {
		state   func(s *State)
		permits []Permit
		repeat  bool
		want    Pick
		applied Phase
	}{
		"no order": {
			state: func(s *State) { *s = State{Entries: 1} },
		},
		"order without a record": {
			state: func(s *State) { s.Records = nil },
			want:  Pick{Excluded: []string{"v2"}},
		},
		"order without a record, size unknown": {
			state: func(s *State) { s.Records, s.OldServers = nil, nil },
			want:  Pick{Excluded: []string{"v2"}},
		},
		"order that names the only version": {
			state: func(s *State) { s.Records, s.OldServers["bench"] = nil, 0 },
		},
		"unreadable order": {
			state: func(s *State) { s.Records, s.Orders[0].To = nil, "" },
		},
		"unreadable order in trial": {
			state:   func(s *State) { s.Orders[0] = Order{Service: "bench", Revision: 9} },
			permits: permits(7),
			want:    Pick{Candidate: true, Only: "v2", Excluded: []string{"v0"}, MaxServers: 5},
			applied: Trial,
		},
		"trial": {
			permits: permits(7),
			want:    Pick{Candidate: true, Only: "v2", Excluded: []string{"v0"}, MaxServers: 5},
			applied: Trial,
		},
		"trial beside few old servers": {
			state:   func(s *State) { s.OldServers["bench"] = 3 },
			permits: permits(7),
			want:    Pick{Candidate: true, Only: "v2", Excluded: []string{"v0"}, MaxServers: 2},
			applied: Trial,
		},
		"trial, repeat": {
			permits: permits(7), repeat: true,
			want:    Pick{Excluded: []string{"v0", "v2"}},
			applied: Trial,
		},
		"trial without a permit": {
			want:    Pick{Excluded: []string{"v0", "v2"}},
			applied: Trial,
		},
		"trial with the permit of another order": {
			permits: permits(6),
			want:    Pick{Excluded: []string{"v0", "v2"}},
			applied: Trial,
		},
		"trial at a process that started late": {
			state:   func(s *State) { s.StartedMS = 6000 },
			permits: permits(7),
			want:    Pick{Excluded: []string{"v0", "v2"}},
			applied: Trial,
		},
		"trial at one of many instances": {
			state:   func(s *State) { s.Entries = 200 },
			permits: permits(7),
			want:    Pick{Excluded: []string{"v0", "v2"}},
			applied: Trial,
		},
		"shift needs no permit": {
			state:   func(s *State) { s.Records[0].Phase = Shift },
			want:    Pick{Candidate: true, Only: "v2", Excluded: []string{"v0"}},
			applied: Shift,
		},
		"shift, repeat": {
			state:  func(s *State) { s.Records[0].Phase = Shift },
			repeat: true, want: Pick{Excluded: []string{"v0", "v2"}},
			applied: Shift,
		},
		"completed": {
			state:   func(s *State) { s.Records[0].Phase = Completed },
			want:    Pick{Excluded: []string{"v0", "v1"}},
			applied: Completed,
		},
		"completed, order deleted": {
			state:   func(s *State) { s.Records[0].Phase, s.Orders = Completed, nil },
			want:    Pick{Excluded: []string{"v0", "v1"}},
			applied: Completed,
		},
		"reverted": {
			state:   func(s *State) { s.Records[0].Phase = Reverted },
			permits: permits(7),
			want:    Pick{Excluded: []string{"v0", "v2"}},
			applied: Reverted,
		},
		"withdrawn in trial": {
			state:   func(s *State) { s.Orders = nil },
			permits: permits(7),
			want:    Pick{Excluded: []string{"v0", "v2"}},
			applied: Reverted,
		},
		"withdrawn in shift": {
			state:   func(s *State) { s.Records[0].Phase, s.Orders = Shift, nil },
			want:    Pick{Excluded: []string{"v0", "v2"}},
			applied: Reverted,
		},
		"replaced in trial": {
			state: func(s *State) {
				s.Orders[0] = Order{Service: "bench", To: "v3", Duration: time.Second, Revision: 9}
			},
			permits: permits(7),
			want:    Pick{Excluded: []string{"v0", "v2", "v3"}},
		},
		"ordered back after completion": {
			state: func(s *State) {
				s.Records[0].Phase = Completed
				s.Orders[0] = Order{Service: "bench", To: "v1", Duration: time.Second, Revision: 9}
			},
			want: Pick{Excluded: []string{"v0", "v1"}},
		},
		"ordered back in trial": {
			state: func(s *State) {
				s.Orders[0] = Order{Service: "bench", To: "v1", Duration: time.Second, Revision: 9}
			},
			want: Pick{Excluded: []string{"v0", "v2"}},
		},
		"ordered again after completion": {
			state: func(s *State) { s.Records[0].Phase, s.Orders[0].Revision = Completed, 9 },
			want:  Pick{Excluded: []string{"v0", "v1"}},
		},
		"ordered again after a bad verdict, old servers gone": {
			state: func(s *State) {
				s.Records[0].Phase, s.Orders[0].Revision = Reverted, 9
				s.OldServers["bench"] = 0
			},
			want: Pick{Excluded: []string{"v0", "v2"}},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			state := trialState(Trial)
			if test.state != nil {
				test.state(&state)
			}
			g := NewGate(limits)
			g.SetState(start, state)
			g.Permit(start, test.permits)
			require.Equal(t, test.want, g.Pick(start, "bench", "review", test.repeat))
			_, applied := g.Applied("bench")
			require.Equal(t, test.applied, applied)
			require.Equal(t, applied.InProgress(), g.IsCandidate("bench", "v2"))
			require.False(t, g.IsCandidate("bench", "v1"))
			require.Equal(t, Pick{}, g.Pick(start, "other", "review", false))
		})
	}
}

// TestGateIgnoresOlderViews guards against a stale view from a peer that moves an instance back
// to an earlier phase or grants the initial credit again.
func TestGateIgnoresOlderViews(t *testing.T) {
	tests := map[string]struct {
		views []State
		want  Phase
	}{
		"trial after shift":     {views: []State{trialState(Shift), trialState(Trial)}, want: Shift},
		"trial after reverted":  {views: []State{trialState(Reverted), trialState(Trial)}, want: Reverted},
		"shift after completed": {views: []State{trialState(Completed), trialState(Shift)}, want: Completed},
		"no record after completed": {
			views: []State{trialState(Completed), {Orders: trialState(Trial).Orders}}, want: Completed,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewGate(limits)
			for _, view := range test.views {
				g.SetState(start, view)
			}
			_, phase := g.Applied("bench")
			require.Equal(t, test.want, phase)
		})
	}
}

// TestGateKeepsCredit guards against credit that is reset when a view lacks the order
// temporarily.
func TestGateKeepsCredit(t *testing.T) {
	g := NewGate(limits)
	older := trialState(Trial)
	older.Orders = nil
	got := 0
	now := start
	for i := range 400 {
		now = now.Add(10 * time.Millisecond)
		if i%50 == 0 {
			g.SetState(now, older)
			g.SetState(now, State{Orders: older.Orders})
			g.SetState(now, trialState(Trial))
		}
		g.Permit(now, permits(7))
		pick := g.Pick(now, "bench", "review", false)
		g.Sent(now, "bench", "review", pick.Candidate)
		if pick.Candidate {
			got++
		}
	}
	require.LessOrEqual(t, got, 25+400*8/100)
	require.Greater(t, got, 45, "the credit is spent")
}

// TestPermit guards against a permit that outlives its TTL, and against old permits that an
// instance reads from its sockets after it was frozen.
func TestPermit(t *testing.T) {
	type permit struct {
		at    time.Duration
		order uint64
	}
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	tests := map[string]struct {
		permits  []permit
		requests bool // all the time
		at       time.Duration
		want     bool
	}{
		"fresh":              {permits: []permit{{0, 7}}, at: seconds(2), want: true},
		"expired":            {permits: []permit{{0, 7}}, at: seconds(2.001)},
		"renewed":            {permits: []permit{{0, 7}, {seconds(0.5), 7}}, at: seconds(2.4), want: true},
		"clock before":       {permits: []permit{{seconds(1), 7}}, at: seconds(0.5)},
		"other order":        {permits: []permit{{0, 6}}, at: seconds(1)},
		"older order after":  {permits: []permit{{0, 7}, {seconds(1), 6}}, at: seconds(1.5), want: true},
		"older does not add": {permits: []permit{{0, 7}, {seconds(1), 6}}, at: seconds(2.5)},
		"after a pause":      {permits: []permit{{0, 7}, {seconds(5), 7}}, at: seconds(5.1)},
		"many at once after a pause": {
			permits: []permit{{0, 7}, {seconds(5), 7}, {seconds(5.01), 7}, {seconds(5.02), 7}},
			at:      seconds(5.1),
		},
		"confirmed after a pause": {
			permits: []permit{{0, 7}, {seconds(5), 7}, {seconds(5.5), 7}}, at: seconds(5.6), want: true,
		},
		"after a pause of the holder": {
			permits: []permit{{0, 7}, {seconds(5), 7}}, requests: true, at: seconds(5.1), want: true,
		},
		"first one, after a pause": {permits: []permit{{seconds(5), 7}}, at: seconds(5.1)},
		"late, not confirmed":      {permits: []permit{{0, 7}, {seconds(1.5), 7}}, at: seconds(2.1)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewGate(limits)
			g.SetState(start, trialState(Trial))
			last := start
			for _, p := range test.permits {
				for ; test.requests && last.Before(start.Add(p.at)); last = last.Add(time.Second) {
					g.Sent(last, "bench", "review", false)
				}
				g.Permit(start.Add(p.at), permits(p.order))
			}
			now := start.Add(test.at)
			require.Equal(t, test.want, g.Pick(now, "bench", "review", false).Candidate)
			_, fresh := g.PermitAge(now, "bench")
			require.Equal(t, test.want, fresh)
		})
	}
}

// TestGateReservesCredit guards against concurrent attempts that spend the same credit, and
// against credit lost with attempts that were never sent.
func TestGateReservesCredit(t *testing.T) {
	state := trialState(Trial)
	state.Entries = 25 // one attempt's credit
	g := NewGate(limits)
	g.SetState(start, state)
	g.Permit(start, permits(7))
	require.True(t, g.Pick(start, "bench", "review", false).Candidate)
	require.False(t, g.Pick(start.Add(500*time.Millisecond), "bench", "review", false).Candidate)
	// The first one was not sent.
	require.True(t, g.Pick(start.Add(1100*time.Millisecond), "bench", "review", false).Candidate)
}

// TestGateSharesRoutes guards against a route with few requests that never reach the candidate,
// where a fault on this route would remain undetected.
func TestGateSharesRoutes(t *testing.T) {
	state := trialState(Trial)
	state.StartedMS = 6000 // without initial credit
	g := NewGate(limits)
	g.SetState(start, state)
	got := make(map[string]int)
	now := start
	for i := range 10_000 {
		now = now.Add(5 * time.Millisecond)
		g.Permit(now, permits(7))
		route := "review"
		if i%50 == 17 {
			route = "rare"
		}
		pick := g.Pick(now, "bench", route, false)
		g.Sent(now, "bench", route, pick.Candidate)
		if pick.Candidate {
			got[route]++
		}
	}
	require.InDelta(t, 800, got["review"]+got["rare"], 5)
	require.InDelta(t, 16, got["rare"], 2)
}

// TestGateSpacesSavedCredit guards against saved credit that is spent at once or for long, which
// overloads the few candidate servers in use and makes a good version look slow.
func TestGateSpacesSavedCredit(t *testing.T) {
	g := NewGate(limits)
	g.SetState(start, trialState(Trial))
	now := start
	for range 1000 { // without a permit
		now = now.Add(time.Millisecond)
		g.Sent(now, "bench", "review", false)
	}
	got := 0
	send := func(attempts int) {
		for range attempts {
			now = now.Add(time.Millisecond)
			g.Permit(now, permits(7))
			pick := g.Pick(now, "bench", "review", false)
			g.Sent(now, "bench", "review", pick.Candidate)
			if pick.Candidate {
				got++
			}
		}
	}
	send(100)
	require.InDelta(t, 16, got, 3, "at once")
	send(900)
	require.InDelta(t, 25+maxSavedCredit+80, got, 3, "in all")
}

// TestGateBoundsRoutes guards against unbounded memory use by callers with many routes.
func TestGateBoundsRoutes(t *testing.T) {
	g := NewGate(limits)
	g.SetState(start, trialState(Trial))
	for i := range 10_000 {
		g.Sent(start, "bench", fmt.Sprint("route-", i), false)
	}
	require.LessOrEqual(t, len(g.services["bench"].exposure.routes), maxNamedRoutes+1)
}
