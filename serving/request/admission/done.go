package admission

import (
	"time"

	"papayaport.dev/serving/process/problem"
)

// Done notes the end of an admitted request with the prompt and answer tokens that it
// took, and returns orders for requests that waited.
func (t *Table) Done(now time.Time, id string, tokens int) []Order {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.requests[id]
	if i == nil || !i.running {
		return nil
	}
	t.end(i)
	q := i.queue
	q.learn(now, now.Sub(i.admitted), tokens)
	i.account.tokens.bucket.level += float64(i.Tokens - tokens)
	if tokens > i.Tokens {
		i.account.tokens.demand.add(now, float64(tokens-i.Tokens))
	}
	return t.pump(now, q)
}

// Abandon forgets a request whose caller is gone, whether it waits or runs, and returns
// orders for requests that waited.
func (t *Table) Abandon(now time.Time, id string) []Order {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.requests[id]
	if i == nil {
		return nil
	}
	if i.running {
		t.end(i)
		return t.pump(now, i.queue)
	}
	t.drop(now, i)
	return nil
}

// Tick refuses waiting requests that can't be answered in time any more and admits
// others as limits allow.
func (t *Table) Tick(now time.Time) []Order {
	t.mu.Lock()
	defer t.mu.Unlock()
	var orders []Order
	for _, q := range t.services {
		orders = append(orders, t.shed(now, q)...)
		orders = append(orders, t.pump(now, q)...)
	}
	return orders
}

// Waiting returns the number of waiting and of running requests of a service.
func (t *Table) Waiting(service string) (waiting, running int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.services[service]
	if q == nil {
		return 0, 0
	}
	return q.waiting, q.running
}

// end takes a running request out of the table.
func (t *Table) end(i *item) {
	delete(t.requests, i.RequestID)
	i.account.running--
	i.queue.running--
}

// drop takes a waiting request out of the table.
func (t *Table) drop(now time.Time, i *item) {
	i.queue.remove(now, i)
	i.account.giveBack(i)
	delete(t.requests, i.RequestID)
}

// shed refuses the waiting requests of a service that came too late or whose service or
// account is gone.
func (t *Table) shed(now time.Time, q *queue) []Order {
	var lost []*item
	for _, a := range q.accounts {
		for _, i := range a.waiting {
			if q.removed || a.removed || q.late(now, i) {
				lost = append(lost, i)
			}
		}
	}
	orders := make([]Order, 0, len(lost))
	for _, i := range lost {
		t.drop(now, i)
		orders = append(orders, refuse(i.RequestID, q.loss(i)))
	}
	return orders
}

// loss returns why a waiting request is given up.
func (q *queue) loss(i *item) *problem.Error {
	if q.removed || i.account.removed {
		return problem.New(problem.Forbidden, "account %s may not use service %s any more", i.Account, q.name)
	}
	return q.infeasible(i)
}

// infeasible returns the error of a request whose deadline can't be met.
func (q *queue) infeasible(i *item) *problem.Error {
	err := problem.New(problem.DeadlineInfeasible, "request of account %s would end after its deadline at service %s", i.Account, q.name)
	return err.After(q.retryAfter())
}

// late tells whether a request would miss its deadline even when it started now.
func (q *queue) late(now time.Time, i *item) bool {
	return !i.Deadline.IsZero() && now.Add(q.runTime(now, i)).After(i.Deadline)
}

// probePeriod is the time after which the mean run time of an idle service is not relied on.
const probePeriod = 250 * time.Millisecond

// learn takes in the run time of one request.
func (q *queue) learn(now time.Time, run time.Duration, tokens int) {
	q.learned = now
	if q.meanRun == 0 {
		q.meanRun, q.meanTokens = run, float64(tokens)
		return
	}
	q.meanRun += time.Duration(runWeight * float64(run-q.meanRun))
	q.meanTokens += runWeight * (float64(tokens) - q.meanTokens)
}

// runTime returns the expected time from admission to the end. Requests longer than the
// mean take as much longer; shorter ones are not counted on to be faster than half.
// A mean that nothing has renewed for a while tells of the past only; while nothing runs
// the next request is let through to learn it anew.
func (q *queue) runTime(now time.Time, i *item) time.Duration {
	if q.running == 0 && now.Sub(q.learned) > probePeriod {
		return 0
	}
	if q.meanTokens <= 0 {
		return q.meanRun
	}
	factor := min(max(float64(i.Tokens)/q.meanTokens, 0.5), 4)
	return time.Duration(factor * float64(q.meanRun))
}

// waitTime returns the time until the given number of requests were admitted and one
// more has its turn, at the rate at which running requests end.
func (q *queue) waitTime(ahead int) time.Duration {
	if q.running == 0 {
		return 0
	}
	return time.Duration(float64(q.meanRun) * float64(ahead+1) / float64(q.running))
}

// retryAfter returns when a request that comes back is likely to find room.
func (q *queue) retryAfter() time.Duration {
	return clampRetry(q.waitTime(q.waiting))
}

// clampRetry keeps a wait within sensible limits.
func clampRetry(wait time.Duration) time.Duration {
	return min(max(wait, shortestRetryAfter), longestRetryAfter)
}
