package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	fleetSize    = 200
	fleetOrderMS = 1_000_000 // when the order was made, in milliseconds of the instances' clocks
	fleetStep    = 250 * time.Millisecond
	roundSteps   = 2 // rounds of the holder every 500 ms
)

// events are the chances of what happens to an instance in a step.
type events struct {
	learn, loseView, restart, cut, join, freeze, thaw, drop float64
	requests                                                int // at most, in a step
	atOnce                                                  int // picked before they are sent
}

// fleet simulates the gates of entry instances during one trial.
type fleet struct {
	t *rapid.T
	events
	rng     *rand.Rand
	elapsed time.Duration
	ended   bool
	endedAt time.Duration // when the holder gave its last permit
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

func newFleet(t *rapid.T, events events) *fleet {
	seed := rapid.Uint64().Draw(t, "seed")
	f := &fleet{t: t, events: events, rng: rand.New(rand.NewPCG(seed, 1))}
	for range fleetSize {
		f.gates = append(f.gates, f.started(fleetOrderMS-1000))
	}
	return f
}

// started returns a new process, which passes its gate a state at once.
func (f *fleet) started(bornMS int64) *fleetGate {
	g := &fleetGate{gate: NewGate(limits), bornMS: bornMS}
	g.gate.SetState(f.now(), State{Entries: fleetSize, BornMS: bornMS})
	return g
}

func (f *fleet) now() time.Time { return start.Add(f.elapsed) }

func (f *fleet) chance(p float64) bool { return f.rng.Float64() < p }

func (f *fleet) state(g *fleetGate) State {
	return State{
		Orders: []Order{{Service: "bench", To: "v2", Duration: time.Minute, Revision: 7}},
		Records: []Record{{
			Service: "bench", To: "v2", Order: 7, Phase: Trial, StartedMS: fleetOrderMS,
			From: []string{"v1"},
		}},
		Entries: fleetSize, BornMS: g.bornMS, OldServers: map[string]int{"bench": 50},
	}
}

// step lets time pass and everything happen that has a chance to.
func (f *fleet) step(i int) {
	f.elapsed += fleetStep
	for _, g := range f.gates {
		f.happen(g)
		if i%roundSteps == 0 && !f.ended {
			f.permit(g)
		}
		if !g.frozen {
			f.requests(g)
		}
		f.check(g)
	}
	share, slack := 0.8*limits.ExposureShare, 0.5*limits.ExposureSlack
	require.LessOrEqual(f.t, float64(f.candidate), share*float64(f.sent)+slack+1e-6)
}

func (f *fleet) happen(g *fleetGate) {
	switch {
	case f.chance(f.restart):
		cut := g.cut
		*g = *f.started(fleetOrderMS + 1 + f.elapsed.Milliseconds())
		g.cut = cut
	case g.frozen && f.chance(f.thaw):
		// It reads at once what came meanwhile.
		for ; g.buffered > 0; g.buffered-- {
			g.gate.Permit(f.now(), permits(7))
		}
		g.frozen = false
	case f.chance(f.freeze):
		g.frozen = true
	}
	switch {
	case g.cut:
		g.cut = !f.chance(f.join)
	case f.chance(f.cut):
		g.cut = true
	}
	switch {
	case g.frozen || g.cut:
	case f.chance(f.learn):
		g.gate.SetState(f.now(), f.state(g))
		g.learned = true
	case g.learned && f.chance(f.loseView):
		// A peer's older view, without the order.
		g.gate.SetState(f.now(), State{Entries: fleetSize, BornMS: g.bornMS})
	}
}

func (f *fleet) permit(g *fleetGate) {
	switch {
	case g.cut:
	case g.frozen:
		g.buffered = min(g.buffered+1, 8)
	default:
		g.gate.Permit(f.now(), permits(7))
	}
}

// requests picks some attempts before it sends them.
func (f *fleet) requests(g *fleetGate) {
	picks := make([]Pick, 0, f.atOnce)
	for n := f.rng.IntN(f.events.requests + 1); n > 0; n -= len(picks) {
		picks = picks[:0]
		for range min(n, f.atOnce) {
			picks = append(picks, g.gate.Pick(f.now(), "bench", "review", false))
		}
		for _, pick := range picks {
			if !f.chance(f.drop) {
				f.send(g, pick)
			}
		}
	}
}

func (f *fleet) send(g *fleetGate, pick Pick) {
	g.gate.Sent(f.now(), "bench", "review", pick.Candidate)
	if g.learned {
		f.sent++
		g.sent++
	}
	if !pick.Candidate {
		return
	}
	f.candidate++
	g.candidate++
	// Invariant 2. A permit may wait in a frozen instance's sockets for the time after which
	// it no longer counts.
	if f.ended && f.elapsed-f.endedAt > awakeSteady+permitLife {
		f.t.Fatalf("sent to the candidate %v after the trial", f.elapsed-f.endedAt)
	}
}

// check guards invariant 1 for a process: the sum of all would hide a process that sends too
// much behind others that have not spent their credit.
func (f *fleet) check(g *fleetGate) {
	bound := 0.8 * limits.ExposureShare * float64(g.sent)
	if g.bornMS <= fleetOrderMS {
		bound += 0.5 * limits.ExposureSlack / fleetSize
	}
	if float64(g.candidate) > bound+1e-6 {
		f.t.Fatalf("%d of %d attempts sent to the candidate", g.candidate, g.sent)
	}
}

// TestStatefulExposure guards against more requests at a candidate than are allowed, in any order
// of late learning, restarts, partitions, freezes, older views and attempts at once, and against
// requests at it after the trial has ended.
func TestStatefulExposure(t *testing.T) {
	sent, candidate := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		often := rapid.SampledFrom([]float64{0, 0.01, 0.03, 0.1})
		f := newFleet(t, events{
			learn:    rapid.SampledFrom([]float64{0.02, 0.1, 0.5}).Draw(t, "learn"),
			loseView: often.Draw(t, "lose view"), restart: often.Draw(t, "restart"),
			cut: often.Draw(t, "cut"), join: 0.1, freeze: often.Draw(t, "freeze"), thaw: 0.1,
			drop:     often.Draw(t, "drop"),
			requests: rapid.IntRange(1, 6).Draw(t, "requests"),
			atOnce:   rapid.IntRange(1, 3).Draw(t, "at once"),
		})
		steps := rapid.IntRange(40, 80).Draw(t, "steps")
		end := rapid.IntRange(20, 80).Draw(t, "end")
		for i := range steps {
			if i == end {
				f.ended, f.endedAt = true, f.elapsed
			}
			f.step(i)
		}
		sent += f.sent
		candidate += f.candidate
	})
	// The bound must not hold because nothing is sent.
	require.Greater(t, float64(candidate), 0.015*float64(sent))
	t.Logf("%d of %d attempts were at the candidate", candidate, sent)
}
