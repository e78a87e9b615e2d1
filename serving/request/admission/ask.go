package admission

import (
	"math"
	"time"

	"papayaport.dev/serving/process/problem"
)

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// runTimeWeight is the weight of a new sample in the exponentially weighted mean run time.
	runTimeWeight = 0.1
)

// Admit decides on a new request. The second result holds the decisions on queued requests
// that were admitted or evicted by this call. For a request that is already queued or
// running it returns the current state.
func (t *Table) Admit(now time.Time, ask Ask) (Decision, []Decision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.requests[ask.RequestID]; known != nil {
		if known.running {
			return Decision{RequestID: ask.RequestID, Verdict: Admitted}, nil
		}
		return Decision{RequestID: ask.RequestID, Verdict: Waiting}, nil
	}
	q := t.services[ask.Service]
	if q == nil || q.removed {
		return refuse(ask.RequestID, problem.New(problem.UnknownService, "service %s is not configured", ask.Service)), nil
	}
	a := q.accounts[ask.Account]
	if a == nil || a.removed {
		return refuse(ask.RequestID, problem.New(problem.Forbidden, "account %s may not use service %s", ask.Account, ask.Service)), nil
	}
	a.requests.demand.add(now, 1)
	a.tokens.demand.add(now, float64(ask.Tokens))
	if wait := t.rateDelay(now, q, a, float64(ask.Tokens)); wait > 0 {
		err := problem.New(problem.AccountLimit, "account %s is over its rate for service %s", ask.Account, ask.Service)
		return refuse(ask.RequestID, err.WithRetryAfter(clampRetry(wait))), nil
	}
	i := &item{Ask: ask, queue: q, account: a, arrived: now}
	return t.admitOrQueue(now, i)
}

// admitOrQueue admits, queues or refuses a request that is within its account's rates.
func (t *Table) admitOrQueue(now time.Time, i *item) (Decision, []Decision) {
	q := i.queue
	if !i.Deadline.IsZero() && now.Add(t.expectedDuration(now, i)).After(i.Deadline) {
		return refuse(i.RequestID, q.deadlineError(i)), nil
	}
	var others []Decision
	if q.waiting >= q.limit {
		victim := q.evictionCandidate(i)
		err := problem.New(problem.QueueFull, "%d requests wait for service %s", q.waiting, q.name).WithRetryAfter(q.retryAfter())
		if victim == i {
			return refuse(i.RequestID, err), nil
		}
		q.remove(now, victim)
		delete(t.requests, victim.RequestID)
		victim.account.refund(victim)
		others = append(others, refuse(victim.RequestID, err))
	}
	i.account.charge(i)
	t.requests[i.RequestID] = i
	q.push(now, i)
	order := Decision{RequestID: i.RequestID, Verdict: Waiting}
	for _, other := range t.admitWaiting(now, q) {
		if other.RequestID == i.RequestID {
			order = other
			continue
		}
		others = append(others, other)
	}
	return order, others
}

// expectedDuration estimates the time until a new request ends, including its wait in the
// queue.
func (t *Table) expectedDuration(now time.Time, i *item) time.Duration {
	q, fleet := i.queue, t.fleet(now)
	ahead := q.ahead(i)
	if ahead == 0 && q.running < q.capacity(fleet) && t.belowConcurrency(now, q, i.account, fleet) {
		return q.runTime(now, i)
	}
	return q.runTime(now, i) + q.waitTime(ahead)
}

func refuse(id string, err *problem.Error) Decision {
	return Decision{RequestID: id, Verdict: Refused, Problem: err}
}

// rateDelay returns the time until the account's rate limits allow a request with the given
// number of tokens, 0 if they allow it now.
func (t *Table) rateDelay(now time.Time, q *queue, a *account, tokens float64) time.Duration {
	t.updateRates(now, q, a)
	wait := time.Duration(0)
	if a.limits.RequestsPerSecond > 0 {
		wait = a.requests.delay(1)
	}
	if a.limits.TokensPerSecond > 0 {
		wait = max(wait, a.tokens.delay(tokens))
	}
	return wait
}

// updateRates recomputes this entry instance's shares of the account's rate limits.
func (t *Table) updateRates(now time.Time, q *queue, a *account) {
	peers, fleet := t.peerUsage(now, q, a.limits.Name), t.fleet(now)
	if limit := a.limits.RequestsPerSecond; limit > 0 {
		a.requests.update(now, fleet, limit, peers.RequestsPerSecond, 0)
	}
	if limit := a.limits.TokensPerSecond; limit > 0 {
		a.tokens.update(now, fleet, limit, peers.TokensPerSecond, a.limits.TokenBurst)
	}
}

// charge takes the cost of a request from its account's buckets.
func (a *account) charge(i *item) {
	a.requests.bucket.level--
	a.tokens.bucket.level -= float64(i.Tokens)
}

// refund reverses charge for a request that did not run.
func (a *account) refund(i *item) {
	a.requests.bucket.level++
	a.tokens.bucket.level += float64(i.Tokens)
}

// admitWaiting admits queued requests while the service has capacity.
func (t *Table) admitWaiting(now time.Time, q *queue) []Decision {
	var orders []Decision
	fleet := t.fleet(now)
	for q.waiting > 0 && q.running < q.capacity(fleet) {
		a := q.nextAccount(now, func(a *account) bool { return t.belowConcurrency(now, q, a, fleet) })
		if a == nil {
			break
		}
		i := a.waiting[0]
		q.remove(now, i)
		q.admit(now, i)
		orders = append(orders, Decision{RequestID: i.RequestID, Verdict: Admitted})
	}
	return orders
}

// capacity returns the number of requests of a service that this entry instance may run: an
// even share of the backend servers' slots, or the slots not used by peers if that is more.
func (q *queue) capacity(f fleet) int {
	if q.slots == unlimitedSlots {
		return math.MaxInt
	}
	total := int(math.Ceil(slotFactor * float64(q.slots)))
	even := (total + f.listed - 1) / f.listed
	return max(even, total-q.peersRunning)
}

// belowConcurrency reports whether an account may run one more request here: its running
// requests must be below this instance's share of the limit and, together with the usage
// reported by peers, below the limit. The share is at least one. While demand stays at the
// same instances, the total is at most the limit plus one per entry instance. When demand
// moves to other instances, requests still running at the earlier ones come on top until
// they are reported.
func (t *Table) belowConcurrency(now time.Time, q *queue, a *account, f fleet) bool {
	limit := a.limits.Concurrency
	if limit <= 0 {
		return true
	}
	peers := t.peerUsage(now, q, a.limits.Name)
	share := int(float64(limit) * f.fraction(a.requests.demand.minimum(now, minimumSteps), peers.RequestsPerSecond))
	return a.running < max(share, 1) && a.running+peers.InFlight < limit
}
