// Package sizing decides how many backend servers a service runs in each failure domain, and
// how many of them are reclaimable.
//
// The number follows the load with a reserve: if one failure domain loses all of its reclaimable
// servers at once, the remaining servers can still serve the load. Reclaimable servers are
// preferred because of their price. Reclaims come in series, and new reclaimable servers are
// unavailable for some time after one: from the first refusal on, on-demand servers replace the
// capacity that the loss of two more failure domains would remove. The number grows immediately
// and shrinks slowly, since a new server needs its boot time before it serves.
//
// A Planner does no I/O, reads no clock and is not safe for concurrent use.
//
// # Usage
//
//	planner := sizing.New()
//	for _, order := range planner.Plan(now, sizing.Input{...}) {
//		err := send(order)
//		planner.RecordOrder(now, order, err == nil)
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
	// slotShare is the share of an engine's slots that may be in use while the time between
	// tokens is still well within the targets of interactive use.
	slotShare = 0.3
	// initialPrefillPerServer is the planned number of uncached prompt tokens per second and
	// engine until the rate of the engines has been learned.
	initialPrefillPerServer = 9_000
	// plannedPrefillShare is the planned share of an engine's learned prefill rate, so that a long
	// prompt seldom waits for another. The learned rate includes such waits: a fleet that is too
	// small lowers it, and grows again.
	plannedPrefillShare = 1.0 / 6
	// minPrefillRatio is the least ratio of the planned tokens to the initial number at which they
	// replace it: smaller differences are within the accuracy of the learned rate, and each change
	// of the fleet's size costs cached prompts. maxPrefillRatio bounds the ratio.
	minPrefillRatio, maxPrefillRatio = 1.25, 4
	// shrinkAfter is how long the load must stay below the peak before the number of servers is
	// reduced, and shrinkFactor is the share that is kept at each step: the load reports of a
	// large fleet are delayed, and a burst of users is often followed by another.
	shrinkAfter  = 15 * time.Second
	shrinkFactor = 0.7
	// refusalBackoff is how long a refused kind of server is not ordered again.
	refusalBackoff = 3 * time.Second
	// listLag is how long after an order the platform may still return the previous count.
	listLag = time.Second
	// startSlack is added to the boot time before servers that were ordered and are not
	// listed are ordered again.
	startSlack = 4 * time.Second
	// initialDivisor divides the largest number of servers of a failure domain to get the number
	// that runs before the load is known: reclaimable servers are cheap, and too few at the
	// start delay the service by a boot time or more.
	initialDivisor = 2
	// initialHold is how long the first number is kept without any load.
	initialHold = time.Minute
	// insuredLosses is the number of failure domains that may lose their reclaimable servers
	// before an on-demand server ordered now has booted: the reclaims of a series follow
	// each other within a boot time.
	insuredLosses = 2
	// coreShare is the share of the required servers that must survive these losses. It is
	// below 1 because the requirement includes a reserve and on-demand servers are several
	// times more expensive.
	coreShare = 0.75
	// onDemandShare is the share of the required servers that run on demand if no reclaimable
	// ones are available: the prompts cached by the lost servers have to be prefilled again.
	onDemandShare = 0.75
	// backlogFactor limits the servers for requests in flight, as a multiple of those for
	// prefill. Requests beyond it wait in queues and have ended before a server for them has
	// booted.
	backlogFactor = 1.5
	// deadband is the relative change of a count below which no new order is sent.
	deadband = 0.15
)

// ServerCount is the number of servers of each kind.
type ServerCount struct{ Reclaimable, OnDemand int }

// Input is the input to the plan for one service.
type Input struct {
	Service *deployment.Service
	// Live holds the servers that accept new requests, by failure domain. Every failure domain
	// that can run servers has an entry.
	Live map[string]ServerCount
	// InFlight is the number of requests at the service's servers.
	InFlight int
	// PrefillPerSecond is the number of uncached prompt tokens per second.
	PrefillPerSecond float64
	// LearnedPrefillRate is the number of uncached prompt tokens per second that one engine was
	// observed to compute, 0 while it is not known.
	LearnedPrefillRate float64
}

// prefillPerServer returns the planned number of uncached prompt tokens per second and engine. It
// is never below the initial number: the learned rate of engines that are overloaded says little
// about what they could compute.
func (in *Input) prefillPerServer() float64 {
	ratio := plannedPrefillShare * in.LearnedPrefillRate / initialPrefillPerServer
	if ratio < minPrefillRatio {
		return initialPrefillPerServer
	}
	return min(ratio, maxPrefillRatio) * initialPrefillPerServer
}

// Order sets the number of servers of one kind in a failure domain.
type Order struct {
	Service       string
	FailureDomain string
	Reclaimable   bool
	Count         int
}

type serverKind struct {
	service, domain string
	reclaimable     bool
}

type lastOrder struct {
	count     int
	sentAt    time.Time
	refusedAt time.Time
	// maxLive is the number of live servers to compare with: the largest since the last loss.
	maxLive int
}

// Planner plans the orders and keeps the last one of each kind.
type Planner struct {
	orders map[serverKind]lastOrder
	// peaks holds the recent peak of the required servers, by service.
	peaks map[string]peak
}

type peak struct {
	need int
	at   time.Time
	// since is when the service was planned for the first time.
	since time.Time
}

// New returns a planner without orders.
func New() *Planner {
	return &Planner{orders: map[serverKind]lastOrder{}, peaks: map[string]peak{}}
}

