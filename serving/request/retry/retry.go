// Package retry decides whether a failed attempt is retried, and after which back-off. Retries draw
// on a retry budget per service that is filled by successful requests, so that a failing part of
// the fleet does not get a multiple of its usual load.
//
// The table does no I/O and reads no clock: the caller passes times, results and a random source.
// Moving a request away from a backend server that announced that it is leaving is not a retry and
// is not counted here.
//
// # Usage
//
//	table := retry.New(random)
//	table.SetServices(now, files)
//	table.Success("model-bench")
//	wait, err := table.Next(now, retry.Failure{Service: "model-bench", Attempts: 1, ...})
//	// err is a *problem.Error when the request must not be retried
//
// # Locks
//
// The table has one mutex and calls nothing outside the package while it holds it, so its methods
// may be called with any other lock held.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/version/service"
)

const (
	// minBackoff is the maximum back-off before the second attempt; it doubles with each further
	// attempt, up to maxBackoff.
	minBackoff = 25 * time.Millisecond
	maxBackoff = time.Second
	// minBudget is the number of retries that a service has without any successes.
	minBudget = 10.0
	// refillPerSecond refills the budget up to minBudget, so that a service with little traffic may
	// retry again.
	refillPerSecond = 1.0
	// maxBudget limits the retries accumulated from successes.
	maxBudget = 100.0
	// defaultAttempts and defaultShare apply to a service whose file sets none.
	defaultAttempts = 3
	defaultShare    = 0.1
)

// Failure describes a request whose last attempt failed.
type Failure struct {
	Service string
	// Attempts is the number of attempts made so far.
	Attempts int
	// Idempotent reports whether the request may run more than once.
	Idempotent bool
	// NotRun reports that the last attempt certainly did not run, so that even a non-idempotent
	// request may be retried.
	NotRun bool
	// Deadline is when the complete answer is due; zero means none.
	Deadline time.Time
	// Expected is the expected duration of another attempt.
	Expected time.Duration
}

// budget is the retry budget of one service.
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

// SetServices applies the retry rules of a configuration. Budgets of known services keep their
// level.
func (t *Table) SetServices(now time.Time, files []*service.File) {
	t.mu.Lock()
	defer t.mu.Unlock()
	budgets := make(map[string]*budget, len(files))
	for _, file := range files {
		b := t.budgets[file.Name]
		if b == nil {
			b = &budget{level: minBudget, at: now}
		}
		b.attempts, b.share = file.Retry.MaxAttempts, file.Retry.Budget
		if b.attempts <= 0 {
			b.attempts = defaultAttempts
		}
		if b.share <= 0 {
			b.share = defaultShare
		}
		budgets[file.Name] = b
	}
	t.budgets = budgets
}

// Success records a complete answer, which adds a share of one retry to the budget.
func (t *Table) Success(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.budgets[service]; b != nil {
		b.level = min(b.level+b.share, maxBudget)
	}
}

// Next returns the back-off before the next attempt and takes one retry from the budget. If the
// request must not be retried, the error is a *problem.Error with the reason.
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

// giveUp returns the error of a request that is not retried.
func (f Failure) giveUp(format string, args ...any) *problem.Error {
	err := problem.New(problem.BackendFailed, format, args...)
	if f.NotRun {
		err.Outcome = problem.NotRun
	}
	return err
}

// refill adds the retries regained since the last call.
func (b *budget) refill(now time.Time) {
	if b.level < minBudget {
		b.level = min(b.level+refillPerSecond*now.Sub(b.at).Seconds(), minBudget)
	}
	b.at = now
}

// backoff returns a random wait up to an exponentially growing bound (full jitter).
func (t *Table) backoff(attempts int) time.Duration {
	bound := min(minBackoff<<min(max(attempts-1, 0), 10), maxBackoff)
	return time.Duration(t.random.Int64N(int64(bound)) + 1)
}
