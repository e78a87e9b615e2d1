package rollout

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// exposureShareFactor is the part of Limits.ExposureShare that instances spend. The rest
	// covers requests that are counted late, such as those of attempts that were cut off.
	exposureShareFactor = 0.8
	// initialSlackFactor is the part of Limits.ExposureSlack that instances start with, divided
	// among them. The rest covers instances that join and attempts picked concurrently.
	initialSlackFactor = 0.5
	// minTrialServers is the minimum number of candidate servers in use in trial: with a single
	// one, a fault of one machine would look like one of the version.
	minTrialServers = 2
)

// Gate decides on one entry instance which versions attempts may use.
//
// Its state never goes back: views that peers pass on can be older than the one before, so a
// lower order revision or an earlier phase of the same order is ignored.
//
// All times are of the boot clock, which also runs while the machine is suspended: a long gap
// between two calls means that the process was frozen.
//
// Gate is safe for concurrent use. Its mutex is held alone and nothing is called under it.
type Gate struct {
	mu       sync.Mutex
	limits   Limits
	entries  int // highest number of entry instances seen
	services map[string]*serviceState
	permits  map[string]*permitLease
	pauses   pauseDetector
}

// serviceState is the gate's state of one service. Picks share its version lists, so these are
// replaced by each SetState and never modified.
type serviceState struct {
	order     Order
	hasOrder  bool
	record    Record
	hasRecord bool
	// barUnrecorded is set if an order without a record keeps the ordered version out of use.
	barUnrecorded bool
	phase         Phase
	exposure      *exposure
	maxServers    int
	// barred holds the versions that no attempt may use, and barredForOld those that attempts at
	// old versions may not use.
	barred, barredForOld []string
}

// NewGate returns a gate without orders, which restricts nothing. Pass it a state, possibly an
// empty one, at start: from then on it detects pauses of the process.
func NewGate(limits Limits) *Gate {
	return &Gate{
		limits:   limits,
		services: make(map[string]*serviceState),
		permits:  make(map[string]*permitLease),
	}
}

// SetState applies a view of the store. Now is of the boot clock.
func (g *Gate) SetState(now time.Time, state State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pauses.observe(now)
	g.entries = max(g.entries, state.Entries, 1)
	for _, s := range g.services {
		s.hasOrder = false
	}
	for _, order := range state.Orders {
		g.serviceState(order.Service).setOrder(order)
	}
	for _, record := range state.Records {
		g.serviceState(record.Service).setRecord(record)
	}
	for service, s := range g.services {
		if !s.hasOrder && !s.hasRecord {
			delete(g.services, service)
			delete(g.permits, service)
			continue
		}
		g.updatePicks(s, state, service)
	}
}

func (g *Gate) serviceState(service string) *serviceState {
	s := g.services[service]
	if s == nil {
		s = &serviceState{}
		g.services[service] = s
	}
	return s
}

func (s *serviceState) setOrder(order Order) {
	s.hasOrder = true
	if order.Revision >= s.order.Revision {
		s.order = order
	}
}

func (s *serviceState) setRecord(record Record) {
	stale := record.Order < s.record.Order ||
		record.Order == s.record.Order && record.Phase.rank() < s.record.Phase.rank()
	if s.hasRecord && stale {
		return
	}
	s.record, s.hasRecord = record, true
}

// updatePicks computes the pick lists and the exposure of a service.
func (g *Gate) updatePicks(s *serviceState, state State, service string) {
	old, known := state.OldServers[service]
	s.barUnrecorded = !known || old > 0
	s.phase = s.applied()
	s.barred = s.barredVersions()
	s.barredForOld = s.barred
	if candidate := s.candidate(); candidate != "" {
		s.barredForOld = appendMissing(slices.Clone(s.barred), candidate)
	}
	share := exposureShareFactor * g.limits.ExposureShare
	s.maxServers = max(minTrialServers, int(math.Ceil(share*float64(old))))

	order := s.exposureOrder()
	if s.exposure == nil || s.exposure.order != order {
		s.exposure = newExposure(order, share)
	}
	running := state.StartedMS <= s.record.StartedMS
	if s.phase == Trial && running {
		s.exposure.grantInitial(initialSlackFactor * g.limits.ExposureSlack / float64(g.entries))
	}
}

// pending reports whether the newest order has no record yet.
func (s *serviceState) pending() bool {
	return s.hasOrder && s.order.Readable() && (!s.hasRecord || s.order.Revision > s.record.Order)
}

// exposureOrder returns the revision of the order that exposure is counted for.
func (s *serviceState) exposureOrder() uint64 {
	if s.pending() {
		return s.order.Revision
	}
	return s.record.Order
}

