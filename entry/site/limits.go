package site

import (
	"context"
	"fmt"
	"time"

	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/request/admission"
	"papayaport.dev/serving/request/quota"
)

const (
	// accountsService is the service name under which admission holds the limits of client
	// accounts, which apply to all services together.
	accountsService = "accounts"
	// ownPart is the log value for decisions by this instance's part of a limit.
	ownPart = "own part"
)

// Admit charges a request to its account. In a small fleet each entry instance enforces its part of
// the limit, in a large one a pool decides.
func (s *Site) Admit(ctx context.Context, id, account string, tokens, rank int) (decidedBy string, err error) {
	source := "part"
	if s.entries() >= s.set.Quota.PooledFrom {
		var holder string
		holder, err = s.askPools(ctx, account, quota.Amount{Requests: 1, Tokens: float64(tokens)}, rank)
		decidedBy, source = "pool "+holder, "pool"
		if holder == s.set.Instance {
			source = "own_pool"
		}
	} else {
		decidedBy, err = ownPart, s.askPart(ctx, id, account, tokens)
	}
	s.meters.GetOrCreateCounter(fmt.Sprintf("papayaport_limit_decisions_total{source=%q,granted=\"%t\"}", source, err == nil)).Inc()
	return decidedBy, err
}

// askPart charges this instance's part of a limit, and borrows from peers if the part is exhausted.
func (s *Site) askPart(ctx context.Context, id, account string, tokens int) error {
	ask := admission.Ask{RequestID: id, Service: accountsService, Account: account, Tokens: tokens}
	refusal := s.chargePart(ask)
	if refusal != nil && s.payOne(ctx, account) {
		refusal = s.chargePart(ask)
	}
	if refusal != nil {
		return refusal
	}
	return nil
}

// chargePart acquires a slot and releases it at once, since only rates are limited here.
func (s *Site) chargePart(ask admission.Ask) *problem.Error {
	order, _ := s.admission.Ask(time.Now(), ask)
	if order.Verdict == admission.Refused {
		return order.Problem
	}
	s.admission.Done(time.Now(), ask.RequestID, ask.Tokens)
	return nil
}
