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
	// borrowPeriod is the interval at which the debts of client accounts are checked.
	borrowPeriod = 200 * time.Millisecond
	// maxLenders is the number of peers that are queried for one debt at a time.
	maxLenders = 3
	// lendTimeout bounds the query to one lender.
	lendTimeout = 300 * time.Millisecond
)

// runBorrow covers the debts of client accounts with tokens from the parts of other entry
// instances.
func (s *Site) runBorrow(ctx context.Context) error {
	return clock.Every(ctx, borrowPeriod, func(ctx context.Context, now time.Time) {
		for _, debt := range s.admission.Debts(now) {
			s.borrowFor(ctx, debt)
		}
	})
}

// borrowForAccount borrows for the debt of one client account before a request is rejected. It
// reports whether any tokens were lent.
func (s *Site) borrowForAccount(ctx context.Context, account string) bool {
	for _, debt := range s.admission.Debts(time.Now()) {
		if debt.Account == account {
			return s.borrowFor(ctx, debt)
		}
	}
	return false
}

// borrowFor borrows the tokens that an account lacks from a few peers, and reports whether any
// were lent. If none has tokens left, the account is taken to be over its limit everywhere, and
// no peer is queried for borrowPeriod.
func (s *Site) borrowFor(ctx context.Context, debt admission.Debt) bool {
	now := time.Now()
	if now.Sub(s.lendRefusals.last(debt.Account)) < borrowPeriod {
		return false
	}
	peers := s.members.Live(now)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	total := 0.0
	for _, lender := range peers[:min(maxLenders, len(peers))] {
		if total >= debt.Tokens {
			break
		}
		request := admission.Debt{Service: debt.Service, Account: debt.Account, Tokens: debt.Tokens - total}
		request.Tokens = s.borrow(ctx, lender.PeerAddress, request)
		s.admission.AddBorrowed(request)
		total += request.Tokens
	}
	if total <= 0 {
		s.lendRefusals.record(now, debt.Account)
	}
	return total > 0
}

// lendRefusals records when no peer lent to a client account.
type lendRefusals struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (d *lendRefusals) last(account string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.at[account]
}

func (d *lendRefusals) record(now time.Time, account string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.at == nil {
		d.at = map[string]time.Time{}
	}
	d.at[account] = now
}

// borrow borrows from one peer and returns the number of tokens lent. If the reply is lost, the
// lent tokens are lost too.
func (s *Site) borrow(ctx context.Context, address string, debt admission.Debt) float64 {
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	response, err := s.queryPeer(ctx, address, query{Lend: &debt})
	if err != nil {
		s.logger("limits").WithError(err).Debug("limits: peer did not answer")
		return 0
	}
	return response.Lent
}
