package site

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/process/membership"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/request/admission"
)

const (
	// accountsService is the name under which admission holds the limits of client
	// accounts, which hold over all services.
	accountsService = "accounts"
	// keepers is the number of entry instances that are asked one after the other for an
	// account whose first keeper does not answer.
	keepers = 2
	// keeperTimeout bounds the call to one of them; peers of a region answer in a few
	// milliseconds.
	keeperTimeout = 200 * time.Millisecond
	// ownPart names this instance's part of a limit in the log.
	ownPart = "own part"
)

// Admit charges a request to its account. In a small fleet each entry instance has a part
// of the limit; in a large one a keeper has the whole.
func (s *Site) Admit(ctx context.Context, id, account string, tokens int) (decidedBy string, err error) {
	ask := admission.Ask{RequestID: id, Service: accountsService, Account: account, Tokens: tokens}
	if s.entries() >= s.set.Quota.KeptFrom {
		if keeper, err := s.askKeepers(ctx, ask); keeper != "" {
			return "keeper " + keeper, err
		}
	}
	refusal := charge(s.admission, ask)
	if refusal != nil && s.payOne(ctx, account) {
		refusal = charge(s.admission, ask)
	}
	if refusal != nil {
		return ownPart, refusal
	}
	return ownPart, nil
}

// charge asks a table and gives the place back at once: only rates are limited here.
func charge(table *admission.Table, ask admission.Ask) *problem.Error {
	order, _ := table.Ask(time.Now(), ask)
	if order.Verdict == admission.Refused {
		return order.Problem
	}
	table.Done(time.Now(), ask.RequestID, ask.Tokens)
	return nil
}

// askKeepers asks the keepers of an account in their order and returns the one that
// decided. Without an answer this instance falls back to its own part.
func (s *Site) askKeepers(ctx context.Context, ask admission.Ask) (decided string, err error) {
	for _, keeper := range s.keepersOf(ask.Account) {
		if keeper.PeerAddress == s.set.AdvertisedPeers {
			if refusal := charge(s.kept, ask); refusal != nil {
				return keeper.Instance, refusal
			}
			return keeper.Instance, nil
		}
		if s.unreached.lately(keeper.PeerAddress) {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, keeperTimeout)
		answered, err := s.askPeer(limited, keeper.PeerAddress, query{Admit: &ask})
		cancel()
		if err != nil {
			s.unreached.note(keeper.PeerAddress)
			s.part("limits").WithError(err).WithFields(logrus.Fields{"account": ask.Account, "keeper": keeper.Instance}).Warn("limits: keeper did not answer")
			continue
		}
		switch {
		case answered.NotKnown:
			continue
		case answered.Refused:
			return keeper.Instance, problem.New(problem.AccountLimit, "%s", answered.Detail).After(time.Duration(answered.RetryMS) * time.Millisecond)
		}
		return keeper.Instance, nil
	}
	return "", nil
}

// keepersOf returns the first entry instances in an account's order among those that the
// store lists, so that all agree without a call.
func (s *Site) keepersOf(account string) []membership.Member {
	s.mu.Lock()
	records := s.records
	s.mu.Unlock()
	listed := make([]membership.Member, len(records))
	for i, r := range records {
		listed[i] = membership.Member{Instance: r.instance, FailureDomain: r.FailureDomain, PeerAddress: r.PeerAddress}
	}
	listed = rendezvous(listed, account)
	return listed[:min(keepers, len(listed))]
}

// keep charges a request of another entry instance to an account that is kept here.
func (s *Site) keep(ask admission.Ask) reply {
	refusal := charge(s.kept, ask)
	switch {
	case refusal == nil:
		return reply{}
	case refusal.Kind != problem.AccountLimit:
		return reply{NotKnown: true} // the configuration here lags or is ahead
	}
	return reply{Refused: true, Detail: refusal.Detail, RetryMS: refusal.RetryAfter.Milliseconds()}
}
