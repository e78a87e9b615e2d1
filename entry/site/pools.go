package site

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/process/membership"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/request/quota"
)

const (
	// poolTimeout bounds the call to another instance's pool; peers of a region answer in a
	// few milliseconds.
	poolTimeout = 200 * time.Millisecond
	// startPeriod is the time to the first payment of a process and between those that follow
	// within startTime: pools of a fleet that starts together are empty.
	startPeriod = 100 * time.Millisecond
	startTime   = 2 * time.Second
	// longestFill bounds how long requests wait at the start of a process for the first
	// payments into pools: before, a fleet that starts together would be refused what it has.
	longestFill = 500 * time.Millisecond
	// unknownLimitRetry is when a request may come back whose account has no limit known
	// here yet: the configuration is being put into force.
	unknownLimitRetry = 100 * time.Millisecond
)

// grantQuery asks for a grant out of the pool of another instance.
type grantQuery struct {
	Account string       `cbor:"1,keyasint"`
	Cost    quota.Amount `cbor:"2,keyasint"`
	// Paid is what the asking instance earned of the limit since it paid last.
	Paid quota.Amount `cbor:"3,keyasint"`
	// Urgency is one more than the rank of the request, 0 for a request without a rank.
	Urgency int `cbor:"4,keyasint,omitempty"`
}

// poolOrder returns the instances whose pools are asked for an account's requests, the first
// that answers decides: the best of all, the best of another failure domain, the best of
// this one, and at last this instance itself. The best have the most memory, since where
// machines differ the processor grows with it, and among equals the highest rank for the
// account (rendezvous hashing, Thaler and Ravishankar, 1998). Instances that disagree on
// the order share the limit by what each of them pays.
func poolOrder(self membership.Member, candidates []membership.Member, account string) []membership.Member {
	first := bestPool(candidates, account, func(membership.Member) bool { return true })
	if first == nil {
		return []membership.Member{self}
	}
	elsewhere := bestPool(candidates, account, func(m membership.Member) bool {
		return m.FailureDomain != first.FailureDomain
	})
	home := bestPool(candidates, account, func(m membership.Member) bool {
		return m.FailureDomain == self.FailureDomain
	})
	var order []membership.Member
	for _, candidate := range []*membership.Member{first, elsewhere, home} {
		if candidate == nil || slices.Contains(order, *candidate) {
			continue
		}
		if candidate.PeerAddress == self.PeerAddress {
			break // its own pool always answers
		}
		order = append(order, *candidate)
	}
	return append(order, self)
}

// bestPool returns the best of the candidates that match, nil when there is none.
func bestPool(candidates []membership.Member, account string, matches func(membership.Member) bool) *membership.Member {
	var best *membership.Member
	for i := range candidates {
		c := &candidates[i]
		switch {
		case !matches(*c):
		case best == nil, c.MemoryMB > best.MemoryMB,
			c.MemoryMB == best.MemoryMB && poolRank(c, account) > poolRank(best, account):
			best = c
		}
	}
	return best
}

func poolRank(m *membership.Member, account string) uint64 {
	return xxhash.Sum64String(m.PeerAddress + "\x00" + account)
}

// poolCandidates returns the instances that may hold a pool: all that are known, without
// those that are known to be gone or to go.
func (s *Site) poolCandidates(now time.Time) []membership.Member {
	var candidates []membership.Member
	if !s.relay.Draining() {
		candidates = append(candidates, s.self())
	}
	for _, status := range s.members.Members(now) {
		lapsed := !status.Live && !status.Heard.IsZero()
		if !lapsed && !status.Absent && !status.Draining && !status.Leaving {
			candidates = append(candidates, status.Member)
		}
	}
	return candidates
}

// pools returns the pools of an account in the order in which they are asked, without those
// that did not answer of late.
func (s *Site) pools(account string) []membership.Member {
	order, found := (*s.poolOrders.Load())[account]
	if !found {
		order = poolOrder(s.self(), s.poolCandidates(time.Now()), account)
	}
	var reached []membership.Member
	for _, holder := range order {
		if !s.unreached.lately(holder.PeerAddress) {
			reached = append(reached, holder)
		}
	}
	return reached
}

// setEarners tells how many instances earn the limits. Before the store's list is known,
// and while it has no part, this instance earns nothing.
func (s *Site) setEarners() {
	s.mu.Lock()
	known := len(s.records) > 0
	s.mu.Unlock()
	switch {
	case known && s.own.HasPart(clock.Boot()):
		s.quota.SetEntries(time.Now(), s.entries())
	case known:
		s.quota.SetEntries(time.Now(), 0)
	}
}

