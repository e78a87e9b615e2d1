package site

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/request/admission"
)

const (
	// borrowPeriod is the time between two looks at the debts of client accounts.
	borrowPeriod = 200 * time.Millisecond
	// lenders is the number of peers that are asked for one debt at a time.
	lenders = 3
	// lendTimeout bounds the call to one of them.
	lendTimeout = 300 * time.Millisecond
)

// runBorrow pays the debts of client accounts from the parts of other entry instances.
func (s *Site) runBorrow(ctx context.Context) error {
	return clock.Every(ctx, borrowPeriod, func(ctx context.Context, now time.Time) {
		for _, debt := range s.admission.Debts(now) {
			s.pay(ctx, debt)
		}
	})
}

// payOne pays the debt of one client account right before a request would be refused. It
// tells whether anything was lent.
func (s *Site) payOne(ctx context.Context, account string) bool {
	for _, debt := range s.admission.Debts(time.Now()) {
		if debt.Account == account {
			return s.pay(ctx, debt)
		}
	}
	return false
}

// pay asks a few peers to lend what an account lacks. While nobody has anything left,
// the account is over its limit everywhere, and nobody is asked for a while.
func (s *Site) pay(ctx context.Context, debt admission.Debt) bool {
	now := time.Now()
	if now.Sub(s.debts.refused(debt.Account)) < borrowPeriod {
		return false
	}
	peers := s.members.Live(now)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	total := 0.0
	for _, lender := range peers[:min(lenders, len(peers))] {
		if total >= debt.Tokens {
			break
		}
		asked := admission.Debt{Service: debt.Service, Account: debt.Account, Tokens: debt.Tokens - total}
		asked.Tokens = s.borrow(ctx, lender.PeerAddress, asked)
		s.admission.Borrowed(asked)
		total += asked.Tokens
	}
	if total <= 0 {
		s.debts.refuse(now, debt.Account)
	}
	return total > 0
}

// debtors remembers when nobody lent to a client account.
type debtors struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (d *debtors) refused(account string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.at[account]
}

func (d *debtors) refuse(now time.Time, account string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.at == nil {
		d.at = map[string]time.Time{}
	}
	d.at[account] = now
}

// borrow asks one peer. What it lent counts as lost when its answer is.
func (s *Site) borrow(ctx context.Context, address string, debt admission.Debt) float64 {
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	answered, err := s.askPeer(ctx, address, query{Lend: &debt})
	if err != nil {
		s.part("limits").WithError(err).Debug("limits: peer did not answer")
		return 0
	}
	return answered.Lent
}
