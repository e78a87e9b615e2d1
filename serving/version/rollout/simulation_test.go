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
	write func(d Decision) (o Outcome, applied bool)

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
	w := &simulation{
		t: t, rng: rand.New(rand.NewPCG(1, 2)), boot: start, service: "bench",
		decider: NewDecider(limits), fencing: 1, hasHolder: true, rate: 4, slots: 20,
		servers: map[string]int{"v1": 20, "v2": 20},
		respond: func(simulatedAttempt) outcome { return outcome{} },
		sent:    make(map[string]int), loads: make(map[string][]time.Duration),
	}
	for range instances {
		n := &instance{}
		w.instances = append(w.instances, n)
		w.restart(n)
	}
	return w
}

// restart replaces an instance's process.
func (w *simulation) restart(n *instance) {
	n.gate, n.recorder = NewGate(limits), NewRecorder()
	n.incarnation++
	n.bornMS = w.wallTime().UnixMilli()
}

// wallTime returns the holder's wall-clock time.
func (w *simulation) wallTime() time.Time {
	return time.UnixMilli(1_700_000_000_000).Add(w.elapsed + w.skew)
}

func (w *simulation) now() time.Time { return w.boot.Add(w.elapsed) }

// order puts an order into the store, empty to delete it.
func (w *simulation) order(to string, duration time.Duration) {
	w.rev++
	w.orders = nil
	if to != "" {
		w.orders = []Order{{Service: w.service, To: to, Duration: duration, Revision: w.rev}}
	}
}

func (w *simulation) record() Record {
	if len(w.stored) == 0 {
		return Record{}
	}
	return w.stored[0].Record
}

// run advances the simulation by d.
func (w *simulation) run(d time.Duration) {
	for range int(d / simulationTick) {
		w.elapsed += simulationTick
		w.tick++
		if w.tick%decideTicks == 0 {
			w.updateViews()
			w.decide()
		}
		for _, n := range w.instances {
			for range w.rate {
				w.request(n)
			}
		}
	}
}

func (w *simulation) updateViews() {
	if w.viewsStopped {
		return
	}
	old := make(map[string]int)
	for _, order := range w.orders {
		for version, count := range w.servers {
			if version != order.To {
				old[order.Service] += count
			}
		}
	}
	state := State{Orders: w.orders, Entries: len(w.instances), OldServers: old}
	for _, stored := range w.stored {
		state.Records = append(state.Records, stored.Record)
	}
	for _, n := range w.instances {
		if n.partitioned {
			continue
		}
		state.BornMS = n.bornMS
		n.gate.SetState(w.now(), state)
		order, _ := n.gate.Applied(w.service)
		n.recorder.Follow(w.service, order)
	}
}

func (w *simulation) decide() {
	if !w.hasHolder {
		return
	}
	versions := make(map[string]Servers)
	for version, count := range w.servers {
		versions[version] = Servers{Count: count, Slots: count * w.slots}
	}
	in := Input{
		Fencing: w.fencing, Orders: w.orders, Records: append([]Stored(nil), w.stored...),
		Servers: map[string]map[string]Servers{w.service: versions}, Reports: w.reports(),
	}
	in.Unheard = len(w.instances) - len(in.Reports)
	for _, d := range w.decider.Decide(w.wallTime(), in) {
		if d.Step != "" && d.Step != StepEvidence && !d.Again {
			w.steps = append(w.steps, d)
		}
		if d.Permit && w.tick%roundTicks == 0 {
			w.permit(Permit{Service: d.Record.Service, Order: d.Record.Order, Phase: d.Record.Phase})
		}
		if d.Write {
			w.decider.Written(w.wallTime(), d, w.swap(d))
		}
	}
}

func (w *simulation) reports() []Report {
	var reports []Report
	for i, n := range w.instances {
		if n.partitioned {
			continue
		}
		order, phase := n.gate.Applied(w.service)
		reports = append(reports, Report{
			Service: w.service, Order: order, Instance: fmt.Sprint(i), Incarnation: n.incarnation,
			Applied: phase, InFlight: w.inFlight, InFlightOld: w.inFlightOld,
			Evidence: n.recorder.Evidence(w.now(), w.service),
		})
	}
	return reports
}

func (w *simulation) permit(permit Permit) {
	for _, n := range w.instances {
		if !n.partitioned {
			n.gate.Permit(w.now(), []Permit{permit})
		}
	}
}

