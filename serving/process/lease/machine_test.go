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

// TestMain fixes seed and number of the stateful tests unless the command line names them.
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
	granted := lease.Answer{Outcome: lease.Granted, Fencing: 4}
	cases := map[string]struct {
		answers []lease.Answer
		at      time.Duration // behind the last answer
		held    bool
		next    lease.Call
	}{
		"granted":                  {answers: []lease.Answer{granted}, at: time.Second, held: true, next: lease.NoCall},
		"renewed in time":          {answers: []lease.Answer{granted}, at: 4 * time.Second, held: true, next: lease.RenewCall},
		"margin":                   {answers: []lease.Answer{granted}, at: 7500 * time.Millisecond, held: false, next: lease.RenewCall},
		"refused":                  {answers: []lease.Answer{{Outcome: lease.Refused, Left: 5 * time.Second}}, at: 4 * time.Second, next: lease.NoCall},
		"tried at the other's end": {answers: []lease.Answer{{Outcome: lease.Refused, Left: 5 * time.Second}}, at: 6 * time.Second, next: lease.AcquireCall},
		"lost answer":              {answers: []lease.Answer{{Outcome: lease.Unknown}}, at: time.Second, next: lease.AcquireCall},
		"renewal refused":          {answers: []lease.Answer{granted, {Outcome: lease.Refused}}, at: time.Second, next: lease.AcquireCall},
		"renewal lost":             {answers: []lease.Answer{granted, {Outcome: lease.Unknown}}, at: 2 * time.Second, held: true, next: lease.RenewCall},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := &lease.Machine{TTL: ttl, Random: random()}
			now := start
			for _, answer := range c.answers {
				require.NotEqual(t, lease.NoCall, m.Step(now, 0, true).Call)
				m.Answered(now, answer)
				if answer != c.answers[len(c.answers)-1] {
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
	m := &lease.Machine{TTL: ttl, Random: random()}
	calls := 0
	for now := start; now.Before(start.Add(5 * time.Minute)); now = now.Add(100 * time.Millisecond) {
		if m.Step(now, 0, true).Call != lease.NoCall {
			calls++
			m.Answered(now, lease.Answer{Outcome: lease.Unavailable})
		}
	}
	require.Less(t, calls, 50)
	require.Greater(t, calls, 20)
}

// TestRegainedStoreIsAskedAtOnce answers a duty without a holder behind a long outage.
func TestRegainedStoreIsAskedAtOnce(t *testing.T) {
	m := &lease.Machine{TTL: ttl, Random: random()}
	now := start
	for ; now.Before(start.Add(time.Minute)); now = now.Add(100 * time.Millisecond) {
		if m.Step(now, 0, true).Call != lease.NoCall {
			m.Answered(now, lease.Answer{Outcome: lease.Unavailable})
		}
	}
	require.Equal(t, lease.NoCall, m.Step(now.Add(100*time.Millisecond), 0, true).Call, "still backing off")
	m.Regained(now)
	require.Equal(t, lease.AcquireCall, m.Step(now.Add(400*time.Millisecond), 0, true).Call)
}

func TestCallsFollowLeasesNotCandidates(t *testing.T) {
	for name, count := range map[string]int{"today": 8, "target": 380} {
		t.Run(name, func(t *testing.T) {
			store := &model{holder: -1}
			machines := make([]*lease.Machine, count)
			for i := range machines {
				machines[i] = &lease.Machine{TTL: ttl, Random: random()}
			}
			calls := 0
			const minutes = 10
			for now := start; now.Before(start.Add(minutes * time.Minute)); now = now.Add(200 * time.Millisecond) {
				for rank, m := range machines {
					if order := m.Step(now, rank, true); order.Call != lease.NoCall {
						calls++
						m.Answered(now, store.do(now, rank, order))
					}
				}
			}
			perSecond := float64(calls) / (minutes * 60)
			t.Logf("%d candidates: %.2f calls a second for a lease", count, perSecond)
			require.Less(t, perSecond, 0.5)
			_, held := machines[0].Held(start.Add(minutes * time.Minute))
			require.True(t, held)
		})
	}
}

// model is the store: it grants leases by true time.
type model struct {
	holder  int
	fencing uint64
	until   time.Time
}

func (s *model) do(now time.Time, holder int, order lease.Order) lease.Answer {
	free := s.holder < 0 || !now.Before(s.until)
	mine := !free && s.holder == holder
	switch order.Call {
	case lease.AcquireCall:
		if !free && !mine {
			return lease.Answer{Outcome: lease.Refused, Left: s.until.Sub(now)}
		}
		if !mine {
			s.fencing++
		}
		s.holder, s.until = holder, now.Add(ttl)
	case lease.RenewCall:
		if !mine || s.fencing != order.Fencing {
			return lease.Answer{Outcome: lease.Refused}
		}
		s.until = now.Add(ttl)
	case lease.ReleaseCall:
		if mine && s.fencing == order.Fencing {
			s.holder = -1
		}
	}
	return lease.Answer{Outcome: lease.Granted, Fencing: s.fencing}
}

// candidate has a clock that runs at its own rate.
type candidate struct {
	machine *lease.Machine
	rate    float64
	order   lease.Order
	answer  *lease.Answer
	// checked is the fencing number of the last successful check; acts may come late.
	checked uint64
}

func (c *candidate) now(elapsed time.Duration) time.Time {
	return start.Add(time.Duration(float64(elapsed) * c.rate))
}

// TestStatefulOneHolder drives candidates with lost and late answers, outages, pauses
// between check and act, and clocks that differ by a tenth.
func TestStatefulOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &model{holder: -1}
		candidates := make([]*candidate, 3)
		for i := range candidates {
			rate := rapid.SampledFrom([]float64{0.95, 1, 1.05}).Draw(t, "rate")
			candidates[i] = &candidate{machine: &lease.Machine{TTL: ttl, Random: random()}, rate: rate}
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
				c.machine.Seen(c.now(elapsed), rapid.Bool().Draw(t, "held"))
			},
			"step": func(t *rapid.T) {
				_, c := pick(t)
				wanted := rapid.IntRange(0, 9).Draw(t, "wanted") > 0
				if order := c.machine.Step(c.now(elapsed), 0, wanted); order.Call != lease.NoCall {
					c.order, c.answer = order, nil
				}
			},
			"call reaches the store": func(t *rapid.T) {
				i, c := pick(t)
				if c.order.Call == lease.NoCall || c.answer != nil {
					t.Skip("nothing under way")
				}
				answer := lease.Answer{Outcome: lease.Unavailable}
				if !outage {
					answer = store.do(start.Add(elapsed), i, c.order)
				}
				if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
					answer = lease.Answer{Outcome: lease.Unknown}
				}
				c.answer = &answer
			},
			"answer arrives": func(t *rapid.T) {
				_, c := pick(t)
				if c.answer == nil {
					t.Skip("no answer")
				}
				c.machine.Answered(c.now(elapsed), *c.answer)
				c.order, c.answer = lease.Order{}, nil
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
					return // a server that checks refuses it
				}
				other, acted := actors[c.checked]
				if acted && other != i {
					t.Fatalf("candidates %d and %d acted under fencing number %d", other, i, c.checked)
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
						t.Fatalf("candidate %d holds %d, the store says %d holds %d", i, fencing, store.holder, store.fencing)
					}
				}
			},
		})
	})
}

