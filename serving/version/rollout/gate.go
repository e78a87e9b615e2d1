package rollout

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// exposurePart is the part of Limits.ExposureShare that instances spend. The rest covers
	// requests that are counted late, such as those of attempts that were cut off.
	exposurePart = 0.8
	// initialPart is the part of Limits.ExposureSlack that instances start with, divided among
	// them. The rest covers instances that join, and attempts decided at the same moment.
	initialPart = 0.5
	// leastTrialServers is the least number of candidate servers in use in trial. A single one
	// would make a fault of one machine look like one of the version.
	leastTrialServers = 2
)

// Gate decides at one entry instance which versions attempts may use.
//
// What it learned stays when a view lacks it: views that peers pass on can be older than the
// one before, so a lower order revision or an earlier phase of the same order is ignored.
//
// All its times are of one clock, the boot clock: calls that are far apart on it are taken for a
// frozen process.
//
// Gate is safe for several goroutines. Its lock is the only one, and nothing is called with it.
type Gate struct {
	mu       sync.Mutex
	limits   Limits
	entries  int // most entry instances seen
	services map[string]*serviceState
	permits  map[string]*lease
	awake    wakefulness
}

// serviceState is what an instance knows of one service. Its pick lists are computed with each state
// and never changed, since picks share them.
type serviceState struct {
	order   Order
	ordered bool
	record  Record
	held    bool
	// restrict tells that an order without a record keeps the ordered version out of use.
	restrict bool
	phase    Phase
	exposure *exposure
	most     int
	// barred are the versions that no attempt may use, and without those that attempts at the
	// old versions may not use.
	barred, without []string
}

// NewGate returns a gate without orders, which restricts nothing. A site passes it a state, if an
// empty one, when it starts: the gate tells pauses of the process from then on.
func NewGate(limits Limits) *Gate {
	return &Gate{
		limits:   limits,
		services: make(map[string]*serviceState),
		permits:  make(map[string]*lease),
	}
}

// SetState takes in what the view of the store holds. Now is of the boot clock.
func (g *Gate) SetState(now time.Time, state State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.awake.call(now)
	g.entries = max(g.entries, state.Entries, 1)
	for _, l := range g.services {
		l.ordered = false
	}
	for _, order := range state.Orders {
		g.serviceState(order.Service).setOrder(order)
	}
	for _, record := range state.Records {
		g.serviceState(record.Service).setRecord(record)
	}
	for service, l := range g.services {
		if !l.ordered && !l.held {
			delete(g.services, service)
			delete(g.permits, service)
			continue
		}
		g.settle(l, state, service)
	}
}

func (g *Gate) serviceState(service string) *serviceState {
	l := g.services[service]
	if l == nil {
		l = &serviceState{}
		g.services[service] = l
	}
	return l
}

func (l *serviceState) setOrder(order Order) {
	l.ordered = true
	if order.Revision >= l.order.Revision {
		l.order = order
	}
}

func (l *serviceState) setRecord(record Record) {
	stale := record.Order < l.record.Order ||
		record.Order == l.record.Order && record.Phase.rank() < l.record.Phase.rank()
	if l.held && stale {
		return
	}
	l.record, l.held = record, true
}

// settle computes what picks of a service follow.
func (g *Gate) settle(l *serviceState, state State, service string) {
	old, known := state.OldServers[service]
	l.restrict = !known || old > 0
	l.phase = l.applied()
	l.barred = l.barredVersions()
	l.without = l.barred
	if candidate := l.candidate(); candidate != "" {
		l.without = with(slices.Clone(l.barred), candidate)
	}
	share := exposurePart * g.limits.ExposureShare
	l.most = max(leastTrialServers, int(math.Ceil(share*float64(old))))

	order := l.following()
	if l.exposure == nil || l.exposure.order != order {
		l.exposure = newExposure(order, share)
	}
	running := state.BornMS <= l.record.StartedMS
	if l.phase == Trial && running {
		l.exposure.start(initialPart * g.limits.ExposureSlack / float64(g.entries))
	}
}

// pending tells whether the newest order has no record yet.
func (l *serviceState) pending() bool {
	return l.ordered && l.order.Readable() && (!l.held || l.order.Revision > l.record.Order)
}

// following returns the revision of the order that exposure is counted for.
func (l *serviceState) following() uint64 {
	if l.pending() {
		return l.order.Revision
	}
	return l.record.Order
}

