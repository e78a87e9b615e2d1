package capacity

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"papayaport.dev/serving/process/platform/store"
)

// execute makes the call for one action and passes the result to the planner.
func (m *Manager) execute(ctx context.Context, name string, action Action) {
	switch o := action.(type) {
	case ReadPlan:
		m.read(ctx, name)
	case CommitPlan:
		m.commit(ctx, name, o)
	case StartInstance:
		m.start(ctx, name, o)
	case DrainServer:
		m.parts.Log.WithField("instance", o.Stop.Instance).Info("capacity: draining a backend server")
		m.parts.Drainer.Drain(o.Stop, o.Within)
		now := m.clock()
		m.withPlanner(name, func(p *Planner) { p.Drained(now, o.Stop) })
	case StopInstance:
		m.stop(ctx, name, o)
	}
}

// holdsLease checks the lease immediately before a call with an effect.
func (m *Manager) holdsLease(name string) bool {
	_, held := m.parts.Leases.Held(m.key(name))
	return held
}

func (m *Manager) read(ctx context.Context, name string) {
	entry, err := m.parts.Store.Get(ctx, m.key(name))
	var plan Plan
	switch {
	case errors.Is(err, store.ErrNotFound):
		err = nil
	case err == nil:
		plan, err = decode(entry)
	}
	if err != nil {
		m.parts.Log.WithField("service", name).WithError(err).Warn("capacity: failed to read the plan")
	}
	now := m.clock()
	m.withPlanner(name, func(p *Planner) { p.PlanRead(now, result(err), plan, entry.Revision) })
}

func (m *Manager) commit(ctx context.Context, name string, o CommitPlan) {
	value, err := json.Marshal(o.Plan)
	if err == nil && !m.holdsLease(name) {
		err = store.ErrUnavailable
	}
	revision := uint64(0)
	if err == nil {
		entry, failure := m.parts.Store.Put(ctx, m.key(name), value, o.IfRevision)
		revision, err = entry.Revision, failure
	}
	now := m.clock()
	m.withPlanner(name, func(p *Planner) { p.PlanCommitted(now, o.Plan.Commit, result(err), revision) })
}

func (m *Manager) start(ctx context.Context, name string, o StartInstance) {
	r, instance := Unavailable, ""
	if m.holdsLease(name) {
		started, err := m.parts.Cloud.Start(ctx, o.Start)
		r, instance = result(err), started.ID
		m.parts.Log.WithFields(map[string]any{
			"service": name, "class": o.Start.Class, "reclaimable": o.Start.Reclaimable, "instance": instance,
		}).WithError(err).Info("capacity: requested a new instance")
	}
	now := m.clock()
	m.withPlanner(name, func(p *Planner) { p.Started(now, o.Start.RequestID, r, instance) })
}

func (m *Manager) stop(ctx context.Context, name string, o StopInstance) {
	r := Unavailable
	if m.holdsLease(name) {
		err := m.parts.Cloud.Stop(ctx, o.Stop.Instance)
		r = result(err)
		m.parts.Log.WithField("instance", o.Stop.Instance).WithError(err).Info("capacity: requested the stop of a drained instance")
	}
	now := m.clock()
	m.withPlanner(name, func(p *Planner) { p.Stopped(now, o.Stop, r) })
}

// load sends an engine an order that fetches from the weight store.
func (m *Manager) load(ctx context.Context, o OrderEngine) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var err error
	if m.holdsLease(o.Service) {
		err = m.parts.Engines.Order(ctx, o.Address, o.Order)
	}
	if err != nil {
		m.parts.Log.WithField("instance", o.Instance).WithError(err).Warn("capacity: engine action failed")
	}
	now := m.clock()
	m.withPlanner(o.Service, func(p *Planner) { p.Ordered(now, o.Instance) })
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loads.Finish(now, isRateLimited(err))
}
