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
	// poolTimeout bounds a call to another instance's pool. Peers in a region answer in a few
	// milliseconds.
	poolTimeout = 200 * time.Millisecond
	// startPayPeriod is the delay before the first payment of a process and the interval of
	// payments within startPayDuration, since the pools of a fleet that starts together are empty.
	startPayPeriod   = 100 * time.Millisecond
	startPayDuration = 2 * time.Second
	// maxFirstPaymentWait bounds how long requests wait at the start of a process for the first
	// payments into pools. Without the wait, a fleet that starts together would reject requests
	// that are within the limit.
	maxFirstPaymentWait = 500 * time.Millisecond
	// unknownLimitRetry is the Retry-After of a request whose account's limit is not known here
	// yet, since the configuration is being applied.
	unknownLimitRetry = 100 * time.Millisecond
)

// grantQuery requests a grant from the pool of another instance.
type grantQuery struct {
	Account string       `cbor:"1,keyasint"`
	Cost    quota.Amount `cbor:"2,keyasint"`
	// Paid is the part of the limit that the querying instance accrued since its last payment.
	Paid quota.Amount `cbor:"3,keyasint"`
	// Urgency is the rank of the request plus one, 0 for a request without a rank.
	Urgency int `cbor:"4,keyasint,omitempty"`
}

// poolOrder returns the instances whose pools are queried for an account's requests, in order;
// the first that answers decides. They are the best candidate of all, the best of another
// failure domain, the best of self's domain, and finally self. The best candidate has the most
// memory, since larger machines have more CPU, and among equals the highest rendezvous hash for
// the account (Thaler and Ravishankar, 1998). If instances disagree on the order, the limit is
// divided between pools in proportion to the payments.
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
			break // the own pool always answers
		}
		order = append(order, *candidate)
	}
	return append(order, self)
}

// bestPool returns the best of the matching candidates, nil when there is none.
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

// poolCandidates returns the instances that may hold a pool: all known instances except those that
// are known to be gone or leaving.
func (s *Site) poolCandidates(now time.Time) []membership.Member {
	var candidates []membership.Member
	if !s.relay.Draining() {
		candidates = append(candidates, s.self())
	}
	for _, status := range s.members.Members(now) {
		lapsed := !status.Live && !status.LastHeartbeat.IsZero()
		if !lapsed && !status.Unreachable && !status.Draining && !status.Leaving {
			candidates = append(candidates, status.Member)
		}
	}
	return candidates
}

// pools returns the holders of an account's pools in order of preference, without those that
// recently failed to answer.
func (s *Site) pools(account string) []membership.Member {
	order, found := (*s.poolOrders.Load())[account]
	if !found {
		order = poolOrder(s.self(), s.poolCandidates(time.Now()), account)
	}
	var reached []membership.Member
	for _, holder := range order {
		if !s.unreachable.isRecent(holder.PeerAddress) {
			reached = append(reached, holder)
		}
	}
	return reached
}

// setQuotaEntries sets the number of instances among which the limits accrue. This instance
// accrues nothing before the store's list is known, and while it has no part.
func (s *Site) setQuotaEntries() {
	s.mu.Lock()
	known := len(s.records) > 0
	s.mu.Unlock()
	switch {
	case known && s.own.Usable(clock.Boot()):
		s.quota.SetEntries(time.Now(), s.entries())
	case known:
		s.quota.SetEntries(time.Now(), 0)
	}
}