// Reset deletes the recorded orders. A process calls it when it takes over the duty of ordering
// servers.
func (p *Planner) Reset() { p.orders = map[serverKind]lastOrder{} }

// RequiredServers returns the number of servers required for the load, without a reserve.
func RequiredServers(in Input) int {
	slots := slotShare * float64(max(in.Service.Engine.Slots, 1))
	bySlots := math.Ceil(float64(in.InFlight) / slots)
	byPrefill := math.Ceil(in.PrefillPerSecond / in.prefillPerServer())
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
	need := p.recentPeak(now, in)
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

// recentPeak returns the recent peak of the required servers, which decays in steps.
func (p *Planner) recentPeak(now time.Time, in Input) int {
	need := RequiredServers(in)
	peaked, known := p.peaks[in.Service.Name]
	if !known {
		peaked = peak{need: (len(in.Live) - 1) * in.Service.Sizing.Max / initialDivisor, at: now, since: now}
	}
	if in.InFlight == 0 && in.PrefillPerSecond == 0 && now.Sub(peaked.since) < initialHold {
		peaked.at = now // no load yet
	}
	switch {
	case need >= peaked.need:
		peaked = peak{need: need, at: now, since: peaked.since}
	case now.Sub(peaked.at) > shrinkAfter:
		peaked = peak{need: max(need, int(shrinkFactor*float64(peaked.need))), at: now, since: peaked.since}
	}
	p.peaks[in.Service.Name] = peaked
	return peaked.need
}

// domains returns the failure domains, sorted by price.
func (in *Input) domains() []string {
	domains := slices.Collect(maps.Keys(in.Live))
	prices := in.Service.Sizing.DomainPrices
	slices.SortFunc(domains, func(a, b string) int {
		return cmp.Or(cmp.Compare(prices[a], prices[b]), cmp.Compare(a, b))
	})
	return domains
}

// available returns the number of failure domains that have live reclaimable servers or where
// the last order for them was not refused.
func (p *Planner) available(in Input) int {
	count := 0
	for domain, live := range in.Live {
		if live.Reclaimable > 0 || p.orders[serverKind{in.Service.Name, domain, true}].refusedAt.IsZero() {
			count++
		}
	}
	return count
}

// reclaimable returns the orders for reclaimable servers. Each failure domain gets so many that
// the other available domains can serve the load without it.
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

// onDemand returns the orders for on-demand servers, for the load that reclaimable ones can't
// serve. Without any available reclaimable server, that is onDemandShare of the requirement; while
// some are refused, the part of coreShare that would not survive the next losses; otherwise the
// existing on-demand servers are kept until reclaimable ones replace them.
func (p *Planner) onDemand(in Input, need int) []Order {
	reclaimable, existing, largest := 0, 0, 0
	for _, live := range in.Live {
		reclaimable += live.Reclaimable
		existing += live.OnDemand
		largest = max(largest, live.Reclaimable)
	}
	share := func(of float64) int { return int(math.Ceil(of * float64(need))) }
	wanted := min(existing, max(need-reclaimable, 0))
	switch {
	case in.Service.Sizing.ReclaimablePrice <= 0:
		wanted = need
	case p.available(in) == 0:
		wanted = max(wanted, share(onDemandShare))
	case p.refusedAnywhere(in):
		surviving := max(reclaimable-insuredLosses*largest, 0)
		wanted = max(wanted, share(coreShare)-surviving)
	}
	return p.spread(in, wanted)
}

// refusedAnywhere reports whether the last order for reclaimable servers was refused in any
// failure domain.
func (p *Planner) refusedAnywhere(in Input) bool {
	for domain := range in.Live {
		if !p.orders[serverKind{in.Service.Name, domain, true}].refusedAt.IsZero() {
			return true
		}
	}
	return false
}

// spread distributes on-demand servers round-robin over the failure domains, sorted by price:
// first up to the number that each already has, then the rest.
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

func (p *Planner) recentlyRefused(now time.Time, k serverKind) bool {
	refused := p.orders[k].refusedAt
	return !refused.IsZero() && now.Sub(refused) < refusalBackoff
}

// due reports whether an order is new or has to be repeated because it was refused more than
// refusalBackoff ago, servers were lost, or ordered servers did not start in time.
func (p *Planner) due(now time.Time, in Input, order Order) bool {
	k := serverKind{order.Service, order.FailureDomain, order.Reclaimable}
	live := in.Live[order.FailureDomain].OnDemand
	if order.Reclaimable {
		live = in.Live[order.FailureDomain].Reclaimable
	}
	last := p.orders[k]
	ordered := !last.sentAt.IsZero()
	lost := live < last.maxLive && live < order.Count && now.Sub(last.sentAt) > listLag
	if lost || live > last.maxLive {
		last.maxLive = live
		p.orders[k] = last
	}
	if p.recentlyRefused(now, k) {
		return false
	}
	if !ordered || !last.refusedAt.IsZero() {
		return true
	}
	change := math.Abs(float64(order.Count - last.count))
	if change > 0 && (order.Count == 0 || change > deadband*float64(last.count)) {
		return true
	}
	late := live < last.count && now.Sub(last.sentAt) > in.Service.Sizing.Boot+startSlack
	return lost || late
}

// RecordOrder records that an order was sent, and whether it was accepted.
func (p *Planner) RecordOrder(now time.Time, order Order, accepted bool) {
	k := serverKind{order.Service, order.FailureDomain, order.Reclaimable}
	s := lastOrder{count: order.Count, sentAt: now, maxLive: p.orders[k].maxLive}
	if !accepted {
		s.refusedAt = now
	}
	p.orders[k] = s
}
