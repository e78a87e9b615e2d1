package gateway

import (
	"context"
	"sync"
	"time"

	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/request/admission"
)

// admitter carries out the admission table's orders: it lets requests wait and wakes them.
type admitter struct {
	table *admission.Table
	clock func() time.Time

	mu      sync.Mutex
	waiting map[string]chan admission.Order
}

func newAdmitter(table *admission.Table, clock func() time.Time) *admitter {
	return &admitter{table: table, clock: clock, waiting: map[string]chan admission.Order{}}
}

// admit waits until a request is admitted. The error is a *problem.Error.
func (a *admitter) admit(ctx context.Context, ask admission.Ask) error {
	wake := make(chan admission.Order, 1)
	a.mu.Lock()
	a.waiting[ask.RequestID] = wake
	a.mu.Unlock()
	defer a.forget(ask.RequestID)

	order, others := a.table.Ask(a.clock(), ask)
	a.carryOut(others)
	if order.Verdict == admission.Waiting {
		return a.wait(ctx, ask.RequestID, wake)
	}
	return verdict(order)
}

func (a *admitter) wait(ctx context.Context, id string, wake chan admission.Order) error {
	select {
	case order := <-wake:
		return verdict(order)
	case <-ctx.Done():
		a.carryOut(a.table.Abandon(a.clock(), id))
		return problem.New(problem.DeadlineExceeded, "the caller left before the request was admitted").With(problem.NotRun)
	}
}

func verdict(order admission.Order) error {
	if order.Verdict == admission.Refused {
		return order.Problem
	}
	return nil
}

func (a *admitter) forget(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, id)
}

// release ends an admitted request that took a number of tokens.
func (a *admitter) release(id string, tokens int) { a.carryOut(a.table.Done(a.clock(), id, tokens)) }

func (a *admitter) tick(now time.Time) { a.carryOut(a.table.Tick(now)) }

func (a *admitter) carryOut(orders []admission.Order) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, order := range orders {
		if wake, found := a.waiting[order.RequestID]; found {
			wake <- order
			delete(a.waiting, order.RequestID)
		}
	}
}
