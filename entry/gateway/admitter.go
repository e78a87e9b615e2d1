package gateway

import (
	"context"
	"sync"
	"time"

	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/request/admission"
)

// admitter blocks requests while they are queued in the admission table and wakes them
// with the table's decisions.
type admitter struct {
	table *admission.Table
	clock func() time.Time

	mu      sync.Mutex
	waiting map[string]chan admission.Decision
}

func newAdmitter(table *admission.Table, clock func() time.Time) *admitter {
	return &admitter{table: table, clock: clock, waiting: map[string]chan admission.Decision{}}
}

// admit blocks until a request is admitted or refused, or ctx ends. The error is a
// *problem.Error.
func (a *admitter) admit(ctx context.Context, ask admission.Ask) error {
	wake := make(chan admission.Decision, 1)
	a.mu.Lock()
	a.waiting[ask.RequestID] = wake
	a.mu.Unlock()
	defer a.removeWaiter(ask.RequestID)

	order, others := a.table.Admit(a.clock(), ask)
	a.deliver(others)
	if order.Verdict == admission.Waiting {
		return a.wait(ctx, ask.RequestID, wake)
	}
	return refusal(order)
}

func (a *admitter) wait(ctx context.Context, id string, wake chan admission.Decision) error {
	select {
	case order := <-wake:
		return refusal(order)
	case <-ctx.Done():
		a.deliver(a.table.Abandon(a.clock(), id))
		return problem.New(problem.DeadlineExceeded, "the caller left before the request was admitted").WithOutcome(problem.NotRun)
	}
}

func refusal(order admission.Decision) error {
	if order.Verdict == admission.Refused {
		return order.Problem
	}
	return nil
}

func (a *admitter) removeWaiter(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, id)
}

// release ends an admitted request, which used a number of tokens.
func (a *admitter) release(id string, tokens int) { a.deliver(a.table.Done(a.clock(), id, tokens)) }

func (a *admitter) tick(now time.Time) { a.deliver(a.table.Tick(now)) }

func (a *admitter) deliver(orders []admission.Decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, order := range orders {
		if wake, found := a.waiting[order.RequestID]; found {
			wake <- order
			delete(a.waiting, order.RequestID)
		}
	}
}
