package route

import "math/rand/v2"

// prefixHash selects the home of the prompt's prefix by rendezvous hashing (Thaler and Ravishankar,
// 1998), regardless of load. A prompt without blocks goes to a random server.
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
