package admission

import (
	"sort"
	"time"
)

// lendShare is the part of what an entry instance has left that it lends at once, so that
// its own next request passes.
const lendShare = 0.7

// Debt is what an account used at this entry instance beyond its part of the limit.
type Debt struct {
	Service string
	Account string
	Tokens  float64
}

// Debts returns what accounts lack here for their next request, and other entry instances
// may lend. A few large requests leave one entry instance in debt while the parts of the
// others lie unused.
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
			if lack := 2*passing - a.tokens.bucket.level; lack > passing {
				debts = append(debts, Debt{Service: q.name, Account: name, Tokens: lack})
			}
		}
	}
	sort.Slice(debts, func(i, j int) bool { return debts[i].Account < debts[j].Account })
	return debts
}

// Lend takes tokens out of this entry instance's part for another one, up to what is
// asked for, and returns how many.
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

// Borrowed adds what another entry instance lent.
func (t *Table) Borrowed(debt Debt) {
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
