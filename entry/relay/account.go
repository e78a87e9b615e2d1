package relay

import (
	"context"
	"time"

	"papayaport.dev/serving/request/quota"
)

// quotaTokens returns the number of tokens that the request is charged against the rate limit
// of its account.
func (r *requestState) quotaTokens() int {
	if p := r.call.Prompt; p != nil {
		return p.PromptTokens + p.AnswerTokens
	}
	if r.account == nil {
		return 0
	}
	return r.account.PlainTokens
}

// checkQuota charges the request against the rate limits of its client account.
func (r *requestState) checkQuota(ctx context.Context) error {
	if !r.admitted && r.account != nil && (r.account.TokensPerSecond > 0 || r.account.RequestsPerSecond > 0) {
		var err error
		r.limitedBy, err = r.relay.Limiter.Admit(ctx, r.relay.attemptID(r.call), r.account.Name, r.quotaTokens(), r.quotaRank())
		if err != nil {
			return err
		}
	}
	r.relay.AdmissionObserver.Admitted(time.Now(), r.service, r.quotaTokens())
	return nil
}

// quotaRank returns the priority of the request among those of the same account, which share
// one limit. It is the route's priority, since the account's own is equal for all of them.
func (r *requestState) quotaRank() int {
	if r.call.Prompt == nil {
		return quota.Unranked
	}
	return max(r.route.Priority, 0)
}

func (r *requestState) priority() int {
	if r.account != nil && r.account.Priority != nil {
		return *r.account.Priority
	}
	return r.route.Priority
}

func (r *requestState) accountName() string {
	if r.account == nil {
		return ""
	}
	return r.account.Name
}
