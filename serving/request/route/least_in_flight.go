package route

import "math/rand/v2"

// leastInFlight selects the candidate with the fewest requests in flight, as reported by the
// servers and counted locally; ties are broken at random.
type leastInFlight struct{}

// Pick implements Policy.
func (leastInFlight) Pick(candidates []Candidate, _ *Request, random *rand.Rand) int {
	best, ties := 0, 1
	for i := 1; i < len(candidates); i++ {
		switch {
		case candidates[i].InFlight < candidates[best].InFlight:
			best, ties = i, 1
		case candidates[i].InFlight == candidates[best].InFlight:
			ties++
			if random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}
