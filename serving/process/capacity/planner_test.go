package capacity_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/process/capacity"
	"papayaport.dev/serving/process/platform"
)

func leaseHolder() *capacity.Planner {
	p := capacity.NewPlanner(file(), "a", random())
	p.SetLease(1, true)
	p.SetPrices(prices())
	return p
}

func TestGrowsWithDemandWithinTheLimits(t *testing.T) {
	cases := map[string]struct {
		demand capacity.Demand
		want   int
	}{
		"idle":           {capacity.Demand{}, 1},
		"half a server":  {capacity.Demand{InFlight: 5}, 1},
		"two servers":    {capacity.Demand{InFlight: 10, Waiting: 4}, 2},
		"over the limit": {capacity.Demand{InFlight: 40, Waiting: 100}, 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			sim, p := newWorld(), leaseHolder()
			p.SetDemand(c.demand)
			sim.run(p, 20*time.Second)
			require.Len(t, sim.instances, c.want)
			require.Zero(t, sim.count(onDemand))
			for _, s := range sim.instances {
				require.Equal(t, "small", s.Class, "the cheaper class")
			}
		})
	}
}

func TestMissedLatencyTargetAddsServersOneByOne(t *testing.T) {
	sim, p := newWorld(), leaseHolder()
	p.SetDemand(capacity.Demand{InFlight: 1, FirstTokenMS: 900})
	sim.run(p, 20*time.Second)
	require.Len(t, sim.instances, 2)
	sim.run(p, 30*time.Second)
	require.Len(t, sim.instances, 3)
}

func TestWaveWithRefusedStarts(t *testing.T) {
	sim, p := newWorld(), leaseHolder()
	p.SetDemand(capacity.Demand{InFlight: 28})
	sim.run(p, 20*time.Second)
	require.Len(t, sim.instances, 4)
	for id, s := range sim.instances {
		s.Leaving = true
		sim.instances[id] = s
	}
	for _, kind := range []string{"big/true", "small/true", "big/false", "small/false"} {
		sim.refused[kind] = true
	}
	sim.attempts = 0
	sim.run(p, 5*time.Minute)
	require.Zero(t, sim.count(staying))
	// Four starts are attempted at the same time on each of four options, followed by one
	// probe per option after each back-off.
	require.LessOrEqual(t, sim.attempts, 4*4+4*9)
	require.Greater(t, sim.attempts, 12)

	sim.refused["small/false"] = false
	sim.run(p, 6*time.Minute)
	require.Equal(t, 4, sim.count(staying))
	require.Equal(t, 4, sim.count(onDemand))
}

func TestOnDemandIsReplacedByCheaperReclaimable(t *testing.T) {
	sim, p := newWorld(), leaseHolder()
	sim.refused["big/true"], sim.refused["small/true"] = true, true
	p.SetDemand(capacity.Demand{InFlight: 10})
	sim.run(p, time.Minute)
	require.Equal(t, 2, sim.count(onDemand))
	sim.refused["small/true"] = false
	sim.run(p, 15*time.Minute)
	require.Equal(t, 2, len(sim.instances))
	require.Zero(t, sim.count(onDemand))
	require.Len(t, sim.stopped, 2)
}

func TestStopWaitsForEveryEntry(t *testing.T) {
	sim, p := newWorld(), leaseHolder()
	p.SetDemand(capacity.Demand{InFlight: 14})
	sim.run(p, 20*time.Second)
	require.Len(t, sim.instances, 2)
	for id := range sim.instances {
		sim.inUse[id] = 1
	}
	p.SetDemand(capacity.Demand{})
	sim.run(p, 10*time.Minute)
	require.Empty(t, sim.stopped, "requests in flight")
	require.Len(t, sim.plan.Stops, 1)
	clear(sim.inUse)
	sim.run(p, 30*time.Second)
	require.Empty(t, sim.stopped, "not idle for long enough")
	sim.run(p, 10*time.Second)
	require.Len(t, sim.stopped, 1)
	sim.run(p, 10*time.Minute)
	require.Len(t, sim.instances, 1, "the minimum stays")
}

