package rollout

import (
	"sync"
	"time"
)

// attemptsMost bounds the attempts that a book watches at a time. It is a guard against callers
// that neither answer nor drop what they began; an instance runs a few hundred.
const attemptsMost = 8192

// Book counts how the attempts of one entry instance ended, for each roll-out in progress.
//
// An attempt is begun when it goes out and ends as answered or dropped. Attempts that are only
// answered, with the number 0, count too, but a server that never answers is then seen late.
//
// Book is safe for several goroutines. Its lock is the only one, and nothing is called with it.
type Book struct {
	mu       sync.Mutex
	last     uint64 // number of the last attempt begun
	services map[string]*page
	attempts map[uint64]*begun
}

// page holds the counts of one service's order.
type page struct {
	order    uint64
	evidence Evidence
}

// begun is an attempt that has not ended.
type begun struct {
	Attempt
	at    time.Time
	first bool // its first event is booked
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{services: make(map[string]*page), attempts: make(map[uint64]*begun)}
}

// Follow starts the counts of a service's order, and drops those of the one before. Repeated
// for the same order it changes nothing; with order 0 the service is not counted any more.
func (b *Book) Follow(service string, order uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old := b.services[service]; old != nil && old.order == order {
		return
	}
	delete(b.services, service)
	for number, attempt := range b.attempts {
		if attempt.Service == service {
			delete(b.attempts, number)
		}
	}
	if order != 0 {
		b.services[service] = &page{order: order}
	}
}

// Began notes an attempt that waits for its first event or answer, and returns its number, 0
// for a service without a roll-out. Now is of a monotonic clock.
func (b *Book) Began(now time.Time, attempt Attempt) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.services[attempt.Service] == nil || len(b.attempts) >= attemptsMost {
		return 0
	}
	b.last++
	b.attempts[b.last] = &begun{Attempt: attempt, at: now}
	return b.last
}

// First books the first event of an attempt. Without it the first event is that of Answered.
func (b *Book) First(now time.Time, attempt uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.attempts[attempt]
	if a == nil || a.first {
		return
	}
	a.first = true
	ratio, ok := a.ratio(now)
	if !ok {
		return
	}
	b.services[a.Service].evidence.change(a.Route, a.Server, a.Candidate, func(t *Tally) {
		t.First = bump(t.First, ratio)
	})
}

// ratio returns how long an attempt has waited over its estimate.
func (a *begun) ratio(now time.Time) (ratio float64, ok bool) {
	if a.Estimate <= 0 {
		return 0, false
	}
	return float64(max(now.Sub(a.at), 0)) / float64(a.Estimate), true
}

// Dropped removes an attempt that ended without counting, such as one that its caller left.
func (b *Book) Dropped(attempt uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.attempts, attempt)
}

// Answered counts an attempt that ended. Services without a roll-out are not counted, nor are
// attempts that began under an earlier order: their cohort was of another candidate.
func (b *Book) Answered(answer Answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.services[answer.Service]
	if answer.Attempt != 0 {
		a := b.attempts[answer.Attempt]
		if a == nil {
			return
		}
		delete(b.attempts, answer.Attempt)
		if a.first {
			answer.FirstRatio = 0
		}
	}
	if p == nil {
		return
	}
	p.evidence.change(answer.Route, answer.Server, answer.Candidate, func(t *Tally) {
		t.answered(answer.Failed, answer.FirstRatio, answer.WholeRatio)
	})
}

// change changes the counts of a route and, for the candidate, of a server.
func (e *Evidence) change(route, server string, candidate bool, change func(*Tally)) {
	route = e.route(route)
	cohorts := e.Routes[route]
	if !candidate {
		change(&cohorts.Old)
		e.Routes[route] = cohorts
		return
	}
	change(&cohorts.Candidate)
	e.Routes[route] = cohorts
	server = e.server(server)
	tally := e.Servers[server]
	change(&tally)
	e.Servers[server] = tally
}

// Evidence returns the counts of a service since Follow, with the attempts that wait at now.
func (b *Book) Evidence(now time.Time, service string) Evidence {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.services[service]
	if p == nil {
		return Evidence{}
	}
	evidence := p.evidence.Clone()
	for _, a := range b.attempts {
		if a.Service != service || a.first {
			continue
		}
		ratio, ok := a.ratio(now)
		if !ok {
			continue
		}
		evidence.change(a.Route, a.Server, a.Candidate, func(t *Tally) {
			t.Waiting = bump(t.Waiting, ratio)
		})
	}
	return evidence
}
