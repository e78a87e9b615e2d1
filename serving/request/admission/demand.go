package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// demandTimeConstant is the time constant of the exponentially weighted demand.
	demandTimeConstant = 5 * time.Second
	// maxReportAge is the largest age of a peer's report up to which the sum of all shares
	// stays within the limit.
	maxReportAge = 5 * time.Second
	// minimumStep is the length of one step of the sliding minimum of the demand.
	minimumStep = time.Second
	// minimumSteps covers maxReportAge plus the current, incomplete step.
	minimumSteps = int(maxReportAge/minimumStep) + 1
	// toleratedSteps is the number of steps used for limits with a burst tolerance. Peers
	// receive a change after two to three exchanges, one second apart.
	toleratedSteps = 3
	// negligibleRate is the demand in requests per second below which none is reported.
	negligibleRate = 0.001
)

// demand is an exponentially weighted rate with a sliding minimum.
type demand struct {
	value float64
	at    time.Time
	// minima holds the smallest value within each of the last steps, the current step first.
	minima    [minimumSteps]float64
	stepStart time.Time
}

// rate returns the demand per second.
func (d *demand) rate(now time.Time) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.value * math.Exp(-now.Sub(d.at).Seconds()/demandTimeConstant.Seconds())
}

// add records an amount of demand.
func (d *demand) add(now time.Time, amount float64) {
	d.advance(now)
	d.value = d.rate(now) + amount/demandTimeConstant.Seconds()
	d.at = now
}

// minimum returns the smallest demand per second within the given number of last steps.
func (d *demand) minimum(now time.Time, steps int) float64 {
	d.advance(now)
	return slices.Min(d.minima[:steps])
}

// advance updates the minimum of the current step and starts new steps as time passes. The
// value only decays between calls, so the current value is the minimum of each step that
// passed since the last call.
func (d *demand) advance(now time.Time) {
	if d.stepStart.IsZero() {
		d.stepStart = now
	}
	value := d.rate(now)
	for passed := 0; now.Sub(d.stepStart) >= minimumStep && passed < minimumSteps; passed++ {
		d.minima[0] = min(d.minima[0], value)
		copy(d.minima[1:], d.minima[:minimumSteps-1])
		d.minima[0] = value
		d.stepStart = d.stepStart.Add(minimumStep)
	}
	if now.Sub(d.stepStart) >= minimumStep {
		d.stepStart = now
	}
	d.minima[0] = min(d.minima[0], value)
}
