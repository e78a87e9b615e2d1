package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/version/service"
)

const (
	// targetUtilization is the planned mean share of occupied slots of a server.
	targetUtilization = 0.7
	// shrinkAfter is how long fewer servers must suffice before one is removed.
	shrinkAfter = 2 * time.Minute
	// latencyPeriod is the interval between two servers added for a missed latency target.
	latencyPeriod = 30 * time.Second
	// listLag is how long a started instance may be missing in the instance list.
	listLag = time.Minute
	// leavingRetention is how long a reclaim notice is kept for an instance that is not listed.
	leavingRetention = 10 * time.Minute
	// minIdleTime is how long a drained server must be idle before it is stopped. It is longer
	// than the time after which a silent entry instance stops to count as live, so that
	// every instance that still counts as live then has been heard from since the drain.
	minIdleTime = 35 * time.Second
	// drainSlack is added to a service's deadline for draining a server.
	drainSlack = time.Minute
	// retryInterval is the interval between two attempts of an action without effect.
	retryInterval = 10 * time.Second
	// replacePriceRatio is the largest ratio of a reclaimable price to an on-demand price at
	// which the on-demand server is replaced.
	replacePriceRatio = 0.8
)

// Planner plans for one service in one failure domain.
type Planner struct {
	file   service.File
	domain string
	random *rand.Rand

	fencing       uint64 // fencing token of the lease, 0 while it is not held
	plan          Plan
	revision      uint64
	planKnown     bool
	planReading   bool
	pending       *Plan
	commitCount   int
	startCount    int
	nextStoreCall time.Time

	listTime          time.Time // when the instance list was taken
	planReadAt        time.Time // when the plan was read
	target            int       // wanted servers, including the surplus one during a replacement
	servers           map[string]platform.Instance
	leaving           map[string]leavingState
	options           []*option
	demand            *Demand
	lowSince          time.Time // since when fewer servers would suffice
	addedForLatencyAt time.Time // when a server was last added for latency
	starts            map[string]*startState
	stops             map[PlannedStop]*stopState
	engines           map[string]*engineState
}

// leavingState is the highest leaving incarnation of an instance.
type leavingState struct {
	incarnation uint64
	at          time.Time
}

type startState struct {
	option    *option // of the attempt in flight
	sentAt    time.Time
	retryAt   time.Time
	instance  string // id of the started instance
	startedAt time.Time
}

type stopState struct {
	drainRequested bool      // the drain was requested
	drainedAt      time.Time // when the drain was executed
	allReported    bool      // all entry instances have reported since
	idleSince      time.Time // since when the server has no requests
	sent           bool
	retryAt        time.Time
}

type engineState struct {
	report  Report
	pending bool
	retryAt time.Time
}

// NewPlanner returns the planner of a service in a failure domain.
func NewPlanner(file service.File, domain string, random *rand.Rand) *Planner {
	return &Planner{
		file:    file,
		domain:  domain,
		random:  random,
		servers: make(map[string]platform.Instance),
		leaving: make(map[string]leavingState),
		options: newOptions(file.Capacity.Classes, file.Capacity.OnDemand),
		starts:  make(map[string]*startState),
		stops:   make(map[PlannedStop]*stopState),
		engines: make(map[string]*engineState),
	}
}

// SetService replaces the service file and keeps the other state.
func (p *Planner) SetService(file service.File) {
	p.file = file
	updated := newOptions(file.Capacity.Classes, file.Capacity.OnDemand)
	for i, o := range updated {
		for _, old := range p.options {
			if old.class == o.class && old.reclaimable == o.reclaimable {
				old.index = o.index
				updated[i] = old
			}
		}
	}
	p.options = updated
	sortOptions(p.options)
}

// SetLease sets whether the lease is held, and its fencing token. With a new token, the planner
// first reads the plan of the previous holder.
func (p *Planner) SetLease(fencing uint64, held bool) {
	if !held {
		fencing = 0
	}
	if fencing == p.fencing {
		return
	}
	p.fencing = fencing
	p.planKnown = false
	p.pending = nil
}

// SetInstances replaces the instance list by one of the given age. A list older than the present
// one is ignored.
func (p *Planner) SetInstances(now time.Time, list []platform.Instance, age time.Duration) {
	if now.Add(-age).Before(p.listTime) {
		return
	}
	p.listTime = now.Add(-age)
	clear(p.servers)
	for _, instance := range list {
		if instance.Service != p.file.Name || instance.FailureDomain != p.domain || instance.Role != platform.BackendRole {
			continue
		}
		p.servers[instance.ID] = instance
		if instance.Leaving {
			p.MarkLeaving(now, instance.ID, instance.Incarnation)
		}
	}
	for id, state := range p.leaving {
		if _, listed := p.servers[id]; !listed && now.Sub(state.at) > leavingRetention {
			delete(p.leaving, id)
		}
	}
	for id := range p.engines {
		if _, listed := p.servers[id]; !listed {
			delete(p.engines, id)
		}
	}
}

// SetPrices replaces the prices.
func (p *Planner) SetPrices(prices []platform.Price) {
	for _, o := range p.options {
		o.setPrice(p.domain, prices)
	}
	sortOptions(p.options)
}

// SetDemand replaces the demand.
func (p *Planner) SetDemand(demand Demand) { p.demand = &demand }

// SetReports updates the state of the reported servers.
func (p *Planner) SetReports(now time.Time, reports []Report) {
	for _, report := range reports {
		state := p.engines[report.Instance]
		if state == nil {
			state = &engineState{}
			p.engines[report.Instance] = state
		}
		state.report = report
		p.updateIdle(now, report)
	}
}

