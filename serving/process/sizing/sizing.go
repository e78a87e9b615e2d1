// Package sizing decides how many backend servers of a service should stand in each
// failure domain, and how many of them reclaimable.
//
// The count follows the load with a reserve: the servers that remain when one failure
// domain loses all of its reclaimable ones at once still carry the load. Reclaimable
// servers come first because of their price. Reclaims come in series, and none can be had
// again for a while: from the first refusal on, on-demand servers stand for what the loss
// of two more failure domains would leave uncarried. Growth is immediate and shrinking
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
	"cmp"
	"maps"
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
	// in a second, a sixth of what the engines of today's deployments can, so that a long
	// prompt seldom waits for another.
	prefillPerServer = 9_000
	// shrinkAfter is how long the load must stay below before a part of the servers is
	// given up, and shrinkShare what is kept of them at each step: what a large fleet tells
	// of its load comes late, and a burst of users seldom comes alone.
	shrinkAfter = 15 * time.Second
	shrinkShare = 0.7
	// refusedFor is how long a refused kind of server is not asked for again.
	refusedFor = 3 * time.Second
	// settleTime is how long after an order the platform may still show the count before.
	settleTime = time.Second
	// startSlack is added to the boot time before servers that were ordered and are not
	// listed are ordered again.
	startSlack = 4 * time.Second
	// firstShare divides the largest number of servers of a failure domain into the number
	// that stands while the load is not known yet: reclaimable servers are cheap, and a
	// start with too few takes a boot time and more to make up.
	firstShare = 2
	// unknownFor is how long the first number stands while nobody asks for anything.
	unknownFor = time.Minute
	// insuredLosses is the number of failure domains whose reclaimable servers may go before
	// an on-demand server that is ordered now has booted: reclaims of a series follow each
	// other within a boot time.
	insuredLosses = 2
	// coreShare is the share of the need that has to stand whatever goes: the need has a
	// reserve, and on-demand servers are several times dearer.
	coreShare = 0.75
	// aloneShare is the share of the need that stands on demand without any reclaimable
	// servers: the prompts that they held are read again.
	aloneShare = 0.75
	// backlogFactor bounds what requests in flight add to the need by prompts. Beyond it
	// they wait in queues, and are gone before a server for them has booted.
	backlogFactor = 1.5
	// deadband is the share of a count by which a new one has to differ to be ordered.
	deadband = 0.15
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
	// seen is the largest number of live servers of late.
	seen int
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
	// since is when the service was planned for the first time.
	since time.Time
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
	if byPrefill > 0 {
		bySlots = min(bySlots, math.Ceil(backlogFactor*byPrefill))
	}
	return int(max(bySlots, byPrefill, 1))
}

// Plan returns the orders that are due.
func (p *Planner) Plan(now time.Time, in Input) []Order {
	bounds := in.Service.Sizing
	if bounds == nil || in.Service.Engine == nil || len(in.Live) == 0 {
		return nil
	}
	need := p.heldNeed(now, in)
	var wanted []Order
	if bounds.ReclaimablePrice > 0 {
		wanted = p.reclaimable(in, need)
	}
	var orders []Order
	for _, order := range append(wanted, p.onDemand(in, need)...) {
		if p.due(now, in, order) {
			orders = append(orders, order)
		}
	}
	return orders
}

// heldNeed returns the largest need of late.
func (p *Planner) heldNeed(now time.Time, in Input) int {
	need := Need(in)
	held, known := p.peaks[in.Service.Name]
	if !known {
		held = peak{need: (len(in.Live) - 1) * in.Service.Sizing.Max / firstShare, at: now, since: now}
	}
	if in.InFlight == 0 && in.PrefillPerSecond == 0 && now.Sub(held.since) < unknownFor {
		held.at = now // nobody came yet
	}
	switch {
	case need >= held.need:
		held = peak{need: need, at: now, since: held.since}
	case now.Sub(held.at) > shrinkAfter:
		held = peak{need: max(need, int(shrinkShare*float64(held.need))), at: now, since: held.since}
	}
	p.peaks[in.Service.Name] = held
	return held.need
}

// domains returns the failure domains, the cheapest first.
func (in *Input) domains() []string {
	domains := slices.Collect(maps.Keys(in.Live))
	prices := in.Service.Sizing.DomainPrices
	slices.SortFunc(domains, func(a, b string) int {
		return cmp.Or(cmp.Compare(prices[a], prices[b]), cmp.Compare(a, b))
	})
	return domains
}

