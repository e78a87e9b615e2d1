package rollout

import (
	"sync"
	"time"
)

// attemptsMost bounds the attempts that a recorder watches at a time. It is a guard against callers
// that neither answer nor drop what they began; an instance runs a few hundred.
const attemptsMost = 8192

// Recorder counts how the attempts of one entry instance ended, for each roll-out in progress.
//
// An attempt is begun when it goes out and ends as answered or dropped. Attempts that are only
// answered, with the number 0, count too, but a server that never answers is then seen late.
//
// Recorder is safe for several goroutines. Its lock is the only one, and nothing is called with it.
type Recorder struct {
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

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{services: make(map[string]*page), attempts: make(map[uint64]*begun)}
}

// Follow starts the counts of a service's order, and drops those of the one before. Repeated
// for the same order it changes nothing; with order 0 the service is not counted any more.
func (r *Recorder) Follow(service string, order uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.services[service]; old != nil && old.order == order {
		return
	}
	delete(r.services, service)
	for number, attempt := range r.attempts {
		if attempt.Service == service {
			delete(r.attempts, number)
		}
	}
	if order != 0 {
		r.services[service] = &page{order: order}
	}
}

// Began notes an attempt that waits for its first event or answer, and returns its number, 0
// for a service without a roll-out. Now is of a monotonic clock.
func (r *Recorder) Began(now time.Time, attempt Attempt) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.services[attempt.Service] == nil || len(r.attempts) >= attemptsMost {
		return 0
	}
	r.last++
	r.attempts[r.last] = &begun{Attempt: attempt, at: now}
	return r.last
}

// First counts the first event of an attempt. Without it the first event is that of Answered.
func (r *Recorder) First(now time.Time, attempt uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.attempts[attempt]
	if a == nil || a.first {
		return
	}
	a.first = true
	ratio, ok := a.ratio(now)
	if !ok {
		return
	}
	r.services[a.Service].evidence.change(a.Route, a.Server, a.Candidate, func(t *Tally) {
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
func (r *Recorder) Dropped(attempt uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.attempts, attempt)
}

// Answered counts an attempt that ended. Services without a roll-out are not counted, nor are
// attempts that began under an earlier order: their cohort was of another candidate.
func (r *Recorder) Answered(answer Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.services[answer.Service]
	if answer.Attempt != 0 {
		a := r.attempts[answer.Attempt]
		if a == nil {
			return
		}
		delete(r.attempts, answer.Attempt)
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
func (r *Recorder) Evidence(now time.Time, service string) Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.services[service]
	if p == nil {
		return Evidence{}
	}
	evidence := p.evidence.Clone()
	for _, a := range r.attempts {
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
