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

// Admit charges a request to its account. In a small fleet each entry instance enforces its
// part of the limit, in a large one a pool decides.
func (s *Site) Admit(ctx context.Context, id, account string, tokens, rank int) (decidedBy string, err error) {
	source := "part"
	if s.entries() >= s.settings.Quota.PooledFrom {
		var holder string
		holder, err = s.chargePools(ctx, account, quota.Amount{Requests: 1, Tokens: float64(tokens)}, rank)
		decidedBy, source = "pool "+holder, "pool"
		if holder == s.settings.Instance {
			source = "own_pool"
		}
	} else {
		decidedBy, err = ownPart, s.chargeOrBorrow(ctx, id, account, tokens)
	}
	s.metrics.GetOrCreateCounter(fmt.Sprintf("papayaport_limit_decisions_total{source=%q,granted=\"%t\"}", source, err == nil)).Inc()
	return decidedBy, err
}

// chargeOrBorrow charges this instance's part of a limit, and borrows from peers if the part is
// exhausted.
func (s *Site) chargeOrBorrow(ctx context.Context, id, account string, tokens int) error {
	ask := admission.Ask{RequestID: id, Service: accountsService, Account: account, Tokens: tokens}
	refusal := s.chargePart(ask)
	if refusal != nil && s.borrowForAccount(ctx, account) {
		refusal = s.chargePart(ask)
	}
	if refusal != nil {
		return refusal
	}
	return nil
}

// chargePart acquires a slot and releases it at once, since only rates are limited here.
func (s *Site) chargePart(ask admission.Ask) *problem.Error {
	order, _ := s.admission.Admit(time.Now(), ask)
	if order.Verdict == admission.Refused {
		return order.Problem
	}
	s.admission.Done(time.Now(), ask.RequestID, ask.Tokens)
	return nil
}
