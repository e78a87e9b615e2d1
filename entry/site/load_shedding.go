package site

import (
	"math/rand/v2"
	"time"

	"papayaport.dev/entry/relay"
	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/request/scarcity"
)

// ScarcitySettings enables load shedding for model services: requests are rejected when they are
// estimated to miss their deadline, or to delay requests of higher priority beyond their target.
type ScarcitySettings struct {
	Enabled bool `json:"enabled"`
}

// newLoadShedder returns the load shedder of the relay, nil when the settings disable it.
func (s *Site) newLoadShedder() relay.LoadShedder {
	if !s.settings.Scarcity.Enabled {
		return nil
	}
	return scarcity.New(rand.Float64)
}

// isLoadKnown reports whether the load of the other entry instances at the backend servers is
// known here. Otherwise estimates cover this instance's own load only, and no request is shed.
func (s *Site) isLoadKnown(time.Time) bool { return s.occupancy.reporter.Fresh(clock.Boot()) }
