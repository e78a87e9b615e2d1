package action

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// step is a kind of simulation step with its relative weight.
type step struct {
	weight int
	do     func(*simulation)
}

var steps = []step{
	{60, func(sim *simulation) { sim.deliverSeveral() }},
	{6, func(sim *simulation) { sim.claimAtRandomNode() }},
	{1, func(sim *simulation) { sim.claimAtAllNodes() }},
	{16, func(sim *simulation) { sim.advance(time.Duration(1+sim.draw("milliseconds", 40)) * time.Millisecond) }},
	{4, func(sim *simulation) { sim.advance(time.Duration(1+sim.draw("tenths", 8)) * 100 * time.Millisecond) }},
	{1, func(sim *simulation) { sim.skipTime() }},
	{14, func(sim *simulation) { sim.advanceRandomRequest() }},
	{1, func(sim *simulation) { sim.killRandomNode() }},
	{2, func(sim *simulation) { n := sim.pickNode(); n.frozen = sim.toggle("freeze", n.frozen) }},
	{1, func(sim *simulation) { sim.store.down = sim.toggle("down", sim.store.down) }},
	{1, func(sim *simulation) { n := sim.pickNode(); n.partitioned = sim.toggle("cut", n.partitioned) }},
	{1, func(sim *simulation) { sim.cancelRandomRequest() }},
}

// toggle returns the next state of a fault: an active fault ends, and an inactive one starts with
// probability 1/3 if the simulation has faults of this kind.
func (sim *simulation) toggle(kind string, on bool) bool { return !on && sim.drawFault(kind, 3) == 0 }

func (sim *simulation) killRandomNode() {
	if sim.faults["kill"] {
		sim.kill(sim.pickNode())
	}
}

func (sim *simulation) deliverSeveral() {
	for range 1 + sim.draw("deliveries", 20) {
		sim.deliver()
	}
}

func (sim *simulation) skipTime() {
	if sim.draw("skip", 4) == 0 {
		sim.advance(time.Duration(1+sim.draw("quarter minutes", 6)) * 15 * time.Second)
	}
}

func (sim *simulation) pickNode() *node { return sim.nodes[sim.draw("node", len(sim.nodes))] }

func (sim *simulation) claimAtRandomNode() {
	if n := sim.pickNode(); !n.frozen {
		sim.claim(n, sim.pickKey())
	}
}

// claimAtAllNodes sends one request to all running entry instances at once.
func (sim *simulation) claimAtAllNodes() {
	key := sim.pickKey()
	for _, n := range sim.nodes {
		if !n.frozen && sim.faults["crowd"] {
			sim.claim(n, key)
		}
	}
}

// kill replaces the process of n. Requests that it was sending may or may not reach the backend
// server.
func (sim *simulation) kill(n *node) {
	for _, key := range sim.keys {
		for _, r := range key.requests {
			if n.requests[r.nonce] != r {
				continue
			}
			key.maybeUnrecorded = true
			if r.phase == sending && sim.draw("arrives", 2) == 0 {
				sim.runRequest(r)
			}
			r.phase = ended
		}
	}
	sim.startProcess(n)
}

func (sim *simulation) cancelRandomRequest() {
	n := sim.pickNode()
	if r := sim.pickRequest(n, waiting); r != nil && !n.frozen {
		sim.handle(n, n.table.Cancel(sim.clock(n), r.nonce))
	}
}

func (sim *simulation) pickRequest(n *node, phases ...phase) *request {
	var found []*request
	for _, key := range sim.keys {
		for _, r := range key.requests {
			for _, p := range phases {
				if r.phase == p && n.requests[r.nonce] == r {
					found = append(found, r)
				}
			}
		}
	}
	if len(found) == 0 {
		return nil
	}
	return found[sim.draw("request", len(found))]
}

// advanceRandomRequest advances one granted request by one phase. A frozen process makes no
// progress, but a request that it has already sent still reaches the backend server.
func (sim *simulation) advanceRandomRequest() {
	n := sim.pickNode()
	r := sim.pickRequest(n, granted, sending, ran)
	switch {
	case r == nil:
	case r.phase == sending:
		r.phase = ran
		sim.runRequest(r)
	case n.frozen:
	case r.phase == ran:
		sim.finish(n, r)
	case sim.draw("send", 4) == 0:
		r.phase = ended
		sim.handle(n, n.table.Finish(sim.clock(n), r.nonce, NotRun, nil))
	case !n.table.MaySend(r.nonce):
		sim.fail("MaySend refused a granted request")
	default:
		r.phase = sending
	}
}

