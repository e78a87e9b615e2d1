package route

import (
	"slices"
	"time"

	"papayaport.dev/serving/process/problem"
)

// Choose selects a backend server for a request. Servers that are leaving, servers whose
// backpressure admits no request, and servers whose version the request does not allow are never
// selected. Servers in Exclude and servers ejected after failures are selected only when no other
// is left. The error is a *problem.Error of kind NoBackend or HeldBack.
func (t *Table) Choose(now time.Time, request Request) (Choice, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	picked, _, err := t.pick(now, request, t.policy)
	if err != nil {
		return Choice{}, err
	}
	picked.backend.limiter.Acquire(now)
	return Choice{
		limitCounted: picked.backend.limiter.Limit().Active,
		Backend:      picked.backend.Backend,
		CachedTokens: picked.CachedTokens,
		FirstToken:   picked.FirstToken,
		Cost:         picked.Cost,
		mean:         picked.mean,
		pendingWork:  picked.pendingWork,
		baseline:     t.baseline(toMonotime(now), picked),
	}, nil
}

// pick returns the server that the policy selects, and whether it is a last resort. It counts
// nothing against the server's rate limit.
func (t *Table) pick(now time.Time, request Request, policy Policy) (picked *Candidate, lastResort bool, err error) {
	g := t.groups[request.Service]
	if g == nil || len(g.backends) == 0 {
		return nil, false, problem.New(problem.NoBackend, "service %s has no live backend server", request.Service)
	}
	t.request = request
	if !t.usesSubset(g) || !t.collectSubset(now, g) {
		t.request.Blocks = request.Blocks
		t.collect(now, g)
	}
	if len(t.candidates) == 0 {
		t.candidates, t.lastResorts = t.lastResorts, t.candidates
		lastResort = true
	}
	if len(t.candidates) == 0 && t.admissionWait > 0 {
		return nil, false, heldBackError(request.Service, t.admissionWait, t.random)
	}
	if len(t.candidates) == 0 && request.Versions.restricts() {
		return nil, false, problem.New(problem.NoBackend, "service %s has no backend server of a version that may be used", request.Service)
	}
	if len(t.candidates) == 0 {
		return nil, false, problem.New(problem.NoBackend, "all backend servers of service %s are leaving or gone", request.Service)
	}
	return &t.candidates[policy.Pick(t.candidates, &t.request, t.random)], lastResort, nil
}

// newEstimateInput returns the values that the estimates of the current request share.
func (t *Table) newEstimateInput(now time.Time, g *group) estimateInput {
	in := t.newUncachedInput(now, g)
	if in.hasBlocks && t.features.prefix {
		in.depths = g.cache.depth(t.request.Blocks)
	}
	return in
}

// newUncachedInput returns the same values without the cache depths.
func (t *Table) newUncachedInput(now time.Time, g *group) estimateInput {
	in := estimateInput{
		now: toMonotime(now), request: &t.request, hasBlocks: len(t.request.Blocks) > 0,
		answerTokens: t.request.AnswerTokens, margin: g.errors.margin(toMonotime(now), deviationsAbove(t.request.Target)),
	}
	if in.answerTokens <= 0 {
		in.answerTokens = defaultAnswerTokens
	}
	if in.hasBlocks {
		in.home = homeBlock(t.request.Blocks)
	}
	return in
}

// collect fills candidates, and lastResorts with the servers to use only when there is no
// candidate.
func (t *Table) collect(now time.Time, g *group) {
	t.candidates, t.lastResorts, t.admissionWait = t.candidates[:0], t.lastResorts[:0], 0
	in := t.newEstimateInput(now, g)
	last, bounded := t.maxHash(g)
	for _, b := range g.backends {
		if b.leaving || b.unlisted || !t.request.Versions.allows(b.Version) || (bounded && b.hash > last) {
			continue
		}
		if wait, admitted := b.limiter.Allow(now); !admitted {
			t.admissionWait = shorterWait(t.admissionWait, wait)
			continue
		}
		t.candidates = append(t.candidates, Candidate{backend: b})
		added := len(t.candidates) - 1
		c := &t.candidates[added]
		t.estimate(c, &in)
		if t.isLastResort(c, &in) {
			t.lastResorts = append(t.lastResorts, *c)
			t.candidates = t.candidates[:added]
		}
	}
}

// isLastResort reports whether a candidate may be selected only when there is no other.
func (t *Table) isLastResort(c *Candidate, in *estimateInput) bool {
	if len(in.request.Exclude) > 0 && slices.Contains(in.request.Exclude, c.backend.ID) {
		return true
	}
	return t.features.health && !c.backend.health.admits(in.now, c.InFlight, c.backend.speed.slots)
}
