package route_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/request/backpressure"
	"papayaport.dev/serving/request/route"
)

// ask lets a server say something in an answer to a request that was sent just now.
func ask(table *route.Table, now time.Time, server string, asked backpressure.Asked) {
	table.Asked(now, now, server, 1, asked)
}

// only is the one entry instance of a fleet.
var only = []backpressure.Entry{{FailureDomain: self.FailureDomain}}

// TestClosedServersAreNoLastResort guards against requests to servers that asked for none
// because there is no other.
func TestClosedServersAreNoLastResort(t *testing.T) {
	table := newTable(t, route.Papayaport, 2)
	ask(table, start, id(0), backpressure.Asked{Closed: 3 * time.Second})
	for range 20 {
		require.Equal(t, id(1), choose(t, table, start, filing("a", 1)).Backend.ID)
	}
	ask(table, start, id(1), backpressure.Asked{Closed: 2 * time.Second})
	_, err := table.Choose(start, filing("a", 1))
	refusal := problem.From(err)
	require.Equal(t, problem.HeldBack, refusal.Kind)
	require.GreaterOrEqual(t, refusal.RetryAfter, 2*time.Second)
	require.LessOrEqual(t, refusal.RetryAfter, 3*time.Second)
	require.Equal(t, 2*time.Second, table.OpensIn(start, "model-bench"))
	require.Zero(t, table.OpensIn(start.Add(2*time.Second), "model-bench"))
	require.Equal(t, id(1), choose(t, table, start.Add(2*time.Second), filing("a", 1)).Backend.ID)
}

// TestRetryAfterIsSpread guards against callers that were sent away together and come back
// together.
func TestRetryAfterIsSpread(t *testing.T) {
	table := newTable(t, route.Papayaport, 1)
	ask(table, start, id(0), backpressure.Asked{Closed: 2 * time.Second})
	waits := map[time.Duration]bool{}
	for range 100 {
		_, err := table.Choose(start, filing("a", 1))
		waits[problem.From(err).RetryAfter.Truncate(50*time.Millisecond)] = true
	}
	require.Greater(t, len(waits), 10)
}

// TestChosenBeforeTheServerAsked guards against requests that were chosen before a server
// asked for none, and go out after it, since their connection took some time.
func TestChosenBeforeTheServerAsked(t *testing.T) {
	for name, test := range map[string]struct {
		asks func(table *route.Table)
		goes bool
	}{
		"nothing": {func(*route.Table) {}, true},
		"closed":  {func(table *route.Table) { ask(table, start, id(0), backpressure.Asked{Closed: time.Second}) }, false},
		"a limit": {func(table *route.Table) {
			ask(table, start, id(0), backpressure.Asked{Limited: true, PerSecond: 0.1})
		}, false},
		"leaving":                  {func(table *route.Table) { table.Leaving(start, id(0), 1, start.Add(time.Minute)) }, false},
		"another process":          {func(table *route.Table) { table.Asked(start, start, id(0), 2, backpressure.Asked{Closed: time.Second}) }, true},
		"another server":           {func(table *route.Table) { ask(table, start, id(1), backpressure.Asked{Closed: time.Second}) }, true},
		"a limit that leaves room": {func(table *route.Table) { ask(table, start, id(0), backpressure.Asked{Limited: true, PerSecond: 1e6}) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable(t, route.Papayaport, 1)
			table.SetEntries(start, only)
			choice := choose(t, table, start, filing("a", 1))
			test.asks(table)
			require.Equal(t, test.goes, table.MayGo(start.Add(time.Millisecond), choice))
		})
	}
}

// TestNewProcessAskedForNothing lets a server that asked for things start anew under its id.
func TestNewProcessAskedForNothing(t *testing.T) {
	table := newTable(t, route.Papayaport, 1)
	table.SetEntries(start, only)
	ask(table, start, id(0), backpressure.Asked{Closed: time.Hour, Limited: true, PerSecond: 0.1})
	_, err := table.Choose(start, filing("a", 1))
	require.Error(t, err)
	list := backends(1)
	list[0].Incarnation = 2
	table.SetBackends(start, list)
	table.HearLimit(start, id(0), 1, backpressure.Limit{Named: true, PerSecond: 0.1, SaidAt: start})
	for range 10 {
		choose(t, table, start, filing("a", 1))
	}
}

// TestLimitOfAChosenServer counts requests against a limit once, whether they wait for a
// connection or not.
func TestLimitOfAChosenServer(t *testing.T) {
	table := newTable(t, route.Papayaport, 1)
	table.SetEntries(start, only)
	ask(table, start, id(0), backpressure.Asked{Limited: true, PerSecond: 1})
	now, sent := start, 0
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		choice, err := table.Choose(now, filing("a", 1))
		if err == nil && table.MayGo(now, choice) {
			sent++
		}
	}
	require.InDelta(t, 10, sent, 1)
}
