package fakeplatform

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	orderPrefix  = "op/rollout/"
	statusPrefix = "status/rollout/"
	// statusPollInterval is the interval at which the operator polls the status of an order.
	statusPollInterval = 5 * time.Millisecond
	// defaultDrainDelay is the time from "reverted" to the drain of the servers of the ordered version,
	// and drainDuration the time from there to their stop.
	defaultDrainDelay = 2 * time.Second
	drainDuration     = 3 * time.Second
)

// States of an order that the system writes.
const (
	InProgress = "in_progress"
	Completed  = "completed"
	Reverted   = "reverted"
)

// Order requests that a service's traffic be moved to version To within Duration.
type Order struct {
	Service, To string
	Duration    time.Duration
}

// Operator writes orders, and starts and stops backend servers as the platform does at each
// state.
type Operator struct {
	Store *Store
	// DrainDelay is the time from "reverted" to the drain of the servers of the ordered version; 0
	// means 2 s.
	DrainDelay time.Duration
	// BootDelay is the time from the order to the start of its servers.
	BootDelay time.Duration
}

// Rollout is a written order with the servers of its service.
//
// Lock order: Rollout.mu before Backend.mu and Store.mu.
type Rollout struct {
	Order
	OrderedAt time.Time
	store     *Store
	operator  Operator
	revision  uint64
	mu        sync.Mutex
	// old holds the servers of other versions than the ordered one, which are stopped at
	// "completed", and ordered those of the ordered one.
	old, ordered []*Backend
	// counted holds servers that are counted but that the operator does not stop.
	counted []*Backend
	// completed is set once the old servers have been stopped.
	completed bool
	err       error
	ended     chan struct{}
}

// StartRollout writes an order, starts servers of the ordered version beside the old ones, and follows
// the order's status in the background until ctx ends. The slice ordered holds servers of the
// ordered version that already run.
func (o Operator) StartRollout(ctx context.Context, order Order, servers []Server, old, ordered []*Backend) (*Rollout, error) {
	value, err := json.Marshal(map[string]any{
		"service": order.Service, "to": order.To, "duration_s": order.Duration.Seconds(),
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode order")
	}
	r := &Rollout{
		Order: order, OrderedAt: time.Now(), store: o.Store, operator: o, old: slices.Clone(old), ordered: slices.Clone(ordered),
		ended: make(chan struct{}),
	}
	r.revision = o.Store.putOrder(orderPrefix+order.Service, value)
	go func() {
		defer close(r.ended)
		if err := r.run(ctx, servers); err != nil && ctx.Err() == nil {
			r.mu.Lock()
			r.err = err
			r.mu.Unlock()
		}
	}()
	return r, nil
}

// putOrder writes an order's key and returns its revision.
func (s *Store) putOrder(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
	return s.revision
}

// Withdraw removes the order.
func (r *Rollout) Withdraw() { r.store.Delete(orderPrefix + r.Service) }

// Deadline returns the time by which the order must be completed or reverted.
func (r *Rollout) Deadline() time.Time { return r.OrderedAt.Add(r.Duration) }

// Ended returns a channel that is closed once the operator has acted on the order's final state.
func (r *Rollout) Ended() <-chan struct{} { return r.ended }

// Err returns the error that stopped the operator, or nil.
func (r *Rollout) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

// OrderedServers returns the servers of the ordered version.
func (r *Rollout) OrderedServers() []*Backend {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.ordered)
}

// OldServers returns the servers of the other versions.
func (r *Rollout) OldServers() []*Backend {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.old)
}

// AddCounted includes further servers of the service in the counts; the operator does not stop them.
func (r *Rollout) AddCounted(counted ...*Backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counted = append(r.counted, counted...)
}

// AddOldServer adds a server of another version than the ordered one, started after the order. It is
// stopped at once if the order has been completed.
func (r *Rollout) AddOldServer(old *Backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.old = append(r.old, old)
	if r.completed {
		old.StopCountingLost()
		old.Unregister()
	}
}

// State is one value of the order's status; At is the time of its write.
type State struct {
	State string `json:"state"`
	To    string `json:"to"`
	At    time.Time
}

// States returns the states that the system wrote for this order, in commit order.
func (r *Rollout) States() []State {
	var states []State
	for _, write := range r.store.Writes(statusPrefix + r.Service) {
		var state State
		if write.Revision < r.revision {
			continue
		}
		if err := json.Unmarshal(write.Value, &state); err != nil {
			state = State{State: "unreadable: " + string(write.Value), To: r.To}
		}
		state.At = write.At
		if state.To == r.To {
			states = append(states, state)
		}
	}
	return states
}

// Final returns the first state that is not "in_progress".
func (r *Rollout) Final() (State, bool) {
	for _, state := range r.States() {
		if state.State != InProgress {
			return state, true
		}
	}
	return State{}, false
}

// run starts the servers and acts on the order's final state.
func (r *Rollout) run(ctx context.Context, servers []Server) error {
	if err := sleep(ctx, r.operator.BootDelay); err != nil {
		return err
	}
	for _, server := range servers {
		server.Service, server.Version = r.Service, r.To
		backend, err := Start(ctx, r.store, server)
		if err != nil {
			return err
		}
		r.mu.Lock()
		r.ordered = append(r.ordered, backend)
		r.mu.Unlock()
	}
	final, found := r.Final()
	for !found {
		if err := sleep(ctx, statusPollInterval); err != nil {
			return err
		}
		final, found = r.Final()
	}
	if final.State == Completed {
		r.stopOld()
		return nil
	}
	return r.drain(ctx)
}

// stopOld stops the old servers at once.
func (r *Rollout) stopOld() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.completed = true
	for _, backend := range r.old {
		backend.StopCountingLost()
		backend.Unregister()
	}
}

// drain drains and then stops the servers of the ordered version.
func (r *Rollout) drain(ctx context.Context) error {
	if err := sleep(ctx, cmp.Or(r.operator.DrainDelay, defaultDrainDelay)); err != nil {
		return err
	}
	for _, backend := range r.OrderedServers() {
		backend.Drain()
	}
	if err := sleep(ctx, drainDuration); err != nil {
		return err
	}
	for _, backend := range r.OrderedServers() {
		backend.Stop()
		backend.Unregister()
	}
	return nil
}

func sleep(ctx context.Context, lasts time.Duration) error {
	select {
	case <-time.After(lasts):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
