package admission

import (
	"sort"
	"time"

	"papayaport.dev/serving/version/service"
)

// queue holds the state of one service: its accounts, and its waiting and running requests.
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

	// virtualTime is the virtual time of the account served last, in tokens.
	virtualTime float64
	// meanRunTime is the mean time from admission to the end, 0 before the first request ends.
	meanRunTime time.Duration
	// meansUpdatedAt is when meanRunTime and meanTokens were last updated.
	meansUpdatedAt time.Time
	// meanTokens is the mean number of tokens of the requests in meanRunTime.
	meanTokens float64
}

// account holds the state of one client account within one service.
type account struct {
	limits  service.Account
	removed bool
	running int
	// waiting holds the queued requests, the next one first.
	waiting []*item
	// headSince is when waiting[0] became the head of the queue. Only the head ages, so that
	// a long backlog does not outrank other accounts.
	headSince time.Time
	// virtualTime is the account's virtual time in tokens (start-time fair queueing, Goyal
	// et al., 1996).
	virtualTime float64

	requests limiter
	tokens   limiter
}

// item is a waiting or running request.
type item struct {
	Ask
	queue    *queue
	account  *account
	arrived  time.Time
	admitted time.Time
	running  bool
}

func newQueue(name string) *queue {
	return &queue{name: name, accounts: map[string]*account{}, slots: unlimitedSlots}
}

// configure applies the limits of a service file.
func (q *queue) configure(now time.Time, file *service.File) {
	q.removed = false
	q.limit = file.Queue.MaxRequests
	if q.limit <= 0 {
		q.limit = defaultQueueLength
	}
	q.ageing = time.Duration(file.Queue.AgeingMS) * time.Millisecond
	if q.ageing <= 0 {
		q.ageing = defaultAgeing
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

// sortKey orders the requests of one account: it is the arrival time minus one ageing period
// per priority level.
func (i *item) sortKey() time.Time {
	return i.arrived.Add(-time.Duration(i.Priority) * i.queue.ageing)
}

// push adds a request to its account's queue.
func (q *queue) push(now time.Time, i *item) {
	a := i.account
	if len(a.waiting) == 0 {
		a.headSince = now
		a.virtualTime = max(a.virtualTime, q.virtualTime)
	}
	at := sort.Search(len(a.waiting), func(n int) bool { return i.sortKey().Before(a.waiting[n].sortKey()) })
	a.waiting = append(a.waiting, nil)
	copy(a.waiting[at+1:], a.waiting[at:])
	a.waiting[at] = i
	q.waiting++
}

// remove deletes a waiting request from its account's queue.
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

// effectivePriority returns the priority of an account's first waiting request, raised by
// ageing.
func (q *queue) effectivePriority(now time.Time, a *account) int {
	return a.waiting[0].Priority + int(now.Sub(a.headSince)/q.ageing)
}

// nextAccount returns the account whose first waiting request is admitted next, among those
// for which allowed returns true: the one with the highest effective priority, then with the
// lowest virtual time. It returns nil if there is none.
func (q *queue) nextAccount(now time.Time, allowed func(*account) bool) *account {
	var best *account
	bestPriority := 0
	for _, a := range q.accounts {
		if len(a.waiting) == 0 || !allowed(a) {
			continue
		}
		effectivePriority := q.effectivePriority(now, a)
		if best == nil || effectivePriority > bestPriority || (effectivePriority == bestPriority && servedBefore(a, best)) {
			best, bestPriority = a, effectivePriority
		}
	}
	return best
}

// servedBefore orders accounts of equal effective priority by virtual time, then by name.
func servedBefore(a, b *account) bool {
	if a.virtualTime != b.virtualTime {
		return a.virtualTime < b.virtualTime
	}
	return a.limits.Name < b.limits.Name
}

// admit marks a request as running and advances the virtual times.
func (q *queue) admit(now time.Time, i *item) {
	i.running, i.admitted = true, now
	i.account.running++
	q.running++
	q.virtualTime = max(q.virtualTime, i.account.virtualTime)
	i.account.virtualTime = max(i.account.virtualTime, q.virtualTime) + float64(i.Tokens)
}

// evictionCandidate returns the request to refuse when the queue is full: the new request or
// a waiting one, by lowest priority, then by the account with the longest queue. Of an
// account's waiting requests only the last one is considered.
func (q *queue) evictionCandidate(added *item) *item {
	victim, victimQueue := added, len(added.account.waiting)+1
	for _, a := range q.accounts {
		if len(a.waiting) == 0 {
			continue
		}
		last, length := a.waiting[len(a.waiting)-1], len(a.waiting)
		if a == added.account {
			length++
		}
		if last.Priority < victim.Priority || (last.Priority == victim.Priority && length > victimQueue) {
			victim, victimQueue = last, length
		}
	}
	return victim
}

// ahead estimates how many waiting requests are admitted before a new one: all of the same
// account, and at most one more than that of each other account whose first waiting request
// has at least the same priority.
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
