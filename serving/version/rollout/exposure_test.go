package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const exposed200 = 200

// fleet simulates the gates of entry instances during one trial, in any order of events.
type fleet struct {
	t       *rapid.T
	elapsed time.Duration
	ended   time.Duration // when the holder gave its last permit, 0 while the trial goes on
	gates   []*fleetGate
	// sent and candidate sum those of all processes, ended ones included.
	sent, candidate int
}

type fleetGate struct {
	gate        *Gate
	bornMS      int64
	learned     bool
	cut, frozen bool
	buffered    int // permits in the sockets of a frozen instance
	// sent counts attempts since the process learned of the order, and candidate those at the
	// candidate.
	sent, candidate int
}

const fleetOrderMS = 1_000_000

func newFleet(t *rapid.T, instances int) *fleet {
	f := &fleet{t: t}
	for range instances {
		f.gates = append(f.gates, &fleetGate{gate: NewGate(limits), bornMS: fleetOrderMS - 1000})
	}
	return f
}

func (f *fleet) now() time.Time { return start.Add(f.elapsed) }

func (f *fleet) state(g *fleetGate) State {
	return State{
		Orders: []Order{{Service: "bench", To: "v2", Duration: time.Minute, Revision: 7}},
		Records: []Record{{
			Service: "bench", To: "v2", Order: 7, Phase: Trial, StartedMS: fleetOrderMS,
			From: []string{"v1"},
		}},
		Entries: len(f.gates), BornMS: g.bornMS, OldServers: map[string]int{"bench": 50},
	}
}

// some draws instances; small draws make the same ones come again.
func (f *fleet) some(t *rapid.T) []*fleetGate {
	from := rapid.IntRange(0, len(f.gates)-1).Draw(t, "from")
	count := rapid.IntRange(1, len(f.gates)).Draw(t, "count")
	return f.gates[from:min(from+count, len(f.gates))]
}

func (f *fleet) learn(t *rapid.T) {
	for _, g := range f.some(t) {
		if !g.cut && !g.frozen {
			g.gate.SetState(f.now(), f.state(g))
			g.learned = true
		}
	}
}

func (f *fleet) loseView(t *rapid.T) {
	for _, g := range f.some(t) {
		if g.learned && !g.frozen {
			// A peer's older view, without the order.
			g.gate.SetState(f.now(), State{Entries: len(f.gates), BornMS: g.bornMS})
		}
	}
}

func (f *fleet) restart(t *rapid.T) {
	for _, g := range f.some(t) {
		*g = fleetGate{
			gate: NewGate(limits), cut: g.cut,
			bornMS: fleetOrderMS + 1 + f.elapsed.Milliseconds(),
		}
	}
}

func (f *fleet) partition(t *rapid.T) {
	cut := rapid.Bool().Draw(t, "cut")
	for _, g := range f.some(t) {
		g.cut = cut
	}
}

func (f *fleet) freeze(t *rapid.T) {
	for _, g := range f.some(t) {
		g.frozen = true
	}
}

// thaw lets instances go on, which read what came meanwhile at once.
func (f *fleet) thaw(t *rapid.T) {
	for _, g := range f.some(t) {
		for ; g.frozen && g.buffered > 0; g.buffered-- {
			g.gate.Permit(f.now(), permits(7))
		}
		g.frozen = false
	}
}

// round is a round of the holder, which gives permits while the trial goes on.
func (f *fleet) round(t *rapid.T) {
	f.pass(t)
	if f.ended != 0 {
		return
	}
	for _, g := range f.gates {
		switch {
		case g.cut:
		case g.frozen:
			g.buffered = min(g.buffered+1, 8)
		default:
			g.gate.Permit(f.now(), permits(7))
		}
	}
}

func (f *fleet) pass(t *rapid.T) {
	ms := rapid.SampledFrom([]int{10, 100, 500, 500, 500, 1200, 3000}).Draw(t, "ms")
	f.elapsed += time.Duration(ms) * time.Millisecond
}

