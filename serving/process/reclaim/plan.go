package reclaim

import (
	"cmp"
	"slices"
	"time"
)

const (
	// finishMargin is the minimum time between the expected end of a request and the server's
	// deadline.
	finishMargin = 2 * time.Second
	// finishFactor is the safety factor on the expected remaining length of an answer.
	finishFactor = 1.5
	// exportMargin is the minimum time between the end of an export and the server's deadline.
	exportMargin = 500 * time.Millisecond
	// overcommitLead is the time before the server's deadline from which requests move to receivers
	// without a free slot as well.
	overcommitLead = time.Second
	// minSaveTokens is the size below which a prefix is not worth a transfer, in tokens.
	minSaveTokens = 128
)

// planner is the state of a plan in progress.
type planner struct {
	now       time.Time
	sources   map[string]*source
	receivers []*target
	domains   map[string]*domain
	orders    []Order
}

// source is a leaving server. busyUntil is the end of the exports planned so far.
type source struct {
	Leaving
	busyUntil time.Time
}

// target is a receiver with the number of requests and prefixes assigned to it.
type target struct {
	Receiver
	domain   *domain
	assigned int
}

// domain is the total over the receivers of one service in one failure domain.
type domain struct {
	slots    int
	assigned int
}

// load returns the share of the domain's free slots that the plan has assigned.
func (d *domain) load() float64 { return float64(d.assigned) / float64(max(d.slots, 1)) }

// Plan returns the orders for the requests and the caches of the leaving servers. Requests come
// first, ordered by priority, deadline and the number of tokens to compute again without the cache.
// Prefixes follow by value for the time that is left.
func Plan(now time.Time, in Input) []Order {
	p := &planner{now: now, sources: make(map[string]*source, len(in.Leaving)), domains: map[string]*domain{}}
	for _, l := range in.Leaving {
		p.sources[l.Backend] = &source{Leaving: l, busyUntil: now}
	}
	for _, r := range in.Receivers {
		if p.sources[r.Backend] == nil {
			p.addReceiver(r)
		}
	}
	for _, w := range byUrgency(in.Requests) {
		p.planWork(w)
	}
	for _, c := range p.byValue(in.Cached) {
		p.planSave(c)
	}
	return p.orders
}

// addReceiver adds a receiver to its failure domain.
func (p *planner) addReceiver(r Receiver) {
	key := r.Service + "/" + r.FailureDomain
	d := p.domains[key]
	if d == nil {
		d = &domain{}
		p.domains[key] = d
	}
	d.slots += r.FreeSlots
	p.receivers = append(p.receivers, &target{Receiver: r, domain: d})
}

// byUrgency returns the requests in the order in which they move.
func byUrgency(work []Request) []Request {
	sorted := slices.Clone(work)
	slices.SortStableFunc(sorted, func(a, b Request) int {
		return cmp.Or(
			cmp.Compare(b.Priority, a.Priority),
			compareDeadlines(a.Deadline, b.Deadline),
			cmp.Compare(b.recomputeTokens(), a.recomputeTokens()),
			cmp.Compare(a.RequestID, b.RequestID),
		)
	})
	return sorted
}

// compareDeadlines sorts earlier deadlines first and requests without a deadline last.
func compareDeadlines(a, b time.Time) int {
	switch {
	case a.IsZero() && b.IsZero():
		return 0
	case a.IsZero():
		return 1
	case b.IsZero():
		return -1
	}
	return a.Compare(b)
}

// byValue returns the prefixes in the order in which they are saved: by the tokens per second that
// later requests need not compute, per byte moved, then by size.
func (p *planner) byValue(cached []Cached) []Cached {
	sorted := slices.Clone(cached)
	slices.SortStableFunc(sorted, func(a, b Cached) int {
		return cmp.Or(
			cmp.Compare(p.value(b), p.value(a)),
			cmp.Compare(b.Tokens, a.Tokens),
			cmp.Compare(a.Block, b.Block),
		)
	})
	return sorted
}

// value returns the tokens saved per second for each byte of a prefix.
func (p *planner) value(c Cached) float64 {
	from := p.sources[c.Backend]
	if from == nil || from.BytesPerToken <= 0 {
		return c.HitsPerSecond
	}
	return c.HitsPerSecond / from.BytesPerToken
}

// recomputeTokens returns the number of tokens that are computed again without the request's cache.
func (w Request) recomputeTokens() int { return w.PromptTokens + w.GeneratedTokens }

