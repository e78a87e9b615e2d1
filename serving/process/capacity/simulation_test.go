package capacity_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"papayaport.dev/serving/process/capacity"
	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/version/service"
)

// TestMain sets the seed and the number of runs of the stateful tests unless they are given on
// the command line.
func TestMain(m *testing.M) {
	flag.Parse()
	values := map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.steps": "80", "rapid.nofailfile": "true"}
	flag.Visit(func(f *flag.Flag) { delete(values, f.Name) })
	for name, value := range values {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

func file() service.File {
	return service.File{
		Name:          "llm",
		Kind:          service.ModelKind,
		Model:         &service.Model{Name: "m", Version: "1", WeightBytes: 1 << 30},
		LatencyTarget: service.LatencyTarget{FirstTokenMS: 500, Quantile: 0.95},
		Capacity: service.Capacity{
			MinPerDomain: 1, MaxPerDomain: 4, SlotsPerServer: 10,
			Classes: []string{"big", "small"}, OnDemand: true,
		},
		DeadlineMS: 30_000,
	}
}

func prices() []platform.Price {
	return []platform.Price{
		{Class: "big", FailureDomain: "a", Reclaimable: true, PricePerHour: 2},
		{Class: "small", FailureDomain: "a", Reclaimable: true, PricePerHour: 1},
		{Class: "big", FailureDomain: "a", PricePerHour: 6},
		{Class: "small", FailureDomain: "a", PricePerHour: 3},
	}
}

// simulation is a simulated platform: the cloud API, the store and the actual instances.
type simulation struct {
	now         time.Time
	instances   map[string]platform.Instance
	byRequest   map[string]platform.Instance
	inUse       map[string]int
	refused     map[string]bool // "class/reclaimable"
	attempts    int
	refusals    int
	plan        capacity.Plan
	revision    uint64
	stopped     []string
	partitioned bool // an entry instance is unreachable
}

func newWorld() *simulation {
	return &simulation{
		now:       start,
		instances: make(map[string]platform.Instance),
		byRequest: make(map[string]platform.Instance),
		inUse:     make(map[string]int),
		refused:   make(map[string]bool),
	}
}

func (sim *simulation) list() []platform.Instance {
	return slices.SortedFunc(maps.Values(sim.instances), func(a, b platform.Instance) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

func (sim *simulation) start(in platform.Start) (capacity.Result, string) {
	sim.attempts++
	if old, ok := sim.byRequest[in.RequestID]; ok {
		return capacity.Done, old.ID
	}
	if sim.refused[fmt.Sprint(in.Class, "/", in.Reclaimable)] {
		sim.refusals++
		return capacity.Refused, ""
	}
	instance := platform.Instance{
		ID: fmt.Sprintf("i-%03d", len(sim.byRequest)), Incarnation: 1, Role: platform.BackendRole,
		Service: in.Service, FailureDomain: in.FailureDomain, Class: in.Class, Reclaimable: in.Reclaimable,
	}
	for _, p := range prices() {
		if p.Class == in.Class && p.Reclaimable == in.Reclaimable {
			instance.PricePerHour = p.PricePerHour
		}
	}
	sim.byRequest[in.RequestID] = instance
	sim.instances[instance.ID] = instance
	return capacity.Done, instance.ID
}

func (sim *simulation) put(action capacity.CommitPlan) (capacity.Result, uint64) {
	if action.IfRevision != sim.revision {
		return capacity.Refused, 0
	}
	sim.plan = action.Plan
	sim.revision++
	return capacity.Done, sim.revision
}

// execute applies one action immediately and passes its result to the planner.
func (sim *simulation) execute(p *capacity.Planner, action capacity.Action) {
	switch o := action.(type) {
	case capacity.ReadPlan:
		p.PlanRead(sim.now, capacity.Done, sim.plan, sim.revision)
	case capacity.CommitPlan:
		result, revision := sim.put(o)
		p.PlanCommitted(sim.now, o.Plan.Commit, result, revision)
	case capacity.StartInstance:
		result, id := sim.start(o.Start)
		p.Started(sim.now, o.Start.RequestID, result, id)
	case capacity.DrainServer:
		p.Drained(sim.now, o.Stop)
	case capacity.StopInstance:
		sim.stopped = append(sim.stopped, o.Stop.Instance)
		delete(sim.instances, o.Stop.Instance)
		p.Stopped(sim.now, o.Stop, capacity.Done)
	case capacity.OrderEngine:
		p.Ordered(sim.now, o.Instance)
	}
}

func (sim *simulation) reports() []capacity.Report {
	var all []capacity.Report
	for _, s := range sim.list() {
		all = append(all, capacity.Report{Instance: s.ID, Incarnation: s.Incarnation, InUse: sim.inUse[s.ID], AllReported: !sim.partitioned})
	}
	return all
}

// run steps a single lease holder for a time and returns its actions.
func (sim *simulation) run(p *capacity.Planner, d time.Duration) []capacity.Action {
	var all []capacity.Action
	for end := sim.now.Add(d); sim.now.Before(end); sim.now = sim.now.Add(500 * time.Millisecond) {
		p.SetInstances(sim.now, sim.list(), 0)
		p.SetReports(sim.now, sim.reports())
		for _, action := range p.Step(sim.now) {
			all = append(all, action)
			sim.execute(p, action)
		}
	}
	return all
}

func (sim *simulation) count(matches func(platform.Instance) bool) int {
	n := 0
	for _, s := range sim.instances {
		if matches(s) {
			n++
		}
	}
	return n
}

func staying(s platform.Instance) bool  { return !s.Leaving }
func onDemand(s platform.Instance) bool { return !s.Reclaimable }
