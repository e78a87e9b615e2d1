package relay

import (
	"time"

	"papayaport.dev/serving/request/route"
)

// silence returns how long an attempt may stay without an answer before it is repeated
// elsewhere.
func (r *run) silence(choice route.Choice) time.Duration {
	return max(silenceTargets*r.route.Target, silenceEstimates*choice.FirstToken, shortestSilence)
}

// watchSilence gives an attempt up when its timer ends, if another one may follow it. One
// that can't be repeated keeps its place at the server to the end: in an overload the
// budget is spent, and giving up would only lose the answer.
func (r *run) watchSilence(a *attempt, sent int) *time.Timer {
	var timer *time.Timer
	timer = time.AfterFunc(time.Hour, func() {
		a.observation.silent(time.Now())
		if !r.route.MayRepeat() || sent >= r.route.MaxAttempts {
			return
		}
		if !r.relay.Budget.Take(time.Now(), r.service) {
			timer.Reset(budgetPeriod)
			return
		}
		r.reserved.Store(true)
		a.cancel(errSilent)
	})
	return timer
}
