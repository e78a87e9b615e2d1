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
	// stepPeriod is the interval between two steps of the planners.
	stepPeriod = 500 * time.Millisecond
	// maxCalls limits the calls in flight.
	maxCalls = 16
	// orderTimeout limits an engine order, including the fetch of the weights.
	orderTimeout = 5 * time.Minute
	// keyPrefix is the prefix of the keys of plans and the names of leases.
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

// Engines sends orders to model engines. A response with a status other than 200 is returned as
// an *engine.RefusedError.
type Engines interface {
	Order(ctx context.Context, address string, action engine.Order) error
}

// Drainer makes all entry instances stop sending new requests to a backend server.
type Drainer interface {
	Drain(stop PlannedStop, within time.Duration)
}

// Leases returns the fencing token of a lease and whether it is held.
type Leases interface {
	Held(name string) (uint64, bool)
}

// Dependencies are the dependencies of a Manager.
type Dependencies struct {
	Store   Store
	Cloud   Cloud
	Engines Engines
	Drainer Drainer
	Leases  Leases
	Log     logrus.FieldLogger
}

// Manager runs the planners of all services in one failure domain. It is safe for concurrent use.
type Manager struct {
	parts  Dependencies
	domain string
	clock  func() time.Time
	random *rand.Rand

	mu       sync.Mutex
	planners map[string]*Planner // by service
	loads    *LoadQueue
}

// New returns the manager of a failure domain.
func New(parts Dependencies, domain string, clock func() time.Time, random *rand.Rand) *Manager {
	return &Manager{
		parts:    parts,
		domain:   domain,
		clock:    clock,
		random:   random,
		planners: make(map[string]*Planner),
		loads:    NewLoadQueue(random),
	}
}

func (m *Manager) key(name string) string { return keyPrefix + name + "/" + m.domain }

// LeaseNames returns the names of the leases that the planners require.
func (m *Manager) LeaseNames() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name := range m.planners {
		names = append(names, m.key(name))
	}
	return names
}

// SetServices replaces the active service files. Services without a MaxPerDomain are not
// managed.
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
			planner.SetService(file)
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

// forEach calls do with every planner while it holds the lock.
func (m *Manager) forEach(do func(*Planner)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, planner := range m.planners {
		do(planner)
	}
}

// withPlanner calls do with the planner of a service, if there is one, while it holds the lock.
func (m *Manager) withPlanner(name string, do func(*Planner)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if planner := m.planners[name]; planner != nil {
		do(planner)
	}
}

// SetInstances replaces the instance list.
func (m *Manager) SetInstances(list platform.Instances) {
	now := m.clock()
	age := time.Duration(list.AgeMS) * time.Millisecond
	m.forEach(func(p *Planner) { p.SetInstances(now, list.Instances, age) })
}

// SetPrices replaces the prices.
func (m *Manager) SetPrices(prices platform.Prices) {
	m.forEach(func(p *Planner) { p.SetPrices(prices.Prices) })
}

// MarkLeaving records that an incarnation will be reclaimed.
func (m *Manager) MarkLeaving(instance string, incarnation uint64) {
	now := m.clock()
	m.forEach(func(p *Planner) { p.MarkLeaving(now, instance, incarnation) })
}

// SetDemand replaces the demand of a service.
func (m *Manager) SetDemand(name string, demand Demand) {
	m.withPlanner(name, func(p *Planner) { p.SetDemand(demand) })
}

// SetReports updates the state of a service's backend servers.
func (m *Manager) SetReports(name string, reports []Report) {
	now := m.clock()
	m.withPlanner(name, func(p *Planner) { p.SetReports(now, reports) })
}

// Run executes the plans until ctx is done.
func (m *Manager) Run(ctx context.Context) error {
	var calls errgroup.Group
	calls.SetLimit(maxCalls)
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
		planner.SetLease(m.parts.Leases.Held(m.key(name)))
		for _, action := range planner.Step(now) {
			if load, ok := action.(OrderEngine); ok {
				m.loads.Enqueue(load)
				continue
			}
			calls = append(calls, func() error {
				m.execute(ctx, name, action)
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

// result converts an error of the store or the cloud API to a Result.
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

func isRateLimited(err error) bool {
	var refused *engine.RefusedError
	return errors.As(err, &refused) && refused.Status == http.StatusTooManyRequests
}

func decode(entry platform.Entry) (Plan, error) {
	var plan Plan
	err := json.Unmarshal(entry.Value, &plan)
	return plan, errors.Wrap(err, "decode plan")
}
