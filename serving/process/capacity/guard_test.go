package capacity_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/capacity"
	"papayaport.dev/serving/process/platform"
)

// full returns a world with the largest number of servers and the list from before the
// last one was there.
func full(t *testing.T) (*world, []platform.Instance) {
	t.Helper()
	w, p := newWorld(), holder()
	p.Demand(capacity.Demand{InFlight: 28})
	w.run(p, 30*time.Second)
	require.Len(t, w.instances, 4)
	require.Empty(t, w.plan.Starts)
	return w, w.list()[:3]
}

func successor() *capacity.Planner {
	p := holder()
	p.Lease(2, true)
	p.Demand(capacity.Demand{InFlight: 28})
	return p
}

func TestNewHolderWaitsForAListLaterThanThePlan(t *testing.T) {
	w, before := full(t)
	p := successor()
	p.Instances(w.now, before, 5*time.Second)
	require.Equal(t, []capacity.Order{capacity.ReadPlan{}}, p.Step(w.now))
	p.PlanRead(w.now, capacity.Done, w.plan, w.revision)
	require.Empty(t, p.Step(w.now), "the list may miss what the predecessor started")
	w.run(p, 30*time.Second)
	require.Len(t, w.instances, 4)
}

func TestListsDoNotGoBack(t *testing.T) {
	w, before := full(t)
	p := successor()
	w.run(p, 5*time.Second)
	p.Instances(w.now, before, time.Second)
	require.Empty(t, p.Step(w.now))
}

func TestNothingIsDoneBeforeTheFirstCommit(t *testing.T) {
	w, _ := full(t)
	p := successor()
	p.Instances(w.now, nil, 0)
	p.Step(w.now)
	old := capacity.Plan{Commit: "1-1", Fencing: 1, Wanted: 4, Starts: []capacity.PlannedStart{{RequestID: "llm/a/1-1"}}}
	p.PlanRead(w.now, capacity.Done, old, w.revision-1)
	w.now = w.now.Add(time.Second)
	p.Instances(w.now, nil, 0)
	orders := p.Step(w.now)
	require.Len(t, orders, 1)
	commit := orders[0].(capacity.CommitPlan)
	require.Empty(t, p.Step(w.now), "the plan read may be an old one")
	result, _ := w.put(commit)
	require.Equal(t, capacity.Refused, result)
	p.PlanCommitted(w.now, commit.Plan.Commit, result, 0)
	require.Equal(t, []capacity.Order{capacity.ReadPlan{}}, p.Step(w.now.Add(5*time.Second)))
}

func TestRefusedOptionIsProbedByOneAttempt(t *testing.T) {
	w, p := newWorld(), holder()
	for _, kind := range []string{"big/true", "small/true", "big/false", "small/false"} {
		w.refused[kind] = true
	}
	p.Demand(capacity.Demand{InFlight: 28})
	w.run(p, 10*time.Second)
	require.GreaterOrEqual(t, w.attempts, 4)
	w.now = w.now.Add(time.Hour)
	p.Instances(w.now, nil, 0)
	tried := make(map[string]int)
	for _, order := range p.Step(w.now) {
		s := order.(capacity.StartInstance).Start
		tried[s.Class]++
	}
	require.Equal(t, map[string]int{"big": 2, "small": 2}, tried, "one for each of four options")
}
