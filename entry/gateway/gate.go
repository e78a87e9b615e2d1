package gateway

import (
	"context"
	"sync"
	"time"

	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/request/admission"
)

// gate carries out the admission table's orders: it lets requests wait and wakes them.
type gate struct {
	table *admission.Table
	clock func() time.Time

	mu      sync.Mutex
	waiting map[string]chan admission.Order
}

func newGate(table *admission.Table, clock func() time.Time) *gate {
	return &gate{table: table, clock: clock, waiting: map[string]chan admission.Order{}}
}

// admit waits until a request is admitted. The error is a *problem.Error.
func (g *gate) admit(ctx context.Context, ask admission.Ask) error {
	wake := make(chan admission.Order, 1)
	g.mu.Lock()
	g.waiting[ask.RequestID] = wake
	g.mu.Unlock()
	defer g.forget(ask.RequestID)

	order, others := g.table.Ask(g.clock(), ask)
	g.carryOut(others)
	if order.Verdict == admission.Waiting {
		return g.wait(ctx, ask.RequestID, wake)
	}
	return verdict(order)
}

func (g *gate) wait(ctx context.Context, id string, wake chan admission.Order) error {
	select {
	case order := <-wake:
		return verdict(order)
	case <-ctx.Done():
		g.carryOut(g.table.Abandon(g.clock(), id))
		return problem.New(problem.DeadlineExceeded, "the caller left before the request was admitted").With(problem.NotRun)
	}
}

func verdict(order admission.Order) error {
	if order.Verdict == admission.Refused {
		return order.Problem
	}
	return nil
}

func (g *gate) forget(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, id)
}

// release ends an admitted request that took a number of tokens.
func (g *gate) release(id string, tokens int) { g.carryOut(g.table.Done(g.clock(), id, tokens)) }

func (g *gate) tick(now time.Time) { g.carryOut(g.table.Tick(now)) }

func (g *gate) carryOut(orders []admission.Order) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, order := range orders {
		if wake, found := g.waiting[order.RequestID]; found {
			wake <- order
			delete(g.waiting, order.RequestID)
		}
	}
}