// end ends the trial: the holder gives no more permits.
func (f *fleet) end(*rapid.T) {
	if f.ended == 0 {
		f.ended = max(f.elapsed, 1)
	}
}

// requests picks several attempts at each of some instances before it sends them.
func (f *fleet) requests(t *rapid.T) {
	atOnce := rapid.IntRange(1, 3).Draw(t, "at once")
	times := rapid.IntRange(1, 6).Draw(t, "times")
	drop := rapid.Bool().Draw(t, "drop")
	for _, g := range f.some(t) {
		if g.frozen {
			continue
		}
		for range times {
			f.attempts(g, atOnce, drop)
		}
	}
}

func (f *fleet) attempts(g *fleetGate, atOnce int, drop bool) {
	picks := make([]Pick, atOnce)
	for i := range picks {
		picks[i] = g.gate.Pick(f.now(), "bench", "review", false)
	}
	for i, pick := range picks {
		if drop && i == 0 {
			continue // picked and never sent
		}
		g.gate.Sent(f.now(), "bench", "review", pick.Candidate)
		if g.learned {
			f.sent++
			g.sent++
		}
		if pick.Candidate {
			f.candidate++
			g.candidate++
			f.checkTime()
		}
	}
}

// checkTime guards invariant 2. A permit may wait in a frozen instance's sockets for the time
// after which it needs a confirmation.
func (f *fleet) checkTime() {
	if f.ended != 0 {
		require.LessOrEqual(f.t, f.elapsed-f.ended, permitSteady+permitLife)
	}
}

// check guards invariant 1, for all instances and for each process: the sum alone would hide a
// process that sends too much behind others that have not spent their credit.
func (f *fleet) check(t *rapid.T) {
	share, slack := 0.8*limits.ExposureShare, 0.5*limits.ExposureSlack
	require.LessOrEqual(t, float64(f.candidate), share*float64(f.sent)+slack+1e-6)
	for _, g := range f.gates {
		bound := share * float64(g.sent)
		if g.bornMS <= fleetOrderMS {
			bound += slack / float64(len(f.gates))
		}
		if float64(g.candidate) > bound+1e-6 {
			require.LessOrEqual(t, float64(g.candidate), bound)
		}
	}
}

// TestStatefulExposure guards against more requests at a candidate than are allowed, in any order
// of late learning, restarts, partitions, freezes, older views and attempts at once, and against
// requests at it after the trial has ended.
func TestStatefulExposure(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, exposed200)
		f.learn(t)
		actions := map[string]func(*rapid.T){
			"learn": f.learn, "lose view": f.loseView, "restart": f.restart,
			"partition": f.partition, "freeze": f.freeze, "thaw": f.thaw,
			"round": f.round, "end": f.end, "requests": f.requests,
		}
		// Requests and rounds come often, so that the credit is spent.
		names := []string{
			"learn", "lose view", "restart", "partition", "freeze", "thaw", "thaw", "end",
			"round", "round", "round", "round", "round",
			"requests", "requests", "requests", "requests", "requests", "requests",
		}
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			actions[rapid.SampledFrom(names).Draw(t, "action")](t)
			f.check(t)
		}
	})
}

// TestStatefulExposureIsUsed guards against a bound that holds because nothing is sent.
func TestStatefulExposureIsUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, exposed200)
		for _, g := range f.gates {
			g.gate.SetState(f.now(), f.state(g))
			g.learned = true
		}
		n := rapid.IntRange(50, 100).Draw(t, "requests at each instance")
		for range n {
			f.elapsed += 100 * time.Millisecond
			for _, g := range f.gates {
				g.gate.Permit(f.now(), permits(7))
				f.attempts(g, 1, false)
			}
		}
		require.Greater(t, float64(f.candidate), 0.06*float64(f.sent))
		f.check(t)
	})
}
