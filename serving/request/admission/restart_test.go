package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/membership"
	"papayaport.dev/serving/request/admission"
	"papayaport.dev/serving/version/service"
)

// TestLimitHoldsOverRestarts guards against a limit that is spent again after a restart,
// because the new processes have no record of the tokens already spent.
func TestLimitHoldsOverRestarts(t *testing.T) {
	const (
		entries, prompt = 8, 17_000
		window          = 8 * time.Second
		slack, overrun  = 190_000.0, 0.1
	)
	for name, restarted := range map[string]func(at time.Duration, i int) bool{
		"all at once":            func(at time.Duration, _ int) bool { return at == 20*time.Second },
		"all at once, and again": func(at time.Duration, _ int) bool { return at == 20*time.Second || at == 24*time.Second },
		"all at once, every 2 s": func(at time.Duration, _ int) bool {
			return at >= 20*time.Second && at < 28*time.Second && at%(2*time.Second) == 0
		},
		"one after the other": func(at time.Duration, i int) bool { return at == time.Duration(20+i)*time.Second },
	} {
		for _, limit := range []float64{60_000, 360_000, 1_300_000} {
			t.Run(fmt.Sprintf("%s, limit %.0f", name, limit), func(t *testing.T) {
				allowed := (limit*window.Seconds()+limit)*(1+overrun) + slack
				burst := limit + 0.3*(allowed-limit*(window.Seconds()+1))
				newTable := func(now time.Time) *admission.Table {
					table := admission.New()
					table.SetServices(now, 1, []*service.File{{Name: "s", Accounts: []service.Account{
						{Name: "a", TokensPerSecond: limit, TokenBurst: burst},
					}}})
					table.SetEntries(now, entries)
					return table
				}
				random := rand.New(rand.NewPCG(9, 6))
				tables := make([]*admission.Table, entries)
				for i := range tables {
					tables[i] = newTable(start)
				}
				var reports []membership.Totals
				var admitted []time.Duration
				for at := time.Duration(0); at < 40*time.Second; at += time.Millisecond {
					now := start.Add(at)
					for i := range tables {
						if restarted(at, i) {
							tables[i] = newTable(now)
						}
					}
					if at%(1500*time.Millisecond) == 0 {
						for i, totals := range reports {
							tables[i].SetPeerUsage(now, totals)
						}
						reports = peerTotals(now, tables)
					}
					if at%(200*time.Millisecond) == 0 {
						borrow(now, tables, tables, random)
					}
					if random.Float64() > 4*limit/prompt/1000 {
						continue
					}
					id := fmt.Sprint(at)
					table := tables[random.IntN(entries)]
					order, _ := table.Admit(now, admission.Ask{RequestID: id, Service: "s", Account: "a", Tokens: prompt})
					if order.Verdict == admission.Admitted {
						table.Done(now, id, prompt)
						admitted = append(admitted, at)
					}
				}
				most, first := 0, 0
				for last := range admitted {
					for admitted[last]-admitted[first] >= window {
						first++
					}
					most = max(most, last-first+1)
				}
				t.Logf("%.2f of the allowed tokens", float64(most)*prompt/allowed)
				require.LessOrEqual(t, float64(most)*prompt, allowed)
			})
		}
	}
}
