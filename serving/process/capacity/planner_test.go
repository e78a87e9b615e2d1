package capacity_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/process/capacity"
	"papayaport.dev/serving/process/platform"
)

func holder() *capacity.Planner {
	p := capacity.NewPlanner(file(), "a", random())
	p.Lease(1, true)
	p.Prices(prices())
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
			w, p := newWorld(), holder()
			p.Demand(c.demand)
			w.run(p, 20*time.Second)
			require.Len(t, w.instances, c.want)
			require.Zero(t, w.count(onDemand))
			for _, s := range w.instances {
				require.Equal(t, "small", s.Class, "the cheaper class")
			}
		})
	}
}

func TestMissedLatencyTargetAddsServersOneByOne(t *testing.T) {
	w, p := newWorld(), holder()
	p.Demand(capacity.Demand{InFlight: 1, FirstTokenMS: 900})
	w.run(p, 20*time.Second)
	require.Len(t, w.instances, 2)
	w.run(p, 30*time.Second)
	require.Len(t, w.instances, 3)
}

func TestWaveWithRefusedStarts(t *testing.T) {
	w, p := newWorld(), holder()
	p.Demand(capacity.Demand{InFlight: 28})
	w.run(p, 20*time.Second)
	require.Len(t, w.instances, 4)
	for id, s := range w.instances {
		s.Leaving = true
		w.instances[id] = s
	}
	for _, kind := range []string{"big/true", "small/true", "big/false", "small/false"} {
		w.refused[kind] = true
	}
	w.attempts = 0
	w.run(p, 5*time.Minute)
	require.Zero(t, w.count(staying))
	// Four places are tried at once on each of four options, and then one probe per
	// option after each wait.
	require.LessOrEqual(t, w.attempts, 4*4+4*9)
	require.Greater(t, w.attempts, 12)

	w.refused["small/false"] = false
	w.run(p, 6*time.Minute)
	require.Equal(t, 4, w.count(staying))
	require.Equal(t, 4, w.count(onDemand))
}

func TestOnDemandIsGivenBackWhenPricesTurn(t *testing.T) {
	w, p := newWorld(), holder()
	w.refused["big/true"], w.refused["small/true"] = true, true
	p.Demand(capacity.Demand{InFlight: 10})
	w.run(p, time.Minute)
	require.Equal(t, 2, w.count(onDemand))
	w.refused["small/true"] = false
	w.run(p, 15*time.Minute)
	require.Equal(t, 2, len(w.instances))
	require.Zero(t, w.count(onDemand))
	require.Len(t, w.stopped, 2)
}

func TestStopWaitsForEveryEntry(t *testing.T) {
	w, p := newWorld(), holder()
	p.Demand(capacity.Demand{InFlight: 14})
	w.run(p, 20*time.Second)
	require.Len(t, w.instances, 2)
	for id := range w.instances {
		w.inUse[id] = 1
	}
	p.Demand(capacity.Demand{})
	w.run(p, 10*time.Minute)
	require.Empty(t, w.stopped, "requests in flight")
	require.Len(t, w.plan.Stops, 1)
	clear(w.inUse)
	w.run(p, 30*time.Second)
	require.Empty(t, w.stopped, "seen idle for a moment only")
	w.run(p, 10*time.Second)
	require.Len(t, w.stopped, 1)
	w.run(p, 10*time.Minute)
	require.Len(t, w.instances, 1, "the least number stays")
}

func TestStopWaitsForACutToHeal(t *testing.T) {
	w, p := newWorld(), holder()
	p.Demand(capacity.Demand{InFlight: 14})
	w.run(p, 20*time.Second)
	p.Demand(capacity.Demand{})
	w.cut = true
	w.run(p, 20*time.Minute)
	require.Len(t, w.plan.Stops, 1)
	require.Empty(t, w.stopped, "an entry instance may not know of the drain")
	w.cut = false
	w.run(p, 5*time.Second)
	require.Len(t, w.stopped, 1)
}

func TestLostAnswersStartOnce(t *testing.T) {
	w, p := newWorld(), holder()
	p.Instances(w.now, nil, 0)
	lost := 0
	for range 100 {
		w.now = w.now.Add(time.Second)
		p.Instances(w.now, nil, 30*time.Second)
		for _, order := range p.Step(w.now) {
			s, ok := order.(capacity.StartInstance)
			if !ok {
				w.carry(p, order)
				continue
			}
			lost++
			w.start(s.Start)
			p.Started(w.now, s.Start.RequestID, capacity.Unknown, "")
		}
	}
	require.Greater(t, lost, 10)
	require.Len(t, w.instances, 1)
}

func TestEngineOrders(t *testing.T) {
	w, p := newWorld(), holder()
	w.run(p, 10*time.Second)
	orders := w.run(p, 25*time.Second)
	var given []capacity.OrderEngine
	for _, order := range orders {
		if o, ok := order.(capacity.OrderEngine); ok {
			given = append(given, o)
		}
	}
	require.GreaterOrEqual(t, len(given), 2, "repeated until the server reports the model")
	require.LessOrEqual(t, len(given), 3)
	require.Equal(t, engine.Order{Kind: engine.LoadModel, Model: "m", Version: "1", Fencing: 1}, given[0].Order)
	require.Equal(t, int64(1<<30), given[0].Bytes)
}

func TestLoadsGoByValueAndSlowDown(t *testing.T) {
	l := capacity.NewLoads(random())
	now := start
	for id, value := range map[string]float64{"low": 1, "high": 9, "middle": 5} {
		l.Offer(capacity.OrderEngine{Instance: id, Value: value, Bytes: 100})
	}
	l.Offer(capacity.OrderEngine{Instance: "small", Value: 1, Bytes: 1})
	var got []string
	for _, want := range []bool{true, true, true, true, false} {
		o, ok := l.Next(now)
		require.Equal(t, want, ok)
		got = append(got, o.Instance)
	}
	require.Equal(t, []string{"small", "high", "middle", "low", ""}, got)

	for range 4 {
		l.Ended(now, true)
	}
	loads := 0
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		l.Offer(capacity.OrderEngine{Instance: "again", Value: 1})
		if _, ok := l.Next(now); ok {
			loads++
			l.Ended(now, true)
		}
	}
	require.LessOrEqual(t, loads, 4, "in 30 s of refusals")
	require.Positive(t, loads)
}

func TestFollowsALaterHolder(t *testing.T) {
	w := newWorld()
	old := holder()
	old.Demand(capacity.Demand{InFlight: 28})
	old.Instances(w.now, nil, 0)
	w.carry(old, old.Step(w.now)[0])
	w.now = w.now.Add(time.Second)
	old.Instances(w.now, nil, 0)
	commit := old.Step(w.now)
	require.IsType(t, capacity.CommitPlan{}, commit[0])

	later := holder()
	later.Lease(2, true)
	w.run(later, 10*time.Second)
	require.Len(t, w.instances, 1)
	result, _ := w.put(commit[0].(capacity.CommitPlan))
	require.Equal(t, capacity.Refused, result, "the write of the paused holder")
	old.PlanCommitted(w.now, commit[0].(capacity.CommitPlan).Plan.Commit, result, 0)
	for _, order := range w.run(old, 10*time.Second) {
		require.IsType(t, capacity.ReadPlan{}, order)
	}
	require.Equal(t, uint64(2), w.plan.Fencing)
	require.Equal(t, 1, w.count(func(platform.Instance) bool { return true }))
}
