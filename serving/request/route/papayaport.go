package route

import (
	"math/rand/v2"
	"time"
)

const (
	// nonHomePenalty is the penalty for a server other than the home of a prefix that no server has
	// cached, as a multiple of the cost of computing the prefix: later prompts are routed to the
	// home and do not find it in the cache.
	nonHomePenalty = 2
	// recomputePenalty is the penalty for computing tokens that another server has cached, as a
	// multiple of the cost of computing them: a second copy evicts other prefixes and attracts
	// further prompts to the wrong server.
	recomputePenalty = 2
	// maxHomeUtilization is the utilization up to which a server is a home for new prefixes.
	maxHomeUtilization = 0.4
	// baseTargetShare is the share of the latency target that estimates may use. It leaves headroom
	// because selecting the minimum favours servers whose estimates are too low.
	baseTargetShare = 0.6
	// cachedTargetWeight is the additional share of the target that a server with the prompt cached
	// may use, per share of the target that computing the prompt elsewhere would take.
	cachedTargetWeight = 2
	// tieTolerance is the relative cost difference within which candidates count as equal, so that
	// entry instances with the same data do not all select the same server.
	tieTolerance = 0.02
)

// papayaport selects the cheapest candidate that meets the latency target at the target's quantile,
// or the fastest when none does.
type papayaport struct {
	home  bool
	price bool
}

// Pick implements Policy.
func (p papayaport) Pick(candidates []Candidate, request *Request, random *rand.Rand) int {
	home := -1
	if p.home && len(request.Blocks) > 0 {
		homes := len(candidates)
		if p.price {
			homes = neededServers(candidates)
		}
		home = boundedHome(candidates[:homes])
	}
	best, least := cachedRange(candidates)
	cheapest, lowestCost := -1, 0.0
	fastest, lowestTime := -1, 0.0
	for i := range candidates {
		c := &candidates[i]
		lost := recomputePenalty * float64(best-c.CachedTokens)
		if home >= 0 && i != home {
			lost += nonHomePenalty * float64(request.PromptTokens-best)
		}
		lost *= c.backend.speed.prefill
		jitter := 1 + tieTolerance*random.Float64()
		time := jitter * (float64(c.FirstToken) + lost)
		if fastest < 0 || time < lowestTime {
			fastest, lowestTime = i, time
		}
		if !p.price || !meetsTarget(c, request, targetShare(c, request, best, least)) {
			continue
		}
		cost := jitter * (c.Cost + lost*c.backend.speed.price)
		if cheapest < 0 || cost < lowestCost {
			cheapest, lowestCost = i, cost
		}
	}
	if cheapest < 0 {
		return fastest
	}
	return cheapest
}

// cachedRange returns the largest and the smallest number of cached tokens among the candidates.
func cachedRange(candidates []Candidate) (most, least int) {
	least = candidates[0].CachedTokens
	for i := range candidates {
		most = max(most, candidates[i].CachedTokens)
		least = min(least, candidates[i].CachedTokens)
	}
	return most, least
}

// targetShare returns the share of the latency target that a candidate's estimates may use:
// baseTargetShare, plus an addition where the prompt is cached that grows with the time to compute
// it elsewhere.
func targetShare(c *Candidate, request *Request, best, least int) float64 {
	if c.CachedTokens < best || request.Target.FirstTokenMS <= 0 {
		return baseTargetShare
	}
	saved := milliseconds(c.backend.speed.prefillTime(best - least))
	return min(baseTargetShare+cachedTargetWeight*saved/request.Target.FirstTokenMS, 1)
}

// meetsTarget reports whether the candidate's estimates stay within a share of the request's
// latency target.
func meetsTarget(c *Candidate, request *Request, share float64) bool {
	target := request.Target
	if target.FirstTokenMS > 0 && milliseconds(c.FirstToken) > share*target.FirstTokenMS {
		return false
	}
	return target.BetweenTokensMS <= 0 || milliseconds(c.BetweenTokens) <= target.BetweenTokensMS
}

// milliseconds returns a duration in milliseconds.
func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// neededServers returns how many servers, cheapest first, are needed for the current work, plus
// half of all servers, because a burst of new prefixes arrives before load reports show it. New
// prefixes have their homes on these servers, so that the others stay idle and entry instances
// still agree.
func neededServers(candidates []Candidate) int {
	total := 0.0
	for i := range candidates {
		total += candidates[i].Utilization
	}
	return min(int(total/maxHomeUtilization)+1+len(candidates)/2, len(candidates))
}

// boundedHome returns the first candidate in rendezvous order that has a free slot, or the home
// itself when none has. The load of a hot prefix thus overflows to the same servers at all entry
// instances. This is consistent hashing with bounded loads (Mirrokni et al., 2016).
func boundedHome(candidates []Candidate) int {
	home, free := 0, -1
	for i := range candidates {
		c := &candidates[i]
		if c.Rank > candidates[home].Rank {
			home = i
		}
		if c.InFlight >= c.backend.speed.slots {
			continue
		}
		if free < 0 || c.Rank > candidates[free].Rank {
			free = i
		}
	}
	if free < 0 {
		return home
	}
	return free
}
