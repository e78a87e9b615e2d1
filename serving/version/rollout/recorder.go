package rollout

import (
	"sync"
	"time"
)

// maxOpenAttempts bounds the open attempts, as a guard against callers that never end an
// attempt; an instance runs a few hundred at a time.
const maxOpenAttempts = 8192

// Recorder counts the results of one entry instance's attempts, for each roll-out in progress.
//
// An attempt starts with Began when it is sent, and ends with Answered or Dropped. Attempts for
// which only Answered is called, with the number 0, count too, but then a server that never
// answers is detected late.
//
// Recorder is safe for concurrent use. Its mutex is held alone and nothing is called under it.
type Recorder struct {
	mu       sync.Mutex
	last     uint64 // number of the last attempt
	services map[string]*orderCounts
	attempts map[uint64]*openAttempt
}

// orderCounts holds the counts for one service's order.
type orderCounts struct {
	order    uint64
	evidence Evidence
}

// begun is an attempt that has not ended.
type openAttempt struct {
	Attempt
	startedAt    time.Time
	firstCounted bool // its first event is counted
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{services: make(map[string]*orderCounts), attempts: make(map[uint64]*openAttempt)}
}

// Follow starts counting for a service's order and drops the counts of the previous one.
// Repeated for the same order it changes nothing; with order 0 the service is no longer counted.
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
		r.services[service] = &orderCounts{order: order}
	}
}

// Began records an attempt that waits for its first event or answer, and returns its number, 0
// for a service without a roll-out. Now is of a monotonic clock.
func (r *Recorder) Began(now time.Time, attempt Attempt) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.services[attempt.Service] == nil || len(r.attempts) >= maxOpenAttempts {
		return 0
	}
	r.last++
	r.attempts[r.last] = &openAttempt{Attempt: attempt, startedAt: now}
	return r.last
}

// First counts the first event of an attempt. Without it Answered counts the first event.
func (r *Recorder) First(now time.Time, attempt uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.attempts[attempt]
	if a == nil || a.firstCounted {
		return
	}
	a.firstCounted = true
	ratio, ok := a.ratio(now)
	if !ok {
		return
	}
	r.services[a.Service].evidence.update(a.Route, a.Server, a.Candidate, func(t *Tally) {
		t.First = countRatio(t.First, ratio)
	})
}

// ratio returns the time since the start of an attempt divided by its estimate.
func (a *openAttempt) ratio(now time.Time) (ratio float64, ok bool) {
	if a.Estimate <= 0 {
		return 0, false
	}
	return float64(max(now.Sub(a.startedAt), 0)) / float64(a.Estimate), true
}

// Dropped removes an attempt that is not counted, such as one whose caller disconnected.
func (r *Recorder) Dropped(attempt uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.attempts, attempt)
}

// Answered counts a finished attempt. Services without a roll-out are not counted, nor are
// attempts that started under an earlier order, which had another candidate.
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
		if a.firstCounted {
			answer.FirstRatio = 0
		}
	}
	if p == nil {
		return
	}
	p.evidence.update(answer.Route, answer.Server, answer.Candidate, func(t *Tally) {
		t.answered(answer.Failed, answer.FirstRatio, answer.WholeRatio)
	})
}

// update applies a change to the counts of a route and, for the candidate, to those of a server.
func (e *Evidence) update(route, server string, candidate bool, change func(*Tally)) {
	route = e.routeKey(route)
	cohorts := e.Routes[route]
	if !candidate {
		change(&cohorts.Old)
		e.Routes[route] = cohorts
		return
	}
	change(&cohorts.Candidate)
	e.Routes[route] = cohorts
	server = e.serverKey(server)
	tally := e.Servers[server]
	change(&tally)
	e.Servers[server] = tally
}

// Evidence returns the counts of a service since Follow, including the attempts that are waiting
// at now.
func (r *Recorder) Evidence(now time.Time, service string) Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.services[service]
	if p == nil {
		return Evidence{}
	}
	evidence := p.evidence.Clone()
	for _, a := range r.attempts {
		if a.Service != service || a.firstCounted {
			continue
		}
		ratio, ok := a.ratio(now)
		if !ok {
			continue
		}
		evidence.update(a.Route, a.Server, a.Candidate, func(t *Tally) {
			t.Waiting = countRatio(t.Waiting, ratio)
		})
	}
	return evidence
}
