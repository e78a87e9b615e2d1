package route_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/request/backpressure"
	"papayaport.dev/serving/request/route"
)

// applyBackpressure applies the backpressure in an answer to a request that was sent at the same
// time.
func applyBackpressure(table *route.Table, now time.Time, server string, asked backpressure.Signal) {
	table.ApplyBackpressure(now, now, server, 1, asked)
}

// singleEntry is a fleet of one entry instance.
var singleEntry = []backpressure.Entry{{FailureDomain: self.FailureDomain}}

// TestClosedServersAreNoLastResort guards against requests that are sent to servers closed by
// backpressure when there is no other server.
func TestClosedServersAreNoLastResort(t *testing.T) {
	table := newTable(t, route.Papayaport, 2)
	applyBackpressure(table, start, id(0), backpressure.Signal{PauseFor: 3 * time.Second})
	for range 20 {
		require.Equal(t, id(1), choose(t, table, start, textRequest("a", 1)).Backend.ID)
	}
	applyBackpressure(table, start, id(1), backpressure.Signal{PauseFor: 2 * time.Second})
	_, err := table.Choose(start, textRequest("a", 1))
	refusal := problem.From(err)
	require.Equal(t, problem.HeldBack, refusal.Kind)
	require.GreaterOrEqual(t, refusal.RetryAfter, 2*time.Second)
	require.LessOrEqual(t, refusal.RetryAfter, 3*time.Second)
	require.Equal(t, 2*time.Second, table.AdmissionWait(start, "model-bench"))
	require.Zero(t, table.AdmissionWait(start.Add(2*time.Second), "model-bench"))
	require.Equal(t, id(1), choose(t, table, start.Add(2*time.Second), textRequest("a", 1)).Backend.ID)
}

// TestRetryAfterJitter guards against callers that are refused at the same time and all retry at
// the same time.
func TestRetryAfterJitter(t *testing.T) {
	table := newTable(t, route.Papayaport, 1)
	applyBackpressure(table, start, id(0), backpressure.Signal{PauseFor: 2 * time.Second})
	waits := map[time.Duration]bool{}
	for range 100 {
		_, err := table.Choose(start, textRequest("a", 1))
		waits[problem.From(err).RetryAfter.Truncate(50*time.Millisecond)] = true
	}
	require.Greater(t, len(waits), 10)
}

// TestBackpressureAfterChoice guards against requests that are sent although the selected server
// signalled backpressure while the connection was opened.
func TestBackpressureAfterChoice(t *testing.T) {
	for name, test := range map[string]struct {
		asks func(table *route.Table)
		goes bool
	}{
		"nothing": {func(*route.Table) {}, true},
		"closed": {func(table *route.Table) {
			applyBackpressure(table, start, id(0), backpressure.Signal{PauseFor: time.Second})
		}, false},
		"a limit": {func(table *route.Table) {
			applyBackpressure(table, start, id(0), backpressure.Signal{Limited: true, PerSecond: 0.1})
		}, false},
		"leaving": {func(table *route.Table) { table.MarkLeaving(start, id(0), 1, start.Add(time.Minute)) }, false},
		"another incarnation": {func(table *route.Table) {
			table.ApplyBackpressure(start, start, id(0), 2, backpressure.Signal{PauseFor: time.Second})
		}, true},
		"another server": {func(table *route.Table) {
			applyBackpressure(table, start, id(1), backpressure.Signal{PauseFor: time.Second})
		}, true},
		"a limit that is not reached": {func(table *route.Table) {
			applyBackpressure(table, start, id(0), backpressure.Signal{Limited: true, PerSecond: 1e6})
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable(t, route.Papayaport, 1)
			table.SetEntries(start, singleEntry)
			choice := choose(t, table, start, textRequest("a", 1))
			test.asks(table)
			require.Equal(t, test.goes, table.Admit(start.Add(time.Millisecond), choice))
		})
	}
}

// TestNewIncarnationHasNoBackpressure guards against backpressure that outlives a restart of the
// server under the same id.
func TestNewIncarnationHasNoBackpressure(t *testing.T) {
	table := newTable(t, route.Papayaport, 1)
	table.SetEntries(start, singleEntry)
	applyBackpressure(table, start, id(0), backpressure.Signal{PauseFor: time.Hour, Limited: true, PerSecond: 0.1})
	_, err := table.Choose(start, textRequest("a", 1))
	require.Error(t, err)
	list := backends(1)
	list[0].Incarnation = 2
	table.SetBackends(start, list)
	table.ApplyPeerLimit(start, id(0), 1, backpressure.Limit{Active: true, PerSecond: 0.1, ObservedAt: start})
	for range 10 {
		choose(t, table, start, textRequest("a", 1))
	}
}

// TestLimitCountsRequestsOnce guards against requests that are counted twice against a rate limit,
// when they are chosen and when they are sent.
func TestLimitCountsRequestsOnce(t *testing.T) {
	table := newTable(t, route.Papayaport, 1)
	table.SetEntries(start, singleEntry)
	applyBackpressure(table, start, id(0), backpressure.Signal{Limited: true, PerSecond: 1})
	now, sent := start, 0
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		choice, err := table.Choose(now, textRequest("a", 1))
		if err == nil && table.Admit(now, choice) {
			sent++
		}
	}
	require.InDelta(t, 10, sent, 1)
}
