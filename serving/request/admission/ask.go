package admission

import (
	"math"
	"time"

	"papayaport.dev/serving/process/problem"
)

const (
	shortestRetryAfter = 100 * time.Millisecond
	longestRetryAfter  = 30 * time.Second
	// runWeight is the weight of a new run time in the mean.
	runWeight = 0.1
)

// Ask decides on a new request. The second result holds orders for other requests, which
// had to give way. Asking again for a known request answers with its present state.
func (t *Table) Ask(now time.Time, ask Ask) (Order, []Order) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.requests[ask.RequestID]; known != nil {
		if known.running {
			return Order{RequestID: ask.RequestID, Verdict: Admitted}, nil
		}
		return Order{RequestID: ask.RequestID, Verdict: Waiting}, nil
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
	if wait := t.overRate(now, q, a, float64(ask.Tokens)); wait > 0 {
		err := problem.New(problem.AccountLimit, "account %s is over its rate for service %s", ask.Account, ask.Service)
		return refuse(ask.RequestID, err.After(clampRetry(wait))), nil
	}
	i := &item{Ask: ask, queue: q, account: a, arrived: now}
	return t.enter(now, i)
}

// enter admits a request that is within its account's rates, or queues it.
func (t *Table) enter(now time.Time, i *item) (Order, []Order) {
	q := i.queue
	if !i.Deadline.IsZero() && now.Add(t.expected(now, i)).After(i.Deadline) {
		return refuse(i.RequestID, q.infeasible(i)), nil
	}
	var others []Order
	if q.waiting >= q.limit {
		victim := q.cheapest(i)
		err := problem.New(problem.QueueFull, "%d requests wait for service %s", q.waiting, q.name).After(q.retryAfter())
		if victim == i {
			return refuse(i.RequestID, err), nil
		}
		q.remove(now, victim)
		delete(t.requests, victim.RequestID)
		victim.account.giveBack(victim)
		others = append(others, refuse(victim.RequestID, err))
	}
	i.account.take(i)
	t.requests[i.RequestID] = i
	q.push(now, i)
	order := Order{RequestID: i.RequestID, Verdict: Waiting}
	for _, other := range t.pump(now, q) {
		if other.RequestID == i.RequestID {
			order = other
			continue
		}
		others = append(others, other)
	}
	return order, others
}

// expected returns the time until a new request is likely to end.
func (t *Table) expected(now time.Time, i *item) time.Duration {
	q, fleet := i.queue, t.fleet(now)
	ahead := q.ahead(i)
	if ahead == 0 && q.running < q.room(fleet) && t.belowConcurrency(now, q, i.account, fleet) {
		return q.runTime(now, i)
	}
	return q.runTime(now, i) + q.waitTime(ahead)
}

// refuse returns the order that ends a request.
func refuse(id string, err *problem.Error) Order {
	return Order{RequestID: id, Verdict: Refused, Problem: err}
}

// overRate returns how long the account has to wait for its rates, 0 when it needn't.
func (t *Table) overRate(now time.Time, q *queue, a *account, tokens float64) time.Duration {
	t.updateRates(now, q, a)
	wait := time.Duration(0)
	if a.limits.RequestsPerSecond > 0 {
		wait = a.requests.missing(1)
	}
	if a.limits.TokensPerSecond > 0 {
		wait = max(wait, a.tokens.missing(tokens))
	}
	return wait
}

// updateRates computes the rates that an account may use here.
func (t *Table) updateRates(now time.Time, q *queue, a *account) {
	peers, fleet := t.peersUse(now, q, a.limits.Name), t.fleet(now)
	if limit := a.limits.RequestsPerSecond; limit > 0 {
		a.requests.update(now, fleet, limit, peers.RequestsPerSecond, 0)
	}
	if limit := a.limits.TokensPerSecond; limit > 0 {
		a.tokens.update(now, fleet, limit, peers.TokensPerSecond, a.limits.TokenBurst)
	}
}

// take charges a request to its account's buckets.
func (a *account) take(i *item) {
	a.requests.bucket.level--
	a.tokens.bucket.level -= float64(i.Tokens)
}

// giveBack returns the charge of a request that was not run.
func (a *account) giveBack(i *item) {
	a.requests.bucket.level++
	a.tokens.bucket.level += float64(i.Tokens)
}

// pump admits waiting requests while there is room.
func (t *Table) pump(now time.Time, q *queue) []Order {
	var orders []Order
	fleet := t.fleet(now)
	for q.waiting > 0 && q.running < q.room(fleet) {
		a := q.next(now, func(a *account) bool { return t.belowConcurrency(now, q, a, fleet) })
		if a == nil {
			break
		}
		i := a.waiting[0]
		q.remove(now, i)
		q.start(now, i)
		orders = append(orders, Order{RequestID: i.RequestID, Verdict: Admitted})
	}
	return orders
}

// room returns how many requests of a service this entry instance may run: an even part
// of the backend servers' slots, or what the others leave when that is more.
func (q *queue) room(f fleet) int {
	if q.slots == unlimitedSlots {
		return math.MaxInt
	}
	total := int(math.Ceil(slotFactor * float64(q.slots)))
	even := (total + f.listed - 1) / f.listed
	return max(even, total-q.peersRunning)
}

// belowConcurrency tells whether an account may run one more request here: within its
// share of the limit, and within the limit together with what the others reported. An
// entry instance that runs none may always run one. Over all entry instances this gives
// at most the limit and one for each of them while demand stays where it is; when demand
// moves, requests that were admitted elsewhere before come on top until they are reported.
func (t *Table) belowConcurrency(now time.Time, q *queue, a *account, f fleet) bool {
	limit := a.limits.Concurrency
	if limit <= 0 {
		return true
	}
	peers := t.peersUse(now, q, a.limits.Name)
	share := int(float64(limit) * f.fraction(a.requests.demand.lowest(now, lowSteps), peers.RequestsPerSecond))
	return a.running < max(share, 1) && a.running+peers.InFlight < limit
}