func (sim *simulation) finish(n *node, r *request) {
	r.phase = ended
	if sim.draw("answered", 5) == 0 {
		sim.handle(n, n.table.Finish(sim.clock(n), r.nonce, Unknown, nil))
		return
	}
	body := fmt.Sprintf("booking %d", r.arrived)
	if sim.draw("large", 3) == 0 {
		body = fmt.Sprintf("%0100d", r.arrived)
	}
	r.key.answer = &Answer{Status: 201, Body: []byte(body)}
	sim.handle(n, n.table.Finish(sim.clock(n), r.nonce, Done, r.key.answer))
}

func (sim *simulation) step() {
	total := 0
	for _, s := range steps {
		total += s.weight
	}
	at := sim.draw("step", total)
	for _, s := range steps {
		if at < s.weight {
			s.do(sim)
			return
		}
		at -= s.weight
	}
}

// endFaults ends all faults, finishes all granted requests and runs the remaining events.
func (sim *simulation) endFaults() {
	sim.faults = nil
	sim.store.down = false
	for _, n := range sim.nodes {
		n.partitioned = false
		n.frozen = false
	}
	sim.quiesce()
	for _, key := range sim.keys {
		for _, n := range sim.nodes {
			for _, r := range key.requests {
				for n.requests[r.nonce] == r && r.phase > waiting && r.phase < ended {
					sim.advanceRequest(n, r)
				}
			}
		}
	}
	sim.quiesce()
}

func (sim *simulation) advanceRequest(n *node, r *request) {
	switch r.phase {
	case granted:
		r.phase = sending
	case sending:
		r.phase = ran
		sim.runRequest(r)
	default:
		sim.finish(n, r)
	}
}

func (sim *simulation) quiesce() {
	for range 80 {
		for range 10_000 {
			if !sim.deliver() {
				break
			}
		}
		sim.advance(200 * time.Millisecond)
	}
}

// check verifies, after all faults have ended, that every claim was resolved and that a repeated
// request gets the recorded outcome of its key after a restart of all processes.
func (sim *simulation) check() {
	for _, key := range sim.keys {
		for _, r := range key.requests {
			if r.phase == waiting {
				sim.fail("a claim was not resolved after all faults had ended")
			}
		}
	}
	for _, n := range sim.nodes {
		sim.startProcess(n)
	}
	for _, key := range sim.keys {
		sim.checkRepeat(key)
	}
}

func (sim *simulation) checkRepeat(key *keyState) {
	n := sim.pickNode()
	if sim.now.Add(maxOffset).Sub(key.created) >= claimWindow-5*time.Second || key.created.Sub(sim.clock(n)) > maxOffset {
		return // a process with a fast clock may have sealed the page, or the key is in the future
	}
	r := sim.claim(n, key)
	for range 100 {
		for sim.deliver() {
		}
		sim.advance(20 * time.Millisecond)
	}
	switch {
	case r.phase == waiting:
		sim.fail("a repeat was not resolved after all faults had ended")
	case key.maybeUnrecorded:
	case key.runs == 0 && r.phase != granted:
		sim.fail("the claim on a key that never ran was not granted")
	case key.answer != nil && len(key.answer.Body) < 64 && r.answer == nil:
		sim.fail("a repeat did not return the recorded answer")
	}
}

func runSimulation(draw drawFunc, fail func(string, ...any), events int) *simulation {
	sim := newSimulation(draw, fail)
	for range events {
		sim.step()
	}
	sim.endFaults()
	sim.check()
	return sim
}

var seeds = flag.Uint64("action.seeds", 15, "number of simulations in TestStatefulSeeds")

func TestStatefulSeeds(t *testing.T) {
	const events = 800
	runs := 0
	for seed := range *seeds {
		rng := rand.New(rand.NewPCG(seed, 1))
		draw := func(_ string, n int) int { return rng.IntN(n) }
		fail := func(format string, args ...any) {
			require.FailNow(t, fmt.Sprintf(format, args...), "seed %d", seed)
		}
		sim := runSimulation(draw, fail, events)
		for _, key := range sim.keys {
			runs += key.runs
		}
	}
	require.Greater(t, runs, int(*seeds), "too few requests ran in the simulations")
}

func TestStatefulRapid(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(rt, label) }
		runSimulation(draw, rt.Fatalf, 50)
	})
}
