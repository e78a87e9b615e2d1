package route

import (
	"math/rand/v2"
	"time"
)

const (
	// boundedLoad is the load, as a multiple of the mean over all candidates, above which
	// a prefix's home passes new prompts on to the next server in rendezvous order. The
	// idea is consistent hashing with bounded loads (Mirrokni et al., 2016).
	boundedLoad = 1.25
	// strayShare is the share of a prefix's computing cost that is added when the prefix
	// is computed away from its home, because later prompts will look for it at home.
	strayShare = 0.5
	// tieShare is the relative range of cost within which candidates count as equal, so
	// that entry instances with the same knowledge do not all take the same server.
	tieShare = 0.02
)

// papayaport takes the cheapest candidate that meets the latency target at the wanted
// quantile, and the fastest when none does.
type papayaport struct {
	home  bool
	price bool
}

// Pick implements Policy.
func (p papayaport) Pick(candidates []Candidate, request *Request, random *rand.Rand) int {
	home := -1
	if p.home && len(request.Blocks) > 0 {
		home = boundedHome(candidates)
	}
	cheapest, lowest := -1, 0.0
	fastest := 0
	for i := range candidates {
		c := &candidates[i]
		if c.FirstToken < candidates[fastest].FirstToken {
			fastest = i
		}
		if p.price && !meets(c, request) {
			continue
		}
		cost := p.score(c, request, i == home) * (1 + tieShare*random.Float64())
		if cheapest < 0 || cost < lowest {
			cheapest, lowest = i, cost
		}
	}
	if cheapest < 0 {
		return fastest
	}
	return cheapest
}

// score returns what the policy minimizes for one candidate.
func (p papayaport) score(c *Candidate, request *Request, home bool) float64 {
	score := c.Cost
	stray := c.backend.prefillCost(request.PromptTokens - c.CachedTokens)
	if !p.price {
		score = c.FirstToken.Seconds()
		stray = c.backend.prefillTime(request.PromptTokens - c.CachedTokens).Seconds()
	}
	if p.home && !home {
		score += strayShare * stray
	}
	return score
}

// meets tells whether the candidate's estimates keep the request's latency target.
func meets(c *Candidate, request *Request) bool {
	target := request.Target
	if target.FirstTokenMS > 0 && milliseconds(c.FirstToken) > target.FirstTokenMS {
		return false
	}
	return target.BetweenTokensMS <= 0 || milliseconds(c.BetweenTokens) <= target.BetweenTokensMS
}

// milliseconds returns a duration in milliseconds.
func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// boundedHome returns the first candidate in rendezvous order whose load is within the
// bound, or the home itself when all are above.
func boundedHome(candidates []Candidate) int {
	total := 0
	for i := range candidates {
		total += candidates[i].InFlight
	}
	limit := boundedLoad * float64(total+1) / float64(len(candidates))
	home, within := 0, -1
	for i := range candidates {
		c := &candidates[i]
		if c.Rank > candidates[home].Rank {
			home = i
		}
		if float64(c.InFlight) > limit {
			continue
		}
		if within < 0 || c.Rank > candidates[within].Rank {
			within = i
		}
	}
	if within < 0 {
		return home
	}
	return within
}
