package rollout

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// rateSeeds is the number of simulations for each case of TestVerdictRates.
const rateSeeds = 10

// candidateOnly applies a behaviour to the candidate; the old version is good.
func candidateOnly(behave func(simulatedAttempt) outcome) func(simulatedAttempt) outcome {
	return func(s simulatedAttempt) outcome {
		if s.version != "v2" {
			return outcome{}
		}
		return behave(s)
	}
}

// TestDecider guards against bad versions that are completed, good ones that are reverted,
// either of them after the deadline, and too many requests at a bad one.
func TestDecider(t *testing.T) {
	tests := map[string]struct {
		duration time.Duration
		set      func(sim *simulation)
		behave   func(sim *simulation) func(simulatedAttempt) outcome
		midway   func(sim *simulation) // run after 5 s
		want     Phase
		bad      bool
		reason   string
		// within is the time limit for the verdict, 0 for the deadline.
		within time.Duration
	}{
		"good":       {want: Completed, reason: "good"},
		"good, long": {duration: time.Minute, want: Completed, reason: "good"},
		"good, some failures everywhere": {
			behave: func(sim *simulation) func(simulatedAttempt) outcome {
				return func(simulatedAttempt) outcome { return outcome{failed: sim.rng.IntN(20) == 0} }
			},
			want: Completed, reason: "good",
		},
		"bad immediately": {
			behave: func(sim *simulation) func(simulatedAttempt) outcome {
				return candidateOnly(func(simulatedAttempt) outcome { return outcome{failed: sim.rng.IntN(3) == 0} })
			},
			want: Reverted, bad: true, reason: "failures on all routes", within: 4 * time.Second,
		},
		"bad later": {
			duration: time.Minute,
			behave: func(sim *simulation) func(simulatedAttempt) outcome {
				return candidateOnly(func(s simulatedAttempt) outcome {
					return outcome{failed: s.since > 45*time.Second && sim.rng.IntN(4) == 0}
				})
			},
			want: Reverted, bad: true, reason: "failures on all routes", within: 49 * time.Second,
		},
		"bad in shift": {
			set: func(sim *simulation) { sim.inFlightOld = 1 },
			behave: func(*simulation) func(simulatedAttempt) outcome {
				return candidateOnly(func(s simulatedAttempt) outcome {
					return outcome{failed: s.since > 8300*time.Millisecond}
				})
			},
			want: Reverted, bad: true, reason: "failures", within: 10 * time.Second,
		},
		"bad only under load": {
			behave: func(sim *simulation) func(simulatedAttempt) outcome {
				return candidateOnly(func(s simulatedAttempt) outcome {
					return outcome{failed: s.rate > 8 && sim.rng.IntN(2) == 0}
				})
			},
			want: Reverted, bad: true, reason: "failures",
		},
		"bad on one route": {
			behave: func(*simulation) func(simulatedAttempt) outcome {
				return candidateOnly(func(s simulatedAttempt) outcome { return outcome{failed: s.route == "rare"} })
			},
			want: Reverted, bad: true, reason: "failures on route rare",
		},
		"doubtful": {
			behave: func(*simulation) func(simulatedAttempt) outcome {
				answers := 0
				return candidateOnly(func(simulatedAttempt) outcome {
					answers++
					return outcome{failed: answers%14 == 0}
				})
			},
			want: Reverted, bad: true, reason: "doubtful: failures on all routes",
		},
		"slow": {
			behave: func(*simulation) func(simulatedAttempt) outcome {
				return candidateOnly(func(simulatedAttempt) outcome { return outcome{ratio: 4.5} })
			},
			want: Reverted, bad: true, reason: "first on all routes", within: 4 * time.Second,
		},
		"good beside a crashed server": {
			set: func(sim *simulation) { sim.servers["v1"] = 60 }, // so that the trial uses five candidate servers
			behave: func(*simulation) func(simulatedAttempt) outcome {
				crashed := 0
				return candidateOnly(func(s simulatedAttempt) outcome {
					// Attempts fail until the server is excluded.
					if s.server != 1 || crashed >= 25 {
						return outcome{}
					}
					crashed++
					return outcome{failed: true}
				})
			},
			want: Completed, reason: "good",
		},
		"good beside failing old servers": {
			behave: func(*simulation) func(simulatedAttempt) outcome {
				return func(s simulatedAttempt) outcome {
					return outcome{failed: s.version == "v1" && s.server < 10}
				}
			},
			want: Completed, reason: "good",
		},
		"too few answers": {
			set:  func(sim *simulation) { sim.rate = 0 },
			want: Reverted, reason: "too few answers",
		},
		"too few servers": {
			set: func(sim *simulation) {
				sim.servers["v2"], sim.inFlight = 2, 40
			},
			want: Reverted, reason: "too few servers",
		},
		"no new servers": {
			set:  func(sim *simulation) { sim.servers["v2"] = 0 },
			want: Reverted, reason: "too few servers",
		},
		"few servers for few requests": {
			set:  func(sim *simulation) { sim.servers["v2"], sim.inFlight = 2, 3 },
			want: Completed, reason: "good",
		},
		"only version": {
			set:  func(sim *simulation) { delete(sim.servers, "v1") },
			want: Completed, reason: "only version", within: time.Second,
		},
		"servers lost in shift": {
			set: func(sim *simulation) { sim.inFlightOld = 1 },
			midway: func(sim *simulation) {
				sim.run(4 * time.Second)
				sim.servers["v2"], sim.inFlight = 2, 40
			},
			want: Shift, reason: "good",
		},
		"old servers without a version": {
			set: func(sim *simulation) {
				sim.servers[""] = sim.servers["v1"]
				delete(sim.servers, "v1")
			},
			want: Completed, reason: "good",
		},
		"old servers in use until the last moment": {
			set:  func(sim *simulation) { sim.inFlightOld = 1 },
			want: Completed, reason: "good",
		},
		"one instance out of reach": {
			midway: func(sim *simulation) { sim.instances[0].partitioned = true },
			want:   Completed, reason: "good",
		},
		"clock set back": {
			midway: func(sim *simulation) { sim.skew = -time.Hour },
			want:   Completed, reason: "good",
		},
		"clock set forward": {
			duration: time.Minute,
			midway:   func(sim *simulation) { sim.skew = time.Hour },
			want:     Completed, reason: "good",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 5)
			if test.set != nil {
				test.set(sim)
			}
			if test.behave != nil {
				sim.respond = test.behave(sim)
			}
			duration := test.duration
			if duration == 0 {
				duration = 12 * time.Second
			}
			sim.run(250 * time.Millisecond) // start the instances before the order
			began, before := sim.elapsed, sim.total
			sim.order("v2", duration)
			if test.midway != nil {
				sim.run(5 * time.Second)
				test.midway(sim)
			}
			within := test.within
			if within == 0 {
				within = duration
			}
			sim.run(began + within - sim.elapsed)
			require.Equal(t, test.want, sim.record().Phase, "%+v", sim.record().Reason)
			require.Contains(t, sim.record().Reason, test.reason)
			require.Equal(t, test.bad, sim.record().Bad)
			sim.run(began + duration - sim.elapsed)
			require.Equal(t, test.want, sim.record().Phase)
			if test.want == Reverted && sim.sent["v2"] > 0 && name != "bad in shift" {
				require.LessOrEqual(t, float64(sim.sent["v2"]), 0.1*float64(sim.total-before)+50)
			}
			if sim.fiftiethBad > 0 && test.bad {
				require.LessOrEqual(t, sim.lastCandidate-sim.fiftiethBad, limits.Rollback)
			}
		})
	}
}

