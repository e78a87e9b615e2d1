package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/membership"
	"papayaport.dev/serving/request/admission"
	"papayaport.dev/serving/request/quota"
	"papayaport.dev/serving/version/service"
)

// smallFleet holds the shares of one account's requests at eight entry instances. They are
// uneven because the load balancer chooses by a hash of the caller.
var smallFleet = []float64{0.3, 0.2, 0.15, 0.1, 0.1, 0.07, 0.05, 0.03}

// limiter enforces the limit of an account at all instances.
type limiter interface {
	// advance runs the periodic exchanges that are due.
	advance(at time.Duration)
	admit(at time.Duration, entry int, tokens float64) bool
}

// poolLimiter uses the pool of the first instance.
type poolLimiter struct{ tables []*quota.Table }

func newPoolLimiter(limit float64) *poolLimiter {
	p := &poolLimiter{}
	for range smallFleet {
		table := quota.New()
		table.SetEntries(start, len(smallFleet))
		table.SetLimits(start, 1, limits(limit))
		p.tables = append(p.tables, table)
	}
	return p
}

func (p *poolLimiter) advance(at time.Duration) {
	if at%quota.DepositPeriod(len(smallFleet)) == 0 {
		for _, table := range p.tables {
			p.tables[0].Deposit(start.Add(at), account, table.Withdraw(start.Add(at), account))
		}
	}
}

func (p *poolLimiter) admit(at time.Duration, entry int, tokens float64) bool {
	now := start.Add(at)
	p.tables[0].Deposit(now, account, p.tables[entry].Withdraw(now, account))
	decision, known := p.tables[0].Charge(now, account, quota.Amount{Requests: 1, Tokens: tokens})
	return known && decision.Granted
}

// partLimiter divides the limit by the demand that peers report each second, and lets an
// instance borrow from three others before it refuses a request.
type partLimiter struct {
	tables []*admission.Table
	random *rand.Rand
	next   int
}

func newPartLimiter(limit float64) *partLimiter {
	p := &partLimiter{random: rand.New(rand.NewPCG(1, 8))}
	for range smallFleet {
		table := admission.New()
		table.SetServices(start, 1, []*service.File{{
			Name: account, Queue: service.Queue{MaxRequests: 1},
			Accounts: []service.Account{{Name: account, TokensPerSecond: limit, TokenBurst: limit + 0.3*tolerance(limit)}},
		}})
		table.SetEntries(start, len(smallFleet))
		p.tables = append(p.tables, table)
	}
	return p
}

func (p *partLimiter) advance(at time.Duration) {
	if at%time.Second != 0 {
		return
	}
	now := start.Add(at)
	uses := make([][]membership.AccountUsage, len(p.tables))
	for i, table := range p.tables {
		uses[i] = table.Usage(now)
	}
	for i, table := range p.tables {
		totals := membership.Totals{Entries: len(p.tables) - 1, ByAccount: map[string]membership.AccountUsage{}}
		for j, reported := range uses {
			for _, use := range reported {
				if i == j {
					continue
				}
				sum := totals.ByAccount[use.Account]
				sum.RequestsPerSecond += use.RequestsPerSecond
				sum.TokensPerSecond += use.TokensPerSecond
				totals.ByAccount[use.Account] = sum
			}
		}
		table.SetPeerUsage(now, totals)
	}
}

func (p *partLimiter) admit(at time.Duration, entry int, tokens float64) bool {
	now, table := start.Add(at), p.tables[entry]
	ask := func() bool {
		p.next++
		id := fmt.Sprint(p.next)
		order, _ := table.Admit(now, admission.Ask{RequestID: id, Service: account, Account: account, Tokens: int(tokens)})
		if order.Verdict == admission.Refused {
			return false
		}
		table.Done(now, id, int(tokens))
		return true
	}
	if ask() {
		return true
	}
	for _, debt := range table.Debts(now) {
		for _, lender := range p.random.Perm(len(p.tables))[:3] {
			if lender != entry {
				lent := debt
				lent.Tokens = p.tables[lender].Lend(now, debt)
				table.AddBorrowed(lent)
			}
		}
	}
	return ask()
}

// TestAccountBelowItsLimitInASmallFleet guards against refusals for a large account that uses
// most of its limit through a few instances of a small fleet. The method that DefaultPooledFrom
// selects must refuse less than 1 % of its requests.
func TestAccountBelowItsLimitInASmallFleet(t *testing.T) {
	refused := func(l limiter, limit, demand float64) float64 {
		random := rand.New(rand.NewPCG(7, 8))
		asked, refused := 0, 0
		for at := time.Duration(0); at < 60*time.Second; at += step {
			l.advance(at)
			expected := demand * limit / prompt * step.Seconds()
			for left := random.ExpFloat64(); left < expected; left += random.ExpFloat64() {
				entry, draw := 0, random.Float64()
				for draw > smallFleet[entry] && entry < len(smallFleet)-1 {
					draw -= smallFleet[entry]
					entry++
				}
				granted := l.admit(at, entry, prompt*min(random.ExpFloat64(), 5))
				if at < 5*time.Second {
					continue // pools start empty
				}
				asked++
				if !granted {
					refused++
				}
			}
		}
		return float64(refused) / float64(asked)
	}
	for _, limit := range []float64{360_000, 1_000_000} {
		for _, demand := range []float64{0.5, 0.75} {
			t.Run(fmt.Sprintf("limit %.0f, demand %.2f", limit, demand), func(t *testing.T) {
				inParts, inPools := refused(newPartLimiter(limit), limit, demand), refused(newPoolLimiter(limit), limit, demand)
				t.Logf("refused: %.3f in parts, %.3f in pools", inParts, inPools)
				used := inParts
				if len(smallFleet) >= quota.DefaultPooledFrom {
					used = inPools
				}
				require.Less(t, used, 0.01)
			})
		}
	}
}
