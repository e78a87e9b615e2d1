package lease_test

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"papayaport.dev/serving/process/lease"
)

// TestMain sets the seed and the number of runs of the stateful tests unless they are given on
// the command line.
func TestMain(m *testing.M) {
	flag.Parse()
	values := map[string]string{"rapid.seed": "1", "rapid.checks": "3000", "rapid.nofailfile": "true"}
	flag.Visit(func(f *flag.Flag) { delete(values, f.Name) })
	for name, value := range values {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const ttl = 10 * time.Second

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

func TestMachine(t *testing.T) {
	granted := lease.Result{Outcome: lease.Granted, Fencing: 4}
	cases := map[string]struct {
		results []lease.Result
		at      time.Duration // after the last result
		held    bool
		next    lease.Call
	}{
		"granted":               {results: []lease.Result{granted}, at: time.Second, held: true, next: lease.NoCall},
		"renewed in time":       {results: []lease.Result{granted}, at: 4 * time.Second, held: true, next: lease.RenewCall},
		"margin":                {results: []lease.Result{granted}, at: 7500 * time.Millisecond, held: false, next: lease.RenewCall},
		"refused":               {results: []lease.Result{{Outcome: lease.Refused, Remaining: 5 * time.Second}}, at: 4 * time.Second, next: lease.NoCall},
		"refused lease expired": {results: []lease.Result{{Outcome: lease.Refused, Remaining: 5 * time.Second}}, at: 6 * time.Second, next: lease.AcquireCall},
		"lost answer":           {results: []lease.Result{{Outcome: lease.Unknown}}, at: time.Second, next: lease.AcquireCall},
		"renewal refused":       {results: []lease.Result{granted, {Outcome: lease.Refused}}, at: time.Second, next: lease.AcquireCall},
		"renewal lost":          {results: []lease.Result{granted, {Outcome: lease.Unknown}}, at: 2 * time.Second, held: true, next: lease.RenewCall},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := &lease.StateMachine{TTL: ttl, Random: random()}
			now := start
			for _, result := range c.results {
				require.NotEqual(t, lease.NoCall, m.Step(now, 0, true).Call)
				m.HandleResult(now, result)
				if result != c.results[len(c.results)-1] {
					now = now.Add(ttl / 3)
				}
			}
			now = now.Add(c.at)
			_, held := m.Held(now)
			require.Equal(t, c.held, held)
			require.Equal(t, c.next, m.Step(now, 0, true).Call)
		})
	}
}

func TestOutageBacksOff(t *testing.T) {
	m := &lease.StateMachine{TTL: ttl, Random: random()}
	calls := 0
	for now := start; now.Before(start.Add(5 * time.Minute)); now = now.Add(100 * time.Millisecond) {
		if m.Step(now, 0, true).Call != lease.NoCall {
			calls++
			m.HandleResult(now, lease.Result{Outcome: lease.Unavailable})
		}
	}
	require.Less(t, calls, 50)
	require.Greater(t, calls, 20)
}

// TestRecoveredStoreIsCalledImmediately guards against a lease that has no holder after a long
// outage until the back-off ends.
func TestRecoveredStoreIsCalledImmediately(t *testing.T) {
	m := &lease.StateMachine{TTL: ttl, Random: random()}
	now := start
	for ; now.Before(start.Add(time.Minute)); now = now.Add(100 * time.Millisecond) {
		if m.Step(now, 0, true).Call != lease.NoCall {
			m.HandleResult(now, lease.Result{Outcome: lease.Unavailable})
		}
	}
	require.Equal(t, lease.NoCall, m.Step(now.Add(100*time.Millisecond), 0, true).Call, "still backing off")
	m.StoreRecovered(now)
	require.Equal(t, lease.AcquireCall, m.Step(now.Add(400*time.Millisecond), 0, true).Call)
}

