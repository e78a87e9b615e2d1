package route

import "time"

// Preview is the estimate for a request at the server that Choose would select now.
type Preview struct {
	Backend Backend
	// Estimated times to the first token at the target's quantile, and to the last token.
	FirstToken, LastToken time.Duration
	// Margin is the safety margin contained in both, and Wait the part caused by other requests at
	// the server.
	Margin, Wait time.Duration
}

// Preview estimates a request at the server that Choose would select, without counting it against
// the server's rate limit. It returns false when only last resorts are left: their estimates are
// unreliable, since the reason for their ejection may be over.
func (t *Table) Preview(now time.Time, request Request) (preview Preview, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	policy := t.policy
	if turns, ok := policy.(*roundRobin); ok {
		turn := *turns // a copy, so that the preview takes no turn
		policy = &turn
	}
	picked, lastResort, err := t.pick(now, request, policy)
	if err != nil || lastResort {
		return Preview{}, false
	}
	answer := time.Duration(max(request.AnswerTokens-1, 0)) * picked.BetweenTokens
	b := picked.backend
	alone := b.speed.prefillTime(max(request.PromptTokens-picked.CachedTokens, 0)) + picked.BetweenTokens + b.rtt
	return Preview{
		Backend: b.Backend, FirstToken: picked.FirstToken, LastToken: picked.FirstToken + answer,
		Margin: max(picked.FirstToken-picked.mean, 0), Wait: max(picked.mean-alone, 0),
	}, true
}
