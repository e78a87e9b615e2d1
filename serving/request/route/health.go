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
	// firstDeviation is the mean absolute error of estimates before any observation.
	firstDeviation = 20 * time.Millisecond
	// errorHalfLife is the time in which a server without observations wins half of its
	// reputation back.
	errorHalfLife = 3 * time.Second

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
	// late is the mean time by which first tokens came later than estimated.
	late time.Duration
	// deviation is the mean absolute difference from late.
	deviation time.Duration
	at        moment
	between   time.Duration
}

// add takes in one time to first token.
func (o *observed) add(now moment, seen, estimated time.Duration) {
	o.decay(now)
	difference := seen - estimated - o.late
	weight := betterWeight
	if difference > 0 {
		weight = worseWeight
	}
	o.deviation += time.Duration(weight * float64(max(difference, -difference)-o.deviation))
	o.late += time.Duration(weight * float64(difference))
}

// decay moves the errors back towards those of a new server as time passes.
func (o *observed) decay(now moment) {
	if o.at == 0 {
		o.deviation, o.at = firstDeviation, now
	}
	kept := math.Exp2(-now.since(o.at).Seconds() / errorHalfLife.Seconds())
	o.late = time.Duration(float64(o.late) * kept)
	o.deviation = firstDeviation + time.Duration(float64(o.deviation-firstDeviation)*kept)
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
func (o *observed) adjust(now moment, estimate time.Duration, spread float64) time.Duration {
	late, deviation := time.Duration(0), firstDeviation
	if o.at != 0 {
		kept := math.Exp2(-now.since(o.at).Seconds() / errorHalfLife.Seconds())
		late = time.Duration(float64(o.late) * kept)
		deviation += time.Duration(float64(o.deviation-firstDeviation) * kept)
	}
	adjusted := estimate + late + time.Duration(spread*absoluteDeviation*float64(deviation))
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
