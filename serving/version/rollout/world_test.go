package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	worldTick   = 50 * time.Millisecond
	decideTicks = 5  // decisions every 250 ms
	roundTicks  = 10 // permits and reports every 500 ms
)

// outcome is what a simulated server does with an attempt.
type outcome struct {
	failed bool
	ratio  float64 // 0 is 1
}

// simulated is what a simulated server knows of an attempt.
type simulated struct {
	version, route string
	server         int
	since          time.Duration // since the world began
	rate           float64       // the server's attempts in the last second
}

// world simulates entry instances with their gates and books, the backend servers of one
// service, a store with compare-and-swap, and a holder of the duties.
type world struct {
	t        *testing.T
	rng      *rand.Rand
	boot     time.Time     // of the instances' boot clocks
	skew     time.Duration // of the holder's time of day
	elapsed  time.Duration
	tick     int
	service  string
	orders   []Order
	stored   []Stored
	rev      uint64
	nodes    []*node
	decider  *Decider
	fencing  uint64
	servers  map[string]int // ready servers by version
	slots    int            // of each server
	rate     int            // requests for each instance and tick
	behave   func(simulated) outcome
	holding  bool // there is a holder
	viewsOff bool // the instances get no views

	// write returns what becomes of a write, and whether the store has it.
	write func(d Decision) (o Outcome, applied bool)

	inFlightOld, inFlight int
	steps                 []Decision
	sent                  map[string]int // by version
	total, refused, bad   int
	lastCandidate         time.Duration // last attempt at v2
	fiftieth              time.Duration // of the 50th bad answer of v2, 0 if none
	loads                 map[string][]time.Duration
}

// node is an entry instance.
type node struct {
	gate        *Gate
	recorder    *Recorder
	incarnation uint64
	bornMS      int64
	cut         bool // from views and the holder
}

func newWorld(t *testing.T, instances int) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(1, 2)), boot: start, service: "bench",
		decider: NewDecider(limits), fencing: 1, holding: true, rate: 4, slots: 20,
		servers: map[string]int{"v1": 20, "v2": 20},
		behave:  func(simulated) outcome { return outcome{} },
		sent:    make(map[string]int), loads: make(map[string][]time.Duration),
	}
	for range instances {
		n := &node{}
		w.nodes = append(w.nodes, n)
		w.restart(n)
	}
	return w
}

// restart replaces an instance's process.
func (w *world) restart(n *node) {
	n.gate, n.recorder = NewGate(limits), NewRecorder()
	n.incarnation++
	n.bornMS = w.day().UnixMilli()
}

// day is the time of day at the holder.
func (w *world) day() time.Time {
	return time.UnixMilli(1_700_000_000_000).Add(w.elapsed + w.skew)
}

func (w *world) now() time.Time { return w.boot.Add(w.elapsed) }

// order puts an order into the store, empty to delete it.
func (w *world) order(to string, duration time.Duration) {
	w.rev++
	w.orders = nil
	if to != "" {
		w.orders = []Order{{Service: w.service, To: to, Duration: duration, Revision: w.rev}}
	}
}

func (w *world) record() Record {
	if len(w.stored) == 0 {
		return Record{}
	}
	return w.stored[0].Record
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	for range int(d / worldTick) {
		w.elapsed += worldTick
		w.tick++
		if w.tick%decideTicks == 0 {
			w.views()
			w.decide()
		}
		for _, n := range w.nodes {
			for range w.rate {
				w.request(n)
			}
		}
	}
}

func (w *world) views() {
	if w.viewsOff {
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
	state := State{Orders: w.orders, Entries: len(w.nodes), OldServers: old}
	for _, stored := range w.stored {
		state.Records = append(state.Records, stored.Record)
	}
	for _, n := range w.nodes {
		if n.cut {
			continue
		}
		state.BornMS = n.bornMS
		n.gate.SetState(w.now(), state)
		order, _ := n.gate.Applied(w.service)
		n.recorder.Follow(w.service, order)
	}
}

func (w *world) decide() {
	if !w.holding {
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
	in.Unheard = len(w.nodes) - len(in.Reports)
	for _, d := range w.decider.Decide(w.day(), in) {
		if d.Step != "" && d.Step != StepEvidence && !d.Again {
			w.steps = append(w.steps, d)
		}
		if d.Permit && w.tick%roundTicks == 0 {
			w.permit(Permit{Service: d.Record.Service, Order: d.Record.Order, Phase: d.Record.Phase})
		}
		if d.Write {
			w.decider.Written(w.day(), d, w.swap(d))
		}
	}
}

func (w *world) reports() []Report {
	var reports []Report
	for i, n := range w.nodes {
		if n.cut {
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

func (w *world) permit(permit Permit) {
	for _, n := range w.nodes {
		if !n.cut {
			n.gate.Permit(w.now(), []Permit{permit})
		}
	}
}

// swap writes a record under compare-and-swap, subject to the faults of write.
func (w *world) swap(d Decision) Outcome {
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

// checkPhase guards invariant 3.
func (w *world) checkPhase(d Decision) {
	before := w.stored[0].Record
	if before.Order != d.Record.Order || before.Phase == d.Record.Phase {
		return
	}
	require.True(w.t, before.Phase.InProgress(), "%s after %s", d.Record.Phase, before.Phase)
	allowed := map[Phase][]Phase{Trial: {Shift, Reverted}, Shift: {Completed, Reverted}}
	require.Contains(w.t, allowed[before.Phase], d.Record.Phase)
}

// request sends one request from an instance, and repeats it at an old version if the
// candidate fails it.
func (w *world) request(n *node) {
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
func (w *world) choose(pick Pick) (version string, server int, ok bool) {
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

// attempt sends an attempt and tells whether it failed.
func (w *world) attempt(n *node, route, version string, server int) bool {
	candidate := n.gate.IsCandidate(w.service, version)
	n.gate.Sent(w.now(), w.service, route, candidate)
	w.sent[version]++
	if version == "v2" {
		w.lastCandidate = w.elapsed
	}
	key := fmt.Sprint(version, "/", server)
	did := w.behave(simulated{
		version: version, route: route, server: server, since: w.elapsed, rate: w.load(key),
	})
	ratio := did.ratio
	if ratio == 0 {
		ratio = 0.8 + 0.4*w.rng.Float64()
	}
	if version == "v2" && (did.failed || ratio > 4) {
		w.bad++
		if w.bad == 50 {
			w.fiftieth = w.elapsed
		}
	}
	n.recorder.Answered(Answer{
		Service: w.service, Route: route, Server: key, Candidate: candidate, Failed: did.failed,
		FirstRatio: ratio, WholeRatio: ratio,
	})
	return did.failed
}

// load returns a server's attempts in the last second.
func (w *world) load(key string) float64 {
	recent := append(w.loads[key], w.elapsed)
	for recent[0] < w.elapsed-time.Second {
		recent = recent[1:]
	}
	w.loads[key] = recent
	return float64(len(recent))
}

// stepNames returns the steps that a site would log.
func (w *world) stepNames() []Step {
	var steps []Step
	for _, d := range w.steps {
		steps = append(steps, d.Step)
	}
	return steps
}
