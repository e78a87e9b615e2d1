package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/version/service"
)

const (
	// useTarget is the share of a server's slots that is filled on average.
	useTarget = 0.7
	// shrinkAfter is how long fewer servers must do before one is given back.
	shrinkAfter = 2 * time.Minute
	// latencyPeriod is the time between two servers added for a missed latency target.
	latencyPeriod = 30 * time.Second
	// listLag is how long a started instance may be missing in the instance list.
	listLag = time.Minute
	// keepLeft is how long a notice is kept for an instance that is not listed.
	keepLeft = 10 * time.Minute
	// settle is how long a drained server must be seen without work. It is longer than
	// the silence up to which an entry instance counts as live, so that all that are
	// live behind it gave a sign of life after the drain.
	settle = 35 * time.Second
	// drainSlack is added to a service's deadline for draining a server.
	drainSlack = time.Minute
	// repeatAfter is the time between two attempts of an order without effect.
	repeatAfter = 10 * time.Second
	// cheaperShare is the share of an on-demand price that a reclaimable one must be
	// below to take its place.
	cheaperShare = 0.8
)

// Planner plans for one service in one failure domain.
type Planner struct {
	file   service.File
	domain string
	random *rand.Rand

	fencing  uint64 // 0 without the lease
	plan     Plan
	revision uint64
	known    bool
	reading  bool
	pending  *Plan
	commits  int
	places   int
	nextIO   time.Time

	listed  time.Time // the time that the instance list tells of
	readAt  time.Time // when the plan was read
	target  int       // servers to have at present, those in exchange included
	servers map[string]platform.Instance
	left    map[string]leftState
	options []*option
	demand  *Demand
	lowAt   time.Time // since when fewer servers would do
	slowAt  time.Time // when a server was added for latency
	starts  map[string]*startState
	stops   map[PlannedStop]*stopState
	engines map[string]*engineState
}

// leftState is the highest leaving incarnation of an instance.
type leftState struct {
	incarnation uint64
	at          time.Time
}

type startState struct {
	option   *option // of the attempt under way
	sent     time.Time
	next     time.Time
	instance string // what was started
	started  time.Time
}

type stopState struct {
	asked   bool      // the drain was ordered
	drained time.Time // when it had been carried out
	heard   bool      // every entry instance was heard of since
	idle    time.Time // since when it is without work
	sent    bool
	next    time.Time
}

type engineState struct {
	report  Report
	pending bool
	next    time.Time
}

// NewPlanner returns the planner of a service in a failure domain.
func NewPlanner(file service.File, domain string, random *rand.Rand) *Planner {
	return &Planner{
		file:    file,
		domain:  domain,
		random:  random,
		servers: make(map[string]platform.Instance),
		left:    make(map[string]leftState),
		options: options(file.Capacity.Classes, file.Capacity.OnDemand),
		starts:  make(map[string]*startState),
		stops:   make(map[PlannedStop]*stopState),
		engines: make(map[string]*engineState),
	}
}

// Update replaces the service file and keeps all else.
func (p *Planner) Update(file service.File) {
	p.file = file
	fresh := options(file.Capacity.Classes, file.Capacity.OnDemand)
	for i, o := range fresh {
		for _, old := range p.options {
			if old.class == o.class && old.reclaimable == o.reclaimable {
				old.place = o.place
				fresh[i] = old
			}
		}
	}
	p.options = fresh
	sortOptions(p.options)
}

// Lease tells whether the lease is held, and under which fencing number. A new number
// makes the planner read the plan of its predecessor first.
func (p *Planner) Lease(fencing uint64, held bool) {
	if !held {
		fencing = 0
	}
	if fencing == p.fencing {
		return
	}
	p.fencing = fencing
	p.known = false
	p.pending = nil
}

// Instances takes in the instance list, which tells of the time age before now. A list
// older than the one before is ignored.
func (p *Planner) Instances(now time.Time, list []platform.Instance, age time.Duration) {
	if now.Add(-age).Before(p.listed) {
		return
	}
	p.listed = now.Add(-age)
	clear(p.servers)
	for _, instance := range list {
		if instance.Service != p.file.Name || instance.FailureDomain != p.domain || instance.Role != platform.BackendRole {
			continue
		}
		p.servers[instance.ID] = instance
		if instance.Leaving {
			p.Notice(now, instance.ID, instance.Incarnation)
		}
	}
	for id, state := range p.left {
		if _, listed := p.servers[id]; !listed && now.Sub(state.at) > keepLeft {
			delete(p.left, id)
		}
	}
	for id := range p.engines {
		if _, listed := p.servers[id]; !listed {
			delete(p.engines, id)
		}
	}
}

// Prices takes in present prices.
func (p *Planner) Prices(prices []platform.Price) {
	for _, o := range p.options {
		o.takePrice(p.domain, prices)
	}
	sortOptions(p.options)
}

