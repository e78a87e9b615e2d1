package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	simulationTick = 50 * time.Millisecond
	decideTicks    = 5  // decisions every 250 ms
	roundTicks     = 10 // permits and reports every 500 ms
)

// outcome is what a simulated server does with an attempt.
type outcome struct {
	failed bool
	ratio  float64 // 0 is 1
}

// simulatedAttempt is an attempt as a simulated server sees it.
type simulatedAttempt struct {
	version, route string
	server         int
	since          time.Duration // since the start of the simulation
	rate           float64       // the server's attempts in the last second
}

// simulation simulates entry instances with their gates and recorders, the backend servers of
// one service, a store with compare-and-swap, and a holder of the duties.
type simulation struct {
	t            *testing.T
	rng          *rand.Rand
	boot         time.Time     // of the instances' boot clocks
	skew         time.Duration // of the holder's wall clock
	elapsed      time.Duration
	tick         int
	service      string
	orders       []Order
	stored       []Stored
	rev          uint64
	instances    []*instance
	decider      *Decider
	fencing      uint64
	servers      map[string]int // ready servers by version
	slots        int            // of each server
	rate         int            // requests for each instance and tick
	respond      func(simulatedAttempt) outcome
	hasHolder    bool // a holder is running
	viewsStopped bool // the instances get no views

	// write returns the result of a write, and whether the store applies it.
	write func(d Decision) (o WriteResult, applied bool)

	inFlightOld, inFlight int
	steps                 []Decision
	sent                  map[string]int // by version
	total, refused, bad   int
	lastCandidate         time.Duration // last attempt at v2
	fiftiethBad           time.Duration // time of the 50th bad answer of v2, 0 if none
	loads                 map[string][]time.Duration
}

// node is an entry instance.
type instance struct {
	gate        *Gate
	recorder    *Recorder
	incarnation uint64
	bornMS      int64
	partitioned bool // gets no views and does not reach the holder
}

func newSimulation(t *testing.T, instances int) *simulation {
	sim := &simulation{
		t: t, rng: rand.New(rand.NewPCG(1, 2)), boot: start, service: "bench",
		decider: NewDecider(limits), fencing: 1, hasHolder: true, rate: 4, slots: 20,
		servers: map[string]int{"v1": 20, "v2": 20},
		respond: func(simulatedAttempt) outcome { return outcome{} },
		sent:    make(map[string]int), loads: make(map[string][]time.Duration),
	}
	for range instances {
		n := &instance{}
		sim.instances = append(sim.instances, n)
		sim.restart(n)
	}
	return sim
}

// restart replaces an instance's process.
func (sim *simulation) restart(n *instance) {
	n.gate, n.recorder = NewGate(limits), NewRecorder()
	n.incarnation++
	n.bornMS = sim.wallTime().UnixMilli()
}

// wallTime returns the holder's wall-clock time.
func (sim *simulation) wallTime() time.Time {
	return time.UnixMilli(1_700_000_000_000).Add(sim.elapsed + sim.skew)
}

func (sim *simulation) now() time.Time { return sim.boot.Add(sim.elapsed) }

// order puts an order into the store, empty to delete it.
func (sim *simulation) order(to string, duration time.Duration) {
	sim.rev++
	sim.orders = nil
	if to != "" {
		sim.orders = []Order{{Service: sim.service, To: to, Duration: duration, Revision: sim.rev}}
	}
}

func (sim *simulation) record() Record {
	if len(sim.stored) == 0 {
		return Record{}
	}
	return sim.stored[0].Record
}

// run advances the simulation by d.
func (sim *simulation) run(d time.Duration) {
	for range int(d / simulationTick) {
		sim.elapsed += simulationTick
		sim.tick++
		if sim.tick%decideTicks == 0 {
			sim.updateViews()
			sim.decide()
		}
		for _, n := range sim.instances {
			for range sim.rate {
				sim.request(n)
			}
		}
	}
}

func (sim *simulation) updateViews() {
	if sim.viewsStopped {
		return
	}
	old := make(map[string]int)
	for _, order := range sim.orders {
		for version, count := range sim.servers {
			if version != order.To {
				old[order.Service] += count
			}
		}
	}
	state := State{Orders: sim.orders, Entries: len(sim.instances), OldServers: old}
	for _, stored := range sim.stored {
		state.Records = append(state.Records, stored.Record)
	}
	for _, n := range sim.instances {
		if n.partitioned {
			continue
		}
		state.StartedMS = n.bornMS
		n.gate.SetState(sim.now(), state)
		order, _ := n.gate.Applied(sim.service)
		n.recorder.Follow(sim.service, order)
	}
}

func (sim *simulation) decide() {
	if !sim.hasHolder {
		return
	}
	versions := make(map[string]Servers)
	for version, count := range sim.servers {
		versions[version] = Servers{Count: count, Slots: count * sim.slots}
	}
	in := Input{
		Fencing: sim.fencing, Orders: sim.orders, Records: append([]Stored(nil), sim.stored...),
		Servers: map[string]map[string]Servers{sim.service: versions}, Reports: sim.reports(),
	}
	in.MissingReports = len(sim.instances) - len(in.Reports)
	for _, d := range sim.decider.Decide(sim.wallTime(), in) {
		if d.Step != "" && d.Step != StepEvidence && !d.Repeated {
			sim.steps = append(sim.steps, d)
		}
		if d.Permit && sim.tick%roundTicks == 0 {
			sim.permit(Permit{Service: d.Record.Service, Order: d.Record.Order, Phase: d.Record.Phase})
		}
		if d.Write {
			sim.decider.HandleWriteResult(sim.wallTime(), d, sim.swap(d))
		}
	}
}

