package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"papayaport.dev/serving/process/platform"
)

// live returns the listed servers that neither leave nor are to be stopped, sorted by id.
func (p *Planner) live() []platform.Instance {
	var all []platform.Instance
	for _, s := range p.servers {
		if p.left[s.ID].incarnation < s.Incarnation && !p.plan.stops(s.ID) {
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
	p.dropSettled(&next)
	live := p.live()
	next.Wanted = p.wanted(now, len(live))
	p.target = next.Wanted
	if p.swaps(now, live) {
		p.target = min(p.target+1, p.file.Capacity.MaxPerDomain)
	}
	p.addStarts(&next, len(live))
	p.addStop(now, &next, live)
	return next
}

// dropSettled removes the places whose instance is listed, or was not listed in time,
// and the stops whose instance is gone.
func (p *Planner) dropSettled(next *Plan) {
	next.Starts = slices.DeleteFunc(next.Starts, func(start PlannedStart) bool {
		state := p.starts[start.RequestID]
		if state.instance == "" {
			return false
		}
		_, listed := p.servers[state.instance]
		return listed || p.listed.Sub(state.started) > listLag
	})
	next.Stops = slices.DeleteFunc(next.Stops, func(stop PlannedStop) bool {
		s, listed := p.servers[stop.Instance]
		return !listed || s.Incarnation != stop.Incarnation
	})
}

// wanted returns the number of servers for the present demand. It grows at once and
// shrinks one at a time.
func (p *Planner) wanted(now time.Time, live int) int {
	limits := p.file.Capacity
	present := max(p.plan.Wanted, limits.MinPerDomain)
	if p.revision == 0 {
		present = max(present, live)
	}
	if p.demand == nil {
		return min(present, limits.MaxPerDomain)
	}
	slots := float64(max(limits.SlotsPerServer, 1)) * useTarget
	need := int(math.Ceil(float64(p.demand.InFlight+p.demand.Waiting) / slots))
	if p.slow() && live >= present && now.Sub(p.slowAt) >= latencyPeriod {
		p.slowAt = now
		need = max(need, present+1)
	}
	need = min(max(need, limits.MinPerDomain), limits.MaxPerDomain)
	if need >= present || p.slow() {
		p.lowAt = time.Time{}
		return min(max(need, present), limits.MaxPerDomain)
	}
	if p.lowAt.IsZero() {
		p.lowAt = now
	}
	if now.Sub(p.lowAt) < shrinkAfter {
		return min(present, limits.MaxPerDomain)
	}
	p.lowAt = now
	return min(present-1, limits.MaxPerDomain)
}

func (p *Planner) slow() bool {
	return p.file.LatencyTarget.FirstTokenMS > 0 && p.demand.FirstTokenMS > p.file.LatencyTarget.FirstTokenMS
}

// swaps tells whether an on-demand server should make way for a reclaimable one. The
// new one is started first, so that this needs room below MaxPerDomain.
func (p *Planner) swaps(now time.Time, live []platform.Instance) bool {
	return slices.ContainsFunc(p.options, func(o *option) bool { return p.cheaper(now, o, live) })
}

// cheaper tells whether an option is worth giving an on-demand server back for.
func (p *Planner) cheaper(now time.Time, o *option, live []platform.Instance) bool {
	if !o.reclaimable || now.Before(o.until) {
		return false
	}
	return slices.ContainsFunc(live, func(s platform.Instance) bool {
		return !s.Reclaimable && o.price < cheaperShare*s.PricePerHour
	})
}

// addStarts adds places up to the target. All places together with the live servers stay
// within MaxPerDomain.
func (p *Planner) addStarts(next *Plan, live int) {
	for live+len(next.Starts) < p.target {
		p.places++
		id := fmt.Sprintf("%s/%s/%d-%d", p.file.Name, p.domain, p.fencing, p.places)
		next.Starts = append(next.Starts, PlannedStart{RequestID: id})
	}
}

// addStop adds the dearest server above the target, on-demand ones first, one at a time.
func (p *Planner) addStop(now time.Time, next *Plan, live []platform.Instance) {
	swapped := len(live) > next.Wanted && p.swaps(now, live)
	if len(next.Stops) > 0 || (len(live) <= p.target && !swapped) {
		return
	}
	victim := slices.MaxFunc(live, dearer)
	next.Stops = append(next.Stops, PlannedStop{Instance: victim.ID, Incarnation: victim.Incarnation})
}

func dearer(a, b platform.Instance) int {
	if a.Reclaimable == b.Reclaimable {
		return cmp.Compare(a.PricePerHour, b.PricePerHour)
	}
	if b.Reclaimable {
		return 1
	}
	return -1
}