// TestCallsDependOnLeasesNotCandidates guards against a number of calls that grows with the fleet.
func TestCallsDependOnLeasesNotCandidates(t *testing.T) {
	for name, count := range map[string]int{"today": 8, "target": 380} {
		t.Run(name, func(t *testing.T) {
			store := &storeModel{holder: -1}
			machines := make([]*lease.StateMachine, count)
			for i := range machines {
				machines[i] = &lease.StateMachine{TTL: ttl, Random: random()}
			}
			calls := 0
			const minutes = 10
			for now := start; now.Before(start.Add(minutes * time.Minute)); now = now.Add(200 * time.Millisecond) {
				for rank, m := range machines {
					if request := m.Step(now, rank, true); request.Call != lease.NoCall {
						calls++
						m.HandleResult(now, store.do(now, rank, request))
					}
				}
			}
			perSecond := float64(calls) / (minutes * 60)
			t.Logf("%d candidates: %.2f calls per second for a lease", count, perSecond)
			require.Less(t, perSecond, 0.5)
			_, held := machines[0].Held(start.Add(minutes * time.Minute))
			require.True(t, held)
		})
	}
}

// storeModel is a model of the store. It grants leases by the actual time.
type storeModel struct {
	holder  int
	fencing uint64
	until   time.Time
}

func (s *storeModel) do(now time.Time, holder int, request lease.Request) lease.Result {
	free := s.holder < 0 || !now.Before(s.until)
	mine := !free && s.holder == holder
	switch request.Call {
	case lease.AcquireCall:
		if !free && !mine {
			return lease.Result{Outcome: lease.Refused, Remaining: s.until.Sub(now)}
		}
		if !mine {
			s.fencing++
		}
		s.holder, s.until = holder, now.Add(ttl)
	case lease.RenewCall:
		if !mine || s.fencing != request.Fencing {
			return lease.Result{Outcome: lease.Refused}
		}
		s.until = now.Add(ttl)
	case lease.ReleaseCall:
		if mine && s.fencing == request.Fencing {
			s.holder = -1
		}
	}
	return lease.Result{Outcome: lease.Granted, Fencing: s.fencing}
}

// candidate has a clock with its own rate.
type candidate struct {
	machine *lease.StateMachine
	rate    float64
	request lease.Request
	result  *lease.Result
	// checked is the fencing token of the last successful check; actions may be delayed.
	checked uint64
}

func (c *candidate) now(elapsed time.Duration) time.Time {
	return start.Add(time.Duration(float64(elapsed) * c.rate))
}

// TestStatefulOneHolder guards against two candidates that hold a lease at the same time or act
// under the same fencing token. Candidates run with lost and delayed answers, outages, pauses
// between check and action, and clocks whose rates differ by a tenth.
func TestStatefulOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &storeModel{holder: -1}
		candidates := make([]*candidate, 3)
		for i := range candidates {
			rate := rapid.SampledFrom([]float64{0.95, 1, 1.05}).Draw(t, "rate")
			candidates[i] = &candidate{machine: &lease.StateMachine{TTL: ttl, Random: random()}, rate: rate}
		}
		elapsed := time.Duration(0)
		outage := false
		actors := make(map[uint64]int)
		highest := uint64(0)

		pick := func(t *rapid.T) (int, *candidate) {
			i := rapid.IntRange(0, len(candidates)-1).Draw(t, "candidate")
			return i, candidates[i]
		}
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				elapsed += time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond
			},
			"outage": func(*rapid.T) { outage = !outage },
			"look": func(t *rapid.T) {
				_, c := pick(t)
				c.machine.Observe(c.now(elapsed), rapid.Bool().Draw(t, "held"))
			},
			"step": func(t *rapid.T) {
				_, c := pick(t)
				wanted := rapid.IntRange(0, 9).Draw(t, "wanted") > 0
				if request := c.machine.Step(c.now(elapsed), 0, wanted); request.Call != lease.NoCall {
					c.request, c.result = request, nil
				}
			},
			"call reaches the store": func(t *rapid.T) {
				i, c := pick(t)
				if c.request.Call == lease.NoCall || c.result != nil {
					t.Skip("no pending call")
				}
				result := lease.Result{Outcome: lease.Unavailable}
				if !outage {
					result = store.do(start.Add(elapsed), i, c.request)
				}
				if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
					result = lease.Result{Outcome: lease.Unknown}
				}
				c.result = &result
			},
			"answer arrives": func(t *rapid.T) {
				_, c := pick(t)
				if c.result == nil {
					t.Skip("no answer")
				}
				c.machine.HandleResult(c.now(elapsed), *c.result)
				c.request, c.result = lease.Request{}, nil
			},
			"check": func(t *rapid.T) {
				_, c := pick(t)
				if fencing, held := c.machine.Held(c.now(elapsed)); held {
					c.checked = fencing
				}
			},
			"act": func(t *rapid.T) {
				i, c := pick(t)
				if c.checked == 0 || c.checked < highest {
					return // refused by a server that checks the fencing token
				}
				other, acted := actors[c.checked]
				if acted && other != i {
					t.Fatalf("candidates %d and %d acted under fencing token %d", other, i, c.checked)
				}
				actors[c.checked] = i
				highest = c.checked
			},
			"": func(t *rapid.T) {
				for i, c := range candidates {
					fencing, held := c.machine.Held(c.now(elapsed))
					if !held {
						continue
					}
					if store.holder != i || store.fencing != fencing || !start.Add(elapsed).Before(store.until) {
						t.Fatalf("candidate %d holds the lease with token %d, but in the store %d holds it with token %d", i, fencing, store.holder, store.fencing)
					}
				}
			},
		})
	})
}

