package route

import (
	"slices"
	"time"

	"papayaport.dev/serving/process/problem"
)

// Choose picks a backend server for a request. Servers that are leaving and those that asked
// for no request are never taken. Servers in Exclude and servers barred after failures are
// taken only when there is no other, and servers whose version the request doesn't allow
// never. The error is a *problem.Error of kind NoBackend or HeldBack.
func (t *Table) Choose(now time.Time, request Request) (Choice, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[request.Service]
	if g == nil || len(g.backends) == 0 {
		return Choice{}, problem.New(problem.NoBackend, "service %s has no live backend server", request.Service)
	}
	t.request = request
	t.collect(now, g)
	if len(t.candidates) == 0 {
		t.candidates, t.barred = t.barred, t.candidates
	}
	if len(t.candidates) == 0 && t.opens > 0 {
		return Choice{}, heldBack(request.Service, t.opens, t.random)
	}
	if len(t.candidates) == 0 && request.Versions.restrict() {
		return Choice{}, problem.New(problem.NoBackend, "service %s has no backend server of a version that may be used", request.Service)
	}
	if len(t.candidates) == 0 {
		return Choice{}, problem.New(problem.NoBackend, "all backend servers of service %s are leaving or gone", request.Service)
	}
	picked := &t.candidates[t.policy.Pick(t.candidates, &t.request, t.random)]
	picked.backend.asked.Take(now)
	return Choice{
		counted:      picked.backend.asked.Limit().Named,
		Backend:      picked.backend.Backend,
		CachedTokens: picked.CachedTokens,
		FirstToken:   picked.FirstToken,
		Cost:         picked.Cost,
		mean:         picked.mean,
		basis:        t.basis(at(now), picked),
	}, nil
}

// ask returns what the estimates of the present request have in common.
func (t *Table) ask(now time.Time, g *group) question {
	q := question{
		now: at(now), request: &t.request, hasBlocks: len(t.request.Blocks) > 0,
		answerTokens: t.request.AnswerTokens, margin: g.errors.margin(at(now), spread(t.request.Target)),
	}
	if q.answerTokens <= 0 {
		q.answerTokens = usualAnswerTokens
	}
	if !q.hasBlocks {
		return q
	}
	q.home = homeBlock(t.request.Blocks)
	if t.parts.prefix {
		q.depths = g.known.depth(t.request.Blocks)
	}
	return q
}

// collect fills the candidates, and apart from them those that are only a last resort.
func (t *Table) collect(now time.Time, g *group) {
	t.candidates, t.barred, t.opens = t.candidates[:0], t.barred[:0], 0
	q := t.ask(now, g)
	last, bounded := t.lastHash(g)
	for _, b := range g.backends {
		if b.leaving || b.unlisted || !t.request.Versions.allow(b.Version) || (bounded && b.hash > last) {
			continue
		}
		if wait, admitted := b.asked.Admits(now); !admitted {
			t.opens = sooner(t.opens, wait)
			continue
		}
		t.candidates = append(t.candidates, Candidate{backend: b})
		added := len(t.candidates) - 1
		c := &t.candidates[added]
		t.estimate(c, &q)
		if t.isLastResort(c, &q) {
			t.barred = append(t.barred, *c)
			t.candidates = t.candidates[:added]
		}
	}
}

// isLastResort tells whether a candidate is to be taken only when there is no other.
func (t *Table) isLastResort(c *Candidate, q *question) bool {
	if len(q.request.Exclude) > 0 && slices.Contains(q.request.Exclude, c.backend.ID) {
		return true
	}
	return t.parts.health && !c.backend.health.admits(q.now, c.InFlight, c.backend.speed.slots)
}
