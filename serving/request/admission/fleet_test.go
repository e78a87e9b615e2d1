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
	maxDelay    = 2000 // ms
	reportTTL   = 3 * time.Second
	lossShare   = 0.2
)

// fleet is a group of tables whose reports to each other are delayed and partly lost.
type fleet struct {
	random *rand.Rand
	tables []*admission.Table
	// received[i][j] is the last report that entry i received from entry j.
	received  [][]received
	inTransit []message
	// connected reports whether entry i can reach entry j at a time.
	connected func(at time.Duration, i, j int) bool
	// admitted holds the times of admitted requests, and perEntry their number by entry.
	admitted []time.Duration
	perEntry []int
	next     int
}

type received struct {
	at    time.Duration
	use   []membership.AccountUsage
	known bool
}

type message struct {
	from, to int
	due      time.Duration
	use      []membership.AccountUsage
}

func newFleet(seed uint64, limits service.Account, connected func(at time.Duration, i, j int) bool) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), connected: connected, perEntry: make([]int, fleetSize)}
	for range fleetSize {
		table := admission.New()
		table.SetServices(start, 1, []*service.File{{Name: "farewell-llm", Accounts: []service.Account{limits}}})
		table.SetEntries(start, fleetSize)
		f.tables = append(f.tables, table)
		f.received = append(f.received, make([]received, fleetSize))
	}
	return f
}

// run drives all tables for a duration. demand returns the requests per second at an entry.
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
				order, _ := table.Admit(now, admission.Ask{RequestID: id, Service: "farewell-llm", Account: "large", Tokens: 10})
				if order.Verdict == admission.Admitted {
					f.admitted = append(f.admitted, at)
					f.perEntry[i]++
					table.Done(now, id, 10)
				}
			}
		}
	}
}

// report sends an entry's usage to the others and passes the reports that it has received
// to its table.
func (f *fleet) report(at time.Duration, from int) {
	use := f.tables[from].Usage(start.Add(at))
	for to := range f.tables {
		if to == from || f.random.Float64() < lossShare || !f.connected(at, from, to) {
			continue
		}
		delay := time.Duration(f.random.IntN(maxDelay)) * time.Millisecond
		f.inTransit = append(f.inTransit, message{from, to, at + delay, use})
	}
	totals := membership.Totals{ByAccount: map[string]membership.AccountUsage{}}
	for _, r := range f.received[from] {
		if !r.known || at-r.at > reportTTL {
			continue
		}
		totals.Entries++
		for _, use := range r.use {
			sum := totals.ByAccount[use.Account]
			sum.RequestsPerSecond += use.RequestsPerSecond
			sum.InFlight += use.InFlight
			totals.ByAccount[use.Account] = sum
		}
	}
	f.tables[from].SetPeerUsage(start.Add(at), totals)
}

func (f *fleet) deliver(at time.Duration) {
	var kept []message
	for _, m := range f.inTransit {
		if m.due > at {
			kept = append(kept, m)
			continue
		}
		f.received[m.to][m.from] = received{at, m.use, true}
	}
	f.inTransit = kept
}

func poisson(random *rand.Rand, mean float64) int {
	count := 0
	for left := random.ExpFloat64(); left < mean; left += random.ExpFloat64() {
		count++
	}
	return count
}

