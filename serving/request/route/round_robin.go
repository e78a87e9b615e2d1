package route

import "math/rand/v2"

// roundRobin selects the candidates in turn.
type roundRobin struct {
	next uint64
}

// Pick implements Policy.
func (p *roundRobin) Pick(candidates []Candidate, _ *Request, _ *rand.Rand) int {
	p.next++
	return int(p.next % uint64(len(candidates)))
}
