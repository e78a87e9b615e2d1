package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"papayaport.dev/serving/process/platform"
)

// liveServers returns the listed servers that are neither leaving nor planned to stop, sorted by
// id.
func (p *Planner) liveServers() []platform.Instance {
	var all []platform.Instance
	for _, s := range p.servers {
		if p.leaving[s.ID].incarnation < s.Incarnation && !p.plan.stops(s.ID) {
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(a, b platform.Instance) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return all
}

// desired returns the plan that should be committed.
func (p *Planner) desired(now time.Time) Plan {
	next := p.plan.clone()
	p.dropCompleted(&next)
	live := p.liveServers()
	next.Wanted = p.wantedServers(now, len(live))
	p.target = next.Wanted
	if p.replacesOnDemand(now, live) {
		p.target = min(p.target+1, p.file.Capacity.MaxPerDomain)
	}
	p.addStarts(&next, len(live))
	p.addStop(now, &next, live)
	return next
}

// dropCompleted removes the starts whose instance is listed or was not listed in time, and the
// stops whose instance is gone.
func (p *Planner) dropCompleted(next *Plan) {
	next.Starts = slices.DeleteFunc(next.Starts, func(start PlannedStart) bool {
		state := p.starts[start.RequestID]
		if state.instance == "" {
			return false
		}
		_, listed := p.servers[state.instance]
		return listed || p.listTime.Sub(state.startedAt) > listLag
	})
	next.Stops = slices.DeleteFunc(next.Stops, func(stop PlannedStop) bool {
		s, listed := p.servers[stop.Instance]
		return !listed || s.Incarnation != stop.Incarnation
	})
}

// wantedServers returns the number of servers for the current demand. It grows immediately and
// shrinks by one server at a time.
func (p *Planner) wantedServers(now time.Time, live int) int {
	limits := p.file.Capacity
	present := max(p.plan.Wanted, limits.MinPerDomain)
	if p.revision == 0 {
		present = max(present, live)
	}
	if p.demand == nil {
		return min(present, limits.MaxPerDomain)
	}
	slots := float64(max(limits.SlotsPerServer, 1)) * targetUtilization
	need := int(math.Ceil(float64(p.demand.InFlight+p.demand.Waiting) / slots))
	if p.missesLatencyTarget() && live >= present && now.Sub(p.addedForLatencyAt) >= latencyPeriod {
		p.addedForLatencyAt = now
		need = max(need, present+1)
	}
	need = min(max(need, limits.MinPerDomain), limits.MaxPerDomain)
	if need >= present || p.missesLatencyTarget() {
		p.lowSince = time.Time{}
		return min(max(need, present), limits.MaxPerDomain)
	}
	if p.lowSince.IsZero() {
		p.lowSince = now
	}
	if now.Sub(p.lowSince) < shrinkAfter {
		return min(present, limits.MaxPerDomain)
	}
	p.lowSince = now
	return min(present-1, limits.MaxPerDomain)
}

func (p *Planner) missesLatencyTarget() bool {
	return p.file.LatencyTarget.FirstTokenMS > 0 && p.demand.FirstTokenMS > p.file.LatencyTarget.FirstTokenMS
}

// replacesOnDemand reports whether an on-demand server should be replaced by a reclaimable one.
// The replacement is started first, which requires room below MaxPerDomain.
func (p *Planner) replacesOnDemand(now time.Time, live []platform.Instance) bool {
	return slices.ContainsFunc(p.options, func(o *option) bool { return p.replacementFor(now, o, live) })
}

// replacementFor reports whether an option is cheap enough to replace a live on-demand server.
func (p *Planner) replacementFor(now time.Time, o *option, live []platform.Instance) bool {
	if !o.reclaimable || now.Before(o.retryAt) {
		return false
	}
	return slices.ContainsFunc(live, func(s platform.Instance) bool {
		return !s.Reclaimable && o.price < replacePriceRatio*s.PricePerHour
	})
}

// addStarts adds starts up to the target. The live servers and all starts together stay within
// MaxPerDomain.
func (p *Planner) addStarts(next *Plan, live int) {
	for live+len(next.Starts) < p.target {
		p.startCount++
		id := fmt.Sprintf("%s/%s/%d-%d", p.file.Name, p.domain, p.fencing, p.startCount)
		next.Starts = append(next.Starts, PlannedStart{RequestID: id})
	}
}

// addStop plans the stop of the most expensive server above the target, on-demand ones first,
// one at a time.
func (p *Planner) addStop(now time.Time, next *Plan, live []platform.Instance) {
	replacing := len(live) > next.Wanted && p.replacesOnDemand(now, live)
	if len(next.Stops) > 0 || (len(live) <= p.target && !replacing) {
		return
	}
	stopped := slices.MaxFunc(live, compareStopPriority)
	next.Stops = append(next.Stops, PlannedStop{Instance: stopped.ID, Incarnation: stopped.Incarnation})
}

func compareStopPriority(a, b platform.Instance) int {
	if a.Reclaimable == b.Reclaimable {
		return cmp.Compare(a.PricePerHour, b.PricePerHour)
	}
	if b.Reclaimable {
		return 1
	}
	return -1
}
