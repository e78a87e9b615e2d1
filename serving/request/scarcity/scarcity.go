// Package scarcity decides at one entry instance whether a request is served or refused while
// a service has less capacity than its callers ask for. A request is refused when its estimate
// says that it can't be served in its time, or, while the service is crowded, when it would be
// late and a more urgent one or one of an account below its share would be late with it. A
// request whose estimate is within its target is never refused.
//
// The package is pure: it takes the time, estimates and a source of random numbers, and does no
// I/O. The state is bounded and lost with the process; a crowded service is learned again
// within a second.
//
// # Usage
//
//	table := scarcity.New(rand.Float64)
//	verdict := table.Admit(now, ask)
//	if !verdict.Admitted {
//		// not run; the caller may come back after verdict.After
//	}
//	table.Done(now, ask, answered) // once for each admitted request, at its first event
//
// # Locks
//
// A table has one mutex. Under it only the source of random numbers is called, so a table may
// be used with any other lock held.
package scarcity

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// Ranks is the number of ranks; the configuration knows 0 to 9. Higher ones count as the last.
	Ranks = 10
	// maxServices bounds the services with state; deployments have a few with engines.
	maxServices = 64
	// maxAccounts bounds the accounts of a service with state, about 100 KB for each service.
	maxAccounts = 1024
	// maxRetries bounds the refused requests whose return is awaited, about 300 KB.
	maxRetries = 4096

	// hopelessShare is the share of the time left that the estimate has to take without its margin
	// before a request counts as hopeless.
	hopelessShare = 0.5
	// waitShare is the share of its target that a late request has to wait for others' work to
	// count towards a crowd. Where estimates err much, the margin alone passes targets at idle
	// servers, and refusing requests helps nobody: with 8 instances and sums up to 0.5 s old a
	// third was refused at three quarters of the capacity.
	waitShare = 0.05
)

// Ask describes a request and the best that the routing table has for it.
type Ask struct {
	Service, Account string
	// Request identifies the request over repeats by its caller, 0 when that is not known.
	Request uint64
	// Rank is the account's priority where it has one, the route's otherwise; 0 is the most
	// urgent.
	Rank int
	// Tokens is the length of the prompt.
	Tokens int
	// Left is the time until the caller's deadline.
	Left time.Duration
	// Target is the time to the first event, or to the whole response of a plain request; 0
	// means that there is none.
	Target time.Duration
	// First is the estimated time to the first event at the chosen server, with its margin.
	First time.Duration
	// Whole is the estimated time to the whole response, with the margin; 0 for streams.
	Whole time.Duration
	// Margin is the part of First and Whole that is there because estimates err.
	Margin time.Duration
	// Wait is the part of First that is the work of other requests at the server.
	Wait time.Duration
}

// estimate returns the estimated time of what the target is about.
func (a *Ask) estimate() time.Duration { return max(a.First, a.Whole) }

// hopeless tells whether the request is expected to miss its deadline, and not only by a
// margin that may be wider than the errors at this moment.
func (a *Ask) hopeless() bool {
	return a.estimate() > a.Left && a.estimate()-a.Margin > time.Duration(hopelessShare*float64(a.Left))
}

// missesTarget tells whether the request is expected to miss its target.
func (a *Ask) missesTarget() bool { return a.Target > 0 && a.estimate() > a.Target }

// delayedByOthers tells whether the request is expected to miss its target with others' work before it.
func (a *Ask) delayedByOthers() bool {
	return a.missesTarget() && a.Wait > time.Duration(waitShare*float64(a.Target))
}

// Reason tells what decided on a request.
type Reason string

// Reasons.
const (
	// Served means that no rule refuses the request.
	Served Reason = "served"
	// Floor means that the request was admitted because nine of its rank or account were refused.
	Floor Reason = "floor"
	// Deadline means that the estimate is beyond the caller's deadline.
	Deadline Reason = "deadline"
	// GivesWay means that more urgent requests are late as well.
	GivesWay Reason = "gives_way"
	// Share means that the account has more than twice its even share.
	Share Reason = "share"
)

// Verdict is a decision on a request.
type Verdict struct {
	Admitted bool
	Reason   Reason
	// After is when the caller of a refused request may come back.
	After time.Duration
	// Repeat tells that the caller came back before its retry-after time.
	Repeat bool
}

// Table holds what one entry instance knows of the demand for each service.
type Table struct {
	draw func() float64

	mu       sync.Mutex
	services *simplelru.LRU[string, *service]
	// retries holds by request when the callers of refused requests may come back.
	retries *simplelru.LRU[uint64, time.Time]
}

// New returns an empty table. Draw returns random numbers in [0, 1) and must not block.
func New(draw func() float64) *Table {
	services, err := simplelru.NewLRU[string, *service](maxServices, nil)
	must(err)
	returns, err := simplelru.NewLRU[uint64, time.Time](maxRetries, nil)
	must(err)
	return &Table{draw: draw, services: services, retries: returns}
}

// must checks the making of a cache, whose only error is a size that is not positive.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// Admit decides on a request. It is asked once for each request, repeats by its caller included.
func (t *Table) Admit(now time.Time, ask Ask) Verdict {
	ask.Rank = min(max(ask.Rank, 0), Ranks-1)
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(ask.Service)
	due, known := t.retries.Peek(ask.Request)
	repeat := known && ask.Request != 0 && now.Before(due)
	a := s.account(ask.Account)
	s.recordRequest(now, &ask, a, repeat)
	reason := s.decide(now, &ask, a)
	switch reason {
	case Served, Floor:
		s.chargeAccount(now, &ask, a, repeat)
		t.retries.Remove(ask.Request)
		return Verdict{Admitted: true, Reason: reason, Repeat: repeat}
	}
	if repeat {
		a.tokens.add(now, accountPeriod, earlyRetryWeight*float64(ask.Tokens))
		s.taken.add(now, accountPeriod, earlyRetryWeight*float64(ask.Tokens))
		return Verdict{Reason: reason, After: max(due.Sub(now), minRetryAfter), Repeat: true}
	}
	after := s.retryAfter(now, &ask, t.draw())
	if ask.Request != 0 {
		t.retries.Add(ask.Request, now.Add(after))
	}
	return Verdict{Reason: reason, After: after}
}

// Done tells that the answer to an admitted request began, or that it ended without one: then
// it gives back what it took of its account's share.
func (t *Table) Done(now time.Time, ask Ask, answered bool) {
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

// Crowded tells whether a service has too many requests beyond their target.
func (t *Table) Crowded(now time.Time, name string) bool {
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
