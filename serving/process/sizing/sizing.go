// Package sizing decides how many backend servers of a service should stand in each
// failure domain, and how many of them reclaimable.
//
// The count follows the load with a reserve: the servers that remain when one failure
// domain loses all of its reclaimable ones at once still carry the load. Reclaimable
// servers come first because of their price; on-demand ones stand only where reclaimable
// ones could not be had, and for as long as that lasts. Growth is immediate and shrinking
// slow, since a server that was just ordered takes its boot time to serve.
//
// A Planner is pure and not safe for several goroutines.
//
// # Usage
//
//	planner := sizing.New()
//	for _, order := range planner.Plan(now, sizing.Input{...}) {
//		err := send(order)
//		planner.Ordered(now, order, err == nil)
//	}
package sizing

import (
	"math"
	"slices"
	"time"

	"papayaport.dev/serving/version/deployment"
)

const (
	// slotShare is the share of an engine's slots that are in use when the latency of
	// tokens is still well within the targets of interactive use.
	slotShare = 0.3
	// prefillPerServer is the number of uncached prompt tokens that an engine should read
	// in a second, a third of what the engines of today's deployments can.
	prefillPerServer = 20_000
	// leastPerDomain is the number of servers in a failure domain without any load, so
	// that a second one takes over when one crashes.
	leastPerDomain = 1
	// shrinkAfter is how long the load must stay below before servers are given up.
	shrinkAfter = 15 * time.Second
	// refusedFor is how long a refused kind of server is not asked for again.
	refusedFor = 3 * time.Second
	// repeatAfter is the time after which a standing order is sent again, in case that its
	// effect was lost.
	repeatAfter = 12 * time.Second
)

// Count is the number of servers of each kind.
type Count struct{ Reclaimable, OnDemand int }

// Input is what a plan for one service depends on.
type Input struct {
	Service *deployment.Service
	// Live holds the servers that take work, by failure domain. Every failure domain that
	// servers can stand in has an entry.
	Live map[string]Count
	// InFlight is the number of requests at the service's servers.
	InFlight int
	// PrefillPerSecond is the number of prompt tokens a second that were not cached.
	PrefillPerSecond float64
}

// Order sets the number of servers of one kind in a failure domain.
type Order struct {
	Service       string
	FailureDomain string
	Reclaimable   bool
	Count         int
}

type kind struct {
	service, domain string
	reclaimable     bool
}

type standing struct {
	count   int
	at      time.Time
	refused time.Time
}

// Planner remembers what was ordered.
type Planner struct {
	orders map[kind]standing
	// peaks holds the largest need of late, by service.
	peaks map[string]peak
}

type peak struct {
	need int
	at   time.Time
}

// New returns a planner that has ordered nothing.
func New() *Planner {
	return &Planner{orders: map[kind]standing{}, peaks: map[string]peak{}}
}

// Forget drops what was ordered, for a process that takes the duty over.
func (p *Planner) Forget() { p.orders = map[kind]standing{} }

// Need returns the number of servers that carry a load, without a reserve.
func Need(in Input) int {
	slots := slotShare * float64(max(in.Service.Engine.Slots, 1))
	bySlots := math.Ceil(float64(in.InFlight) / slots)
	byPrefill := math.Ceil(in.PrefillPerSecond / prefillPerServer)
	return int(max(bySlots, byPrefill, 1))
}

// Plan returns the orders that are due.
func (p *Planner) Plan(now time.Time, in Input) []Order {
	bounds := in.Service.Sizing
	if bounds == nil || in.Service.Engine == nil || len(in.Live) == 0 {
		return nil
	}
	domains := make([]string, 0, len(in.Live))
	for domain := range in.Live {
		domains = append(domains, domain)
	}
	slices.Sort(domains)
	each := p.perDomain(now, in, len(domains))
	var orders []Order
	for _, domain := range domains {
		for _, order := range p.wanted(now, in, domain, each) {
			if p.due(now, order) {
				orders = append(orders, order)
			}
		}
	}
	return orders
}

// perDomain returns the servers for each failure domain, those for the loss of one included.
func (p *Planner) perDomain(now time.Time, in Input, domains int) int {
	need := Need(in)
	held := p.peaks[in.Service.Name]
	if need >= held.need || now.Sub(held.at) > shrinkAfter {
		held = peak{need: need, at: now}
		p.peaks[in.Service.Name] = held
	}
	survivors := max(domains-1, 1)
	each := (held.need + survivors - 1) / survivors
	return min(max(each, leastPerDomain, in.Service.Sizing.Min), in.Service.Sizing.Max)
}

// wanted returns the standing orders of one failure domain: reclaimable servers, and as
// many on-demand ones as are lacking while reclaimable ones are refused or boot.
func (p *Planner) wanted(now time.Time, in Input, domain string, each int) []Order {
	order := func(reclaimable bool, count int) Order {
		return Order{Service: in.Service.Name, FailureDomain: domain, Reclaimable: reclaimable, Count: count}
	}
	if in.Service.Sizing.ReclaimablePrice <= 0 {
		return []Order{order(false, each)}
	}
	live := in.Live[domain]
	lacking := max(each-live.Reclaimable, 0)
	onDemand := min(live.OnDemand, lacking)
	if live.Reclaimable+live.OnDemand == 0 && p.isRefused(now, kind{in.Service.Name, domain, true}) {
		onDemand = min(each, max(in.Service.Sizing.Min, 0))
	}
	return []Order{order(true, each), order(false, min(onDemand, in.Service.Sizing.Max-each))}
}

func (p *Planner) isRefused(now time.Time, k kind) bool {
	refused := p.orders[k].refused
	return !refused.IsZero() && now.Sub(refused) < refusedFor
}

func (p *Planner) due(now time.Time, order Order) bool {
	k := kind{order.Service, order.FailureDomain, order.Reclaimable}
	last, ordered := p.orders[k]
	if p.isRefused(now, k) {
		return false
	}
	return !ordered || last.count != order.Count || !last.refused.IsZero() || now.Sub(last.at) > repeatAfter
}

// Ordered notes that an order was sent, and whether it was accepted.
func (p *Planner) Ordered(now time.Time, order Order, accepted bool) {
	s := standing{count: order.Count, at: now}
	if !accepted {
		s.refused = now
	}
	p.orders[kind{order.Service, order.FailureDomain, order.Reclaimable}] = s
}
