package site

import (
	"slices"
	"time"

	"papayaport.dev/serving/process/sizing"
	"papayaport.dev/serving/version/rollout"
)

// reorderPeriod is the interval between orders of a count that a roll-out keeps from falling, so
// that missing servers are ordered again, but not in every period.
const reorderPeriod = 5 * time.Second

// orderedKind identifies the servers that one order counts.
type orderedKind struct {
	service, domain string
	reclaimable     bool
}

// orderedCount is the last order for a kind.
type orderedCount struct {
	count int
	at    time.Time
}

// isUnused reports whether servers of a version receive no requests, or trial requests only, so
// that they do not count as capacity.
func (r *rollouts) isUnused(service, version string) bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.records[service].Record
	for _, order := range r.orders {
		isNew := order.Service == service && order.Revision != record.Order && order.Readable()
		if isNew && order.To == version && !(record.Phase == rollout.Completed && record.To == version) {
			return true // the trial has not started
		}
	}
	switch {
	case slices.Contains(record.Barred, version):
		return true
	case record.Phase == rollout.Completed:
		return slices.Contains(record.From, version)
	case record.Phase == rollout.Trial, record.Phase == rollout.Reverted:
		return version == record.To
	}
	return false
}

// inProgress reports whether a service has an undecided roll-out.
func (r *rollouts) inProgress(service string) bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.openServices(), service)
}

// openServices returns the services with an undecided roll-out, sorted. The caller holds mu.
func (r *rollouts) openServices() []string {
	var open []string
	for service, known := range r.records {
		if known.Phase.InProgress() {
			open = append(open, service)
		}
	}
	for _, order := range r.orders {
		if order.Readable() && order.Revision != r.records[order.Service].Order {
			open = append(open, order.Service)
		}
	}
	slices.Sort(open)
	return slices.Compact(open)
}

// recordOrder stores an accepted order.
func (s *Site) recordOrder(now time.Time, order sizing.Order) {
	if s.ordered == nil {
		s.ordered = map[orderedKind]orderedCount{}
	}
	s.ordered[kindOf(order)] = orderedCount{count: order.Count, at: now}
}

func kindOf(order sizing.Order) orderedKind {
	return orderedKind{order.Service, order.FailureDomain, order.Reclaimable}
}

// keepCount keeps the number of servers from falling while a roll-out of their service is in
// progress, since old servers are needed until the last of them has no requests in flight. It
// returns the adjusted order and reports whether it has to be placed.
func (s *Site) keepCount(now time.Time, order sizing.Order, in sizing.Input) (sizing.Order, bool) {
	if !s.rollouts.inProgress(order.Service) {
		return order, true
	}
	live := in.Live[order.FailureDomain].OnDemand
	if order.Reclaimable {
		live = in.Live[order.FailureDomain].Reclaimable
	}
	last := s.ordered[kindOf(order)]
	floor := max(live, last.count)
	if order.Count >= floor {
		return order, true
	}
	order.Count = floor
	return order, live < floor && now.Sub(last.at) >= reorderPeriod
}
