package capacity

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/process/platform/cloud"
	"papayaport.dev/serving/process/platform/store"
	"papayaport.dev/serving/version/service"
)

const (
	// stepPeriod is the time between two looks at the planners.
	stepPeriod = 500 * time.Millisecond
	// callers bounds the calls under way.
	callers = 16
	// orderTimeout bounds an engine order, the fetch of the weights included.
	orderTimeout = 5 * time.Minute
	// keyPrefix stands before the keys of plans and the names of leases.
	keyPrefix = "capacity/"
)

// Store is the part of the key-value service used here. Errors are *store.Conflict,
// store.ErrNotFound, store.ErrUnavailable and store.ErrUnknown.
type Store interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	Put(ctx context.Context, key string, value []byte, ifRevision uint64) (platform.Entry, error)
}

// Cloud is the part of the cloud API used here. Errors are cloud.ErrRefused,
// cloud.ErrUnavailable and cloud.ErrUnknown.
type Cloud interface {
	Start(ctx context.Context, start platform.Start) (platform.Instance, error)
	Stop(ctx context.Context, id string) error
}

// Engines gives orders to model engines. An answer other than 200 is an
// *engine.RefusedError.
type Engines interface {
	Order(ctx context.Context, address string, order engine.Order) error
}

// Drainer tells all entry instances to send a backend server no new work.
type Drainer interface {
	Drain(stop PlannedStop, within time.Duration)
}

// Leases tells which leases are held.
type Leases interface {
	Held(name string) (uint64, bool)
}

// Parts are what a Manager works with.
type Parts struct {
	Store   Store
	Cloud   Cloud
	Engines Engines
	Drainer Drainer
	Leases  Leases
	Log     logrus.FieldLogger
}

// Manager runs the planners of all services in one failure domain.
type Manager struct {
	parts  Parts
	domain string
	clock  func() time.Time
	random *rand.Rand

	mu       sync.Mutex
	planners map[string]*Planner // by service
	loads    *Loads
}

// New returns the manager of a failure domain.
func New(parts Parts, domain string, clock func() time.Time, random *rand.Rand) *Manager {
	return &Manager{
		parts:    parts,
		domain:   domain,
		clock:    clock,
		random:   random,
		planners: make(map[string]*Planner),
		loads:    NewLoads(random),
	}
}

func (m *Manager) key(name string) string { return keyPrefix + name + "/" + m.domain }

// LeaseNames returns the names of the leases that the plans need.
func (m *Manager) LeaseNames() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name := range m.planners {
		names = append(names, m.key(name))
	}
	return names
}

// SetServices takes in the service files in force. Services without limits of capacity
// are left alone.
func (m *Manager) SetServices(files []service.File) {
	m.mu.Lock()
	defer m.mu.Unlock()
	present := make(map[string]bool)
	for _, file := range files {
		if file.Capacity.MaxPerDomain == 0 {
			continue
		}
		present[file.Name] = true
		if planner := m.planners[file.Name]; planner != nil {
			planner.Update(file)
			continue
		}
		m.planners[file.Name] = NewPlanner(file, m.domain, m.random)
	}
	for name := range m.planners {
		if !present[name] {
			delete(m.planners, name)
		}
	}
}

// each calls do with every planner under the lock.
func (m *Manager) each(do func(*Planner)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, planner := range m.planners {
		do(planner)
	}
}

// with calls do with the planner of a service under the lock, if there is one.
func (m *Manager) with(name string, do func(*Planner)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if planner := m.planners[name]; planner != nil {
		do(planner)
	}
}

// Instances takes in the instance list.
func (m *Manager) Instances(list platform.Instances) {
	now := m.clock()
	age := time.Duration(list.AgeMS) * time.Millisecond
	m.each(func(p *Planner) { p.Instances(now, list.Instances, age) })
}

// Prices takes in present prices.
func (m *Manager) Prices(prices platform.Prices) {
	m.each(func(p *Planner) { p.Prices(prices.Prices) })
}

// Notice tells that an incarnation will be reclaimed.
func (m *Manager) Notice(instance string, incarnation uint64) {
	now := m.clock()
	m.each(func(p *Planner) { p.Notice(now, instance, incarnation) })
}

// Demand takes in the present load of a service.
func (m *Manager) Demand(name string, demand Demand) {
	m.with(name, func(p *Planner) { p.Demand(demand) })
}

// Servers takes in what is known of a service's backend servers.
func (m *Manager) Servers(name string, reports []Report) {
	now := m.clock()
	m.with(name, func(p *Planner) { p.Servers(now, reports) })
}

// Run carries the plans out until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	var calls errgroup.Group
	calls.SetLimit(callers)
	ticker := time.NewTicker(stepPeriod)
	defer ticker.Stop()
	for {
		for _, call := range m.step(ctx) {
			calls.Go(call)
		}
		select {
		case <-ctx.Done():
			return calls.Wait()
		case <-ticker.C:
		}
	}
}

// step returns the calls that are due.
func (m *Manager) step(ctx context.Context) []func() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	var calls []func() error
	for name, planner := range m.planners {
		planner.Lease(m.parts.Leases.Held(m.key(name)))
		for _, order := range planner.Step(now) {
			if load, ok := order.(OrderEngine); ok {
				m.loads.Offer(load)
				continue
			}
			calls = append(calls, func() error {
				m.carryOut(ctx, name, order)
				return nil
			})
		}
	}
	for {
		load, ok := m.loads.Next(now)
		if !ok {
			return calls
		}
		calls = append(calls, func() error {
			m.load(ctx, load)
			return nil
		})
	}
}

// result translates an error of the store or the cloud API.
func result(err error) Result {
	var conflict *store.Conflict
	switch {
	case err == nil:
		return Done
	case errors.As(err, &conflict), errors.Is(err, cloud.ErrRefused):
		return Refused
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, cloud.ErrUnavailable):
		return Unavailable
	default:
		return Unknown
	}
}

func overRate(err error) bool {
	var refused *engine.RefusedError
	return errors.As(err, &refused) && refused.Status == http.StatusTooManyRequests
}

func decode(entry platform.Entry) (Plan, error) {
	var plan Plan
	err := json.Unmarshal(entry.Value, &plan)
	return plan, errors.Wrap(err, "decode plan")
}
