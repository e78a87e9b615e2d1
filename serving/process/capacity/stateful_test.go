package capacity_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"papayaport.dev/serving/process/capacity"
	"papayaport.dev/serving/process/platform"
)

// underway is an order of a holder whose effect and answer may come late or get lost.
type underway struct {
	planner *capacity.Planner
	order   capacity.Order
	answer  func()
	done    bool
}

type snapshot struct {
	at   time.Time
	list []platform.Instance
}

// TestStatefulPlan drives two holders, one of them possibly paused, over a platform that
// loses answers, refuses starts, reclaims and lags. The oracle counts the true instances.
func TestStatefulPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		planners := []*capacity.Planner{holder(), capacity.NewPlanner(file(), "a", random())}
		planners[1].Prices(prices())
		fencing := uint64(1)
		var orders []*underway
		history := []snapshot{{w.now, nil}}
		drained := make(map[string]bool)

		pick := func(t *rapid.T) *capacity.Planner {
			return planners[rapid.IntRange(0, 1).Draw(t, "planner")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(100, 15_000).Draw(t, "ms")) * time.Millisecond)
				history = append(history, snapshot{w.now, w.list()})
			},
			"lease moves": func(t *rapid.T) {
				fencing++
				i := rapid.IntRange(0, 1).Draw(t, "holder")
				planners[i].Lease(fencing, true)
				if rapid.Bool().Draw(t, "other knows") {
					planners[1-i].Lease(0, false)
				}
			},
			"list": func(t *rapid.T) {
				s := history[len(history)-1-rapid.IntRange(0, min(2, len(history)-1)).Draw(t, "behind")]
				pick(t).Instances(w.now, s.list, w.now.Sub(s.at))
			},
			"demand": func(t *rapid.T) {
				pick(t).Demand(capacity.Demand{InFlight: rapid.IntRange(0, 60).Draw(t, "in flight")})
			},
			"reports": func(t *rapid.T) { pick(t).Servers(w.now, w.reports()) },
			"use": func(t *rapid.T) {
				for _, s := range w.list() {
					if w.inUse[s.ID] = 0; !drained[s.ID] {
						w.inUse[s.ID] = rapid.IntRange(0, 1).Draw(t, "in use")
					}
				}
			},
			"refusals": func(t *rapid.T) {
				for _, kind := range []string{"big/true", "small/true", "big/false", "small/false"} {
					w.refused[kind] = rapid.Bool().Draw(t, kind)
				}
			},
			"wave": func(t *rapid.T) {
				for _, s := range w.list() {
					if rapid.Bool().Draw(t, s.ID) {
						s.Leaving = true
						w.instances[s.ID] = s
						pick(t).Notice(w.now, s.ID, s.Incarnation)
					}
				}
			},
			"instances go": func(*rapid.T) {
				for _, s := range w.list() {
					if s.Leaving {
						delete(w.instances, s.ID)
					}
				}
			},
			"work": func(t *rapid.T) {
				p := pick(t)
				behind := rapid.IntRange(0, 2).Draw(t, "behind")
				for range rapid.IntRange(1, 40).Draw(t, "rounds") {
					w.now = w.now.Add(time.Duration(rapid.IntRange(500, 12_000).Draw(t, "ms")) * time.Millisecond)
					history = append(history, snapshot{w.now, w.list()})
					s := history[max(0, len(history)-1-behind)]
					p.Instances(w.now, s.list, w.now.Sub(s.at))
					p.Servers(w.now, w.reports())
					for _, order := range p.Step(w.now) {
						u := &underway{planner: p, order: order}
						if rapid.IntRange(0, 5).Draw(t, "late") == 0 {
							orders = append(orders, u)
							continue
						}
						w.effect(t, u, drained)()
					}
				}
			},
			"effect": func(t *rapid.T) {
				if len(orders) == 0 {
					t.Skip("nothing under way")
				}
				u := orders[rapid.IntRange(0, len(orders)-1).Draw(t, "order")]
				if u.done {
					t.Skip("has its effect")
				}
				u.done = true
				u.answer = w.effect(t, u, drained)
			},
			"answer": func(t *rapid.T) {
				i := slices.IndexFunc(orders, func(u *underway) bool { return u.done })
				if i < 0 {
					t.Skip("no answer")
				}
				orders[i].answer()
				orders = slices.Delete(orders, i, i+1)
			},
			"": func(t *rapid.T) {
				staying := 0
				for _, s := range w.instances {
					stops := slices.ContainsFunc(w.plan.Stops, func(p capacity.PlannedStop) bool { return p.Instance == s.ID })
					if !s.Leaving && !stops {
						staying++
					}
				}
				if staying > file().Capacity.MaxPerDomain {
					t.Fatalf("%d instances, plan %+v", staying, w.plan)
				}
			},
		})
	})
}

// effect lets an order take effect and returns how its answer reaches the planner.
func (w *world) effect(t *rapid.T, u *underway, drained map[string]bool) func() {
	lost := rapid.IntRange(0, 3).Draw(t, "lost") == 0
	kept := func(r capacity.Result) capacity.Result {
		if lost {
			return capacity.Unknown
		}
		return r
	}
	switch o := u.order.(type) {
	case capacity.ReadPlan:
		plan, revision := w.plan, w.revision
		return func() { u.planner.PlanRead(w.now, kept(capacity.Done), plan, revision) }
	case capacity.CommitPlan:
		result, revision := w.put(o)
		return func() { u.planner.PlanCommitted(w.now, o.Plan.Commit, kept(result), revision) }
	case capacity.StartInstance:
		result, id := w.start(o.Start)
		return func() { u.planner.Started(w.now, o.Start.RequestID, kept(result), id) }
	case capacity.DrainServer:
		drained[o.Stop.Instance] = true
		w.inUse[o.Stop.Instance] = 0
		return func() { u.planner.Drained(w.now, o.Stop) }
	case capacity.StopInstance:
		if !drained[o.Stop.Instance] || w.inUse[o.Stop.Instance] > 0 {
			t.Fatalf("stopped %s: drained %v, %d in use", o.Stop.Instance, drained[o.Stop.Instance], w.inUse[o.Stop.Instance])
		}
		delete(w.instances, o.Stop.Instance)
		return func() { u.planner.Stopped(w.now, o.Stop, kept(capacity.Done)) }
	case capacity.OrderEngine:
		return func() { u.planner.Ordered(w.now, o.Instance) }
	}
	return func() {}
}
