package quota_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/request/quota"
)

const (
	fleetSize = 60
	domains   = 5
	step      = 5 * time.Millisecond
	window    = 8 * time.Second
	prompt    = 17_000.0
	account   = "large"
	// avoidTime is how long an instance that did not respond is not tried again.
	avoidTime = 3 * time.Second
)

var start = time.Unix(1_800_000_000, 0)

// tolerance returns the number of tokens allowed in a window beyond rate and burst, as stated
// by the users.
func tolerance(limit float64) float64 { return 0.1*(9*limit) + 190_000 }

func allowed(limit float64) float64 { return 9*limit + tolerance(limit) }

// fleet is a group of instances that use each other's pools.
type fleet struct {
	random *rand.Rand
	limit  float64
	tables []*quota.Table
	// candidates returns the instances that instance i tries in turn at a time.
	candidates func(at time.Duration, i int) []int
	// lost reports whether an instance gets no response from another one. If lateAnswer is set,
	// the other one handled the request nevertheless.
	lost       func(at time.Duration, from, to int) bool
	lateAnswer bool
	// avoidedUntil[i][j] is the time until which instance i does not try instance j.
	avoidedUntil [fleetSize][fleetSize]time.Duration

	granted   []grant
	asked     int
	refused   int
	refusedBy map[int]int
}

type grant struct {
	at     time.Duration
	tokens float64
}

func tableAt(now time.Time, limit float64) *quota.Table {
	table := quota.New()
	table.SetEntries(now, fleetSize)
	table.SetLimits(now, 1, limits(limit))
	return table
}

func limits(limit float64) []quota.Limit {
	return []quota.Limit{{
		Account: account, PerSecond: quota.Amount{Tokens: limit},
		Burst: quota.Amount{Tokens: limit + 0.3*tolerance(limit)}, MaxDebt: quota.Amount{Tokens: 0.35 * tolerance(limit)}, StartCredit: quota.Amount{Tokens: 0.2 * tolerance(limit)},
	}}
}

func newFleet(seed uint64, limit float64) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 15)), limit: limit, refusedBy: map[int]int{},
		candidates: func(time.Duration, int) []int { return []int{0, 1} },
		lost:       func(time.Duration, int, int) bool { return false },
	}
	for range fleetSize {
		f.tables = append(f.tables, tableAt(start, limit))
	}
	return f
}

// run simulates a demand, as a multiple of the limit, with prompts of random sizes.
func (f *fleet) run(duration time.Duration, demand func(at time.Duration) float64) {
	for at := time.Duration(0); at < duration; at += step {
		f.stepAt(at, demand(at))
	}
}

// stepAt simulates one step with the given demand.
func (f *fleet) stepAt(at time.Duration, demand float64) {
	f.payAll(at)
	expected := demand * f.limit / prompt * step.Seconds()
	for left := f.random.ExpFloat64(); left < expected; left += f.random.ExpFloat64() {
		f.ask(at, f.random.IntN(fleetSize), prompt*min(f.random.ExpFloat64(), 5))
	}
}

// payAll makes the deposits that are due at a step.
func (f *fleet) payAll(at time.Duration) {
	steps := int(quota.DepositPeriod(fleetSize) / step)
	for i := range f.tables {
		if (int(at/step)+i)%steps == 0 {
			f.pay(at, i)
		}
	}
}

// reachable returns the instances that instance i tries in turn, itself last.
func (f *fleet) reachable(at time.Duration, i int) []int {
	var tried []int
	for _, to := range append(f.candidates(at, i), i) {
		if f.avoidedUntil[i][to] <= at {
			tried = append(tried, to)
		}
	}
	return tried
}

func (f *fleet) pay(at time.Duration, i int) {
	now := start.Add(at)
	for _, to := range f.reachable(at, i) {
		amount := f.tables[i].Withdraw(now, account)
		if i != to && f.lost(at, i, to) {
			f.avoidedUntil[i][to] = at + avoidTime
			if f.lateAnswer {
				f.tables[to].Deposit(now, account, amount)
			}
			continue
		}
		f.tables[to].Deposit(now, account, amount)
		return
	}
}

func (f *fleet) ask(at time.Duration, i int, tokens float64) {
	now := start.Add(at)
	f.asked++
	for _, to := range f.reachable(at, i) {
		amount := f.tables[i].Withdraw(now, account)
		lost := i != to && f.lost(at, i, to)
		if lost {
			f.avoidedUntil[i][to] = at + avoidTime
		}
		if lost && !f.lateAnswer {
			continue
		}
		f.tables[to].Deposit(now, account, amount)
		decision, known := f.tables[to].Charge(now, account, quota.Amount{Requests: 1, Tokens: tokens})
		if lost {
			continue
		}
		if known && decision.Granted {
			f.granted = append(f.granted, grant{at, tokens})
		} else {
			f.refused++
			f.refusedBy[int(at/time.Second)]++
		}
		return
	}
}

