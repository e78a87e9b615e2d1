package route

import "time"

// Preview is what Choose would say of a request now.
type Preview struct {
	Backend Backend
	// FirstToken is the estimated time to the first token, at the wanted quantile, and Whole
	// that to the end of the answer.
	FirstToken, Whole time.Duration
	// Margin is the part of both that is there because estimates err, and Wait the part that is
	// the work of other requests at the server.
	Margin, Wait time.Duration
}

// Preview estimates a request at the server that Choose would take, without a place at the
// server or in the limit that it named. Nothing is known when only servers are left that are a
// last resort: their estimates say little, since what barred them may be over.
func (t *Table) Preview(now time.Time, request Request) (preview Preview, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	policy := t.policy
	if turns, ok := policy.(*roundRobin); ok {
		turn := *turns // asking takes no turn
		policy = &turn
	}
	picked, lastResort, err := t.pick(now, request, policy)
	if err != nil || lastResort {
		return Preview{}, false
	}
	answer := time.Duration(max(request.AnswerTokens-1, 0)) * picked.BetweenTokens
	b := picked.backend
	alone := b.speed.prefillTime(max(request.PromptTokens-picked.CachedTokens, 0)) + picked.BetweenTokens + b.trip
	return Preview{
		Backend: b.Backend, FirstToken: picked.FirstToken, Whole: picked.FirstToken + answer,
		Margin: max(picked.FirstToken-picked.mean, 0), Wait: max(picked.mean-alone, 0),
	}, true
}
