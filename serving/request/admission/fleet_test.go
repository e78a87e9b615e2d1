package admission_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/membership"
	"papayaport.dev/serving/request/admission"
	"papayaport.dev/serving/version/service"
)

const (
	fleetSize   = 8
	fleetLimit  = 40.0 // requests a second
	fleetStep   = 50 * time.Millisecond
	reportEvery = time.Second
	latestDelay = 2000 // ms
	lapseAfter  = 3 * time.Second
	lossShare   = 0.2
)

// fleet is several tables that report to each other late and with losses.
type fleet struct {
	random *rand.Rand
	tables []*admission.Table
	// heard holds what entry i heard last of entry j.
	heard [][]heard
	mail  []letter
	// connected tells whether entry i reaches entry j at a moment.
	connected func(at time.Duration, i, j int) bool
	// admitted holds the times of admitted requests, perEntry their number by entry.
	admitted []time.Duration
	perEntry []int
	next     int
}

type heard struct {
	at  time.Duration
	use []membership.AccountUse
	yes bool
}

type letter struct {
	from, to int
	due      time.Duration
	use      []membership.AccountUse
}

func newFleet(seed uint64, limits service.Account, connected func(at time.Duration, i, j int) bool) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), connected: connected, perEntry: make([]int, fleetSize)}
	for range fleetSize {
		table := admission.New()
		table.SetServices(start, 1, []*service.File{{Name: "farewell-llm", Accounts: []service.Account{limits}}})
		table.SetEntries(start, fleetSize)
		f.tables = append(f.tables, table)
		f.heard = append(f.heard, make([]heard, fleetSize))
	}
	return f
}

// run drives all tables for a time with a demand in requests a second by entry.
func (f *fleet) run(duration time.Duration, demand func(at time.Duration, entry int) float64) {
	for at := time.Duration(0); at < duration; at += fleetStep {
		now := start.Add(at)
		f.deliver(at)
		for i, table := range f.tables {
			if at%reportEvery == time.Duration(i)*100*time.Millisecond {
				f.report(at, i)
			}
			for range poisson(f.random, demand(at, i)*fleetStep.Seconds()) {
				f.next++
				id := fmt.Sprint(f.next)
				order, _ := table.Ask(now, admission.Ask{RequestID: id, Service: "farewell-llm", Account: "large", Tokens: 10})
				if order.Verdict == admission.Admitted {
					f.admitted = append(f.admitted, at)
					f.perEntry[i]++
					table.Done(now, id, 10)
				}
			}
		}
	}
}

// report sends an entry's use to the others and tells it what it has heard.
func (f *fleet) report(at time.Duration, from int) {
	use := f.tables[from].Use(start.Add(at))
	for to := range f.tables {
		if to == from || f.random.Float64() < lossShare || !f.connected(at, from, to) {
			continue
		}
		delay := time.Duration(f.random.IntN(latestDelay)) * time.Millisecond
		f.mail = append(f.mail, letter{from, to, at + delay, use})
	}
	totals := membership.Totals{ByAccount: map[string]membership.AccountUse{}}
	for _, h := range f.heard[from] {
		if !h.yes || at-h.at > lapseAfter {
			continue
		}
		totals.Entries++
		for _, use := range h.use {
			sum := totals.ByAccount[use.Account]
			sum.RequestsPerSecond += use.RequestsPerSecond
			sum.InFlight += use.InFlight
			totals.ByAccount[use.Account] = sum
		}
	}
	f.tables[from].Peers(start.Add(at), totals)
}

func (f *fleet) deliver(at time.Duration) {
	var kept []letter
	for _, l := range f.mail {
		if l.due > at {
			kept = append(kept, l)
			continue
		}
		f.heard[l.to][l.from] = heard{at, l.use, true}
	}
	f.mail = kept
}

func poisson(random *rand.Rand, mean float64) int {
	count := 0
	for left := random.ExpFloat64(); left < mean; left += random.ExpFloat64() {
		count++
	}
	return count
}

// worst returns the largest number of requests admitted within a window.
func (f *fleet) worst(window time.Duration) int {
	most, first := 0, 0
	for last := range f.admitted {
		for f.admitted[last]-f.admitted[first] > window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestLimitsHoldOverAllEntries drives eight tables with reports up to two seconds late
// and a fifth of them lost. In every window the requests admitted together stay within
// the limit and the buckets: one second's worth, and one request for each entry.
func TestLimitsHoldOverAllEntries(t *testing.T) {
	whole := func(time.Duration, int, int) bool { return true }
	halves := func(from, to time.Duration) func(time.Duration, int, int) bool {
		return func(at time.Duration, i, j int) bool { return at < from || at > to || i%2 == j%2 }
	}
	alone := func(from, to time.Duration) func(time.Duration, int, int) bool {
		return func(at time.Duration, i, j int) bool { return at < from || at > to || i != 0 && j != 0 }
	}
	even := func(time.Duration, int) float64 { return 20 }
	cases := map[string]struct {
		connected func(time.Duration, int, int) bool
		demand    func(time.Duration, int) float64
		// used is the least share of the limit that is used over the whole run.
		used float64
	}{
		"even demand":          {whole, even, 0.8},
		"one entry has it all": {whole, func(_ time.Duration, i int) float64 { return float64(i/7) * 160 }, 0.8},
		"demand moves": {whole, func(at time.Duration, i int) float64 {
			if int(at/(15*time.Second))%fleetSize == i {
				return 160
			}
			return 1
		}, 0.25},
		"demand comes at once": {whole, func(at time.Duration, _ int) float64 { return float64(at/(20*time.Second)) * 20 }, 0.5},
		"pulses": {whole, func(at time.Duration, i int) float64 {
			if int(at/time.Second)%fleetSize == i {
				return 160
			}
			return 0
		}, 0.08},
		"cut in halves":                     {halves(20*time.Second, 60*time.Second), even, 0.75},
		"cut in halves, one busy":           {halves(20*time.Second, 60*time.Second), func(_ time.Duration, i int) float64 { return float64((i+1)%2) * 40 }, 0.5},
		"busy entry cut off":                {alone(20*time.Second, 60*time.Second), func(_ time.Duration, i int) float64 { return 5 + float64((8-i)/8)*160 }, 0.5},
		"busy entry cut off from busy ones": {alone(20*time.Second, 60*time.Second), func(_ time.Duration, i int) float64 { return 20 + float64((8-i)/8)*140 }, 0.7},
		"all cut off":                       {func(at time.Duration, _, _ int) bool { return at < 20*time.Second }, even, 0.75},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(7, service.Account{Name: "large", RequestsPerSecond: fleetLimit}, c.connected)
			const duration = 100 * time.Second
			f.run(duration, c.demand)
			for _, window := range []time.Duration{time.Second, 5 * time.Second, 20 * time.Second} {
				bound := fleetLimit*(window+time.Second).Seconds() + fleetSize
				t.Logf("%s: %d admitted, bound %.0f", window, f.worst(window), bound)
				require.LessOrEqual(t, float64(f.worst(window)), bound)
			}
			used := float64(len(f.admitted)) / (fleetLimit * duration.Seconds())
			t.Logf("used %.2f of the limit", used)
			require.Greater(t, used, c.used)
		})
	}
}

