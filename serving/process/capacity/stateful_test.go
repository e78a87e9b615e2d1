package capacity_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"papayaport.dev/serving/process/capacity"
	"papayaport.dev/serving/process/platform"
)

// pendingAction is an action of a lease holder whose effect and answer may be delayed or lost.
type pendingAction struct {
	planner *capacity.Planner
	action  capacity.Action
	answer  func()
	done    bool
}

type snapshot struct {
	at   time.Time
	list []platform.Instance
}

// TestStatefulPlan runs two lease holders, one of which may be paused, against a platform that
// loses answers, refuses starts, reclaims instances and returns outdated lists. It guards against
// more than MaxPerDomain instances, counted in the simulation itself, and against the stop of
// a server that is in use or not drained.
func TestStatefulPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newWorld()
		planners := []*capacity.Planner{leaseHolder(), capacity.NewPlanner(file(), "a", random())}
		planners[1].SetPrices(prices())
		fencing := uint64(1)
		var actions []*pendingAction
		history := []snapshot{{sim.now, nil}}
		drained := make(map[string]bool)

		pick := func(t *rapid.T) *capacity.Planner {
			return planners[rapid.IntRange(0, 1).Draw(t, "planner")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				sim.now = sim.now.Add(time.Duration(rapid.IntRange(100, 15_000).Draw(t, "ms")) * time.Millisecond)
				history = append(history, snapshot{sim.now, sim.list()})
			},
			"lease moves": func(t *rapid.T) {
				fencing++
				i := rapid.IntRange(0, 1).Draw(t, "holder")
				planners[i].SetLease(fencing, true)
				if rapid.Bool().Draw(t, "other knows") {
					planners[1-i].SetLease(0, false)
				}
			},
			"list": func(t *rapid.T) {
				s := history[len(history)-1-rapid.IntRange(0, min(2, len(history)-1)).Draw(t, "behind")]
				pick(t).SetInstances(sim.now, s.list, sim.now.Sub(s.at))
			},
			"demand": func(t *rapid.T) {
				pick(t).SetDemand(capacity.Demand{InFlight: rapid.IntRange(0, 60).Draw(t, "in flight")})
			},
			"reports": func(t *rapid.T) { pick(t).SetReports(sim.now, sim.reports()) },
			"use": func(t *rapid.T) {
				for _, s := range sim.list() {
					if sim.inUse[s.ID] = 0; !drained[s.ID] {
						sim.inUse[s.ID] = rapid.IntRange(0, 1).Draw(t, "in use")
					}
				}
			},
			"refusals": func(t *rapid.T) {
				for _, kind := range []string{"big/true", "small/true", "big/false", "small/false"} {
					sim.refused[kind] = rapid.Bool().Draw(t, kind)
				}
			},
			"wave": func(t *rapid.T) {
				for _, s := range sim.list() {
					if rapid.Bool().Draw(t, s.ID) {
						s.Leaving = true
						sim.instances[s.ID] = s
						pick(t).MarkLeaving(sim.now, s.ID, s.Incarnation)
					}
				}
			},
			"instances go": func(*rapid.T) {
				for _, s := range sim.list() {
					if s.Leaving {
						delete(sim.instances, s.ID)
					}
				}
			},
			"work": func(t *rapid.T) {
				p := pick(t)
				behind := rapid.IntRange(0, 2).Draw(t, "behind")
				for range rapid.IntRange(1, 40).Draw(t, "rounds") {
					sim.now = sim.now.Add(time.Duration(rapid.IntRange(500, 12_000).Draw(t, "ms")) * time.Millisecond)
					history = append(history, snapshot{sim.now, sim.list()})
					s := history[max(0, len(history)-1-behind)]
					p.SetInstances(sim.now, s.list, sim.now.Sub(s.at))
					p.SetReports(sim.now, sim.reports())
					for _, action := range p.Step(sim.now) {
						u := &pendingAction{planner: p, action: action}
						if rapid.IntRange(0, 5).Draw(t, "late") == 0 {
							actions = append(actions, u)
							continue
						}
						sim.effect(t, u, drained)()
					}
				}
			},
			"effect": func(t *rapid.T) {
				if len(actions) == 0 {
					t.Skip("no pending action")
				}
				u := actions[rapid.IntRange(0, len(actions)-1).Draw(t, "order")]
				if u.done {
					t.Skip("already took effect")
				}
				u.done = true
				u.answer = sim.effect(t, u, drained)
			},
			"answer": func(t *rapid.T) {
				i := slices.IndexFunc(actions, func(u *pendingAction) bool { return u.done })
				if i < 0 {
					t.Skip("no answer")
				}
				actions[i].answer()
				actions = slices.Delete(actions, i, i+1)
			},
			"": func(t *rapid.T) {
				staying := 0
				for _, s := range sim.instances {
					stops := slices.ContainsFunc(sim.plan.Stops, func(p capacity.PlannedStop) bool { return p.Instance == s.ID })
					if !s.Leaving && !stops {
						staying++
					}
				}
				if staying > file().Capacity.MaxPerDomain {
					t.Fatalf("%d instances, plan %+v", staying, sim.plan)
				}
			},
		})
	})
}

// effect applies an action and returns a function that passes its result to the planner.
func (sim *simulation) effect(t *rapid.T, u *pendingAction, drained map[string]bool) func() {
	lost := rapid.IntRange(0, 3).Draw(t, "lost") == 0
	kept := func(r capacity.Result) capacity.Result {
		if lost {
			return capacity.Unknown
		}
		return r
	}
	switch o := u.action.(type) {
	case capacity.ReadPlan:
		plan, revision := sim.plan, sim.revision
		return func() { u.planner.PlanRead(sim.now, kept(capacity.Done), plan, revision) }
	case capacity.CommitPlan:
		result, revision := sim.put(o)
		return func() { u.planner.PlanCommitted(sim.now, o.Plan.Commit, kept(result), revision) }
	case capacity.StartInstance:
		result, id := sim.start(o.Start)
		return func() { u.planner.Started(sim.now, o.Start.RequestID, kept(result), id) }
	case capacity.DrainServer:
		drained[o.Stop.Instance] = true
		sim.inUse[o.Stop.Instance] = 0
		return func() { u.planner.Drained(sim.now, o.Stop) }
	case capacity.StopInstance:
		if !drained[o.Stop.Instance] || sim.inUse[o.Stop.Instance] > 0 {
			t.Fatalf("stopped %s: drained %v, %d in use", o.Stop.Instance, drained[o.Stop.Instance], sim.inUse[o.Stop.Instance])
		}
		delete(sim.instances, o.Stop.Instance)
		return func() { u.planner.Stopped(sim.now, o.Stop, kept(capacity.Done)) }
	case capacity.OrderEngine:
		return func() { u.planner.Ordered(sim.now, o.Instance) }
	}
	return func() {}
}
