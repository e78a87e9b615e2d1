package sizing

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// paceQuantile is the quantile of the measured paces that stands for an engine's: prompts
	// that waited look slower than the engine is, and a few whose own part was cached faster.
	paceQuantile = 0.75
	// paceReadings is the number of readings that are kept of a service.
	paceReadings = 64
	// paceTokens is the least size of a prompt's own part that counts: shorter ones are read
	// in the time of a round trip.
	paceTokens = 500
	// leastReadings is the number of readings of a fleet below which its pace is not known.
	leastReadings = 30
	// widestPace bounds a fleet's pace in parts of the usual one, both ways.
	widestPace = 4
)

// Pace measures how fast the engines of each service read prompts, as callers see it: by the
// part of a prompt that no other request shares, and the time to the first token. It is
// safe for several goroutines.
type Pace struct {
	mu       sync.Mutex
	services map[string]*paces
}

// paces holds the last readings of a service in tokens a second, the oldest at next.
type paces struct {
	perSecond []float64
	next      int
}

// Reading is the pace of a service's engines as one entry instance measured it.
type Reading struct {
	TokensPerSecond float64 `cbor:"1,keyasint"`
	// Readings is the number of prompts that it rests on.
	Readings int `cbor:"2,keyasint"`
}

// NewPace returns a Pace that measured nothing.
func NewPace() *Pace { return &Pace{services: map[string]*paces{}} }

// Read takes in a prompt whose own part has a number of tokens, and the time from its send
// to its first token.
func (p *Pace) Read(service string, ownTokens int, took time.Duration) {
	if ownTokens < paceTokens || took <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	one := p.services[service]
	if one == nil {
		one = &paces{}
		p.services[service] = one
	}
	reading := float64(ownTokens) / took.Seconds()
	if len(one.perSecond) < paceReadings {
		one.perSecond = append(one.perSecond, reading)
		return
	}
	one.perSecond[one.next] = reading
	one.next = (one.next + 1) % paceReadings
}

// Measured returns the pace by service.
func (p *Pace) Measured() map[string]Reading {
	p.mu.Lock()
	defer p.mu.Unlock()
	measured := make(map[string]Reading, len(p.services))
	for service, one := range p.services {
		sorted := slices.Sorted(slices.Values(one.perSecond))
		measured[service] = Reading{TokensPerSecond: sorted[int(paceQuantile*float64(len(sorted)))], Readings: len(sorted)}
	}
	return measured
}

// FleetPace returns the pace that the entry instances measured together, the median by
// readings, or 0 while there are too few.
func FleetPace(readings []Reading) float64 {
	readings = slices.Clone(readings)
	slices.SortFunc(readings, func(a, b Reading) int { return cmp.Compare(a.TokensPerSecond, b.TokensPerSecond) })
	total := 0
	for _, r := range readings {
		total += r.Readings
	}
	if total < leastReadings {
		return 0
	}
	below := 0
	for _, r := range readings {
		below += r.Readings
		if 2*below >= total {
			return min(max(r.TokensPerSecond, usualPace/widestPace), usualPace*widestPace)
		}
	}
	return 0 // not reached: the last one has all readings below it
}
