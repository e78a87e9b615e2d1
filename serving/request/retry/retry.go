// Package retry decides whether a failed attempt is sent again, and when. Retries draw
// on a budget per service that successes fill, so that a failing part of the fleet does
// not get a multiple of the usual load.
//
// The table is pure: time, results and a random source go in. Moves away from a backend
// server whose leaving was announced are no retries and don't ask here.
//
// # Usage
//
//	table := retry.New(random)
//	table.SetServices(now, files)
//	table.Success("model-bench")
//	wait, err := table.Next(now, retry.Failure{Service: "model-bench", Attempts: 1, ...})
//	// err is a *problem.Error when the request must not be sent again
//
// # Locks
//
// The table has one mutex and calls nothing outside the package while it is locked, so
// it may be called with any other lock held.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/version/service"
)

const (
	// firstBackoff is the largest wait before the second attempt; it doubles with each.
	firstBackoff   = 25 * time.Millisecond
	longestBackoff = time.Second
	// reserve is the number of retries that a service has without any successes.
	reserve = 10.0
	// reservePerSecond refills the reserve, so that a quiet service may retry again.
	reservePerSecond = 1.0
	// largestBudget bounds the retries saved up from successes.
	largestBudget = 100.0
	// usualAttempts and usualShare stand for a service whose file names none.
	usualAttempts = 3
	usualShare    = 0.1
)

// Failure is a request whose last attempt failed.
type Failure struct {
	Service string
	// Attempts is the number of attempts so far.
	Attempts int
	// Idempotent tells whether the request may run more than once.
	Idempotent bool
	// NotRun tells that the last attempt certainly didn't run, so that even a
	// non-idempotent request may be sent.
	NotRun bool
	// Deadline is when the answer must be whole; zero means none.
	Deadline time.Time
	// Expected is the time that another attempt is likely to take.
	Expected time.Duration
}

// budget is the retries that a service may still make.
type budget struct {
	share    float64
	attempts int
	level    float64
	at       time.Time
}

// Table holds the budgets of all services.
type Table struct {
	mu      sync.Mutex
	random  *rand.Rand
	budgets map[string]*budget
}

// New returns a table without services.
func New(random *rand.Rand) *Table {
	return &Table{random: random, budgets: map[string]*budget{}}
}

// SetServices puts the retry rules of a configuration into force. Budgets of known
// services keep their level.
func (t *Table) SetServices(now time.Time, files []*service.File) {
	t.mu.Lock()
	defer t.mu.Unlock()
	budgets := make(map[string]*budget, len(files))
	for _, file := range files {
		b := t.budgets[file.Name]
		if b == nil {
			b = &budget{level: reserve, at: now}
		}
		b.attempts, b.share = file.Retry.MaxAttempts, file.Retry.Budget
		if b.attempts <= 0 {
			b.attempts = usualAttempts
		}
		if b.share <= 0 {
			b.share = usualShare
		}
		budgets[file.Name] = b
	}
	t.budgets = budgets
}

// Success notes a whole answer, which pays for a part of a retry.
func (t *Table) Success(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.budgets[service]; b != nil {
		b.level = min(b.level+b.share, largestBudget)
	}
}

// Next returns the wait before the next attempt and takes it from the budget. The error
// is a *problem.Error that tells why there is none.
func (t *Table) Next(now time.Time, f Failure) (time.Duration, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.budgets[f.Service]
	if b == nil {
		return 0, problem.New(problem.UnknownService, "service %s is not configured", f.Service)
	}
	if !f.Idempotent && !f.NotRun {
		return 0, problem.New(problem.AnswerLost, "the request is not idempotent and may have run")
	}
	if f.Attempts >= b.attempts {
		return 0, f.giveUp("%d attempts failed", f.Attempts)
	}
	wait := t.backoff(f.Attempts)
	if !f.Deadline.IsZero() && now.Add(wait+f.Expected).After(f.Deadline) {
		return 0, f.giveUp("another attempt would end after the deadline")
	}
	b.refill(now)
	if b.level < 1 {
		return 0, f.giveUp("the retry budget of service %s is used up", f.Service)
	}
	b.level--
	return wait, nil
}

// giveUp returns the error of a request that is not sent again.
func (f Failure) giveUp(format string, args ...any) *problem.Error {
	err := problem.New(problem.BackendFailed, format, args...)
	if f.NotRun {
		err.Outcome = problem.NotRun
	}
	return err
}

// refill adds what the reserve gained since the last call.
func (b *budget) refill(now time.Time) {
	if b.level < reserve {
		b.level = min(b.level+reservePerSecond*now.Sub(b.at).Seconds(), reserve)
	}
	b.at = now
}

// backoff returns a random wait of at most an exponentially growing bound.
func (t *Table) backoff(attempts int) time.Duration {
	bound := min(firstBackoff<<min(max(attempts-1, 0), 10), longestBackoff)
	return time.Duration(t.random.Int64N(int64(bound)) + 1)
}
