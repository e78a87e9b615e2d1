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

// TestMain fixes seed and number of the stateful tests unless the command line names them.
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

// world is the platform: the cloud API, the store and the truth about instances.
type world struct {
	now       time.Time
	instances map[string]platform.Instance
	byRequest map[string]platform.Instance
	inUse     map[string]int
	refused   map[string]bool // "class/reclaimable"
	attempts  int
	refusals  int
	plan      capacity.Plan
	revision  uint64
	stopped   []string
	cut       bool // an entry instance is out of reach
}

func newWorld() *world {
	return &world{
		now:       start,
		instances: make(map[string]platform.Instance),
		byRequest: make(map[string]platform.Instance),
		inUse:     make(map[string]int),
		refused:   make(map[string]bool),
	}
}

func (w *world) list() []platform.Instance {
	return slices.SortedFunc(maps.Values(w.instances), func(a, b platform.Instance) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

func (w *world) start(in platform.Start) (capacity.Result, string) {
	w.attempts++
	if old, ok := w.byRequest[in.RequestID]; ok {
		return capacity.Done, old.ID
	}
	if w.refused[fmt.Sprint(in.Class, "/", in.Reclaimable)] {
		w.refusals++
		return capacity.Refused, ""
	}
	instance := platform.Instance{
		ID: fmt.Sprintf("i-%03d", len(w.byRequest)), Incarnation: 1, Role: platform.BackendRole,
		Service: in.Service, FailureDomain: in.FailureDomain, Class: in.Class, Reclaimable: in.Reclaimable,
	}
	for _, p := range prices() {
		if p.Class == in.Class && p.Reclaimable == in.Reclaimable {
			instance.PricePerHour = p.PricePerHour
		}
	}
	w.byRequest[in.RequestID] = instance
	w.instances[instance.ID] = instance
	return capacity.Done, instance.ID
}

func (w *world) put(order capacity.CommitPlan) (capacity.Result, uint64) {
	if order.IfRevision != w.revision {
		return capacity.Refused, 0
	}
	w.plan = order.Plan
	w.revision++
	return capacity.Done, w.revision
}

// carry makes one order take effect at once and answers it.
func (w *world) carry(p *capacity.Planner, order capacity.Order) {
	switch o := order.(type) {
	case capacity.ReadPlan:
		p.PlanRead(w.now, capacity.Done, w.plan, w.revision)
	case capacity.CommitPlan:
		result, revision := w.put(o)
		p.PlanCommitted(w.now, o.Plan.Commit, result, revision)
	case capacity.StartInstance:
		result, id := w.start(o.Start)
		p.Started(w.now, o.Start.RequestID, result, id)
	case capacity.DrainServer:
		p.Drained(w.now, o.Stop)
	case capacity.StopInstance:
		w.stopped = append(w.stopped, o.Stop.Instance)
		delete(w.instances, o.Stop.Instance)
		p.Stopped(w.now, o.Stop, capacity.Done)
	case capacity.OrderEngine:
		p.Ordered(w.now, o.Instance)
	}
}

func (w *world) reports() []capacity.Report {
	var all []capacity.Report
	for _, s := range w.list() {
		all = append(all, capacity.Report{Instance: s.ID, Incarnation: s.Incarnation, InUse: w.inUse[s.ID], AllHeard: !w.cut})
	}
	return all
}

// run lets time pass for one undisturbed holder and returns the orders given.
func (w *world) run(p *capacity.Planner, d time.Duration) []capacity.Order {
	var all []capacity.Order
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(500 * time.Millisecond) {
		p.Instances(w.now, w.list(), 0)
		p.Servers(w.now, w.reports())
		for _, order := range p.Step(w.now) {
			all = append(all, order)
			w.carry(p, order)
		}
	}
	return all
}

func (w *world) count(matches func(platform.Instance) bool) int {
	n := 0
	for _, s := range w.instances {
		if matches(s) {
			n++
		}
	}
	return n
}

func staying(s platform.Instance) bool  { return !s.Leaving }
func onDemand(s platform.Instance) bool { return !s.Reclaimable }
