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

// TestLargePromptsOverManyEntries sends a few large prompts at random to eight entry
// instances. An account that uses 0.55 of its limit must be served. An account that
// demands six times as much, from the start or suddenly, must stay within the stated
// tolerance in every window although peer reports arrive late.
func TestLargePromptsOverManyEntries(t *testing.T) {
	const (
		entries, prompt = 8, 17_000
		window          = 8 * time.Second
		slack, overrun  = 190_000.0, 0.1
	)
	for name, test := range map[string]struct {
		limit   float64
		jump    time.Duration // when the demand rises to six times as much
		refused float64       // largest allowed share of refused requests
	}{
		"half of the limit":                 {60_000, time.Hour, 0.01},
		"half of a large limit":             {360_000, time.Hour, 0.01},
		"over the limit from the start":     {60_000, 0, 1},
		"suddenly over the limit":           {60_000, 20 * time.Second, 1},
		"suddenly over a large limit":       {360_000, 20 * time.Second, 1},
		"over a large limit from the start": {360_000, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			allowed := (test.limit*window.Seconds()+test.limit)*(1+overrun) + slack
			burst := test.limit + 0.3*(allowed-test.limit*(window.Seconds()+1))
			random := rand.New(rand.NewPCG(5, 6))
			var tables []*admission.Table
			for range entries {
				table := admission.New()
				table.SetServices(start, 1, []*service.File{{Name: "s", Accounts: []service.Account{
					{Name: "a", TokensPerSecond: test.limit, TokenBurst: burst},
				}}})
				table.SetEntries(start, entries)
				tables = append(tables, table)
			}
			var admitted []time.Duration
			var reports []membership.Totals
			sent, refused := 0, 0
			for at := time.Duration(0); at < time.Minute; at += 2 * time.Millisecond {
				now := start.Add(at)
				if at%(1500*time.Millisecond) == 0 {
					for i, totals := range reports {
						tables[i].SetPeerUsage(now, totals) // reported at the previous exchange
					}
					reports = peerTotals(now, tables)
				}
				if at%(200*time.Millisecond) == 0 {
					borrow(now, tables, tables, random)
				}
				perSecond := 0.55 * test.limit / prompt
				if at >= test.jump {
					perSecond *= 6
				}
				if random.Float64() > perSecond/500 {
					continue
				}
				sent++
				id := fmt.Sprint(at)
				table := tables[random.IntN(entries)]
				ask := admission.Ask{RequestID: id, Service: "s", Account: "a", Tokens: prompt}
				order, _ := table.Admit(now, ask)
				if order.Verdict == admission.Refused {
					borrow(now, []*admission.Table{table}, tables, random)
					order, _ = table.Admit(now, ask)
				}
				if order.Verdict == admission.Refused {
					refused++
					continue
				}
				table.Done(now, id, prompt)
				admitted = append(admitted, at)
			}
			require.LessOrEqual(t, float64(refused), test.refused*float64(sent))
			most := 0.0
			for from := time.Duration(0); from < time.Minute-window; from += 100 * time.Millisecond {
				tokens := 0.0
				for _, at := range admitted {
					if at >= from && at < from+window {
						tokens += prompt
					}
				}
				most = max(most, tokens)
			}
			require.LessOrEqual(t, most, allowed)
			if test.jump == 0 {
				require.Greater(t, most, 0.8*test.limit*window.Seconds(), "the limit is used")
			}
		})
	}
}

// borrow lets each entry instance in debt borrow from three others.
func borrow(now time.Time, debtors, tables []*admission.Table, random *rand.Rand) {
	for _, table := range debtors {
		for _, debt := range table.Debts(now) {
			for range 3 {
				lent := tables[random.IntN(len(tables))].Lend(now, debt)
				debt.Tokens -= lent
				table.AddBorrowed(admission.Debt{Service: debt.Service, Account: debt.Account, Tokens: lent})
			}
		}
	}
}

// peerTotals returns for each table the total usage of the others.
func peerTotals(now time.Time, tables []*admission.Table) []membership.Totals {
	all := make([]membership.Totals, len(tables))
	for i := range tables {
		all[i] = membership.Totals{Entries: len(tables) - 1, ByAccount: map[string]membership.AccountUsage{}}
	}
	for j, other := range tables {
		for _, use := range other.Usage(now) {
			for i := range tables {
				if i == j {
					continue
				}
				sum := all[i].ByAccount[use.Account]
				sum.Account = use.Account
				sum.TokensPerSecond += use.TokensPerSecond
				sum.RequestsPerSecond += use.RequestsPerSecond
				all[i].ByAccount[use.Account] = sum
			}
		}
	}
	return all
}
