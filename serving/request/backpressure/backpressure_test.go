package backpressure_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/request/backpressure"
)

// window is the time over which the user documentation counts requests against a limit, and
// allowed returns the number it allows in one window.
const window = 4 * time.Second

func allowed(perSecond float64) int { return int(1.5*perSecond*window.Seconds() + 5) }

func entry(number int) backpressure.Entry {
	return backpressure.Entry{Instance: fmt.Sprintf("entry-%d", number), FailureDomain: string(rune('a' + number%4))}
}

func entriesOf(count int) []backpressure.Entry {
	all := make([]backpressure.Entry, count)
	for i := range all {
		all[i] = entry(i)
	}
	return all
}

func limited(perSecond float64) backpressure.Target {
	return backpressure.Target{ID: "server", FailureDomain: "b", PerSecond: perSecond}
}

// instance is an entry instance with its state for one server.
type instance struct {
	backpressure.Entry
	server backpressure.Server
}

func (i *instance) setPart(now time.Time, entries []backpressure.Entry, perSecond float64) {
	i.server.SetShare(now, backpressure.ShareOf(i.Entry, entries, limited(perSecond)))
}

// maxInWindow returns the largest number of the sorted times that lie within any window.
func maxInWindow(sent []time.Time) int {
	most, first := 0, 0
	for last, at := range sent {
		for at.Sub(sent[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestLimitHoldsOverAllInstances lets every instance send whenever it may, continuously or all
// together after long idle times, at limits far below and above one request per instance.
func TestLimitHoldsOverAllInstances(t *testing.T) {
	for name, test := range map[string]struct {
		entries   int
		perSecond float64
		// idle is the time between two bursts in which all instances try at once.
		idle time.Duration
	}{
		"one a second, 8 instances":           {8, 1, 0},
		"one a second, 8 instances, bursts":   {8, 1, 20 * time.Second},
		"one a second, 200 instances":         {200, 1, 0},
		"one a second, 200 instances, bursts": {200, 1, 20 * time.Second},
		"a tenth, 200 instances":              {200, 0.1, 0},
		"none at all, 200 instances":          {200, 0, 10 * time.Second},
		"20 a second, 8 instances":            {8, 20, 0},
		"20 a second, 8 instances, bursts":    {8, 20, 5 * time.Second},
		"3.5 a second, 200 instances, bursts": {200, 3.5, 7 * time.Second},
		"one a second, one instance, bursts":  {1, 1, 20 * time.Second},
		"far above the demand, 8 instances":   {8, 1e9, 0},
		"far above the demand, 200 instances": {200, 1e9, 0},
		"not repeated, 200 instances, 1/s":    {200, 1, 11 * time.Minute},
		"not repeated, 8 instances, slow":     {8, 0.1, 3 * time.Minute},
		"not repeated, one instance, slow":    {1, 0.1, 3 * time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			now := time.Unix(1000, 0)
			entries := entriesOf(test.entries)
			fleet := make([]*instance, test.entries)
			for i := range fleet {
				fleet[i] = &instance{Entry: entries[i]}
				fleet[i].server.Observe(now, now, backpressure.Signal{Limited: true, PerSecond: test.perSecond}, random.Float64())
				fleet[i].setPart(now, entries, test.perSecond)
			}
			var sent []time.Time
			rounds, step := 3000, 100*time.Millisecond
			if test.idle > 0 {
				rounds, step = 30, test.idle
			}
			for range rounds {
				now = now.Add(step)
				for _, i := range random.Perm(len(fleet)) {
					for fleet[i].server.Acquire(now) && len(sent) < 100_000 {
						sent = append(sent, now)
						if test.idle < time.Minute {
							fleet[i].server.Observe(now, now, backpressure.Signal{Limited: true, PerSecond: test.perSecond}, 0)
						}
					}
				}
			}
			require.LessOrEqual(t, maxInWindow(sent), max(allowed(test.perSecond), 5))
			if test.idle == 0 && test.perSecond < 1e6 {
				passed := float64(rounds) * step.Seconds()
				require.GreaterOrEqual(t, float64(len(sent)), 0.8*test.perSecond*passed, "the limit is used")
			}
		})
	}
}

// TestLimitHoldsWhileListsDiffer replaces instances while the others update their instance
// lists up to 5 s later.
func TestLimitHoldsWhileListsDiffer(t *testing.T) {
	for _, count := range []int{8, 200} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			random := rand.New(rand.NewPCG(3, 4))
			now := time.Unix(1000, 0)
			const perSecond = 1.0
			entries := entriesOf(count)
			fleet := map[backpressure.Entry]*instance{}
			start := func(name backpressure.Entry) {
				fleet[name] = &instance{Entry: name}
				fleet[name].server.Observe(now, now, backpressure.Signal{Limited: true, PerSecond: perSecond}, random.Float64())
				fleet[name].setPart(now, entries, perSecond)
			}
			for _, name := range entries {
				start(name)
			}
			var sent []time.Time
			for round := range 3000 {
				now = now.Add(100 * time.Millisecond)
				if round%100 == 50 { // one instance is replaced by another
					gone := random.IntN(len(entries))
					delete(fleet, entries[gone])
					entries = slices.Clone(entries)
					entries[gone] = entry(count + round)
					start(entries[gone])
				}
				for i, name := range entries {
					if (round+i)%50 == 0 {
						fleet[name].setPart(now, entries, perSecond)
					}
					if fleet[name].server.Acquire(now) {
						sent = append(sent, now)
						fleet[name].server.Observe(now, now, backpressure.Signal{Limited: true, PerSecond: perSecond}, 0)
					}
				}
			}
			require.LessOrEqual(t, maxInWindow(sent), allowed(perSecond))
		})
	}
}

