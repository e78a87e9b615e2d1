package admission

import (
	"sort"
	"time"

	"papayaport.dev/serving/version/service"
)

// queue is one service: its accounts, what waits and what runs.
type queue struct {
	name     string
	removed  bool
	limit    int
	ageing   time.Duration
	accounts map[string]*account

	waiting      int
	running      int
	slots        int
	peersRunning int

	// virtual is the virtual time of the account that was served last, in tokens.
	virtual float64
	// meanRun is the mean time from admission to the end, 0 when not known yet.
	meanRun time.Duration
	// learned is when the means were last renewed.
	learned time.Time
	// meanTokens is the mean number of tokens of the requests in meanRun.
	meanTokens float64
}

// account is one client account in one service.
type account struct {
	limits  service.Account
	removed bool
	running int
	// waiting holds the queued requests, the next one first.
	waiting []*item
	// headSince is when the first of waiting became the first. Only the first request of
	// an account ages, so that a long backlog does not outrank other accounts.
	headSince time.Time
	// virtual is the account's virtual time in tokens (start-time fair queueing, Goyal
	// et al., 1996).
	virtual float64

	requests limiter
	tokens   limiter
}

// item is one request that waits or runs.
type item struct {
	Ask
	queue    *queue
	account  *account
	arrived  time.Time
	admitted time.Time
	running  bool
}

// newQueue returns a service without accounts.
func newQueue(name string) *queue {
	return &queue{name: name, accounts: map[string]*account{}, slots: unlimitedSlots}
}

// configure puts the limits of a service file into force.
func (q *queue) configure(now time.Time, file *service.File) {
	q.removed = false
	q.limit = file.Queue.MaxRequests
	if q.limit <= 0 {
		q.limit = usualQueue
	}
	q.ageing = time.Duration(file.Queue.AgeingMS) * time.Millisecond
	if q.ageing <= 0 {
		q.ageing = usualAgeing
	}
	for _, a := range q.accounts {
		a.removed = true
	}
	for _, limits := range file.Accounts {
		a := q.accounts[limits.Name]
		if a == nil {
			a = &account{headSince: now}
			q.accounts[limits.Name] = a
		}
		a.limits, a.removed = limits, false
	}
	for name, a := range q.accounts {
		if a.removed && a.running == 0 && len(a.waiting) == 0 {
			delete(q.accounts, name)
		}
	}
}

// key orders the requests of one account: by arrival, an ageing time earlier for each
// priority.
func (i *item) key() time.Time {
	return i.arrived.Add(-time.Duration(i.Priority) * i.queue.ageing)
}

// push puts a request into its account's queue.
func (q *queue) push(now time.Time, i *item) {
	a := i.account
	if len(a.waiting) == 0 {
		a.headSince = now
		a.virtual = max(a.virtual, q.virtual)
	}
	at := sort.Search(len(a.waiting), func(n int) bool { return i.key().Before(a.waiting[n].key()) })
	a.waiting = append(a.waiting, nil)
	copy(a.waiting[at+1:], a.waiting[at:])
	a.waiting[at] = i
	q.waiting++
}

// remove takes a waiting request out of its account's queue.
func (q *queue) remove(now time.Time, i *item) {
	a := i.account
	for at, other := range a.waiting {
		if other != i {
			continue
		}
		copy(a.waiting[at:], a.waiting[at+1:])
		a.waiting[len(a.waiting)-1] = nil
		a.waiting = a.waiting[:len(a.waiting)-1]
		q.waiting--
		if at == 0 {
			a.headSince = now
		}
		return
	}
}

// level returns the priority of an account's first request with its ageing.
func (q *queue) level(now time.Time, a *account) int {
	return a.waiting[0].Priority + int(now.Sub(a.headSince)/q.ageing)
}

// next returns the account whose first request is to be admitted, among those that the
// filter lets pass: the highest level first, then the least virtual time.
func (q *queue) next(now time.Time, allowed func(*account) bool) *account {
	var best *account
	bestLevel := 0
	for _, a := range q.accounts {
		if len(a.waiting) == 0 || !allowed(a) {
			continue
		}
		level := q.level(now, a)
		if best == nil || level > bestLevel || (level == bestLevel && before(a, best)) {
			best, bestLevel = a, level
		}
	}
	return best
}

// before orders accounts of the same level.
func before(a, b *account) bool {
	if a.virtual != b.virtual {
		return a.virtual < b.virtual
	}
	return a.limits.Name < b.limits.Name
}

// start admits a request.
func (q *queue) start(now time.Time, i *item) {
	i.running, i.admitted = true, now
	i.account.running++
	q.running++
	q.virtual = max(q.virtual, i.account.virtual)
	i.account.virtual = max(i.account.virtual, q.virtual) + float64(i.Tokens)
}

// cheapest returns the waiting request whose loss costs least, compared with one that
// wants to wait: the lowest priority, then the account with most waiting, then the last
// in its account's order.
func (q *queue) cheapest(asking *item) *item {
	victim, held := asking, len(asking.account.waiting)+1
	for _, a := range q.accounts {
		if len(a.waiting) == 0 {
			continue
		}
		last, length := a.waiting[len(a.waiting)-1], len(a.waiting)
		if a == asking.account {
			length++
		}
		if last.Priority < victim.Priority || (last.Priority == victim.Priority && length > held) {
			victim, held = last, length
		}
	}
	return victim
}

// ahead returns how many waiting requests are likely to be admitted before one more of
// the account: all of its own, and as many of every other account that isn't lower.
func (q *queue) ahead(i *item) int {
	own := len(i.account.waiting)
	ahead := own
	for _, a := range q.accounts {
		if a == i.account || len(a.waiting) == 0 || a.waiting[0].Priority < i.Priority {
			continue
		}
		ahead += min(len(a.waiting), own+1)
	}
	return ahead
}