// maxAdmitted returns the largest number of requests admitted within any window.
func (f *fleet) maxAdmitted(window time.Duration) int {
	most, first := 0, 0
	for last := range f.admitted {
		for f.admitted[last]-f.admitted[first] > window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestLimitsHoldOverAllEntries drives eight tables with reports that are up to two seconds
// late, and a fifth of them lost. In every window, the requests admitted by all entries must
// stay within the limit plus one second of it plus one request for each entry.
func TestLimitsHoldOverAllEntries(t *testing.T) {
	allConnected := func(time.Duration, int, int) bool { return true }
	halves := func(from, to time.Duration) func(time.Duration, int, int) bool {
		return func(at time.Duration, i, j int) bool { return at < from || at > to || i%2 == j%2 }
	}
	firstIsolated := func(from, to time.Duration) func(time.Duration, int, int) bool {
		return func(at time.Duration, i, j int) bool { return at < from || at > to || i != 0 && j != 0 }
	}
	even := func(time.Duration, int) float64 { return 20 }
	cases := map[string]struct {
		connected func(time.Duration, int, int) bool
		demand    func(time.Duration, int) float64
		// used is the smallest share of the limit that must be used over the whole run.
		used float64
	}{
		"even demand":             {allConnected, even, 0.8},
		"all demand at one entry": {allConnected, func(_ time.Duration, i int) float64 { return float64(i/7) * 160 }, 0.8},
		"demand moves": {allConnected, func(at time.Duration, i int) float64 {
			if int(at/(15*time.Second))%fleetSize == i {
				return 160
			}
			return 1
		}, 0.25},
		"sudden demand": {allConnected, func(at time.Duration, _ int) float64 { return float64(at/(20*time.Second)) * 20 }, 0.5},
		"pulses": {allConnected, func(at time.Duration, i int) float64 {
			if int(at/time.Second)%fleetSize == i {
				return 160
			}
			return 0
		}, 0.08},
		"partition into halves":              {halves(20*time.Second, 60*time.Second), even, 0.75},
		"partition into halves, one busy":    {halves(20*time.Second, 60*time.Second), func(_ time.Duration, i int) float64 { return float64((i+1)%2) * 40 }, 0.5},
		"busy entry isolated":                {firstIsolated(20*time.Second, 60*time.Second), func(_ time.Duration, i int) float64 { return 5 + float64((8-i)/8)*160 }, 0.5},
		"busy entry isolated from busy ones": {firstIsolated(20*time.Second, 60*time.Second), func(_ time.Duration, i int) float64 { return 20 + float64((8-i)/8)*140 }, 0.7},
		"all isolated":                       {func(at time.Duration, _, _ int) bool { return at < 20*time.Second }, even, 0.75},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(7, service.Account{Name: "large", RequestsPerSecond: fleetLimit}, c.connected)
			const duration = 100 * time.Second
			f.run(duration, c.demand)
			for _, window := range []time.Duration{time.Second, 5 * time.Second, 20 * time.Second} {
				bound := fleetLimit*(window+time.Second).Seconds() + fleetSize
				t.Logf("%s: %d admitted, bound %.0f", window, f.maxAdmitted(window), bound)
				require.LessOrEqual(t, float64(f.maxAdmitted(window)), bound)
			}
			used := float64(len(f.admitted)) / (fleetLimit * duration.Seconds())
			t.Logf("used %.2f of the limit", used)
			require.Greater(t, used, c.used)
		})
	}
}

// TestConcurrencyOverAllEntries keeps every admitted request running for 30 s and checks the
// number of concurrent requests, with even demand and with demand that moves every 20 s.
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

// runLong returns the largest number of concurrent requests and the number of ended ones.
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
		admit := func(entry int, orders ...admission.Decision) {
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
				order, others := table.Admit(now, admission.Ask{RequestID: fmt.Sprint(f.next), Service: "farewell-llm", Account: "large"})
				admit(i, append(others, order)...)
			}
			admit(i, table.Tick(now)...)
		}
		most = max(most, len(open))
	}
	return most, ended
}

// TestLargeAccountDoesNotStarveSmallOne guards against an account that demands three times
// the capacity of the backend servers and delays a small account of the same priority.
func TestLargeAccountDoesNotStarveSmallOne(t *testing.T) {
	table := newTable(8, nil)
	random := rand.New(rand.NewPCG(1, 1))
	askedAt, endsAt := map[string]time.Time{}, map[string]time.Time{}
	var waits []time.Duration
	answered := 0
	for at := time.Duration(0); at < time.Minute; at += 10 * time.Millisecond {
		now := start.Add(at)
		var orders []admission.Decision
		for id, end := range endsAt {
			if !now.Before(end) {
				delete(endsAt, id)
				orders = append(orders, table.Done(now, id, 100)...)
			}
		}
		for _, account := range []string{"night-line", "clinic"} {
			mean := map[string]float64{"night-line": 0.3, "clinic": 0.01}[account]
			if random.Float64() < mean {
				id := fmt.Sprintf("%s %d", account, at)
				askedAt[id] = now
				order, others := table.Admit(now, ask(id, account, 5))
				orders = append(append(orders, order), others...)
			}
		}
		for _, order := range append(orders, table.Tick(now)...) {
			if order.Verdict != admission.Admitted {
				continue
			}
			answered++
			endsAt[order.RequestID] = now.Add(500*time.Millisecond + time.Duration(random.IntN(1000))*time.Millisecond)
			if order.RequestID[:6] == "clinic" {
				waits = append(waits, now.Sub(askedAt[order.RequestID]))
			}
		}
	}
	slices.Sort(waits)
	require.Greater(t, len(waits), 30)
	require.Less(t, waits[len(waits)*95/100], 500*time.Millisecond)
	require.Greater(t, answered, 500)
}