// swap writes a record by compare-and-swap, subject to the faults injected by write.
func (w *simulation) swap(d Decision) Outcome {
	answer, apply := Accepted, true
	if w.write != nil {
		answer, apply = w.write(d)
	}
	if !apply {
		return answer
	}
	var revision, order uint64
	if len(w.stored) > 0 {
		revision = w.stored[0].Revision
	}
	if len(w.orders) > 0 {
		order = w.orders[0].Revision
	}
	if revision != d.Revision || order != d.OrderRevision {
		return Conflict
	}
	if revision != 0 {
		w.checkPhase(d)
	}
	w.rev++
	w.stored = []Stored{{Record: d.Record, Revision: w.rev}}
	return answer
}

// checkPhase checks invariant 3: phases only move forward.
func (w *simulation) checkPhase(d Decision) {
	before := w.stored[0].Record
	if before.Order != d.Record.Order || before.Phase == d.Record.Phase {
		return
	}
	require.True(w.t, before.Phase.InProgress(), "%s after %s", d.Record.Phase, before.Phase)
	allowed := map[Phase][]Phase{Trial: {Shift, Reverted}, Shift: {Completed, Reverted}}
	require.Contains(w.t, allowed[before.Phase], d.Record.Phase)
}

// request sends one request from an instance, and retries it at an old version if the candidate
// fails it.
func (w *simulation) request(n *instance) {
	route := "review"
	if w.rng.IntN(20) == 0 {
		route = "rare"
	}
	w.total++
	pick := n.gate.Pick(w.now(), w.service, route, false)
	version, server, ok := w.choose(pick)
	if !ok {
		pick = n.gate.Pick(w.now(), w.service, route, true)
		version, server, ok = w.choose(pick)
	}
	if !ok {
		w.refused++
		return
	}
	if !w.attempt(n, route, version, server) || !n.gate.IsCandidate(w.service, version) {
		return
	}
	pick = n.gate.Pick(w.now(), w.service, route, true)
	if version, server, ok = w.choose(pick); ok {
		w.attempt(n, route, version, server)
	}
}

// choose returns a server that a pick allows.
func (w *simulation) choose(pick Pick) (version string, server int, ok bool) {
	var versions []string
	for _, version := range []string{"", "v1", "v2", "v3"} {
		barred := false
		for _, not := range pick.Not {
			barred = barred || not == version
		}
		if w.servers[version] > 0 && !barred && (pick.Only == "" || pick.Only == version) {
			versions = append(versions, version)
		}
	}
	if len(versions) == 0 {
		return "", 0, false
	}
	version = versions[w.rng.IntN(len(versions))]
	count := w.servers[version]
	if pick.Most > 0 {
		count = min(count, pick.Most)
	}
	return version, w.rng.IntN(count), true
}

// attempt sends an attempt and reports whether it failed.
func (w *simulation) attempt(n *instance, route, version string, server int) bool {
	candidate := n.gate.IsCandidate(w.service, version)
	n.gate.Sent(w.now(), w.service, route, candidate)
	w.sent[version]++
	if version == "v2" {
		w.lastCandidate = w.elapsed
	}
	key := fmt.Sprint(version, "/", server)
	result := w.respond(simulatedAttempt{
		version: version, route: route, server: server, since: w.elapsed, rate: w.load(key),
	})
	ratio := result.ratio
	if ratio == 0 {
		ratio = 0.8 + 0.4*w.rng.Float64()
	}
	if version == "v2" && (result.failed || ratio > 4) {
		w.bad++
		if w.bad == 50 {
			w.fiftiethBad = w.elapsed
		}
	}
	n.recorder.Answered(Answer{
		Service: w.service, Route: route, Server: key, Candidate: candidate, Failed: result.failed,
		FirstRatio: ratio, WholeRatio: ratio,
	})
	return result.failed
}

// load returns a server's attempts in the last second.
func (w *simulation) load(key string) float64 {
	recent := append(w.loads[key], w.elapsed)
	for recent[0] < w.elapsed-time.Second {
		recent = recent[1:]
	}
	w.loads[key] = recent
	return float64(len(recent))
}

// stepNames returns the steps that a caller would log.
func (w *simulation) stepNames() []Step {
	var steps []Step
	for _, d := range w.steps {
		steps = append(steps, d.Step)
	}
	return steps
}