// runPay pays what this instance earned of the limits of client accounts into the pools that
// it asks.
func (s *Site) runPay(ctx context.Context) error {
	wait := startPeriod
	var filling sync.Once
	var payments errgroup.Group
	defer func() { _ = payments.Wait() }() // payments return no error
	for {
		if err := clock.Sleep(ctx, wait); err != nil {
			return err
		}
		if s.view.Load() == nil {
			continue // nobody to pay is known yet
		}
		entries := s.entries()
		filling.Do(func() {
			// Those who start at the same time pay within another period.
			time.AfterFunc(startPeriod, func() { close(s.filled) })
		})
		if entries >= s.set.Quota.PooledFrom {
			// A pool that does not answer must not hold the next payment up.
			payments.Go(func() error {
				s.payPools(ctx)
				return nil
			})
		}
		if time.Since(s.started) > startTime {
			wait = quota.PayPeriod(entries)
		}
	}
}

// payPools makes one payment for all accounts.
func (s *Site) payPools(ctx context.Context) {
	now := time.Now()
	candidates := s.poolCandidates(now)
	orders := map[string][]membership.Member{}
	accounts := s.quota.Accounts()
	for _, account := range accounts {
		orders[account] = poolOrder(s.self(), candidates, account)
	}
	s.poolOrders.Store(&orders)
	payments := map[string]map[string]quota.Amount{}
	for _, account := range accounts {
		holder := s.pools(account)[0].PeerAddress
		if payments[holder] == nil {
			payments[holder] = map[string]quota.Amount{}
		}
		payments[holder][account] = s.quota.Earned(now, account)
	}
	ctx, cancel := context.WithTimeout(ctx, poolTimeout)
	defer cancel()
	var group errgroup.Group
	for holder, payment := range payments {
		if holder == s.set.AdvertisedPeers {
			s.receivePayment(payment)
			continue
		}
		group.Go(func() error {
			if _, err := s.askPeer(ctx, holder, query{Pay: payment}); err != nil && ctx.Err() != context.Canceled {
				s.poolLost(err, holder, "")
			}
			return nil
		})
	}
	// Every payment that fails leaves its own log line.
	_ = group.Wait()
}

func (s *Site) receivePayment(payment map[string]quota.Amount) {
	now := time.Now()
	for account, amount := range payment {
		s.quota.Pay(now, account, amount)
	}
}

// poolLost notes that the holder of a pool did not answer. What was paid with the call may
// have arrived, so that it is not paid again.
func (s *Site) poolLost(err error, address, account string) {
	s.unreached.note(address)
	s.members.Unanswered(time.Now(), address)
	s.poolsLost.Inc()
	s.part("limits").WithError(err).WithFields(logrus.Fields{"account": account, "peer": address}).
		Warn("limits: pool did not answer")
}

// askPools asks the pools of an account in their order and returns the one that decided.
func (s *Site) askPools(ctx context.Context, account string, cost quota.Amount, rank int) (decidedBy string, err error) {
	if err := s.awaitFill(ctx); err != nil {
		return "", err
	}
	for _, holder := range s.pools(account) {
		ask := grantQuery{Account: account, Cost: cost, Paid: s.quota.Earned(time.Now(), account), Urgency: rank + 1}
		if holder.PeerAddress == s.set.AdvertisedPeers {
			return holder.Instance, s.grant(ask).refusal()
		}
		limited, cancel := context.WithTimeout(ctx, poolTimeout)
		answered, err := s.askPeer(limited, holder.PeerAddress, query{Grant: &ask})
		cancel()
		switch {
		case ctx.Err() != nil:
			return holder.Instance, problem.New(problem.CallerGone, "%v", context.Cause(ctx))
		case err != nil:
			s.poolLost(err, holder.PeerAddress, account)
		case answered.Granted, answered.Refused:
			return holder.Instance, answered.refusal()
		}
	}
	return "", reply{}.refusal() // not reached: the last pool is this instance's own
}

// awaitFill waits for the first payments into pools at the start of a process.
func (s *Site) awaitFill(ctx context.Context) error {
	left := longestFill - time.Since(s.started)
	if left <= 0 {
		return nil
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-s.filled:
	case <-timer.C:
	case <-ctx.Done():
		return problem.New(problem.CallerGone, "%v", context.Cause(ctx))
	}
	return nil
}

// grant decides on a request out of the pool that this instance holds.
func (s *Site) grant(ask grantQuery) reply {
	now := time.Now()
	s.quota.Pay(now, ask.Account, ask.Paid)
	decision, known := s.quota.AskRanked(now, ask.Account, ask.Cost, ask.Urgency-1)
	switch {
	case !known:
		return reply{NotKnown: true} // the configuration here lags or is ahead
	case decision.Granted:
		return reply{Granted: true}
	}
	detail := fmt.Sprintf("account %s is over its limit: the pool of %s gets %.2f of it and holds %.0f",
		ask.Account, s.set.Instance, decision.Share, decision.Level)
	return reply{Refused: true, Detail: detail, RetryMS: decision.RetryAfter.Milliseconds()}
}

// refusal returns the error of a request that was not granted, nil for one that was.
func (r reply) refusal() error {
	switch {
	case r.Granted:
		return nil
	case r.Refused:
		return problem.New(problem.AccountLimit, "%s", r.Detail).After(time.Duration(r.RetryMS) * time.Millisecond)
	}
	return problem.New(problem.NotReady, "the limit of the account is not known here yet").After(unknownLimitRetry)
}