// runPayments periodically pays the accrued parts of the limits of client accounts into the
// pools that this instance queries.
func (s *Site) runPayments(ctx context.Context) error {
	wait := startPayPeriod
	var filling sync.Once
	var payments errgroup.Group
	defer func() { _ = payments.Wait() }() // payments return no error
	for {
		if err := clock.Sleep(ctx, wait); err != nil {
			return err
		}
		if s.view.Load() == nil {
			continue // no pool holder is known yet
		}
		entries := s.entries()
		filling.Do(func() {
			// Instances that start at the same time pay within another period.
			time.AfterFunc(startPayPeriod, func() { close(s.firstPaid) })
		})
		if entries >= s.settings.Quota.PooledFrom {
			// An unresponsive pool must not delay the next payment.
			payments.Go(func() error {
				s.payPools(ctx)
				return nil
			})
		}
		if time.Since(s.started) > startPayDuration {
			wait = quota.DepositPeriod(entries)
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
		payments[holder][account] = s.quota.Withdraw(now, account)
	}
	ctx, cancel := context.WithTimeout(ctx, poolTimeout)
	defer cancel()
	var group errgroup.Group
	for holder, payment := range payments {
		if holder == s.settings.AdvertisedPeers {
			s.receivePayment(payment)
			continue
		}
		group.Go(func() error {
			if _, err := s.queryPeer(ctx, holder, query{Pay: payment}); err != nil && ctx.Err() != context.Canceled {
				s.recordPoolFailure(err, holder, "")
			}
			return nil
		})
	}
	// recordPoolFailure logs each failure.
	_ = group.Wait()
}

func (s *Site) receivePayment(payment map[string]quota.Amount) {
	now := time.Now()
	for account, amount := range payment {
		s.quota.Deposit(now, account, amount)
	}
}

// recordPoolFailure records that the holder of a pool did not answer. The payment of the call
// is not repeated, since it may have arrived.
func (s *Site) recordPoolFailure(err error, address, account string) {
	s.unreachable.add(address)
	s.members.MarkUnanswered(time.Now(), address)
	s.poolFailures.Inc()
	s.logger("limits").WithError(err).WithFields(logrus.Fields{"account": account, "peer": address}).
		Warn("limits: pool did not answer")
}

// chargePools queries the pools of an account in order and returns the instance that decided.
func (s *Site) chargePools(ctx context.Context, account string, cost quota.Amount, rank int) (decidedBy string, err error) {
	if err := s.awaitFirstPayments(ctx); err != nil {
		return "", err
	}
	for _, holder := range s.pools(account) {
		ask := grantQuery{Account: account, Cost: cost, Paid: s.quota.Withdraw(time.Now(), account), Urgency: rank + 1}
		if holder.PeerAddress == s.settings.AdvertisedPeers {
			return holder.Instance, s.grant(ask).grantError()
		}
		limited, cancel := context.WithTimeout(ctx, poolTimeout)
		response, err := s.queryPeer(limited, holder.PeerAddress, query{Grant: &ask})
		cancel()
		switch {
		case ctx.Err() != nil:
			return holder.Instance, problem.New(problem.CallerGone, "%v", context.Cause(ctx))
		case err != nil:
			s.recordPoolFailure(err, holder.PeerAddress, account)
		case response.Granted, response.Refused:
			return holder.Instance, response.grantError()
		}
	}
	return "", reply{}.grantError() // unreachable: the last pool is this instance's own
}

// awaitFirstPayments waits for the first payments into pools at the start of a process.
func (s *Site) awaitFirstPayments(ctx context.Context) error {
	left := maxFirstPaymentWait - time.Since(s.started)
	if left <= 0 {
		return nil
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-s.firstPaid:
	case <-timer.C:
	case <-ctx.Done():
		return problem.New(problem.CallerGone, "%v", context.Cause(ctx))
	}
	return nil
}

// grant applies the payment of a query and decides on its request from the pool held here.
func (s *Site) grant(ask grantQuery) reply {
	now := time.Now()
	s.quota.Deposit(now, ask.Account, ask.Paid)
	decision, known := s.quota.ChargeRanked(now, ask.Account, ask.Cost, ask.Urgency-1)
	switch {
	case !known:
		return reply{NotKnown: true} // the configuration here is older or newer
	case decision.Granted:
		return reply{Granted: true}
	}
	detail := fmt.Sprintf("account %s is over its limit: the pool of %s gets %.2f of it and holds %.0f",
		ask.Account, s.settings.Instance, decision.Share, decision.Level)
	return reply{Refused: true, Detail: detail, RetryMS: decision.RetryAfter.Milliseconds()}
}

// grantError returns the error for a request that was not granted, nil if it was granted.
func (r reply) grantError() error {
	switch {
	case r.Granted:
		return nil
	case r.Refused:
		return problem.New(problem.AccountLimit, "%s", r.Detail).WithRetryAfter(time.Duration(r.RetryMS) * time.Millisecond)
	}
	return problem.New(problem.NotReady, "the limit of the account is not known here yet").WithRetryAfter(unknownLimitRetry)
}