// updateIdle updates since when a drained server is idle, and whether all entry instances have
// reported since the drain.
func (p *Planner) updateIdle(now time.Time, report Report) {
	stop := p.stops[PlannedStop{Instance: report.Instance, Incarnation: report.Incarnation}]
	if stop == nil || stop.drainedAt.IsZero() {
		return
	}
	if report.AllReported && now.Sub(stop.drainedAt) >= minIdleTime {
		stop.allReported = true
	}
	if report.InUse > 0 {
		stop.idleSince = time.Time{}
		return
	}
	if stop.idleSince.IsZero() {
		stop.idleSince = now
	}
}

// MarkLeaving records that an incarnation will be reclaimed.
func (p *Planner) MarkLeaving(now time.Time, instance string, incarnation uint64) {
	if incarnation >= p.leaving[instance].incarnation {
		p.leaving[instance] = leavingState{incarnation: incarnation, at: now}
	}
}

// PlanRead handles the result of ReadPlan. A missing plan is the zero Plan at revision 0.
func (p *Planner) PlanRead(now time.Time, result Result, plan Plan, revision uint64) {
	p.planReading = false
	if result != Done {
		p.backOff(now)
		return
	}
	p.planReadAt = now
	p.adoptPlan(plan, revision)
}

func (p *Planner) backOff(now time.Time) {
	p.nextStoreCall = now.Add(time.Second + time.Duration(p.random.Int64N(int64(time.Second))))
}

// adoptPlan sets the committed plan and keeps the progress of the starts and stops in it.
func (p *Planner) adoptPlan(plan Plan, revision uint64) {
	p.plan, p.revision, p.planKnown = plan, revision, true
	p.pending = nil
	starts := make(map[string]*startState)
	for _, start := range plan.Starts {
		starts[start.RequestID] = p.starts[start.RequestID]
		if starts[start.RequestID] == nil {
			starts[start.RequestID] = &startState{}
		}
	}
	stops := make(map[PlannedStop]*stopState)
	for _, stop := range plan.Stops {
		stops[stop] = p.stops[stop]
		if stops[stop] == nil {
			stops[stop] = &stopState{}
		}
	}
	p.starts, p.stops = starts, stops
}

// PlanCommitted handles the result of CommitPlan. After a conflict or an unknown result the
// plan is read again.
func (p *Planner) PlanCommitted(now time.Time, commit string, result Result, revision uint64) {
	if p.pending == nil || p.pending.Commit != commit {
		return
	}
	if result == Done {
		p.adoptPlan(*p.pending, revision)
		return
	}
	p.pending = nil
	p.planKnown = p.planKnown && result == Unavailable
	p.backOff(now)
}

// Started handles the result of StartInstance.
func (p *Planner) Started(now time.Time, requestID string, result Result, instance string) {
	state := p.starts[requestID]
	if state == nil || state.option == nil {
		return
	}
	o := state.option
	state.option = nil
	o.attempts--
	switch result {
	case Done:
		o.onStarted()
		state.instance, state.startedAt = instance, now
	case Refused:
		o.onRefused(now, state.sentAt, p.random)
	default:
		state.retryAt = now.Add(time.Second + time.Duration(p.random.Int64N(int64(time.Second))))
	}
}

// Drained records that a DrainServer was executed: the drain is being sent to all entry
// instances.
func (p *Planner) Drained(now time.Time, stop PlannedStop) {
	if state := p.stops[stop]; state != nil {
		state.drainedAt = now
	}
}

// Stopped handles the result of StopInstance.
func (p *Planner) Stopped(now time.Time, stop PlannedStop, result Result) {
	if state := p.stops[stop]; state != nil {
		state.sent = result == Done
		state.retryAt = now.Add(retryInterval)
	}
}

// Ordered records that the call of an OrderEngine has ended. The server's next report shows
// whether it took effect.
func (p *Planner) Ordered(now time.Time, instance string) {
	if state := p.engines[instance]; state != nil {
		state.pending = false
		state.retryAt = now.Add(retryInterval)
	}
}

// Step returns the actions that are due. Servers are only started, stopped or changed after this
// lease holder has committed a plan under its own fencing token, based on an instance list that
// is newer than the plan that it read.
func (p *Planner) Step(now time.Time) []Action {
	if p.fencing == 0 || p.planReading || now.Before(p.nextStoreCall) {
		return nil
	}
	if !p.planKnown {
		if p.pending != nil {
			return nil
		}
		p.planReading = true
		return []Action{ReadPlan{}}
	}
	if p.plan.Fencing > p.fencing || p.listTime.Before(p.planReadAt) {
		return nil
	}
	if p.pending == nil {
		if commit := p.commitActions(now); commit != nil {
			return commit
		}
	}
	if p.plan.Fencing != p.fencing {
		return nil
	}
	actions := append(p.startActions(now), p.stopActions(now)...)
	return append(actions, p.engineOrders(now)...)
}

func (p *Planner) commitActions(now time.Time) []Action {
	next := p.desired(now)
	if next.equal(&p.plan) && p.plan.Fencing == p.fencing {
		return nil
	}
	p.commitCount++
	next.Commit = fmt.Sprintf("%d-%d", p.fencing, p.commitCount)
	next.Fencing = p.fencing
	p.pending = &next
	return []Action{CommitPlan{Plan: next, IfRevision: p.revision}}
}
