package admission

import (
	"time"

	"papayaport.dev/serving/process/problem"
)

// Done ends an admitted request that used the given number of prompt and answer tokens. It
// returns the decisions on queued requests that are admitted as a result.
func (t *Table) Done(now time.Time, id string, tokens int) []Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.requests[id]
	if i == nil || !i.running {
		return nil
	}
	t.end(i)
	q := i.queue
	q.recordRunTime(now, now.Sub(i.admitted), tokens)
	i.account.tokens.bucket.level += float64(i.Tokens - tokens)
	if tokens > i.Tokens {
		i.account.tokens.demand.add(now, float64(tokens-i.Tokens))
	}
	return t.admitWaiting(now, q)
}

// Abandon removes a waiting or running request whose caller disconnected. It returns the
// decisions on queued requests that are admitted as a result.
func (t *Table) Abandon(now time.Time, id string) []Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.requests[id]
	if i == nil {
		return nil
	}
	if i.running {
		t.end(i)
		return t.admitWaiting(now, i.queue)
	}
	t.drop(now, i)
	return nil
}

// Tick refuses waiting requests that can no longer meet their deadline and admits others as
// limits allow.
func (t *Table) Tick(now time.Time) []Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	var orders []Decision
	for _, q := range t.services {
		orders = append(orders, t.shed(now, q)...)
		orders = append(orders, t.admitWaiting(now, q)...)
	}
	return orders
}

// QueueCounts returns the numbers of waiting and running requests of a service.
func (t *Table) QueueCounts(service string) (waiting, running int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.services[service]
	if q == nil {
		return 0, 0
	}
	return q.waiting, q.running
}

// end removes a running request from the table.
func (t *Table) end(i *item) {
	delete(t.requests, i.RequestID)
	i.account.running--
	i.queue.running--
}

// drop removes a waiting request from the table and refunds its charge.
func (t *Table) drop(now time.Time, i *item) {
	i.queue.remove(now, i)
	i.account.refund(i)
	delete(t.requests, i.RequestID)
}

// shed refuses waiting requests that would miss their deadline or whose service or account
// was removed from the configuration.
func (t *Table) shed(now time.Time, q *queue) []Decision {
	var dropped []*item
	for _, a := range q.accounts {
		for _, i := range a.waiting {
			if q.removed || a.removed || q.missesDeadline(now, i) {
				dropped = append(dropped, i)
			}
		}
	}
	orders := make([]Decision, 0, len(dropped))
	for _, i := range dropped {
		t.drop(now, i)
		orders = append(orders, refuse(i.RequestID, q.refusalReason(i)))
	}
	return orders
}

// refusalReason returns the error for a waiting request that shed drops.
func (q *queue) refusalReason(i *item) *problem.Error {
	if q.removed || i.account.removed {
		return problem.New(problem.Forbidden, "account %s may not use service %s any more", i.Account, q.name)
	}
	return q.deadlineError(i)
}

// deadlineError returns the error for a request that can't meet its deadline.
func (q *queue) deadlineError(i *item) *problem.Error {
	err := problem.New(problem.DeadlineInfeasible, "request of account %s would end after its deadline at service %s", i.Account, q.name)
	return err.WithRetryAfter(q.retryAfter())
}

// missesDeadline reports whether a request would miss its deadline even if it started now.
func (q *queue) missesDeadline(now time.Time, i *item) bool {
	return !i.Deadline.IsZero() && now.Add(q.runTime(now, i)).After(i.Deadline)
}

// probePeriod is the time without a completed request after which the mean run time of an
// idle service is considered stale.
const probePeriod = 250 * time.Millisecond

// recordRunTime updates the mean run time and mean token count with one completed request.
func (q *queue) recordRunTime(now time.Time, run time.Duration, tokens int) {
	q.meansUpdatedAt = now
	if q.meanRunTime == 0 {
		q.meanRunTime, q.meanTokens = run, float64(tokens)
		return
	}
	q.meanRunTime += time.Duration(runTimeWeight * float64(run-q.meanRunTime))
	q.meanTokens += runTimeWeight * (float64(tokens) - q.meanTokens)
}

// runTime estimates the time from admission to the end of a request. It scales the mean run
// time by the number of tokens relative to the mean, by a factor from 0.5 to 4. If the mean
// is stale and nothing is running it returns 0, so that the next request is admitted and
// updates the mean; otherwise one slow period could lock the service out.
func (q *queue) runTime(now time.Time, i *item) time.Duration {
	if q.running == 0 && now.Sub(q.meansUpdatedAt) > probePeriod {
		return 0
	}
	if q.meanTokens <= 0 {
		return q.meanRunTime
	}
	factor := min(max(float64(i.Tokens)/q.meanTokens, 0.5), 4)
	return time.Duration(factor * float64(q.meanRunTime))
}

// waitTime estimates the time until a request with the given number of requests ahead of it
// is admitted, from the rate at which running requests end.
func (q *queue) waitTime(ahead int) time.Duration {
	if q.running == 0 {
		return 0
	}
	return time.Duration(float64(q.meanRunTime) * float64(ahead+1) / float64(q.running))
}

// retryAfter estimates the time until the queue has drained.
func (q *queue) retryAfter() time.Duration {
	return clampRetry(q.waitTime(q.waiting))
}

// clampRetry limits a wait to the range from minRetryAfter to maxRetryAfter.
func clampRetry(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
