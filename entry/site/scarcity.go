package site

import (
	"math/rand/v2"
	"time"

	"papayaport.dev/entry/relay"
	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/request/scarcity"
)

// ScarcitySettings tells whether requests to model services are refused when the estimate says
// that they can't be served in their time, or that more urgent ones are late with them.
type ScarcitySettings struct {
	Enabled bool `json:"enabled"`
}

// newScarcity returns what decides in the relay, nil when the settings turn it off.
func (s *Site) newScarcity() relay.LoadShedder {
	if !s.set.Scarcity.Enabled {
		return nil
	}
	return scarcity.New(rand.Float64)
}

// workKnown tells whether this instance knows the work of the other entry instances at the
// backend servers. Without it estimates count this instance's own work only, and nothing is
// refused.
func (s *Site) workKnown(time.Time) bool { return s.occupied.reporter.Fresh(clock.Boot()) }