// TestRestrictions checks the effect of each restriction and how long it lasts.
func TestRestrictions(t *testing.T) {
	start := time.Unix(1000, 0)
	named := backpressure.Signal{Limited: true, PerSecond: 1}
	whole := backpressure.ShareOf(entry(0), entriesOf(1), limited(1))
	fleet := entriesOf(200)
	// nonHolder has no share of the limit.
	nonHolder := fleet[slices.IndexFunc(fleet, func(name backpressure.Entry) bool {
		return backpressure.ShareOf(name, fleet, limited(1)).PerSecond == 0
	})]
	part := backpressure.ShareOf(nonHolder, fleet, limited(1))
	lastTurn := 2*part.ProbePeriod + part.ProbeOffset + time.Millisecond
	for name, test := range map[string]struct {
		hear     func(s *backpressure.Server)
		after    time.Duration
		admitted bool
	}{
		"nothing":          {func(*backpressure.Server) {}, 0, true},
		"closed":           {func(s *backpressure.Server) { s.Observe(start, start, backpressure.Signal{PauseFor: time.Second}, 0) }, 900 * time.Millisecond, false},
		"closed until now": {func(s *backpressure.Server) { s.Observe(start, start, backpressure.Signal{PauseFor: time.Second}, 0) }, time.Second, true},
		"a later response does not shorten the pause": {func(s *backpressure.Server) {
			s.Observe(start, start, backpressure.Signal{PauseFor: time.Second}, 0)
			s.Observe(start, start, backpressure.Signal{PauseFor: time.Millisecond}, 0)
			s.Observe(start, start, backpressure.Signal{}, 0)
		}, 900 * time.Millisecond, false},
		"a limit, no request accrued yet": {func(s *backpressure.Server) {
			s.Observe(start, start, named, 0)
			s.SetShare(start, whole)
		}, 900 * time.Millisecond, false},
		"a limit, one request accrued": {func(s *backpressure.Server) {
			s.Observe(start, start, named, 0)
			s.SetShare(start, whole)
		}, time.Second, true},
		"a limit, not a holder": {func(s *backpressure.Server) {
			s.Observe(start, start, named, 0.9)
			s.SetShare(start, backpressure.ShareOf(nonHolder, fleet, limited(1)))
		}, 20 * time.Second, false},
		"a limit, no share set yet": {func(s *backpressure.Server) { s.Observe(start, start, named, 0.9) }, 20 * time.Second, false},
		"a response without a limit ends it": {func(s *backpressure.Server) {
			s.Observe(start, start, named, 0)
			s.Observe(start.Add(time.Millisecond), start.Add(time.Millisecond), backpressure.Signal{}, 0)
		}, 2 * time.Millisecond, true},
		"a response to an earlier request does not end it": {func(s *backpressure.Server) {
			s.Observe(start.Add(time.Millisecond), start, named, 0)
			s.Observe(start.Add(2*time.Millisecond), start, backpressure.Signal{}, 0)
		}, 3 * time.Millisecond, false},
		"a limit from a peer": {func(s *backpressure.Server) {
			s.ObserveLimit(start, backpressure.Limit{Active: true, PerSecond: 1, ObservedAt: start.Add(-time.Second)}, 0)
		}, 0, false},
		"the end of a limit from a peer": {func(s *backpressure.Server) {
			s.Observe(start, start, named, 0)
			s.ObserveLimit(start, backpressure.Limit{ObservedAt: start.Add(time.Millisecond)}, 0)
		}, 2 * time.Millisecond, true},
		"a limit from a peer, older than its end": {func(s *backpressure.Server) {
			s.Observe(start, start, named, 0)
			s.Observe(start.Add(2), start.Add(1), backpressure.Signal{}, 0)
			s.ObserveLimit(start.Add(3), backpressure.Limit{Active: true, PerSecond: 1, ObservedAt: start.Add(1)}, 0)
		}, 4, true},
		"a limit that is not repeated": {func(s *backpressure.Server) {
			s.Observe(start, start, named, 0)
			part := backpressure.ShareOf(nonHolder, fleet, limited(1))
			s.SetShare(start, part)
			require.Positive(t, part.ProbePeriod)
		}, lastTurn, true},
		"a limit that is not repeated, in the probe window of another instance": {func(s *backpressure.Server) {
			s.Observe(start, start, named, 0)
			s.SetShare(start, backpressure.ShareOf(nonHolder, fleet, limited(1)))
		}, lastTurn + 9*time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			var server backpressure.Server
			test.hear(&server)
			wait, admitted := server.Allow(start.Add(test.after))
			require.Equal(t, test.admitted, admitted)
			if !admitted {
				require.Positive(t, wait)
				require.False(t, server.Acquire(start.Add(test.after)))
			}
		})
	}
}
