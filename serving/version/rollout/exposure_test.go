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
	fleetOrderMS = 1_000_000 // time of the order, in milliseconds of the instances' clocks
	fleetTick    = 250 * time.Millisecond
	roundSteps   = 2 // the holder's rounds are 500 ms apart
)

// events holds the probabilities of each event for an instance in a tick.
type events struct {
	receiveOrder, loseView, restart, partition, heal, freeze, resume, discard float64
	requests                                                                  int // maximum in a tick
	atOnce                                                                    int // attempts picked before they are sent
}

// fleet simulates the gates of entry instances during one trial.
type fleet struct {
	t *rapid.T
	events
	rng     *rand.Rand
	elapsed time.Duration
	ended   bool
	endedAt time.Duration // time of the holder's last permit
	gates   []*fleetGate
	// sent and candidate are sums over all processes, including ended ones.
	sent, candidate int
}

type fleetGate struct {
	gate                *Gate
	bornMS              int64
	orderReceived       bool
	partitioned, frozen bool
	buffered            int // permits buffered in the sockets of a frozen instance
	// sent is the number of attempts since the process received the order, and candidate the
	// number of those at the candidate.
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

// started returns a new process, whose gate gets an initial state.
func (f *fleet) started(bornMS int64) *fleetGate {
	g := &fleetGate{gate: NewGate(limits), bornMS: bornMS}
	g.gate.SetState(f.now(), State{Entries: fleetSize, StartedMS: bornMS})
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
		Entries: fleetSize, StartedMS: g.bornMS, OldServers: map[string]int{"bench": 50},
	}
}

// step advances the simulation by one tick and applies random events.
func (f *fleet) step(i int) {
	f.elapsed += fleetTick
	for _, g := range f.gates {
		f.applyEvents(g)
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

func (f *fleet) applyEvents(g *fleetGate) {
	switch {
	case f.chance(f.restart):
		cut := g.partitioned
		*g = *f.started(fleetOrderMS + 1 + f.elapsed.Milliseconds())
		g.partitioned = cut
	case g.frozen && f.chance(f.resume):
		// It reads all buffered permits at once.
		for ; g.buffered > 0; g.buffered-- {
			g.gate.Permit(f.now(), permits(7))
		}
		g.frozen = false
	case f.chance(f.freeze):
		g.frozen = true
	}
	switch {
	case g.partitioned:
		g.partitioned = !f.chance(f.heal)
	case f.chance(f.partition):
		g.partitioned = true
	}
	switch {
	case g.frozen || g.partitioned:
	case f.chance(f.receiveOrder):
		g.gate.SetState(f.now(), f.state(g))
		g.orderReceived = true
	case g.orderReceived && f.chance(f.loseView):
		// A stale view from a peer, without the order.
		g.gate.SetState(f.now(), State{Entries: fleetSize, StartedMS: g.bornMS})
	}
}

func (f *fleet) permit(g *fleetGate) {
	switch {
	case g.partitioned:
	case g.frozen:
		g.buffered = min(g.buffered+1, 8)
	default:
		g.gate.Permit(f.now(), permits(7))
	}
}

// requests picks several attempts before it sends them.
func (f *fleet) requests(g *fleetGate) {
	picks := make([]Pick, 0, f.atOnce)
	for n := f.rng.IntN(f.events.requests + 1); n > 0; n -= len(picks) {
		picks = picks[:0]
		for range min(n, f.atOnce) {
			picks = append(picks, g.gate.Pick(f.now(), "bench", "review", false))
		}
		for _, pick := range picks {
			if !f.chance(f.discard) {
				f.send(g, pick)
			}
		}
	}
}

func (f *fleet) send(g *fleetGate, pick Pick) {
	g.gate.Sent(f.now(), "bench", "review", pick.Candidate)
	if g.orderReceived {
		f.sent++
		g.sent++
	}
	if !pick.Candidate {
		return
	}
	f.candidate++
	g.candidate++
	// Invariant 2: no requests at the candidate after the trial. A permit may stay in a frozen
	// instance's sockets until it no longer counts.
	if f.ended && f.elapsed-f.endedAt > maxCallGap+permitTTL {
		f.t.Fatalf("sent to the candidate %v after the trial", f.elapsed-f.endedAt)
	}
}

// check checks invariant 1, the bound on exposure, for each process: in the sum, a process over
// its bound would be hidden by others that have not spent their credit.
func (f *fleet) check(g *fleetGate) {
	bound := 0.8 * limits.ExposureShare * float64(g.sent)
	if g.bornMS <= fleetOrderMS {
		bound += 0.5 * limits.ExposureSlack / fleetSize
	}
	if float64(g.candidate) > bound+1e-6 {
		f.t.Fatalf("%d of %d attempts sent to the candidate", g.candidate, g.sent)
	}
}

// TestStatefulExposure guards against more requests at a candidate than allowed, under any order
// of late views, restarts, partitions, freezes, stale views and concurrent attempts, and against
// requests at it after the trial has ended.
func TestStatefulExposure(t *testing.T) {
	sent, candidate := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		often := rapid.SampledFrom([]float64{0, 0.01, 0.03, 0.1})
		f := newFleet(t, events{
			receiveOrder: rapid.SampledFrom([]float64{0.02, 0.1, 0.5}).Draw(t, "learn"),
			loseView:     often.Draw(t, "lose view"), restart: often.Draw(t, "restart"),
			partition: often.Draw(t, "cut"), heal: 0.1, freeze: often.Draw(t, "freeze"), resume: 0.1,
			discard:  often.Draw(t, "drop"),
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
	// Ensures that the bound does not hold merely because nothing is sent.
	require.Greater(t, float64(candidate), 0.015*float64(sent))
	t.Logf("%d of %d attempts were at the candidate", candidate, sent)
}
