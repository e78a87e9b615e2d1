package outside

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
	// followPeriod is the time between two looks of the operator at the status of an order.
	followPeriod = 5 * time.Millisecond
	// usualDrain is how long after "reverted" the servers of the ordered version leave, and
	// leaveTime how long they stay from then on.
	usualDrain = 2 * time.Second
	leaveTime  = 3 * time.Second
)

// States of an order, as the system writes them.
const (
	InProgress = "in_progress"
	Completed  = "completed"
	Reverted   = "reverted"
)

// Order asks for a service's traffic to move to a version within a time.
type Order struct {
	Service, To string
	Duration    time.Duration
}

// Operator writes orders and does to backend servers what the platform does at each state.
type Operator struct {
	Store *Store
	// Drain is how long after "reverted" the servers of the ordered version leave; 0 stands
	// for 2 s.
	Drain time.Duration
	// Boot is how long after the order its servers start.
	Boot time.Duration
}

// Rollout is an order that was written, with the servers of the service.
//
// Lock order: Rollout.mu before Backend.mu and Store.mu.
type Rollout struct {
	Order
	Made     time.Time
	store    *Store
	operator Operator
	revision uint64
	mu       sync.Mutex
	// old are the servers of other versions than the ordered one, which end at "completed",
	// and fresh those of the ordered one.
	old, fresh []*Backend
	// others are servers that take part in the counts and that the operator leaves alone.
	others []*Backend
	// completed tells that the old servers ended.
	completed bool
	err       error
	ended     chan struct{}
}

// Roll writes an order, starts servers of the ordered version beside the old ones, and
// follows the order's status in the background until ctx ends. Fresh servers may be there
// already.
func (o Operator) Roll(ctx context.Context, order Order, servers []Server, old, fresh []*Backend) (*Rollout, error) {
	value, err := json.Marshal(map[string]any{
		"service": order.Service, "to": order.To, "duration_s": order.Duration.Seconds(),
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode order")
	}
	r := &Rollout{
		Order: order, Made: time.Now(), store: o.Store, operator: o, old: slices.Clone(old), fresh: slices.Clone(fresh),
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

// Deadline is when the order has to be completed or reverted.
func (r *Rollout) Deadline() time.Time { return r.Made.Add(r.Duration) }

// Ended is closed once the operator has done what follows from the order's last state.
func (r *Rollout) Ended() <-chan struct{} { return r.ended }

// Err returns why the operator could not go on, nil when it did what it should so far.
func (r *Rollout) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

// Fresh returns the servers of the ordered version.
func (r *Rollout) Fresh() []*Backend {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.fresh)
}

// Old returns the servers of the other versions.
func (r *Rollout) Old() []*Backend {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.old)
}

// Count lets other servers of the service take part in the counts.
func (r *Rollout) Count(others ...*Backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.others = append(r.others, others...)
}

// Join adds a server of another version than the ordered one that started after the order.
func (r *Rollout) Join(old *Backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.old = append(r.old, old)
	if r.completed {
		old.Cut()
		old.Unregister()
	}
}

// State is one value of the order's status.
type State struct {
	State string `json:"state"`
	To    string `json:"to"`
	At    time.Time
}

// States returns what the system wrote of this order, in order.
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

// run starts the servers and acts on the order's last state.
func (r *Rollout) run(ctx context.Context, servers []Server) error {
	if err := pause(ctx, r.operator.Boot); err != nil {
		return err
	}
	for _, server := range servers {
		server.Service, server.Version = r.Service, r.To
		backend, err := Start(ctx, r.store, server)
		if err != nil {
			return err
		}
		r.mu.Lock()
		r.fresh = append(r.fresh, backend)
		r.mu.Unlock()
	}
	final, found := r.Final()
	for !found {
		if err := pause(ctx, followPeriod); err != nil {
			return err
		}
		final, found = r.Final()
	}
	if final.State == Completed {
		r.endOld()
		return nil
	}
	return r.drain(ctx)
}

// endOld ends the old servers at once.
func (r *Rollout) endOld() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.completed = true
	for _, backend := range r.old {
		backend.Cut()
		backend.Unregister()
	}
}

// drain lets the servers of the ordered version leave.
func (r *Rollout) drain(ctx context.Context) error {
	if err := pause(ctx, cmp.Or(r.operator.Drain, usualDrain)); err != nil {
		return err
	}
	for _, backend := range r.Fresh() {
		backend.Drain()
	}
	if err := pause(ctx, leaveTime); err != nil {
		return err
	}
	for _, backend := range r.Fresh() {
		backend.Stop()
		backend.Unregister()
	}
	return nil
}

func pause(ctx context.Context, lasts time.Duration) error {
	select {
	case <-time.After(lasts):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
