package admission

import (
	"sort"
	"time"
)

// lendShare is the fraction of its remaining tokens that an entry instance lends per call.
// The rest is kept so that its own next request is admitted.
const lendShare = 0.7

// Debt is the number of tokens that an account lacks at one entry instance for its next
// request.
type Debt struct {
	Service string
	Account string
	Tokens  float64
}

// Debts returns the accounts with too few tokens for their next request, sorted by account.
// Other entry instances may lend the tokens: a few large requests can leave one instance in
// debt while the shares of the others are unused.
func (t *Table) Debts(now time.Time) []Debt {
	t.mu.Lock()
	defer t.mu.Unlock()
	var debts []Debt
	for _, q := range t.services {
		for name, a := range q.accounts {
			if a.limits.TokensPerSecond <= 0 || a.removed {
				continue
			}
			t.updateRates(now, q, a)
			if missing := 2*passLevel - a.tokens.bucket.level; missing > passLevel {
				debts = append(debts, Debt{Service: q.name, Account: name, Tokens: missing})
			}
		}
	}
	sort.Slice(debts, func(i, j int) bool { return debts[i].Account < debts[j].Account })
	return debts
}

// Lend takes up to debt.Tokens tokens from this entry instance's share for another instance
// and returns the number taken.
func (t *Table) Lend(now time.Time, debt Debt) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	q, a := t.find(debt)
	if a == nil || a.limits.TokensPerSecond <= 0 {
		return 0
	}
	t.updateRates(now, q, a)
	lent := min(debt.Tokens, lendShare*a.tokens.bucket.level)
	if lent <= 0 {
		return 0
	}
	a.tokens.bucket.level -= lent
	return lent
}

// AddBorrowed adds tokens that another entry instance lent.
func (t *Table) AddBorrowed(debt Debt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, a := t.find(debt); a != nil {
		a.tokens.bucket.level += debt.Tokens
	}
}

func (t *Table) find(debt Debt) (*queue, *account) {
	q := t.services[debt.Service]
	if q == nil || q.removed {
		return nil, nil
	}
	return q, q.accounts[debt.Account]
}