// planWork plans one request.
func (p *planner) planWork(w Request) {
	from := p.sources[w.Backend]
	if from == nil || w.Moving {
		return
	}
	if from.finishes(p.now, w) || !w.Idempotent {
		p.order(Order{Kind: Finish, RequestID: w.RequestID, From: w.Backend})
		return
	}
	to := p.receiver(w.Service, from)
	if to == nil {
		p.order(Order{Kind: Wait, RequestID: w.RequestID, From: w.Backend, StartBy: from.Deadline})
		return
	}
	to.assign(1)
	order := Order{Kind: Resume, RequestID: w.RequestID, From: w.Backend, To: to.Backend, Tokens: w.recomputeTokens(), StartBy: from.Deadline}
	if to.Imports && to.FreeCacheTokens >= w.recomputeTokens() && from.reserveExport(w.recomputeTokens()) {
		to.FreeCacheTokens -= w.recomputeTokens()
		order.Kind = Transfer
		order.StartBy = from.Deadline.Add(-exportMargin - from.exportTime(w.recomputeTokens()))
	}
	p.order(order)
}

// planSave plans the copy of one prefix if time and cache capacity allow it.
func (p *planner) planSave(c Cached) {
	from := p.sources[c.Backend]
	if from == nil || c.CachedElsewhere || c.Tokens < minSaveTokens || c.HitsPerSecond <= 0 {
		return
	}
	to := p.cacheReceiver(c)
	if to == nil || !from.reserveExport(c.Tokens) {
		return
	}
	to.FreeCacheTokens -= c.Tokens
	to.assigned++
	to.domain.assigned++
	p.order(Order{
		Kind: Save, Block: c.Block, From: c.Backend, To: to.Backend, Tokens: c.Tokens,
		StartBy: from.Deadline.Add(-exportMargin - from.exportTime(c.Tokens)),
	})
}

// order adds one step to the plan.
func (p *planner) order(o Order) { p.orders = append(p.orders, o) }

// finishes reports whether a request is expected to end safely before its server's deadline.
func (s *source) finishes(now time.Time, w Request) bool {
	left := time.Duration(finishFactor * float64(w.RemainingTokens) * float64(s.DecodePerToken))
	return now.Add(left + finishMargin).Before(s.Deadline)
}

// exportTime returns the time to export the KV cache of a number of tokens.
func (s *source) exportTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) * s.BytesPerToken / s.BytesPerSecond * float64(time.Second))
}

// reserveExport reserves the time for an export and reports whether it ends before the server's
// deadline.
func (s *source) reserveExport(tokens int) bool {
	if !s.Exports || s.BytesPerSecond <= 0 {
		return false
	}
	end := s.busyUntil.Add(s.exportTime(tokens))
	if end.After(s.Deadline.Add(-exportMargin)) {
		return false
	}
	s.busyUntil = end
	return true
}

// receiver returns the receiver for a request: one with a free slot, or any when the leaving server
// is close to its deadline.
func (p *planner) receiver(service string, from *source) *target {
	if to := p.best(service, func(t *target) bool { return t.FreeSlots > 0 }); to != nil {
		return to
	}
	if p.now.Add(overcommitLead).Before(from.Deadline) {
		return nil
	}
	return p.best(service, func(*target) bool { return true })
}

// cacheReceiver returns the receiver for a saved prefix, preferably the prefix's home.
func (p *planner) cacheReceiver(c Cached) *target {
	hasRoom := func(t *target) bool { return t.Imports && t.FreeCacheTokens >= c.Tokens }
	isHome := func(t *target) bool { return t.Backend == c.Home && hasRoom(t) }
	if home := p.best(c.Service, isHome); home != nil {
		return home
	}
	return p.best(c.Service, hasRoom)
}

// best returns the best of a service's receivers that have room: in the failure domain with
// the lowest assigned load, then with the fewest assignments, the most free slots and the lowest
// price.
func (p *planner) best(service string, hasRoom func(*target) bool) *target {
	var best *target
	for _, t := range p.receivers {
		if t.Service != service || !hasRoom(t) {
			continue
		}
		if best == nil || compareTargets(t, best) < 0 {
			best = t
		}
	}
	return best
}

// assign records that a number of requests was assigned to the receiver.
func (t *target) assign(count int) {
	t.FreeSlots -= count
	t.assigned += count
	t.domain.assigned += count
}

// compareTargets sorts the better receiver first.
func compareTargets(a, b *target) int {
	return cmp.Or(
		cmp.Compare(a.domain.load(), b.domain.load()),
		cmp.Compare(a.assigned, b.assigned),
		cmp.Compare(b.FreeSlots, a.FreeSlots),
		cmp.Compare(a.PricePerHour, b.PricePerHour),
		cmp.Compare(a.Backend, b.Backend),
	)
}