// Demand takes in the present load.
func (p *Planner) Demand(demand Demand) { p.demand = &demand }

// Servers takes in what is known of the servers.
func (p *Planner) Servers(now time.Time, reports []Report) {
	for _, report := range reports {
		state := p.engines[report.Instance]
		if state == nil {
			state = &engineState{}
			p.engines[report.Instance] = state
		}
		state.report = report
		p.noteIdle(now, report)
	}
}

// noteIdle notes since when a drained server is without work, and that every entry
// instance was heard of since the drain.
func (p *Planner) noteIdle(now time.Time, report Report) {
	stop := p.stops[PlannedStop{Instance: report.Instance, Incarnation: report.Incarnation}]
	if stop == nil || stop.drained.IsZero() {
		return
	}
	if report.AllHeard && now.Sub(stop.drained) >= settle {
		stop.heard = true
	}
	if report.InUse > 0 {
		stop.idle = time.Time{}
		return
	}
	if stop.idle.IsZero() {
		stop.idle = now
	}
}

// Notice tells that an incarnation will be reclaimed.
func (p *Planner) Notice(now time.Time, instance string, incarnation uint64) {
	if incarnation >= p.left[instance].incarnation {
		p.left[instance] = leftState{incarnation: incarnation, at: now}
	}
}

// PlanRead takes in the answer to ReadPlan; a missing plan is the zero Plan at revision 0.
func (p *Planner) PlanRead(now time.Time, result Result, plan Plan, revision uint64) {
	p.reading = false
	if result != Done {
		p.pause(now)
		return
	}
	p.readAt = now
	p.adopt(plan, revision)
}

func (p *Planner) pause(now time.Time) {
	p.nextIO = now.Add(time.Second + time.Duration(p.random.Int64N(int64(time.Second))))
}

// adopt takes a plan as the committed one and keeps the progress of what it names.
func (p *Planner) adopt(plan Plan, revision uint64) {
	p.plan, p.revision, p.known = plan, revision, true
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

// PlanCommitted takes in the answer to CommitPlan. After a conflict or a lost answer the
// plan is read again.
func (p *Planner) PlanCommitted(now time.Time, commit string, result Result, revision uint64) {
	if p.pending == nil || p.pending.Commit != commit {
		return
	}
	if result == Done {
		p.adopt(*p.pending, revision)
		return
	}
	p.pending = nil
	p.known = p.known && result == Unavailable
	p.pause(now)
}

// Started takes in the answer to StartInstance.
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
		o.succeed()
		state.instance, state.started = instance, now
	case Refused:
		o.refuse(now, state.sent, p.random)
	default:
		state.next = now.Add(time.Second + time.Duration(p.random.Int64N(int64(time.Second))))
	}
}

// Drained tells that a DrainServer was carried out: all entry instances are being told.
func (p *Planner) Drained(now time.Time, stop PlannedStop) {
	if state := p.stops[stop]; state != nil {
		state.drained = now
	}
}

// Stopped takes in the answer to StopInstance.
func (p *Planner) Stopped(now time.Time, stop PlannedStop, result Result) {
	if state := p.stops[stop]; state != nil {
		state.sent = result == Done
		state.next = now.Add(repeatAfter)
	}
}

// Ordered tells that an OrderEngine has ended. Whether it took effect shows in the
// server's next report.
func (p *Planner) Ordered(now time.Time, instance string) {
	if state := p.engines[instance]; state != nil {
		state.pending = false
		state.next = now.Add(repeatAfter)
	}
}

// Step returns what to do now. Nothing is done before this holder has committed a plan
// under its own fencing number, on an instance list later than the plan that it read.
func (p *Planner) Step(now time.Time) []Order {
	if p.fencing == 0 || p.reading || now.Before(p.nextIO) {
		return nil
	}
	if !p.known {
		if p.pending != nil {
			return nil
		}
		p.reading = true
		return []Order{ReadPlan{}}
	}
	if p.plan.Fencing > p.fencing || p.listed.Before(p.readAt) {
		return nil
	}
	if p.pending == nil {
		if commit := p.commit(now); commit != nil {
			return commit
		}
	}
	if p.plan.Fencing != p.fencing {
		return nil
	}
	orders := append(p.startOrders(now), p.stopOrders(now)...)
	return append(orders, p.engineOrders(now)...)
}

func (p *Planner) commit(now time.Time) []Order {
	next := p.desired(now)
	if next.equal(&p.plan) && p.plan.Fencing == p.fencing {
		return nil
	}
	p.commits++
	next.Commit = fmt.Sprintf("%d-%d", p.fencing, p.commits)
	next.Fencing = p.fencing
	p.pending = &next
	return []Order{CommitPlan{Plan: next, IfRevision: p.revision}}
}