// worst returns the largest number of tokens granted within any window.
func (f *fleet) worst() float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, g := range f.granted {
		sum += g.tokens
		for g.at-f.granted[first].at >= window {
			sum -= f.granted[first].tokens
			first++
		}
		most = max(most, sum)
	}
	return most
}

func between(at, from, to time.Duration) bool { return at >= from && at < to }

// TestLimitHoldsWhicheverPoolsAreAsked guards against an account that exceeds its limit while
// instances can't reach the usual pool and use others.
func TestLimitHoldsWhicheverPoolsAreAsked(t *testing.T) {
	hot := func(time.Duration) float64 { return 4 }
	for name, test := range map[string]struct {
		demand func(time.Duration) float64
		set    func(f *fleet)
	}{
		"calm": {hot, func(*fleet) {}},
		"a failure domain with both pools is partitioned": {hot, func(f *fleet) {
			f.candidates = func(_ time.Duration, i int) []int { return []int{0, domains, i % domains} }
			f.lost = func(at time.Duration, from, to int) bool {
				return between(at, 10*time.Second, 16*time.Second) && (from%domains == 0) != (to%domains == 0)
			}
		}},
		"a third of the instances is isolated": {hot, func(f *fleet) {
			f.lost = func(at time.Duration, from, to int) bool {
				return between(at, 10*time.Second, 18*time.Second) && from != to && (from%3 == 2 || to%3 == 2)
			}
		}},
		"all instances are isolated": {hot, func(f *fleet) {
			f.lost = func(at time.Duration, _, _ int) bool { return between(at, 10*time.Second, 18*time.Second) }
		}},
		"responses of a slow pool arrive too late": {hot, func(f *fleet) {
			f.lateAnswer = true
			f.lost = func(at time.Duration, _, to int) bool {
				return to == 0 && between(at, 10*time.Second, 20*time.Second) && f.random.Float64() < 0.6
			}
		}},
		"the pool changes every second": {hot, func(f *fleet) {
			f.candidates = func(at time.Duration, _ int) []int { return []int{int(at / time.Second)} }
		}},
		"instances use different pools": {hot, func(f *fleet) {
			f.candidates = func(at time.Duration, i int) []int { return []int{(i + int(at/(5*time.Second))) % 4} }
		}},
		"all instances change the pool when the demand rises": {
			func(at time.Duration) float64 { return 0.2 + 20*float64(at/(10*time.Second)) },
			func(f *fleet) {
				f.candidates = func(at time.Duration, _ int) []int { return []int{int(at / (10 * time.Second))} }
			},
		},
		"half of the instances return to an earlier pool when both are full": {
			func(at time.Duration) float64 { return 0.05 + 8*float64(at/(20*time.Second)) },
			func(f *fleet) {
				f.candidates = func(at time.Duration, i int) []int {
					return []int{min(int(at/(10*time.Second)), 1+i%2) % 2}
				}
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			for _, limit := range []float64{47_000, 400_000, 1_300_000} {
				for seed := range uint64(3) {
					f := newFleet(seed, limit)
					test.set(f)
					f.run(30*time.Second, test.demand)
					t.Logf("limit %.0f: %.2f of the allowed tokens", limit, f.worst()/allowed(limit))
					require.LessOrEqual(t, f.worst(), allowed(limit), "limit %.0f, seed %d", limit, seed)
				}
			}
		})
	}
}

// TestLimitHoldsOverRestarts guards against a limit that is spent again by each process that
// replaces one which had already spent it.
func TestLimitHoldsOverRestarts(t *testing.T) {
	for name, killed := range map[string]func(at time.Duration, i int) bool{
		"the pool, every second":    func(at time.Duration, i int) bool { return i == 0 && at%time.Second == 0 },
		"every instance, every 2 s": func(at time.Duration, _ int) bool { return at%(2*time.Second) == 0 },
		"in turn, 20 a second": func(at time.Duration, i int) bool {
			return at%(50*time.Millisecond) == 0 && int(at/(50*time.Millisecond))%fleetSize == i
		},
	} {
		t.Run(name, func(t *testing.T) {
			for _, limit := range []float64{47_000, 1_300_000} {
				f := newFleet(1, limit)
				for at := time.Duration(0); at < 20*time.Second; at += step {
					for i := range f.tables {
						if at > 5*time.Second && killed(at, i) {
							f.tables[i] = tableAt(start.Add(at), limit)
						}
					}
					f.stepAt(at, 4)
				}
				require.LessOrEqual(t, f.worst(), allowed(limit))
				require.Positive(t, len(f.granted))
			}
		})
	}
}

