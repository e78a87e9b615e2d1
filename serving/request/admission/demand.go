package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// demandTime is the time constant of the mean demand.
	demandTime = 5 * time.Second
	// knowledgeAge is the largest age of a peer's report at which the limits still hold
	// exactly.
	knowledgeAge = 5 * time.Second
	// lowStep is the resolution in which the smallest demand is remembered.
	lowStep = time.Second
	// lowSteps covers knowledgeAge with one step that is just being filled.
	lowSteps = int(knowledgeAge/lowStep) + 1
	// toleratedSteps is the number of steps that count for limits with a tolerance. Peers
	// hear of a change within two to three exchanges of a second.
	toleratedSteps = 3
	// negligibleRate is a demand that is not worth reporting, per second.
	negligibleRate = 0.001
)

// demand is an exponentially weighted rate with its smallest value of late.
type demand struct {
	value float64
	at    time.Time
	// lows holds the smallest value of each of the last steps, the present one first.
	lows  [lowSteps]float64
	since time.Time
}

// rate returns the demand per second.
func (d *demand) rate(now time.Time) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.value * math.Exp(-now.Sub(d.at).Seconds()/demandTime.Seconds())
}

// add takes in an amount.
func (d *demand) add(now time.Time, amount float64) {
	d.advance(now)
	d.value = d.rate(now) + amount/demandTime.Seconds()
	d.at = now
}

// lowest returns the smallest demand per second within the last steps.
func (d *demand) lowest(now time.Time, steps int) float64 {
	d.advance(now)
	return slices.Min(d.lows[:steps])
}

// advance notes the present value as a low and opens new steps as time passes. The value
// only falls between calls, so the lows of steps passed are the value now.
func (d *demand) advance(now time.Time) {
	if d.since.IsZero() {
		d.since = now
	}
	value := d.rate(now)
	for passed := 0; now.Sub(d.since) >= lowStep && passed < lowSteps; passed++ {
		d.lows[0] = min(d.lows[0], value)
		copy(d.lows[1:], d.lows[:lowSteps-1])
		d.lows[0] = value
		d.since = d.since.Add(lowStep)
	}
	if now.Sub(d.since) >= lowStep {
		d.since = now
	}
	d.lows[0] = min(d.lows[0], value)
}
