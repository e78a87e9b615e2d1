package relay

import (
	"context"
	"time"

	"papayaport.dev/serving/request/quota"
)

// tokens returns what the request counts as in the limit of its account.
func (r *run) tokens() int {
	if p := r.call.Prompt; p != nil {
		return p.PromptTokens + p.AnswerTokens
	}
	if r.account == nil {
		return 0
	}
	return r.account.PlainTokens
}

// admit checks the limits of the client account.
func (r *run) admit(ctx context.Context) error {
	if r.account != nil && (r.account.TokensPerSecond > 0 || r.account.RequestsPerSecond > 0) {
		var err error
		r.limitedBy, err = r.relay.Limiter.Admit(ctx, r.relay.attemptID(r.call), r.account.Name, r.tokens(), r.limitRank())
		if err != nil {
			return err
		}
	}
	r.relay.Intake.Admitted(time.Now(), r.service, r.tokens())
	return nil
}

// limitRank is the rank of the request among those of its account, which have one limit: the
// route's, since the account's own is the same for all of them.
func (r *run) limitRank() int {
	if r.call.Prompt == nil {
		return quota.Unranked
	}
	return max(r.route.Priority, 0)
}

func (r *run) priority() int {
	if r.account != nil && r.account.Priority != nil {
		return *r.account.Priority
	}
	return r.route.Priority
}

func (r *run) accountName() string {
	if r.account == nil {
		return ""
	}
	return r.account.Name
}
