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

// TestLargePromptsOverManyEntries answers an account that asks for little more than half
// of its limit by few large prompts, spread at random over eight entry instances: they
// pass, and an account that asks for six times its limit still stays within the limit,
// the burst and one request for each entry instance in any window.
func TestLargePromptsOverManyEntries(t *testing.T) {
	const (
		entries, prompt = 8, 17_000
		limit, burst    = 60_000.0, 180_000.0
		window          = 8 * time.Second
	)
	for name, test := range map[string]struct {
		perSecond float64
		refused   float64 // largest share
	}{
		"half of the limit":      {0.55 * limit / prompt, 0.01},
		"six times half of that": {6 * 0.55 * limit / prompt, 1},
	} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(5, 6))
			var tables []*admission.Table
			for range entries {
				table := admission.New()
				table.SetServices(start, 1, []*service.File{{Name: "s", Accounts: []service.Account{
					{Name: "a", TokensPerSecond: limit, TokenBurst: burst},
				}}})
				table.SetEntries(start, entries)
				tables = append(tables, table)
			}
			var admitted []time.Duration
			asked, refused := 0, 0
			for at := time.Duration(0); at < time.Minute; at += 10 * time.Millisecond {
				now := start.Add(at)
				if at%time.Second == 0 {
					exchange(now, tables)
				}
				if at%(100*time.Millisecond) == 0 {
					borrow(now, tables, random)
				}
				if random.Float64() > test.perSecond/100 {
					continue
				}
				asked++
				id := fmt.Sprint(at)
				table := tables[random.IntN(entries)]
				order, _ := table.Ask(now, admission.Ask{RequestID: id, Service: "s", Account: "a", Tokens: prompt})
				if order.Verdict == admission.Refused {
					refused++
					continue
				}
				table.Done(now, id, prompt)
				admitted = append(admitted, at)
			}
			require.LessOrEqual(t, float64(refused), test.refused*float64(asked))
			for from := time.Duration(0); from < time.Minute-window; from += 100 * time.Millisecond {
				tokens := 0.0
				for _, at := range admitted {
					if at >= from && at < from+window {
						tokens += prompt
					}
				}
				require.LessOrEqual(t, tokens, limit*window.Seconds()+burst+entries*prompt, "from %s", from)
			}
		})
	}
}

// borrow lets entry instances in debt ask two others.
func borrow(now time.Time, tables []*admission.Table, random *rand.Rand) {
	for _, table := range tables {
		for _, debt := range table.Debts(now) {
			for range 2 {
				lent := tables[random.IntN(len(tables))].Lend(now, debt)
				debt.Tokens -= lent
				table.Borrowed(admission.Debt{Service: debt.Service, Account: debt.Account, Tokens: lent})
			}
		}
	}
}

// exchange tells every table what the others use.
func exchange(now time.Time, tables []*admission.Table) {
	for i, table := range tables {
		totals := membership.Totals{Entries: len(tables) - 1, ByAccount: map[string]membership.AccountUse{}}
		for j, other := range tables {
			for _, use := range other.Use(now) {
				if i == j {
					continue
				}
				sum := totals.ByAccount[use.Account]
				sum.Account = use.Account
				sum.TokensPerSecond += use.TokensPerSecond
				sum.RequestsPerSecond += use.RequestsPerSecond
				totals.ByAccount[use.Account] = sum
			}
		}
		table.Peers(now, totals)
	}
}