// applied returns the phase that picks follow, empty while the order has no record. A record in
// progress whose order was withdrawn counts as reverted, even before the holder has written
// that.
func (s *serviceState) applied() Phase {
	switch {
	case !s.hasRecord || s.pending():
		return ""
	case !s.hasOrder && s.record.Phase.InProgress():
		return Reverted
	}
	return s.record.Phase
}

// candidate returns the version in trial or in shift, empty without one.
func (s *serviceState) candidate() string {
	if s.phase.InProgress() {
		return s.record.To
	}
	return ""
}

func (s *serviceState) barredVersions() []string {
	var barred []string
	if s.hasRecord {
		barred = appendMissing(barred, s.record.Barred...)
	}
	if s.record.Phase == Completed {
		barred = appendMissing(barred, s.record.From...)
	}
	withdrawn := !s.hasOrder && s.record.Phase.InProgress()
	replaced := s.pending() && s.record.Phase.InProgress()
	if s.record.Phase == Reverted || withdrawn || replaced {
		barred = appendMissing(barred, s.record.To)
	}
	if !s.pending() {
		return barred
	}
	if s.barUnrecorded && !s.ordersOnlyVersion() {
		barred = appendMissing(barred, s.order.To)
	}
	return barred
}

// ordersOnlyVersion reports whether the newest order names the only version that the record
// leaves in use. Barring it would leave no server until the order has a record.
func (s *serviceState) ordersOnlyVersion() bool {
	if s.record.Phase == Completed {
		return s.record.To == s.order.To
	}
	return s.hasRecord && len(s.record.From) == 1 && s.record.From[0] == s.order.To
}

// Permit renews the leases granted by the holder's permits. Permits that arrive shortly after
// the instance was frozen are ignored. Now is of the boot clock.
func (g *Gate) Permit(now time.Time, permits []Permit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pauses.observe(now)
	if !g.pauses.permitsValid(now) {
		return
	}
	for _, permit := range permits {
		if !permit.Phase.InProgress() {
			continue
		}
		lease := g.permits[permit.Service]
		if lease == nil {
			lease = &permitLease{}
			g.permits[permit.Service] = lease
		}
		lease.renew(now, permit.Order)
	}
}

// Pick returns the versions that an attempt may use. Repeat is set if the request failed at the
// candidate before, or if no server of Only was available: the pick is then of the old versions.
// Now is of the boot clock. The caller must not modify the lists of the pick.
func (g *Gate) Pick(now time.Time, service, route string, repeat bool) Pick {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pauses.observe(now)
	s := g.services[service]
	if s == nil {
		return Pick{}
	}
	if repeat || !s.phase.InProgress() {
		return Pick{Excluded: s.barredForOld}
	}
	if s.phase == Shift {
		return Pick{Candidate: true, Only: s.record.To, Excluded: s.barred}
	}
	if !g.fresh(now, service, s) || !s.exposure.reserve(now, route) {
		return Pick{Excluded: s.barredForOld}
	}
	return Pick{Candidate: true, Only: s.record.To, Excluded: s.barred, MaxServers: s.maxServers}
}

func (g *Gate) fresh(now time.Time, service string, s *serviceState) bool {
	lease := g.permits[service]
	return lease != nil && lease.order == s.record.Order && lease.fresh(now)
}

// Sent counts an attempt that was sent to a backend server. Now is of the boot clock.
func (g *Gate) Sent(now time.Time, service, route string, candidate bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pauses.observe(now)
	s := g.services[service]
	if s == nil || s.phase != Trial && !s.pending() {
		return
	}
	s.exposure.countSent(now, route, candidate)
}

// IsCandidate reports whether a version is the candidate of a service's roll-out in progress.
func (g *Gate) IsCandidate(service, version string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[service]
	return s != nil && version != "" && version == s.candidate()
}

// Applied returns the order that picks of a service follow and its phase; 0 without one.
func (g *Gate) Applied(service string) (order uint64, phase Phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[service]
	if s == nil || s.phase == "" {
		return 0, ""
	}
	return s.record.Order, s.phase
}

// PermitAge returns the time since the last permit for a service's trial and whether it is still
// valid, which it is not before the first permit for the order. Now is of the boot clock.
func (g *Gate) PermitAge(now time.Time, service string) (age time.Duration, fresh bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, lease := g.services[service], g.permits[service]
	if s == nil || lease == nil {
		return 0, false
	}
	return now.Sub(lease.renewedAt), s.phase == Trial && g.fresh(now, service, s)
}

// appendMissing appends the versions that are not in a list. Servers may have no version, so the
// empty version is treated like any other.
func appendMissing(list []string, versions ...string) []string {
	for _, version := range versions {
		if !slices.Contains(list, version) {
			list = append(list, version)
		}
	}
	return list
}