// TestSeenLeaseIsTakenAtItsEnd guards against a lease without a holder that a look at the
// store has shown, and against calls for one that another has.
func TestSeenLeaseIsTakenAtItsEnd(t *testing.T) {
	const look = 700 * time.Millisecond
	m := &lease.Machine{TTL: ttl, Random: random()}
	require.Equal(t, lease.AcquireCall, m.Step(start, 1, true).Call)
	m.Answered(start, lease.Answer{Outcome: lease.Refused, Left: 1500 * time.Millisecond})
	now := start
	for ; now.Before(start.Add(time.Minute)); now = now.Add(look) {
		m.Seen(now, true)
		require.Equal(t, lease.NoCall, m.Step(now.Add(look), 1, true).Call, "held, after %s", now.Sub(start))
	}
	m.Seen(now, false)
	require.Equal(t, lease.AcquireCall, m.Step(now, 1, true).Call)
	m.Answered(now, lease.Answer{Outcome: lease.Granted, Fencing: 7})
	m.Seen(now, false) // a look that began before
	_, held := m.Held(now)
	require.True(t, held)
	require.Equal(t, lease.NoCall, m.Step(now, 1, true).Call)
}

// TestLeaseWithoutItsFirstCandidates guards against a duty that nobody has for as long as
// the first candidates are taken for live, behind the loss of a failure domain.
func TestLeaseWithoutItsFirstCandidates(t *testing.T) {
	const candidates, lost, look = 195, 33, 600 * time.Millisecond
	calls := 0
	var taken time.Duration
	machines := make([]*lease.Machine, candidates)
	for i := range machines {
		machines[i] = &lease.Machine{TTL: ttl, Random: random()}
	}
	for at := time.Duration(0); at < 10*time.Second && taken == 0; at += 200 * time.Millisecond {
		for rank, m := range machines {
			if rank < lost {
				continue
			}
			if at%look == 0 {
				m.Seen(start.Add(at), at < 2*time.Second)
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
