package route

import "math/rand/v2"

// prefixHash takes the home of the prompt's prefix by rendezvous hash (Thaler and
// Ravishankar, 1998), whatever its load; a prompt without blocks goes anywhere.
type prefixHash struct{}

// Pick implements Policy.
func (prefixHash) Pick(candidates []Candidate, request *Request, random *rand.Rand) int {
	if len(request.Blocks) == 0 {
		return random.IntN(len(candidates))
	}
	best := 0
	for i := range candidates {
		if candidates[i].Rank > candidates[best].Rank {
			best = i
		}
	}
	return best
}
