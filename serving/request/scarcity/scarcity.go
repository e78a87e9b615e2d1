// Package scarcity implements load shedding at one entry instance while the demand for a
// service exceeds its capacity. A request is refused if its estimated time is beyond the
// caller's deadline, or, while the service is overloaded, if it would miss its target and
// more urgent requests miss theirs too, or its account exceeds its fair share. A request
// whose estimate is within its target is never refused.
//
// The package does no I/O and reads no clock: the time, the estimates and a source of random
// numbers are passed in. The state is bounded and kept in memory only; after a restart an
// overload is detected again within a second.
//
// # Usage
//
//	table := scarcity.New(rand.Float64)
//	verdict := table.Admit(now, ask)
//	if !verdict.Admitted {
//		// not run; the caller may retry after verdict.RetryAfter
//	}
//	table.Done(now, ask, answered) // once for each admitted request, at its first event
//
// # Locks
//
// A table has one mutex. While holding it, the table calls only the source of random numbers,
// so it may be used with any other lock held.
package scarcity

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// Ranks is the number of ranks; the configuration allows 0 to 9. Higher ones count as the last.
	Ranks = 10
	// maxServices limits the services with state; deployments have a few with engines.
	maxServices = 64
	// maxAccounts limits the accounts with state per service, to about 100 KB per service.
	maxAccounts = 1024
	// maxRetries limits the refused requests whose retry is expected, to about 300 KB.
	maxRetries = 4096

	// hopelessShare is the fraction of the time left that the estimate without its margin must
	// exceed for a request to count as hopeless.
	hopelessShare = 0.5
	// waitShare is the fraction of its target that a late request must spend waiting for other
	// requests to count towards overload. If estimates are inaccurate, the margin alone exceeds
	// targets at idle servers, where refusing requests does not help: with 8 instances and sums
	// up to 0.5 s old, a third was refused at three quarters of the capacity.
	waitShare = 0.05
)

// Request describes a request and the estimates for the server that the routing table chose.
type Request struct {
	Service, Account string
	// ID identifies the request across retries by its caller, 0 if unknown.
	ID uint64
	// Rank is the account's priority if it has one, otherwise the route's; 0 is the most urgent.
	Rank int
	// Tokens is the length of the prompt in tokens.
	Tokens int
	// TimeLeft is the time until the caller's deadline.
	TimeLeft time.Duration
	// Target is the target time to the first event, or to the whole response of a plain request;
	// 0 means no target.
	Target time.Duration
	// FirstEvent is the estimated time to the first event at the chosen server, including Margin.
	FirstEvent time.Duration
	// FullResponse is the estimated time to the whole response, including Margin; 0 for streams.
	FullResponse time.Duration
	// Margin is the allowance in FirstEvent and FullResponse for estimation errors.
	Margin time.Duration
	// QueueWait is the part of FirstEvent spent waiting for other requests at the server.
	QueueWait time.Duration
}

// estimate returns the estimated time to which the target applies.
func (a *Request) estimate() time.Duration { return max(a.FirstEvent, a.FullResponse) }

// hopeless reports whether the request is expected to miss its deadline, and not only because
// of a margin that may exceed the current estimation error.
func (a *Request) hopeless() bool {
	return a.estimate() > a.TimeLeft && a.estimate()-a.Margin > time.Duration(hopelessShare*float64(a.TimeLeft))
}

// missesTarget reports whether the request is expected to miss its target.
func (a *Request) missesTarget() bool { return a.Target > 0 && a.estimate() > a.Target }

// delayedByOthers reports whether the request is expected to miss its target and has to wait
// for other requests.
func (a *Request) delayedByOthers() bool {
	return a.missesTarget() && a.QueueWait > time.Duration(waitShare*float64(a.Target))
}

// Reason is the rule that decided on a request.
type Reason string

// Reasons.
const (
	// Served means that no rule refused the request.
	Served Reason = "served"
	// Floor means that the request was admitted because the last nine requests of its rank or
	// account were refused.
	Floor Reason = "floor"
	// Deadline means that the estimate is beyond the caller's deadline.
	Deadline Reason = "deadline"
	// Outranked means that more urgent requests miss their target as well.
	Outranked Reason = "gives_way"
	// OverFairShare means that the account uses more than twice its even share.
	OverFairShare Reason = "share"
)

// Verdict is the decision on a request.
type Verdict struct {
	Admitted bool
	Reason   Reason
	// RetryAfter is the time after which the caller of a refused request may retry.
	RetryAfter time.Duration
	// EarlyRetry is set if the caller retried before its retry-after time.
	EarlyRetry bool
}

// Table holds the demand for each service as seen by one entry instance.
type Table struct {
	draw func() float64

	mu       sync.Mutex
	services *simplelru.LRU[string, *service]
	// retries holds, by request, the time from which the caller of a refused request may retry.
	retries *simplelru.LRU[uint64, time.Time]
}

// New returns an empty table. draw returns random numbers in [0, 1) and must not block.
func New(draw func() float64) *Table {
	services, err := simplelru.NewLRU[string, *service](maxServices, nil)
	must(err)
	retries, err := simplelru.NewLRU[uint64, time.Time](maxRetries, nil)
	must(err)
	return &Table{draw: draw, services: services, retries: retries}
}

// must panics on an error from the constructor of a cache, which fails only if the size is not
// positive.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// Admit decides on a request. Call it once for each request, including retries by the caller.
func (t *Table) Admit(now time.Time, ask Request) Verdict {
	ask.Rank = min(max(ask.Rank, 0), Ranks-1)
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(ask.Service)
	due, known := t.retries.Peek(ask.ID)
	repeat := known && ask.ID != 0 && now.Before(due)
	a := s.account(ask.Account)
	s.recordRequest(now, &ask, a, repeat)
	reason := s.decide(now, &ask, a)
	switch reason {
	case Served, Floor:
		s.chargeAccount(now, &ask, a, repeat)
		t.retries.Remove(ask.ID)
		return Verdict{Admitted: true, Reason: reason, EarlyRetry: repeat}
	}
	if repeat {
		a.tokens.add(now, accountPeriod, earlyRetryWeight*float64(ask.Tokens))
		s.taken.add(now, accountPeriod, earlyRetryWeight*float64(ask.Tokens))
		return Verdict{Reason: reason, RetryAfter: max(due.Sub(now), minRetryAfter), EarlyRetry: true}
	}
	retryAfter := s.retryAfter(now, &ask, t.draw())
	if ask.ID != 0 {
		t.retries.Add(ask.ID, now.Add(retryAfter))
	}
	return Verdict{Reason: reason, RetryAfter: retryAfter}
}

// Done records that the response to an admitted request began or, if answered is false, that
// the request ended without one. In the latter case its charge to the account is refunded.
func (t *Table) Done(now time.Time, ask Request, answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, known := t.services.Peek(ask.Service)
	if !known {
		return
	}
	if answered {
		s.recordServed(now, &ask)
		return
	}
	s.taken.add(now, accountPeriod, -float64(ask.Tokens))
	if a, known := s.accounts.Peek(ask.Account); known {
		a.tokens.add(now, accountPeriod, -float64(ask.Tokens))
	}
}

// Overloaded reports whether a service is overloaded: too many of its requests miss their target
// because of other requests.
func (t *Table) Overloaded(now time.Time, name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, known := t.services.Peek(name)
	return known && s.isOverloaded(now)
}

func (t *Table) service(name string) *service {
	if s, known := t.services.Get(name); known {
		return s
	}
	s := newService()
	t.services.Add(name, s)
	return s
}
