package route

import (
	"math/rand/v2"
	"time"
)

const (
	// strayShare is the share of a prefix's computing cost that is added when the prefix
	// is computed away from its home, because later prompts will look for it there.
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
	cheapest, lowestCost := -1, 0.0
	fastest, lowestTime := -1, 0.0
	for i := range candidates {
		c := &candidates[i]
		stray := 0.0
		if home >= 0 && i != home {
			stray = strayShare * float64(request.PromptTokens-c.CachedTokens)
		}
		jitter := 1 + tieShare*random.Float64()
		time := jitter * (float64(c.FirstToken) + stray*c.backend.speed.prefill)
		if fastest < 0 || time < lowestTime {
			fastest, lowestTime = i, time
		}
		if !p.price || !meets(c, request) {
			continue
		}
		cost := jitter * (c.Cost + stray*c.backend.speed.prefill*c.backend.speed.price)
		if cheapest < 0 || cost < lowestCost {
			cheapest, lowestCost = i, cost
		}
	}
	if cheapest < 0 {
		return fastest
	}
	return cheapest
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