// TestConcurrencyOverAllEntries keeps every admitted request running for 30 s and counts
// what runs at once, with even demand and with demand that moves every 20 s.
func TestConcurrencyOverAllEntries(t *testing.T) {
	const limit = 40
	cases := map[string]struct {
		demand func(at time.Duration, entry int) float64
		bound  int
	}{
		"even": {func(time.Duration, int) float64 { return 1.5 }, limit + fleetSize},
		"moving": {func(at time.Duration, i int) float64 {
			if int(at/(20*time.Second))%fleetSize == i {
				return 10
			}
			return 0.5
		}, limit*3/2 + fleetSize},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2) {
				most, ended := runLong(seed, limit, c.demand)
				t.Logf("seed %d: %d at once, %d ended", seed, most, ended)
				require.LessOrEqual(t, most, c.bound)
				require.Greater(t, ended, 150)
			}
		})
	}
}

// runLong returns the most requests that ran at once and the number that ended.
func runLong(seed uint64, limit int, demand func(time.Duration, int) float64) (most, ended int) {
	type running struct {
		entry int
		id    string
		until time.Duration
	}
	f := newFleet(seed, service.Account{Name: "large", Concurrency: limit}, func(time.Duration, int, int) bool { return true })
	var open []running
	for at := time.Duration(0); at < 3*time.Minute; at += fleetStep {
		now := start.Add(at)
		admit := func(entry int, orders ...admission.Order) {
			for _, order := range orders {
				if order.Verdict == admission.Admitted {
					open = append(open, running{entry, order.RequestID, at + 30*time.Second})
				}
			}
		}
		f.deliver(at)
		for len(open) > 0 && open[0].until <= at {
			first := open[0]
			open = open[1:]
			admit(first.entry, f.tables[first.entry].Done(now, first.id, 0)...)
			ended++
		}
		for i, table := range f.tables {
			if at%reportEvery == time.Duration(i)*100*time.Millisecond {
				f.report(at, i)
			}
			for range poisson(f.random, demand(at, i)*fleetStep.Seconds()) {
				f.next++
				order, others := table.Ask(now, admission.Ask{RequestID: fmt.Sprint(f.next), Service: "farewell-llm", Account: "large"})
				admit(i, append(others, order)...)
			}
			admit(i, table.Tick(now)...)
		}
		most = max(most, len(open))
	}
	return most, ended
}

// TestLargeAccountLeavesRoom lets one account ask for three times what the backend
// servers can do, and looks how long a small account of the same priority waits.
func TestLargeAccountLeavesRoom(t *testing.T) {
	table := newTable(8, nil)
	random := rand.New(rand.NewPCG(1, 1))
	asked, until := map[string]time.Time{}, map[string]time.Time{}
	var waits []time.Duration
	answered := 0
	for at := time.Duration(0); at < time.Minute; at += 10 * time.Millisecond {
		now := start.Add(at)
		var orders []admission.Order
		for id, end := range until {
			if !now.Before(end) {
				delete(until, id)
				orders = append(orders, table.Done(now, id, 100)...)
			}
		}
		for _, account := range []string{"night-line", "clinic"} {
			mean := map[string]float64{"night-line": 0.3, "clinic": 0.01}[account]
			if random.Float64() < mean {
				id := fmt.Sprintf("%s %d", account, at)
				asked[id] = now
				order, others := table.Ask(now, ask(id, account, 5))
				orders = append(append(orders, order), others...)
			}
		}
		for _, order := range append(orders, table.Tick(now)...) {
			if order.Verdict != admission.Admitted {
				continue
			}
			answered++
			until[order.RequestID] = now.Add(500*time.Millisecond + time.Duration(random.IntN(1000))*time.Millisecond)
			if order.RequestID[:6] == "clinic" {
				waits = append(waits, now.Sub(asked[order.RequestID]))
			}
		}
	}
	slices.Sort(waits)
	require.Greater(t, len(waits), 30)
	require.Less(t, waits[len(waits)*95/100], 500*time.Millisecond)
	require.Greater(t, answered, 500)
}
