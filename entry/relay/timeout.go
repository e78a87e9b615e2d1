package relay

import (
	"time"

	"papayaport.dev/serving/request/route"
)

// responseTimeout returns how long an attempt may wait for its response before the request
// is retried on another backend server.
func (r *requestState) responseTimeout(choice route.Choice) time.Duration {
	return max(responseTimeoutTargets*r.route.Target, responseTimeoutEstimates*choice.FirstToken, minResponseTimeout)
}

// startStallTimer returns a timer that cancels the attempt when it expires, provided that a
// retry is allowed. An attempt that can't be retried stays in the server's queue until the
// deadline: under overload the retry budget is exhausted, and cancelling would only lose the
// response. Callers reset the timer to the timeout that applies.
func (r *requestState) startStallTimer(a *attempt, sent int) *time.Timer {
	var timer *time.Timer
	timer = time.AfterFunc(time.Hour, func() {
		a.observation.stalled(time.Now())
		if !r.route.MayRepeat() || sent >= r.route.MaxAttempts {
			return
		}
		if !r.relay.Budget.Take(time.Now(), r.service) {
			timer.Reset(budgetPollInterval)
			return
		}
		r.retryReserved.Store(true)
		a.cancel(errStalled)
	})
	return timer
}
