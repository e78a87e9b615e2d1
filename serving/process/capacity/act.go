package capacity

import (
	"slices"
	"time"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/process/platform"
)

// startOrders tries the open places of the committed plan, as many as servers are missing.
func (p *Planner) startOrders(now time.Time) []Order {
	live := p.live()
	coming := p.coming()
	var orders []Order
	for _, place := range p.plan.Starts {
		state := p.starts[place.RequestID]
		if state.instance != "" || state.option != nil || now.Before(state.next) {
			continue
		}
		if len(live)+coming >= p.target {
			break
		}
		o := p.choose(now, live, len(live)+coming >= p.plan.Wanted)
		if o == nil {
			break
		}
		coming++
		o.attempts++
		state.option, state.sent = o, now
		orders = append(orders, StartInstance{Start: platform.Start{
			RequestID:     place.RequestID,
			Service:       p.file.Name,
			Class:         o.class,
			FailureDomain: p.domain,
			Reclaimable:   o.reclaimable,
		}})
	}
	return orders
}

// coming counts the places that are started or about to be.
func (p *Planner) coming() int {
	count := 0
	for _, state := range p.starts {
		if state.instance != "" || state.option != nil {
			count++
		}
	}
	return count
}

// choose returns the first option that may be tried. A server beyond those wanted is
// only started to give a dearer one back.
func (p *Planner) choose(now time.Time, live []platform.Instance, swap bool) *option {
	for _, o := range p.options {
		if o.free(now) && (!swap || p.cheaper(now, o, live)) {
			return o
		}
	}
	return nil
}

// stopOrders drains the servers to stop, and stops those that were seen without work for
// a while.
func (p *Planner) stopOrders(now time.Time) []Order {
	var orders []Order
	for _, stop := range p.plan.Stops {
		state := p.stops[stop]
		if !state.asked {
			state.asked = true
			orders = append(orders, DrainServer{
				Stop:   stop,
				Within: p.file.Deadline() + drainSlack,
			})
			continue
		}
		if state.sent || now.Before(state.next) || !state.settled(now) {
			continue
		}
		state.sent = true
		orders = append(orders, StopInstance{Stop: stop})
	}
	return orders
}

// settled tells that no entry instance can have work at the server any more.
func (s *stopState) settled(now time.Time) bool {
	return s.heard && !s.idle.IsZero() && now.Sub(s.idle) >= settle
}

// engineOrders asks servers that lack the service's model or an adapter to load it.
func (p *Planner) engineOrders(now time.Time) []Order {
	model := p.file.Model
	if model == nil {
		return nil
	}
	var orders []Order
	lacking := 0
	for _, s := range p.live() {
		state := p.engines[s.ID]
		if state == nil || state.report.Incarnation != s.Incarnation {
			continue
		}
		order, lacks := p.nextLoad(state.report.Models)
		if !lacks {
			continue
		}
		lacking++
		if state.pending || now.Before(state.next) {
			continue
		}
		state.pending = true
		orders = append(orders, OrderEngine{Service: p.file.Name, Instance: s.ID, Address: s.Address, Order: order, Bytes: model.WeightBytes})
	}
	for i := range orders {
		o := orders[i].(OrderEngine)
		o.Value = p.loadValue(lacking)
		orders[i] = o
	}
	return orders
}

func (p *Planner) loadValue(lacking int) float64 {
	if p.demand == nil {
		return 0
	}
	return float64(p.demand.Waiting) / float64(max(lacking, 1))
}

// nextLoad returns the order that a server with these models lacks first.
func (p *Planner) nextLoad(models []string) (engine.Order, bool) {
	model := p.file.Model
	if !slices.Contains(models, model.Name) {
		return engine.Order{Kind: engine.LoadModel, Model: model.Name, Version: model.Version, Fencing: p.fencing}, true
	}
	for _, adapter := range model.Adapters {
		if !slices.Contains(models, model.Name+":"+adapter) {
			return engine.Order{Kind: engine.LoadAdapter, Model: model.Name, Version: model.Version, Adapter: adapter, Fencing: p.fencing}, true
		}
	}
	return engine.Order{}, false
}
