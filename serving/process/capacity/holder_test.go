package capacity_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/capacity"
	"papayaport.dev/serving/process/platform"
)

// fullDomain returns a platform with the largest number of servers, and an older instance list
// without the last one.
func fullDomain(t *testing.T) (*simulation, []platform.Instance) {
	t.Helper()
	sim, p := newWorld(), leaseHolder()
	p.SetDemand(capacity.Demand{InFlight: 28})
	sim.run(p, 30*time.Second)
	require.Len(t, sim.instances, 4)
	require.Empty(t, sim.plan.Starts)
	return sim, sim.list()[:3]
}

func successor() *capacity.Planner {
	p := leaseHolder()
	p.SetLease(2, true)
	p.SetDemand(capacity.Demand{InFlight: 28})
	return p
}

// TestNewHolderWaitsForNewerList guards against a new lease holder that starts servers that its
// predecessor has already started, because its instance list is older than the plan.
func TestNewHolderWaitsForNewerList(t *testing.T) {
	sim, before := fullDomain(t)
	p := successor()
	p.SetInstances(sim.now, before, 5*time.Second)
	require.Equal(t, []capacity.Action{capacity.ReadPlan{}}, p.Step(sim.now))
	p.PlanRead(sim.now, capacity.Done, sim.plan, sim.revision)
	require.Empty(t, p.Step(sim.now), "the list may lack servers that the predecessor started")
	sim.run(p, 30*time.Second)
	require.Len(t, sim.instances, 4)
}

func TestOlderListIsIgnored(t *testing.T) {
	sim, before := fullDomain(t)
	p := successor()
	sim.run(p, 5*time.Second)
	p.SetInstances(sim.now, before, time.Second)
	require.Empty(t, p.Step(sim.now))
}

func TestNothingIsDoneBeforeTheFirstCommit(t *testing.T) {
	sim, _ := fullDomain(t)
	p := successor()
	p.SetInstances(sim.now, nil, 0)
	p.Step(sim.now)
	old := capacity.Plan{Commit: "1-1", Fencing: 1, Wanted: 4, Starts: []capacity.PlannedStart{{RequestID: "llm/a/1-1"}}}
	p.PlanRead(sim.now, capacity.Done, old, sim.revision-1)
	sim.now = sim.now.Add(time.Second)
	p.SetInstances(sim.now, nil, 0)
	actions := p.Step(sim.now)
	require.Len(t, actions, 1)
	commit := actions[0].(capacity.CommitPlan)
	require.Empty(t, p.Step(sim.now), "the plan that was read may be outdated")
	result, _ := sim.put(commit)
	require.Equal(t, capacity.Refused, result)
	p.PlanCommitted(sim.now, commit.Plan.Commit, result, 0)
	require.Equal(t, []capacity.Action{capacity.ReadPlan{}}, p.Step(sim.now.Add(5*time.Second)))
}

func TestRefusedOptionIsProbedByOneAttempt(t *testing.T) {
	sim, p := newWorld(), leaseHolder()
	for _, kind := range []string{"big/true", "small/true", "big/false", "small/false"} {
		sim.refused[kind] = true
	}
	p.SetDemand(capacity.Demand{InFlight: 28})
	sim.run(p, 10*time.Second)
	require.GreaterOrEqual(t, sim.attempts, 4)
	sim.now = sim.now.Add(time.Hour)
	p.SetInstances(sim.now, nil, 0)
	tried := make(map[string]int)
	for _, action := range p.Step(sim.now) {
		s := action.(capacity.StartInstance).Start
		tried[s.Class]++
	}
	require.Equal(t, map[string]int{"big": 2, "small": 2}, tried, "one for each of four options")
}