func TestStopWaitsForPartitionToHeal(t *testing.T) {
	sim, p := newWorld(), leaseHolder()
	p.SetDemand(capacity.Demand{InFlight: 14})
	sim.run(p, 20*time.Second)
	p.SetDemand(capacity.Demand{})
	sim.partitioned = true
	sim.run(p, 20*time.Minute)
	require.Len(t, sim.plan.Stops, 1)
	require.Empty(t, sim.stopped, "an entry instance may not have received the drain")
	sim.partitioned = false
	sim.run(p, 5*time.Second)
	require.Len(t, sim.stopped, 1)
}

func TestLostAnswersStartOnce(t *testing.T) {
	sim, p := newWorld(), leaseHolder()
	p.SetInstances(sim.now, nil, 0)
	lost := 0
	for range 100 {
		sim.now = sim.now.Add(time.Second)
		p.SetInstances(sim.now, nil, 30*time.Second)
		for _, action := range p.Step(sim.now) {
			s, ok := action.(capacity.StartInstance)
			if !ok {
				sim.execute(p, action)
				continue
			}
			lost++
			sim.start(s.Start)
			p.Started(sim.now, s.Start.RequestID, capacity.Unknown, "")
		}
	}
	require.Greater(t, lost, 10)
	require.Len(t, sim.instances, 1)
}

func TestEngineOrders(t *testing.T) {
	sim, p := newWorld(), leaseHolder()
	sim.run(p, 10*time.Second)
	actions := sim.run(p, 25*time.Second)
	var given []capacity.OrderEngine
	for _, action := range actions {
		if o, ok := action.(capacity.OrderEngine); ok {
			given = append(given, o)
		}
	}
	require.GreaterOrEqual(t, len(given), 2, "repeated until the server reports the model")
	require.LessOrEqual(t, len(given), 3)
	require.Equal(t, engine.Order{Kind: engine.LoadModel, Model: "m", Version: "1", Fencing: 1}, given[0].Order)
	require.Equal(t, int64(1<<30), given[0].Bytes)
}

func TestLoadsAreOrderedByValueAndSlowDown(t *testing.T) {
	l := capacity.NewLoadQueue(random())
	now := start
	for id, value := range map[string]float64{"low": 1, "high": 9, "middle": 5} {
		l.Enqueue(capacity.OrderEngine{Instance: id, Value: value, Bytes: 100})
	}
	l.Enqueue(capacity.OrderEngine{Instance: "small", Value: 1, Bytes: 1})
	var got []string
	for _, want := range []bool{true, true, true, true, false} {
		o, ok := l.Next(now)
		require.Equal(t, want, ok)
		got = append(got, o.Instance)
	}
	require.Equal(t, []string{"small", "high", "middle", "low", ""}, got)

	for range 4 {
		l.Finish(now, true)
	}
	loads := 0
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		l.Enqueue(capacity.OrderEngine{Instance: "again", Value: 1})
		if _, ok := l.Next(now); ok {
			loads++
			l.Finish(now, true)
		}
	}
	require.LessOrEqual(t, loads, 4, "within 30 s of refusals")
	require.Positive(t, loads)
}

// TestFollowsALaterHolder guards against a paused lease holder that, after it resumes, overwrites
// the plan of its successor or executes its own outdated one.
func TestFollowsALaterHolder(t *testing.T) {
	sim := newWorld()
	old := leaseHolder()
	old.SetDemand(capacity.Demand{InFlight: 28})
	old.SetInstances(sim.now, nil, 0)
	sim.execute(old, old.Step(sim.now)[0])
	sim.now = sim.now.Add(time.Second)
	old.SetInstances(sim.now, nil, 0)
	commit := old.Step(sim.now)
	require.IsType(t, capacity.CommitPlan{}, commit[0])

	later := leaseHolder()
	later.SetLease(2, true)
	sim.run(later, 10*time.Second)
	require.Len(t, sim.instances, 1)
	result, _ := sim.put(commit[0].(capacity.CommitPlan))
	require.Equal(t, capacity.Refused, result, "the write of the paused lease holder")
	old.PlanCommitted(sim.now, commit[0].(capacity.CommitPlan).Plan.Commit, result, 0)
	for _, action := range sim.run(old, 10*time.Second) {
		require.IsType(t, capacity.ReadPlan{}, action)
	}
	require.Equal(t, uint64(2), sim.plan.Fencing)
	require.Equal(t, 1, sim.count(func(platform.Instance) bool { return true }))
}
