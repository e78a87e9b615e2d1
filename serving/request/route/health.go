package route

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// Weights of a new observation when it is worse or better than expected.
	worseWeight  = 0.3
	betterWeight = 0.1
	// ratioSlack is added to observed and estimated times before they are compared, so
	// that tiny times don't give large ratios.
	ratioSlack = 20 * time.Millisecond
	// ratioHalfLife is the time in which a server without observations wins half of its
	// reputation back.
	ratioHalfLife = 10 * time.Second
	maxRatio      = 50.0
	minRatio      = 0.5

	// betweenWeight is the weight of a new time between tokens.
	betweenWeight = 0.05

	// stallAfter is the silence of a server with requests in flight that counts as a stall.
	stallAfter = time.Second

	// barBelow is the trust below which a server is barred for a while.
	barBelow = 0.6
	// recoverShare is the share of lost trust that one whole answer restores.
	recoverShare = 0.15
	firstBar     = 250 * time.Millisecond
	longestBar   = 10 * time.Second
)

// trustAfter is the factor that an attempt's result puts on the trust in a server.
var trustAfter = map[Result]float64{
	Failed:  0.5,
	Silent:  0.25,
	Wrong:   0.1,
	Refused: 0.8,
}

// observed compares what a server did with what was estimated.
type observed struct {
	// ratio is the mean of observed over estimated time to first token; 0 means none yet.
	ratio     float64
	deviation float64
	at        moment
	between   time.Duration
}

// add takes in one time to first token.
func (o *observed) add(now moment, seen, estimated time.Duration) {
	ratio := float64(seen+ratioSlack) / float64(estimated+ratioSlack)
	ratio = min(max(ratio, minRatio), maxRatio)
	o.decay(now)
	weight := betterWeight
	if ratio > o.ratio {
		weight = worseWeight
	}
	o.deviation += weight * (math.Abs(ratio-o.ratio) - o.deviation)
	o.ratio += weight * (ratio - o.ratio)
}

// decay moves the ratio back towards 1 as time passes without observations.
func (o *observed) decay(now moment) {
	if o.ratio == 0 {
		o.ratio, o.at = 1, now
	}
	kept := math.Exp2(-now.since(o.at).Seconds() / ratioHalfLife.Seconds())
	o.ratio = 1 + (o.ratio-1)*kept
	o.deviation *= kept
	o.at = now
}

// addBetween takes in one time between tokens.
func (o *observed) addBetween(seen time.Duration) {
	if o.between == 0 {
		o.between = seen
		return
	}
	o.between += time.Duration(betweenWeight * float64(seen-o.between))
}

// adjust turns an estimate into one at the wanted number of standard deviations.
func (o *observed) adjust(estimate time.Duration, spread float64) time.Duration {
	if o.ratio == 0 {
		return estimate
	}
	factor := o.ratio + spread*absoluteDeviation*o.deviation
	adjusted := time.Duration(float64(estimate+ratioSlack)*factor) - ratioSlack
	return max(adjusted, estimate/2)
}

// health is the trust in a server that follows from its results.
type health struct {
	// distrust is 1 minus the trust, so that the zero value is full trust.
	distrust float64
	failures int
	barred   moment
	// progress is the last time the server sent something or was given work while idle.
	progress moment
}

// add takes in the result of one attempt.
func (h *health) add(now moment, result Result, random *rand.Rand) {
	if result == Cancelled {
		return
	}
	if result == OK {
		h.distrust -= h.distrust * recoverShare
		h.failures = 0
		return
	}
	h.distrust = 1 - (1-h.distrust)*trustAfter[result]
	if 1-h.distrust >= barBelow {
		return
	}
	bar := min(firstBar<<min(h.failures, 8), longestBar)
	h.failures++
	h.barred = now + moment(bar/2) + moment(random.Int64N(int64(bar)))
}

// admits tells whether a server may take another request: none while it is barred, and
// afterwards as many as the trust regained allows.
func (h *health) admits(now moment, inFlight, slots int) bool {
	if h.distrust < 1-barBelow {
		return true
	}
	if now < h.barred {
		return false
	}
	return inFlight < 1+int((1-h.distrust)*float64(slots))
}

// stall returns how long the server has been silent with requests in flight, beyond
// what is usual.
func (b *backend) stall(now moment) time.Duration {
	if b.own.inFlight == 0 {
		return 0
	}
	return max(now.since(b.health.progress)-stallAfter, 0)
}
