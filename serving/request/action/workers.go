package action

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"
)

// workers is a pool of goroutines that take orders from a FIFO queue.
type workers struct {
	mu      sync.Mutex
	arrived *sync.Cond
	queue   []Order
	closed  bool
	group   errgroup.Group
}

func newWorkers() *workers {
	w := &workers{}
	w.arrived = sync.NewCond(&w.mu)
	return w
}

// start runs count workers, which call do for each order.
func (w *workers) start(ctx context.Context, count int, do func(context.Context, Order)) {
	for range count {
		w.group.Go(func() error {
			for {
				order, more := w.next()
				if !more {
					return nil
				}
				do(ctx, order)
			}
		})
	}
}

func (w *workers) push(order Order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = append(w.queue, order)
	w.arrived.Signal()
}

func (w *workers) next() (Order, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.queue) == 0 && !w.closed {
		w.arrived.Wait()
	}
	if w.closed {
		return nil, false
	}
	order := w.queue[0]
	w.queue = w.queue[1:]
	return order, true
}

// stop waits for the workers to finish their current orders. Queued orders are dropped.
func (w *workers) stop() error {
	w.mu.Lock()
	w.closed = true
	w.arrived.Broadcast()
	w.mu.Unlock()
	return w.group.Wait()
}
