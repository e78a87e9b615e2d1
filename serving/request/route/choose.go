package route

import (
	"slices"
	"time"

	"papayaport.dev/serving/process/problem"
)

// Choose picks a backend server for a request. Servers that are leaving are never taken.
// Servers in Exclude and servers barred after failures are taken only when there is no
// other. The error is a *problem.Error of kind NoBackend.
func (t *Table) Choose(now time.Time, request Request) (Choice, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[request.Service]
	if g == nil || len(g.backends) == 0 {
		return Choice{}, problem.New(problem.NoBackend, "service %s has no live backend server", request.Service)
	}
	t.collect(now, g, &request)
	if len(t.candidates) == 0 {
		t.candidates, t.barred = t.barred, t.candidates
	}
	if len(t.candidates) == 0 {
		return Choice{}, problem.New(problem.NoBackend, "all backend servers of service %s are leaving", request.Service)
	}
	picked := &t.candidates[t.policy.Pick(t.candidates, &request, t.random)]
	return Choice{
		Backend:      picked.backend.Backend,
		CachedTokens: picked.CachedTokens,
		FirstToken:   picked.FirstToken,
		Cost:         picked.Cost,
		mean:         picked.mean,
	}, nil
}

// collect fills the candidates, and apart from them those that are only a last resort.
func (t *Table) collect(now time.Time, g *group, request *Request) {
	t.candidates, t.barred = t.candidates[:0], t.barred[:0]
	hasBlocks := len(request.Blocks) > 0
	var depths []int32
	if hasBlocks && t.parts.prefix {
		depths = g.known.depth(request.Blocks)
	}
	spread := spread(request.Target)
	for _, b := range g.backends {
		if b.leaving {
			continue
		}
		c := Candidate{backend: b}
		if hasBlocks {
			c.Rank = rank(homeBlock(request.Blocks), b.hash)
		}
		if depths != nil {
			c.CachedTokens = min(b.cachedTokens(depths[b.column]), request.PromptTokens)
		}
		t.estimate(now, &c, request, spread)
		if t.isLastResort(now, &c, request) {
			t.barred = append(t.barred, c)
			continue
		}
		t.candidates = append(t.candidates, c)
	}
}

// isLastResort tells whether a candidate is to be taken only when there is no other.
func (t *Table) isLastResort(now time.Time, c *Candidate, request *Request) bool {
	if slices.Contains(request.Exclude, c.backend.ID) {
		return true
	}
	return t.parts.health && !c.backend.health.admits(now, c.InFlight, c.backend.slots())
}