// TestAccountsWithinTheirLimitAreServed guards against refusing requests within the limit:
// with steady demand below it, after the instance with the pool fails, and with the limit in
// full use.
func TestAccountsWithinTheirLimitAreServed(t *testing.T) {
	t.Run("half of the limit", func(t *testing.T) {
		for _, limit := range []float64{200_000, 400_000, 1_300_000} {
			f := newFleet(2, limit)
			f.run(40*time.Second, func(time.Duration) float64 { return 0.55 })
			t.Logf("limit %.0f: %d of %d refused", limit, f.refused, f.asked)
			require.Less(t, float64(f.refused-f.refusedBy[0]), 0.01*float64(f.asked))
		}
	})
	t.Run("the pool's instance fails", func(t *testing.T) {
		f := newFleet(3, 1_300_000)
		f.lost = func(at time.Duration, _, to int) bool { return to == 0 && at >= 10*time.Second }
		f.run(20*time.Second, func(time.Duration) float64 { return 0.55 })
		after := 0
		for second := 11; second < 20; second++ {
			after += f.refusedBy[second]
		}
		t.Logf("refused in the second of the change: %d, later: %d", f.refusedBy[10], after)
		require.Less(t, f.refusedBy[10], int(0.55*1_300_000.0)/int(prompt), "most requests in the second of the failure are served")
		require.Less(t, after, 4)
	})
	t.Run("the limit is used", func(t *testing.T) {
		f := newFleet(4, 400_000)
		f.run(40*time.Second, func(time.Duration) float64 { return 4 })
		sum := 0.0
		for _, g := range f.granted {
			sum += g.tokens
		}
		require.Greater(t, sum, 0.95*400_000*40)
	})
	t.Run("a prompt larger than the pool is granted when the pool is full", func(t *testing.T) {
		table := quota.New()
		table.SetEntries(start, 1)
		table.SetLimits(start, 1, []quota.Limit{{Account: account, PerSecond: quota.Amount{Tokens: 100}, Burst: quota.Amount{Tokens: 100}}})
		granted := false
		for at := time.Duration(0); at < 10*time.Second && !granted; at += 100 * time.Millisecond {
			now := start.Add(at)
			table.Deposit(now, account, table.Withdraw(now, account))
			decision, _ := table.Charge(now, account, quota.Amount{Requests: 1, Tokens: 5000})
			granted = decision.Granted
			require.True(t, granted || decision.RetryAfter > 0)
		}
		require.True(t, granted)
	})
}

// TestLargeRequestsDoNotStarve guards against an account over its limit whose small requests
// use all of it: large ones must be granted at least half as often.
func TestLargeRequestsDoNotStarve(t *testing.T) {
	for _, limit := range []float64{100_000, 1_300_000} {
		f := newFleet(6, limit)
		granted, asked := map[bool]int{}, map[bool]int{}
		for at := time.Duration(0); at < 60*time.Second; at += step {
			f.payAll(at)
			large := f.random.Float64() < 0.2
			tokens := map[bool]float64{false: 5_000, true: 60_000}[large]
			if f.random.Float64() > 4*limit/16_000*step.Seconds() {
				continue
			}
			before := len(f.granted)
			f.ask(at, f.random.IntN(fleetSize), tokens)
			asked[large]++
			granted[large] += len(f.granted) - before
		}
		share := func(large bool) float64 { return float64(granted[large]) / float64(asked[large]) }
		t.Logf("limit %.0f: %.2f of the large, %.2f of the small", limit, share(true), share(false))
		require.Greater(t, share(true), 0.5*share(false))
	}
}

// TestLoweredLimitTakesEffect guards against tokens accrued under an earlier limit that are
// spent after a configuration lowered it.
func TestLoweredLimitTakesEffect(t *testing.T) {
	const before, after, changed = 1_300_000.0, 47_000.0, 10 * time.Second
	for name, demand := range map[string]float64{"over the former limit": 4, "below the former limit": 0.5} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(7, before)
			for at := time.Duration(0); at < 30*time.Second; at += step {
				if at == changed {
					for _, table := range f.tables {
						table.SetLimits(start.Add(at), 2, limits(after))
					}
				}
				f.stepAt(at, demand)
			}
			f.granted = slices.DeleteFunc(f.granted, func(g grant) bool { return g.at < changed })
			require.LessOrEqual(t, f.worst(), allowed(after))
			require.Greater(t, f.worst(), 0.8*after*window.Seconds())
		})
	}
}

// TestNoAccrualBeforeFleetSizeIsKnown guards against an instance that accrues the whole limit
// before the number of instances is set.
func TestNoAccrualBeforeFleetSizeIsKnown(t *testing.T) {
	table := quota.New()
	table.SetLimits(start, 1, limits(1000))
	require.Zero(t, table.Withdraw(start.Add(time.Second), account))
	table.SetEntries(start.Add(time.Second), 10)
	earned := table.Withdraw(start.Add(1100*time.Millisecond), account)
	require.InDelta(t, 10, earned.Tokens, 0.01) // a tenth of a second of a tenth of the limit
	require.Zero(t, table.Withdraw(start.Add(1100*time.Millisecond), account))
	require.Zero(t, table.Withdraw(start.Add(2*time.Second), "nobody"))
	table.SetLimits(start.Add(3*time.Second), 0, nil)
	require.Equal(t, []string{account}, table.Accounts(), "an older version is ignored")
}
