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

// step is one kind of event in a world, with its weight among the others.
type step struct {
	weight int
	do     func(*world)
}

var steps = []step{
	{60, func(w *world) { w.deliverSome() }},
	{6, func(w *world) { w.claimSomewhere() }},
	{1, func(w *world) { w.claimEverywhere() }},
	{16, func(w *world) { w.advance(time.Duration(1+w.choose("milliseconds", 40)) * time.Millisecond) }},
	{4, func(w *world) { w.advance(time.Duration(1+w.choose("tenths", 8)) * 100 * time.Millisecond) }},
	{1, func(w *world) { w.skipTime() }},
	{14, func(w *world) { w.serveSome() }},
	{1, func(w *world) { w.killSome() }},
	{2, func(w *world) { n := w.pickNode(); n.frozen = w.toggle("freeze", n.frozen) }},
	{1, func(w *world) { w.store.down = w.toggle("down", w.store.down) }},
	{1, func(w *world) { n := w.pickNode(); n.cut = w.toggle("cut", n.cut) }},
	{1, func(w *world) { w.cancelSome() }},
}

// toggle ends a fault, or occasionally starts one.
func (w *world) toggle(kind string, on bool) bool { return !on && w.fault(kind, 3) == 0 }

func (w *world) killSome() {
	if w.faults["kill"] {
		w.kill(w.pickNode())
	}
}

func (w *world) deliverSome() {
	for range 1 + w.choose("deliveries", 20) {
		w.deliver()
	}
}

func (w *world) skipTime() {
	if w.choose("skip", 4) == 0 {
		w.advance(time.Duration(1+w.choose("quarter minutes", 6)) * 15 * time.Second)
	}
}

func (w *world) pickNode() *node { return w.nodes[w.choose("node", len(w.nodes))] }

func (w *world) claimSomewhere() {
	if n := w.pickNode(); !n.frozen {
		w.claim(n, w.pickKey())
	}
}

// claimEverywhere is a caller that repeats its request at all entry instances at once.
func (w *world) claimEverywhere() {
	key := w.pickKey()
	for _, n := range w.nodes {
		if !n.frozen && w.faults["crowd"] {
			w.claim(n, key)
		}
	}
}

// kill replaces a process. Messages that it was sending may or may not arrive.
func (w *world) kill(n *node) {
	for _, key := range w.keys {
		for _, r := range key.requests {
			if n.requests[r.nonce] != r {
				continue
			}
			key.lost = true
			if r.phase == sending && w.choose("arrives", 2) == 0 {
				w.run(r)
			}
			r.phase = ended
		}
	}
	w.boot(n)
}

func (w *world) cancelSome() {
	n := w.pickNode()
	if r := w.pickRequest(n, waiting); r != nil && !n.frozen {
		w.handle(n, n.table.Cancel(w.clock(n), r.nonce))
	}
}

func (w *world) pickRequest(n *node, phases ...phase) *request {
	var found []*request
	for _, key := range w.keys {
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
	return found[w.choose("request", len(found))]
}

// serveSome advances one granted request by one step. A frozen process does nothing, but bytes
// that it has already sent still arrive.
func (w *world) serveSome() {
	n := w.pickNode()
	r := w.pickRequest(n, granted, sending, ran)
	switch {
	case r == nil:
	case r.phase == sending:
		r.phase = ran
		w.run(r)
	case n.frozen:
	case r.phase == ran:
		w.finish(n, r)
	case w.choose("send", 4) == 0:
		r.phase = ended
		w.handle(n, n.table.Finish(w.clock(n), r.nonce, NotRun, nil))
	case !n.table.MaySend(r.nonce):
		w.fail("a granted request may not be sent")
	default:
		r.phase = sending
	}
}

func (w *world) finish(n *node, r *request) {
	r.phase = ended
	if w.choose("answered", 5) == 0 {
		w.handle(n, n.table.Finish(w.clock(n), r.nonce, Unknown, nil))
		return
	}
	body := fmt.Sprintf("booking %d", r.arrived)
	if w.choose("large", 3) == 0 {
		body = fmt.Sprintf("%0100d", r.arrived)
	}
	r.key.answer = &Answer{Status: 201, Body: []byte(body)}
	w.handle(n, n.table.Finish(w.clock(n), r.nonce, Done, r.key.answer))
}

func (w *world) step() {
	total := 0
	for _, s := range steps {
		total += s.weight
	}
	at := w.choose("step", total)
	for _, s := range steps {
		if at < s.weight {
			s.do(w)
			return
		}
		at -= s.weight
	}
}

// settle ends all faults and runs the world until it is idle.
func (w *world) settle() {
	w.faults = nil
	w.store.down = false
	for _, n := range w.nodes {
		n.cut = false
		n.frozen = false
	}
	w.quiesce()
	for _, key := range w.keys {
		for _, n := range w.nodes {
			for _, r := range key.requests {
				for n.requests[r.nonce] == r && r.phase > waiting && r.phase < ended {
					w.serve(n, r)
				}
			}
		}
	}
	w.quiesce()
}

func (w *world) serve(n *node, r *request) {
	switch r.phase {
	case granted:
		r.phase = sending
	case sending:
		r.phase = ran
		w.run(r)
	default:
		w.finish(n, r)
	}
}

func (w *world) quiesce() {
	for range 80 {
		for range 10_000 {
			if !w.deliver() {
				break
			}
		}
		w.advance(200 * time.Millisecond)
	}
}

// check requires that, after all faults, every claim was resolved, and that a repeat at new
// processes gets the recorded outcome of its key.
func (w *world) check() {
	for _, key := range w.keys {
		for _, r := range key.requests {
			if r.phase == waiting {
				w.fail("a claim was never answered")
			}
		}
	}
	for _, n := range w.nodes {
		w.boot(n)
	}
	for _, key := range w.keys {
		w.checkRepeat(key)
	}
}

func (w *world) checkRepeat(key *keyState) {
	n := w.pickNode()
	if w.now.Add(maxOffset).Sub(key.created) >= claimWindow-5*time.Second || key.created.Sub(w.clock(n)) > maxOffset {
		return // a fast clock may have sealed its page, or it is in the future
	}
	r := w.claim(n, key)
	for range 100 {
		for w.deliver() {
		}
		w.advance(20 * time.Millisecond)
	}
	switch {
	case r.phase == waiting:
		w.fail("a repeat after all faults got no result")
	case key.lost:
	case key.runs == 0 && r.phase != granted:
		w.fail("a key that no one ran was lost")
	case key.answer != nil && len(key.answer.Body) < 64 && r.answer == nil:
		w.fail("a recorded answer was lost")
	}
}

func runWorld(choose chooser, fail func(string, ...any), events int) *world {
	w := newWorld(choose, fail)
	for range events {
		w.step()
	}
	w.settle()
	w.check()
	return w
}

var seeds = flag.Uint64("action.seeds", 15, "number of worlds in TestStatefulSeeds")

func TestStatefulSeeds(t *testing.T) {
	const events = 800
	runs := 0
	for seed := range *seeds {
		rng := rand.New(rand.NewPCG(seed, 1))
		choose := func(_ string, n int) int { return rng.IntN(n) }
		fail := func(format string, args ...any) {
			require.FailNow(t, fmt.Sprintf(format, args...), "seed %d", seed)
		}
		w := runWorld(choose, fail, events)
		for _, key := range w.keys {
			runs += key.runs
		}
	}
	require.Greater(t, runs, int(*seeds), "the worlds must run requests")
}

func TestStatefulRapid(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		choose := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(rt, label) }
		runWorld(choose, rt.Fatalf, 50)
	})
}