// applied returns the phase that picks follow, empty while the order has no record. A record in
// progress whose order was withdrawn is followed as reverted before the holder has written it.
func (l *serviceState) applied() Phase {
	switch {
	case !l.held || l.pending():
		return ""
	case !l.ordered && l.record.Phase.InProgress():
		return Reverted
	}
	return l.record.Phase
}

// candidate returns the version on trial or in shift, empty without one.
func (l *serviceState) candidate() string {
	if l.phase.InProgress() {
		return l.record.To
	}
	return ""
}

func (l *serviceState) barredVersions() []string {
	var barred []string
	if l.held {
		barred = with(barred, l.record.Barred...)
	}
	if l.record.Phase == Completed {
		barred = with(barred, l.record.From...)
	}
	withdrawn := !l.ordered && l.record.Phase.InProgress()
	replaced := l.pending() && l.record.Phase.InProgress()
	if l.record.Phase == Reverted || withdrawn || replaced {
		barred = with(barred, l.record.To)
	}
	if !l.pending() {
		return barred
	}
	if l.restrict && !l.trusted() {
		barred = with(barred, l.order.To)
	}
	return barred
}

// trusted tells whether the newest order names the one version that the record leaves in use.
// Without it nothing would serve until the order has a record.
func (l *serviceState) trusted() bool {
	if l.record.Phase == Completed {
		return l.record.To == l.order.To
	}
	return l.held && len(l.record.From) == 1 && l.record.From[0] == l.order.To
}

// Permit takes in the holder's permits, which do not count shortly after the instance was
// frozen. Now is of the boot clock, which goes on while the instance is suspended.
func (g *Gate) Permit(now time.Time, permits []Permit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.awake.call(now)
	if !g.awake.settled(now) {
		return
	}
	for _, permit := range permits {
		if !permit.Phase.InProgress() {
			continue
		}
		held := g.permits[permit.Service]
		if held == nil {
			held = &lease{}
			g.permits[permit.Service] = held
		}
		held.renew(now, permit.Order)
	}
}

// Pick returns the versions that an attempt may use. Repeat tells that the request failed at
// the candidate before, or that no server of Only could be chosen: then the pick is of the old
// versions. Now is of the boot clock. The lists of the pick must not be changed.
func (g *Gate) Pick(now time.Time, service, route string, repeat bool) Pick {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.awake.call(now)
	l := g.services[service]
	if l == nil {
		return Pick{}
	}
	if repeat || !l.phase.InProgress() {
		return Pick{Not: l.without}
	}
	if l.phase == Shift {
		return Pick{Candidate: true, Only: l.record.To, Not: l.barred}
	}
	if !g.fresh(now, service, l) || !l.exposure.reserve(now, route) {
		return Pick{Not: l.without}
	}
	return Pick{Candidate: true, Only: l.record.To, Not: l.barred, Most: l.most}
}

func (g *Gate) fresh(now time.Time, service string, l *serviceState) bool {
	held := g.permits[service]
	return held != nil && held.order == l.record.Order && held.fresh(now)
}

// Sent counts an attempt that went out to a backend server. Now is of the boot clock.
func (g *Gate) Sent(now time.Time, service, route string, candidate bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.awake.call(now)
	l := g.services[service]
	if l == nil || l.phase != Trial && !l.pending() {
		return
	}
	l.exposure.sent(now, route, candidate)
}

// IsCandidate tells whether a version is the candidate of a service's roll-out in progress.
func (g *Gate) IsCandidate(service, version string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.services[service]
	return l != nil && version != "" && version == l.candidate()
}

// Applied returns the order that picks follow for a service, and its phase; 0 without one.
func (g *Gate) Applied(service string) (order uint64, phase Phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.services[service]
	if l == nil || l.phase == "" {
		return 0, ""
	}
	return l.record.Order, l.phase
}

// PermitAge returns how long ago the last permit for a service's trial came, and whether it is
// fresh; it is not where no permit for the order came yet. Now is of the boot clock.
func (g *Gate) PermitAge(now time.Time, service string) (age time.Duration, fresh bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l, held := g.services[service], g.permits[service]
	if l == nil || held == nil {
		return 0, false
	}
	return now.Sub(held.at), l.phase == Trial && g.fresh(now, service, l)
}

// with appends the versions that a list lacks. The empty version is one like others: servers
// may have none.
func with(list []string, versions ...string) []string {
	for _, version := range versions {
		if !slices.Contains(list, version) {
			list = append(list, version)
		}
	}
	return list
}
