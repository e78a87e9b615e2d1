package route

import (
	"math/rand/v2"
	"time"
)

const (
	// strayShare is the share of the cost of computing a prefix that no server has cached
	// that is added away from its home, because later prompts will look for it there.
	strayShare = 2
	// recomputeShare is the share of the cost of computing tokens again that is added on
	// top when another server has them cached, because a second copy takes cache from
	// other prefixes and leads further prompts astray.
	recomputeShare = 2
	// homeWork is the work of a server up to which it is a home for new prefixes.
	homeWork = 0.4
	// headroom is the share of the latency target that estimates may use. The servers
	// that are picked are those whose estimates err to the low side more often than not.
	headroom = 0.6
	// stakeWeight is the part of the target that a cached prompt may use beyond the headroom,
	// for each part that computing the prompt elsewhere takes.
	stakeWeight = 2
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
		homes := len(candidates)
		if p.price {
			homes = needed(candidates)
		}
		home = boundedHome(candidates[:homes])
	}
	best, least := cachedRange(candidates)
	cheapest, lowestCost := -1, 0.0
	fastest, lowestTime := -1, 0.0
	for i := range candidates {
		c := &candidates[i]
		lost := recomputeShare * float64(best-c.CachedTokens)
		if home >= 0 && i != home {
			lost += strayShare * float64(request.PromptTokens-best)
		}
		lost *= c.backend.speed.prefill
		jitter := 1 + tieShare*random.Float64()
		time := jitter * (float64(c.FirstToken) + lost)
		if fastest < 0 || time < lowestTime {
			fastest, lowestTime = i, time
		}
		if !p.price || !meets(c, request, share(c, request, best, least)) {
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

// cachedRange returns the largest and the smallest number of cached tokens at a candidate.
func cachedRange(candidates []Candidate) (most, least int) {
	least = candidates[0].CachedTokens
	for i := range candidates {
		most = max(most, candidates[i].CachedTokens)
		least = min(least, candidates[i].CachedTokens)
	}
	return most, least
}

// share returns the share of the latency target that a candidate's estimates may use: the
// headroom, and more where the prompt is cached, by the time that its loss would cost.
func share(c *Candidate, request *Request, best, least int) float64 {
	if c.CachedTokens < best || request.Target.FirstTokenMS <= 0 {
		return headroom
	}
	saved := milliseconds(c.backend.speed.prefillTime(best - least))
	return min(headroom+stakeWeight*saved/request.Target.FirstTokenMS, 1)
}

// meets tells whether the candidate's estimates keep a share of the request's latency target.
func meets(c *Candidate, request *Request, share float64) bool {
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

// needed returns how many servers, cheapest first, do all the present work, and half of
// all more, because a burst of new prefixes comes before reports tell of it. New prefixes
// have their homes there, so that the others stay idle and entry instances still agree.
func needed(candidates []Candidate) int {
	total := 0.0
	for i := range candidates {
		total += candidates[i].Work
	}
	return min(int(total/homeWork)+1+len(candidates)/2, len(candidates))
}

// boundedHome returns the first candidate in rendezvous order that has a free slot, or
// the home itself when none has. The load of a hot prefix so goes on to the same next
// servers at all entry instances. The idea is consistent hashing with bounded loads
// (Mirrokni et al., 2016).
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