func (sim *simulation) reports() []Report {
	var reports []Report
	for i, n := range sim.instances {
		if n.partitioned {
			continue
		}
		order, phase := n.gate.Applied(sim.service)
		reports = append(reports, Report{
			Service: sim.service, Order: order, Instance: fmt.Sprint(i), Incarnation: n.incarnation,
			Applied: phase, InFlight: sim.inFlight, InFlightOld: sim.inFlightOld,
			Evidence: n.recorder.Evidence(sim.now(), sim.service),
		})
	}
	return reports
}

func (sim *simulation) permit(permit Permit) {
	for _, n := range sim.instances {
		if !n.partitioned {
			n.gate.Permit(sim.now(), []Permit{permit})
		}
	}
}

// swap writes a record by compare-and-swap, subject to the faults injected by write.
func (sim *simulation) swap(d Decision) WriteResult {
	answer, apply := Accepted, true
	if sim.write != nil {
		answer, apply = sim.write(d)
	}
	if !apply {
		return answer
	}
	var revision, order uint64
	if len(sim.stored) > 0 {
		revision = sim.stored[0].Revision
	}
	if len(sim.orders) > 0 {
		order = sim.orders[0].Revision
	}
	if revision != d.Revision || order != d.OrderRevision {
		return Conflict
	}
	if revision != 0 {
		sim.checkPhase(d)
	}
	sim.rev++
	sim.stored = []Stored{{Record: d.Record, Revision: sim.rev}}
	return answer
}

// checkPhase checks invariant 3: phases only move forward.
func (sim *simulation) checkPhase(d Decision) {
	before := sim.stored[0].Record
	if before.Order != d.Record.Order || before.Phase == d.Record.Phase {
		return
	}
	require.True(sim.t, before.Phase.InProgress(), "%s after %s", d.Record.Phase, before.Phase)
	allowed := map[Phase][]Phase{Trial: {Shift, Reverted}, Shift: {Completed, Reverted}}
	require.Contains(sim.t, allowed[before.Phase], d.Record.Phase)
}

// request sends one request from an instance, and retries it at an old version if the candidate
// fails it.
func (sim *simulation) request(n *instance) {
	route := "review"
	if sim.rng.IntN(20) == 0 {
		route = "rare"
	}
	sim.total++
	pick := n.gate.Pick(sim.now(), sim.service, route, false)
	version, server, ok := sim.choose(pick)
	if !ok {
		pick = n.gate.Pick(sim.now(), sim.service, route, true)
		version, server, ok = sim.choose(pick)
	}
	if !ok {
		sim.refused++
		return
	}
	if !sim.attempt(n, route, version, server) || !n.gate.IsCandidate(sim.service, version) {
		return
	}
	pick = n.gate.Pick(sim.now(), sim.service, route, true)
	if version, server, ok = sim.choose(pick); ok {
		sim.attempt(n, route, version, server)
	}
}

// choose returns a server that a pick allows.
func (sim *simulation) choose(pick Pick) (version string, server int, ok bool) {
	var versions []string
	for _, version := range []string{"", "v1", "v2", "v3"} {
		barred := false
		for _, not := range pick.Excluded {
			barred = barred || not == version
		}
		if sim.servers[version] > 0 && !barred && (pick.Only == "" || pick.Only == version) {
			versions = append(versions, version)
		}
	}
	if len(versions) == 0 {
		return "", 0, false
	}
	version = versions[sim.rng.IntN(len(versions))]
	count := sim.servers[version]
	if pick.MaxServers > 0 {
		count = min(count, pick.MaxServers)
	}
	return version, sim.rng.IntN(count), true
}

// attempt sends an attempt and reports whether it failed.
func (sim *simulation) attempt(n *instance, route, version string, server int) bool {
	candidate := n.gate.IsCandidate(sim.service, version)
	n.gate.Sent(sim.now(), sim.service, route, candidate)
	sim.sent[version]++
	if version == "v2" {
		sim.lastCandidate = sim.elapsed
	}
	key := fmt.Sprint(version, "/", server)
	result := sim.respond(simulatedAttempt{
		version: version, route: route, server: server, since: sim.elapsed, rate: sim.load(key),
	})
	ratio := result.ratio
	if ratio == 0 {
		ratio = 0.8 + 0.4*sim.rng.Float64()
	}
	if version == "v2" && (result.failed || ratio > 4) {
		sim.bad++
		if sim.bad == 50 {
			sim.fiftiethBad = sim.elapsed
		}
	}
	n.recorder.Answered(Answer{
		Service: sim.service, Route: route, Server: key, Candidate: candidate, Failed: result.failed,
		FirstRatio: ratio, WholeRatio: ratio,
	})
	return result.failed
}

// load returns a server's attempts in the last second.
func (sim *simulation) load(key string) float64 {
	recent := append(sim.loads[key], sim.elapsed)
	for recent[0] < sim.elapsed-time.Second {
		recent = recent[1:]
	}
	sim.loads[key] = recent
	return float64(len(recent))
}

// stepNames returns the steps that a caller would log.
func (sim *simulation) stepNames() []Step {
	var steps []Step
	for _, d := range sim.steps {
		steps = append(steps, d.Step)
	}
	return steps
}
