package capacity

import (
	"slices"
	"time"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/process/platform"
)

// startActions attempts the open starts of the committed plan, as many as servers are missing.
func (p *Planner) startActions(now time.Time) []Action {
	live := p.liveServers()
	starting := p.startingCount()
	var actions []Action
	for _, start := range p.plan.Starts {
		state := p.starts[start.RequestID]
		if state.instance != "" || state.option != nil || now.Before(state.retryAt) {
			continue
		}
		if len(live)+starting >= p.target {
			break
		}
		o := p.chooseOption(now, live, len(live)+starting >= p.plan.Wanted)
		if o == nil {
			break
		}
		starting++
		o.attempts++
		state.option, state.sentAt = o, now
		actions = append(actions, StartInstance{Start: platform.Start{
			RequestID:     start.RequestID,
			Service:       p.file.Name,
			Class:         o.class,
			FailureDomain: p.domain,
			Reclaimable:   o.reclaimable,
		}})
	}
	return actions
}

// startingCount returns the number of planned starts that succeeded or are in flight.
func (p *Planner) startingCount() int {
	count := 0
	for _, state := range p.starts {
		if state.instance != "" || state.option != nil {
			count++
		}
	}
	return count
}

// chooseOption returns the first available option, or nil. A server beyond the wanted number is
// only started to replace a more expensive one.
func (p *Planner) chooseOption(now time.Time, live []platform.Instance, surplus bool) *option {
	for _, o := range p.options {
		if o.available(now) && (!surplus || p.replacementFor(now, o, live)) {
			return o
		}
	}
	return nil
}

// stopActions drains the servers that are planned to stop, and stops those that have been idle
// for minIdleTime.
func (p *Planner) stopActions(now time.Time) []Action {
	var actions []Action
	for _, stop := range p.plan.Stops {
		state := p.stops[stop]
		if !state.drainRequested {
			state.drainRequested = true
			actions = append(actions, DrainServer{
				Stop:   stop,
				Within: p.file.Deadline() + drainSlack,
			})
			continue
		}
		if state.sent || now.Before(state.retryAt) || !state.safe(now) {
			continue
		}
		state.sent = true
		actions = append(actions, StopInstance{Stop: stop})
	}
	return actions
}

// safe reports whether no entry instance can have requests at the server any more.
func (s *stopState) safe(now time.Time) bool {
	return s.allReported && !s.idleSince.IsZero() && now.Sub(s.idleSince) >= minIdleTime
}

// engineOrders returns orders to servers without the service's model or an adapter to load it.
func (p *Planner) engineOrders(now time.Time) []Action {
	model := p.file.Model
	if model == nil {
		return nil
	}
	var actions []Action
	lacking := 0
	for _, s := range p.liveServers() {
		state := p.engines[s.ID]
		if state == nil || state.report.Incarnation != s.Incarnation {
			continue
		}
		order, lacks := p.nextLoad(state.report.Models)
		if !lacks {
			continue
		}
		lacking++
		if state.pending || now.Before(state.retryAt) {
			continue
		}
		state.pending = true
		actions = append(actions, OrderEngine{Service: p.file.Name, Instance: s.ID, Address: s.Address, Order: order, Bytes: model.WeightBytes})
	}
	for i := range actions {
		o := actions[i].(OrderEngine)
		o.Value = p.loadValue(lacking)
		actions[i] = o
	}
	return actions
}

func (p *Planner) loadValue(lacking int) float64 {
	if p.demand == nil {
		return 0
	}
	return float64(p.demand.Waiting) / float64(max(lacking, 1))
}

// nextLoad returns the order for the first model or adapter missing in the list, if any.
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