// TestObservedLeaseIsAcquiredAfterItsEnd guards against a lease that nobody acquires although it
// was read without a holder, and against calls for one that is held by another candidate.
func TestObservedLeaseIsAcquiredAfterItsEnd(t *testing.T) {
	const look = 700 * time.Millisecond
	m := &lease.StateMachine{TTL: ttl, Random: random()}
	require.Equal(t, lease.AcquireCall, m.Step(start, 1, true).Call)
	m.HandleResult(start, lease.Result{Outcome: lease.Refused, Remaining: 1500 * time.Millisecond})
	now := start
	for ; now.Before(start.Add(time.Minute)); now = now.Add(look) {
		m.Observe(now, true)
		require.Equal(t, lease.NoCall, m.Step(now.Add(look), 1, true).Call, "held, after %s", now.Sub(start))
	}
	m.Observe(now, false)
	require.Equal(t, lease.AcquireCall, m.Step(now, 1, true).Call)
	m.HandleResult(now, lease.Result{Outcome: lease.Granted, Fencing: 7})
	m.Observe(now, false) // a read that started earlier
	_, held := m.Held(now)
	require.True(t, held)
	require.Equal(t, lease.NoCall, m.Step(now, 1, true).Call)
}

// TestLeaseWithoutItsFirstCandidates guards against a lease that nobody acquires after the loss of
// a failure domain as long as its lost first candidates count as live.
func TestLeaseWithoutItsFirstCandidates(t *testing.T) {
	const candidates, lost, look = 195, 33, 600 * time.Millisecond
	calls := 0
	var taken time.Duration
	machines := make([]*lease.StateMachine, candidates)
	for i := range machines {
		machines[i] = &lease.StateMachine{TTL: ttl, Random: random()}
	}
	for at := time.Duration(0); at < 10*time.Second && taken == 0; at += 200 * time.Millisecond {
		for rank, m := range machines {
			if rank < lost {
				continue
			}
			if at%look == 0 {
				m.Observe(start.Add(at), at < 2*time.Second)
			}
			if m.Step(start.Add(at), rank, true).Call == lease.AcquireCall {
				calls++
				taken = at
			}
		}
	}
	require.NotZero(t, taken)
	require.Less(t, taken, 8*time.Second)
	require.Less(t, calls, 64, "not all of them")
}

// TestInvalidate guards against a lease that is held, or granted by a call sent before, after the
// store has lost it.
func TestInvalidate(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	m := &lease.StateMachine{TTL: 3 * time.Second, Random: rand.New(rand.NewPCG(1, 1))}
	require.Equal(t, lease.AcquireCall, m.Step(now, 0, true).Call)
	m.HandleResult(now, lease.Result{Outcome: lease.Granted, Fencing: 7})
	now = now.Add(time.Second)
	require.Equal(t, lease.RenewCall, m.Step(now, 0, true).Call)
	m.Invalidate(now)
	_, held := m.Held(now)
	require.False(t, held)
	m.HandleResult(now, lease.Result{Outcome: lease.Granted, Fencing: 7})
	_, held = m.Held(now)
	require.False(t, held, "the result of a call from before")
	require.Equal(t, lease.AcquireCall, m.Step(now, 0, true).Call)
	m.HandleResult(now, lease.Result{Outcome: lease.Granted, Fencing: 9})
	fencing, held := m.Held(now)
	require.True(t, held)
	require.Equal(t, uint64(9), fencing)
}