// available returns the number of failure domains that have reclaimable servers or where
// the last order for them was not refused.
func (p *Planner) available(in Input) int {
	count := 0
	for domain, live := range in.Live {
		if live.Reclaimable > 0 || p.orders[kind{in.Service.Name, domain, true}].refused.IsZero() {
			count++
		}
	}
	return count
}

// reclaimable wants as many servers in each failure domain that what is left carries the
// load when one domain loses all of them.
func (p *Planner) reclaimable(in Input, need int) []Order {
	survivors := max(p.available(in)-1, 1)
	each := (need + survivors - 1) / survivors
	each = min(max(each, in.Service.Sizing.Min, 1), in.Service.Sizing.Max)
	var orders []Order
	for _, domain := range in.domains() {
		orders = append(orders, Order{Service: in.Service.Name, FailureDomain: domain, Reclaimable: true, Count: each})
	}
	return orders
}

// onDemand wants on-demand servers for what reclaimable ones do not carry: for most of the
// need where there are none to be had, for what the next losses would leave of the core
// while some are refused, and otherwise those that stand already until reclaimable ones
// have taken over.
func (p *Planner) onDemand(in Input, need int) []Order {
	reclaimable, standing, largest := 0, 0, 0
	for _, live := range in.Live {
		reclaimable += live.Reclaimable
		standing += live.OnDemand
		largest = max(largest, live.Reclaimable)
	}
	share := func(of float64) int { return int(math.Ceil(of * float64(need))) }
	wanted := min(standing, max(need-reclaimable, 0))
	switch {
	case in.Service.Sizing.ReclaimablePrice <= 0:
		wanted = need
	case p.available(in) == 0:
		wanted = max(wanted, share(aloneShare))
	case p.refusedAnywhere(in):
		surviving := max(reclaimable-insuredLosses*largest, 0)
		wanted = max(wanted, share(coreShare)-surviving)
	}
	return p.spread(in, wanted)
}

// refusedAnywhere tells whether the last order for reclaimable servers of a failure domain
// was refused.
func (p *Planner) refusedAnywhere(in Input) bool {
	for domain := range in.Live {
		if !p.orders[kind{in.Service.Name, domain, true}].refused.IsZero() {
			return true
		}
	}
	return false
}

// spread divides on-demand servers among the failure domains: first those that have some,
// then the cheapest, one after the other.
func (p *Planner) spread(in Input, wanted int) []Order {
	domains := in.domains()
	counts := make(map[string]int, len(domains))
	place := func(fits func(domain string) bool) {
		for placed := true; placed && wanted > 0; {
			placed = false
			for _, domain := range domains {
				if wanted > 0 && counts[domain] < in.Service.Sizing.Max && fits(domain) {
					counts[domain]++
					wanted--
					placed = true
				}
			}
		}
	}
	place(func(domain string) bool { return counts[domain] < in.Live[domain].OnDemand })
	place(func(string) bool { return true })
	var orders []Order
	for _, domain := range domains {
		orders = append(orders, Order{Service: in.Service.Name, FailureDomain: domain, Count: counts[domain]})
	}
	return orders
}

func (p *Planner) isRefused(now time.Time, k kind) bool {
	refused := p.orders[k].refused
	return !refused.IsZero() && now.Sub(refused) < refusedFor
}

// due tells whether an order is new, or has to be repeated: it was refused a while ago,
// servers went, or those that were ordered never came.
func (p *Planner) due(now time.Time, in Input, order Order) bool {
	k := kind{order.Service, order.FailureDomain, order.Reclaimable}
	live := in.Live[order.FailureDomain].OnDemand
	if order.Reclaimable {
		live = in.Live[order.FailureDomain].Reclaimable
	}
	last := p.orders[k]
	ordered := !last.at.IsZero()
	went := live < last.seen && live < order.Count && now.Sub(last.at) > settleTime
	if went || live > last.seen {
		last.seen = live
		p.orders[k] = last
	}
	if p.isRefused(now, k) {
		return false
	}
	if !ordered || !last.refused.IsZero() {
		return true
	}
	change := math.Abs(float64(order.Count - last.count))
	if change > 0 && (order.Count == 0 || change > deadband*float64(last.count)) {
		return true
	}
	late := live < last.count && now.Sub(last.at) > in.Service.Sizing.Boot+startSlack
	return went || late
}

// Ordered notes that an order was sent, and whether it was accepted.
func (p *Planner) Ordered(now time.Time, order Order, accepted bool) {
	k := kind{order.Service, order.FailureDomain, order.Reclaimable}
	s := standing{count: order.Count, at: now, seen: p.orders[k].seen}
	if !accepted {
		s.refused = now
	}
	p.orders[k] = s
}
