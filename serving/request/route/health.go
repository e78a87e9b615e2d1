package route

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// Weights of a new observation that is worse or better than the mean. Slowdowns are learned
	// faster than recoveries.
	worseWeight  = 0.3
	betterWeight = 0.1
	// minDeviation is the lower bound of the mean absolute error assumed for estimates.
	minDeviation = 20 * time.Millisecond
	// deviationHalfLife is the half-life of a service's mean error.
	deviationHalfLife = 15 * time.Second
	// deviationWeight is the weight of a new error in the mean of a service.
	deviationWeight = 0.05
	// latenessHalfLife is the half-life of the lateness of a server without new observations.
	latenessHalfLife = 3 * time.Second

	// betweenWeight is the weight of a new time between tokens in the moving average.
	betweenWeight = 0.05

	// stallThreshold is the time without progress after which a server with requests in flight
	// counts as stalled.
	stallThreshold = time.Second

	// ejectBelow is the health score below which a server is ejected temporarily.
	ejectBelow = 0.6
	// recoveryShare is the share of the lost score that one complete answer restores.
	recoveryShare = 0.15
	// minEjection and maxEjection bound the base ejection time, which doubles with every failure.
	minEjection = 250 * time.Millisecond
	maxEjection = 10 * time.Second
)

// scoreFactors holds the factor by which the result of an attempt multiplies a server's health
// score.
var scoreFactors = map[Result]float64{
	Failed:  0.5,
	Silent:  0.25,
	Wrong:   0.1,
	Refused: 0.8,
}

// observedLatency compares a server's measured latency with the estimates.
type observedLatency struct {
	// late is the mean difference between the measured and the estimated time to the first token.
	late    time.Duration
	at      monotime
	between time.Duration
}

// add applies the difference between a measured time to the first token and its mean estimate, and
// returns the absolute deviation from the mean difference so far.
func (o *observedLatency) add(now monotime, late time.Duration) time.Duration {
	o.late, o.at = o.lateness(now), now
	difference := late - o.late
	weight := betterWeight
	if difference > 0 {
		weight = worseWeight
	}
	o.late += time.Duration(weight * float64(difference))
	return max(difference, -difference)
}

// lateness returns the mean lateness, which decays without new observations.
func (o *observedLatency) lateness(now monotime) time.Duration {
	if o.late == 0 {
		return 0
	}
	return fade(o.late, now.since(o.at), latenessHalfLife)
}

// fade returns a duration after exponential decay with the given half-life.
func fade(d, passed, halfLife time.Duration) time.Duration {
	return time.Duration(float64(d) * math.Exp2(-passed.Seconds()/halfLife.Seconds()))
}

// deviations holds the mean error of the estimates over all servers of a service. It is shared so
// that servers without observations do not appear more predictable than others.
type deviations struct {
	mean time.Duration
	at   monotime
}

// add applies the absolute deviation of one observation from its server's mean.
func (d *deviations) add(now monotime, difference time.Duration) {
	d.mean, d.at = fade(d.mean, now.since(d.at), deviationHalfLife), now
	d.mean += time.Duration(deviationWeight * float64(difference-d.mean))
}

// margin returns the safety margin for the given number of standard deviations.
func (d *deviations) margin(now monotime, spread float64) time.Duration {
	mean := max(fade(d.mean, now.since(d.at), deviationHalfLife), minDeviation)
	return time.Duration(spread * absoluteDeviation * float64(mean))
}

// addBetween applies one measured time between tokens.
func (o *observedLatency) addBetween(seen time.Duration) {
	if o.between == 0 {
		o.between = seen
		return
	}
	o.between += time.Duration(betweenWeight * float64(seen-o.between))
}

// health is a server's health score, derived from the results of its attempts, and its ejection
// state.
type health struct {
	// penalty is 1 minus the health score, so that the zero value is a fully healthy server.
	penalty      float64
	failures     int
	ejectedUntil monotime
	// lastProgress is the last time the server sent data, or got a request while idle.
	lastProgress monotime
}

// add applies the result of one attempt.
func (h *health) add(now monotime, result Result, random *rand.Rand) {
	if result == Cancelled {
		return
	}
	if result == OK {
		h.penalty -= h.penalty * recoveryShare
		h.failures = 0
		return
	}
	h.penalty = 1 - (1-h.penalty)*scoreFactors[result]
	if 1-h.penalty >= ejectBelow {
		return
	}
	ejection := min(minEjection<<min(h.failures, 8), maxEjection)
	h.failures++
	h.ejectedUntil = now + monotime(ejection/2) + monotime(random.Int64N(int64(ejection)))
}

// admits reports whether a server may get another request: none while it is ejected, and afterwards
// as many in flight as the recovered score allows.
func (h *health) admits(now monotime, inFlight, slots int) bool {
	if h.penalty < 1-ejectBelow {
		return true
	}
	if now < h.ejectedUntil {
		return false
	}
	return inFlight < 1+int((1-h.penalty)*float64(slots))
}

// stall returns how long the server has made no progress with requests in flight, beyond
// stallThreshold.
func (b *backend) stall(now monotime) time.Duration {
	if b.ownLoad.inFlight == 0 {
		return 0
	}
	return max(now.since(b.health.lastProgress)-stallThreshold, 0)
}