// TestVerdictRates guards against thresholds that noise exceeds: good versions must be completed
// whatever the noise, and versions that fail a tenth more must rarely be. Load: 1 to 30
// instances with 20 to 600 requests a second in total, with log-normal times.
func TestVerdictRates(t *testing.T) {
	tests := map[string]struct {
		instances, rate, servers int
		failures, more, sigma    float64
		want                     Phase
		least                    int // of rateSeeds
	}{
		"good":                    {5, 4, 20, 0.02, 0, 0.5, Completed, rateSeeds},
		"good, much spread":       {5, 4, 20, 0.05, 0, 0.9, Completed, rateSeeds},
		"good, few requests":      {1, 1, 4, 0.02, 0, 0.5, Completed, rateSeeds},
		"a tenth more fail":       {30, 1, 20, 0.01, 0.1, 0.5, Reverted, rateSeeds - 1},
		"three tenths, few":       {1, 1, 4, 0.01, 0.3, 0.5, Reverted, rateSeeds - 1},
		"a fifth more, some fail": {5, 4, 20, 0.05, 0.2, 0.9, Reverted, rateSeeds},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := 0
			for seed := range rateSeeds {
				sim := newSimulation(t, test.instances)
				sim.rng = rand.New(rand.NewPCG(uint64(seed), 1))
				sim.rate = test.rate
				sim.servers = map[string]int{"v1": test.servers, "v2": test.servers}
				sim.respond = func(s simulatedAttempt) outcome {
					rate := test.failures
					if s.version == "v2" {
						rate += test.more
					}
					ratio := math.Exp(test.sigma * sim.rng.NormFloat64())
					return outcome{failed: sim.rng.Float64() < rate, ratio: ratio}
				}
				sim.run(250 * time.Millisecond)
				sim.order("v2", usualDuration)
				sim.run(usualDuration)
				if sim.record().Phase == test.want {
					got++
				}
			}
			require.GreaterOrEqual(t, got, test.least)
		})
	}
}

// TestHasCapacity guards against a shift to servers that cannot carry the load.
func TestHasCapacity(t *testing.T) {
	reports := func(inFlight ...int) []Report {
		var reports []Report
		for _, n := range inFlight {
			reports = append(reports, Report{InFlight: n})
		}
		return reports
	}
	tests := map[string]struct {
		old, ready     Servers
		reports        []Report
		missingReports int
		want           bool
	}{
		"as many slots":         {old: Servers{4, 40}, ready: Servers{8, 40}, want: true},
		"fewer slots, unknown":  {old: Servers{4, 40}, ready: Servers{3, 30}},
		"no server":             {reports: reports(0)},
		"twice the requests":    {old: Servers{4, 40}, ready: Servers{2, 20}, reports: reports(4, 6), want: true},
		"less than twice":       {old: Servers{4, 40}, ready: Servers{2, 20}, reports: reports(4, 7)},
		"half of them unheard":  {old: Servers{4, 40}, ready: Servers{2, 20}, reports: reports(4, 6), missingReports: 2},
		"old servers all gone":  {ready: Servers{1, 1}, reports: reports(50), want: true},
		"no requests in flight": {old: Servers{4, 40}, ready: Servers{1, 1}, reports: reports(0), want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := &serviceInput{
				stored:   Stored{Record: Record{To: "v2", From: []string{"v1"}}},
				versions: map[string]Servers{"v1": test.old, "v2": test.ready},
				reports:  test.reports, missingReports: test.missingReports,
			}
			require.Equal(t, test.want, s.hasCapacity())
		})
	}
}
