package sizing

import (
	"sync"
	"time"

	"papayaport.dev/serving/process/clock"
)

// intakeTime is the time over which the intake is averaged: long enough for a few large
// prompts at one entry instance, and shorter than the boot of a server.
const intakeTime = 3 * time.Second

// intakeSteps is the number of parts that this time is counted in.
const intakeSteps = 6

const intakeStep = intakeTime / intakeSteps

// Intake measures the tokens that an entry instance takes in for each service. What is
// refused over a limit does not belong there: servers for it would stand idle. It is safe
// for several goroutines.
type Intake struct {
	mu       sync.Mutex
	services map[string]*intake
}

type intake struct {
	first  time.Time
	tokens [intakeSteps + 1]float64
	// turn is the number of the step that is being filled.
	turn int64
}

// NewIntake returns an Intake that took nothing in.
func NewIntake() *Intake { return &Intake{services: map[string]*intake{}} }

// Admitted takes in a request of a service.
func (i *Intake) Admitted(at time.Time, service string, tokens int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	one := i.services[service]
	if one == nil {
		one = &intake{first: at}
		i.services[service] = one
	}
	one.advance(at)
	one.tokens[one.turn%int64(len(one.tokens))] += float64(tokens)
}

// PerSecond returns the tokens a second of each service over the last seconds. A service
// that has just begun is measured from its first request on.
func (i *Intake) PerSecond(now time.Time) map[string]float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	rates := map[string]float64{}
	for service, one := range i.services {
		one.advance(now)
		sum := 0.0
		for _, tokens := range one.tokens {
			sum += tokens
		}
		// The step that is being filled counts in part.
		filled := clock.Steady(now) - time.Duration(one.turn)*intakeStep + intakeTime
		rates[service] = sum / max(min(filled, now.Sub(one.first)), time.Second).Seconds()
	}
	return rates
}

// advance empties the steps that have passed.
func (o *intake) advance(now time.Time) {
	turn := int64(clock.Steady(now) / intakeStep)
	if turn-o.turn > intakeSteps {
		o.tokens = [intakeSteps + 1]float64{}
		o.turn = max(o.turn, turn)
	}
	for o.turn < turn {
		o.turn++
		o.tokens[o.turn%int64(len(o.tokens))] = 0
	}
}
