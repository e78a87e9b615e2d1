// Package generation decides what may be trusted of the platform's store after it has lost writes
// that it had acknowledged.
//
// A store that comes back from an older copy begins a new generation. Leases, fixed sums and records
// of the one before may be missing, while processes that have not noticed still act on them. The
// first instance that needs the store's contents writes a marker with the new generation. From then
// on the marker tells all instances, also ones that start later, when the generation began.
//
// The package does no I/O and reads no clock.
//
// # Usage
//
//	marker, err := generation.Decode(entry.Value)
//	if !marker.Names(current) {
//		marker = generation.Begin(current, now, first) // write it, on condition that it is unchanged
//	}
//	if wait := marker.SettlesIn(now, leaseTTL); wait > 0 {
//		// holders of the generation before may still act
//	}
//	if marker.MayHaveLost(now, period) {
//		// a missing record doesn't show that there was none within the last period
//	}
package generation

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// clockMargin covers the differences between the clocks of two instances.
const clockMargin = time.Second

// Marker is stored by the instances. The zero value names no generation.
type Marker struct {
	// Generation is the number of the generation, above 0.
	Generation uint64 `json:"generation"`
	// SinceMS is when the marker was written, in Unix milliseconds: after the generation began.
	SinceMS int64 `json:"since_ms"`
	// First is set if the store held nothing of any instance: there was no generation before.
	First bool `json:"first,omitempty"`
}

// Begin returns the marker of a generation that no marker names yet.
func Begin(number uint64, now time.Time, first bool) Marker {
	return Marker{Generation: number, SinceMS: now.UnixMilli(), First: first}
}

// Decode decodes a marker. An empty value is the zero marker.
func Decode(value []byte) (Marker, error) {
	var marker Marker
	if len(value) == 0 {
		return marker, nil
	}
	err := json.Unmarshal(value, &marker)
	return marker, errors.Wrap(err, "decode marker")
}

// Encode encodes the marker.
func (m Marker) Encode() ([]byte, error) {
	value, err := json.Marshal(m)
	return value, errors.Wrap(err, "encode marker")
}

// Names reports whether the marker is that of the present generation. In generation 0 the store has
// lost nothing, and there is no marker.
func (m Marker) Names(present uint64) bool { return m.Generation == present }

// Since returns when the marker was written.
func (m Marker) Since() time.Time { return time.UnixMilli(m.SinceMS) }

// SettlesIn returns the time until the leases of earlier generations have ended, given their time to
// live. It is 0 or less once they have.
func (m Marker) SettlesIn(now time.Time, ttl time.Duration) time.Duration {
	if m.Generation == 0 || m.First {
		return 0
	}
	return m.Since().Add(ttl + clockMargin).Sub(now)
}

// ActedBefore reports whether a holder of an earlier generation may have acted at a time, given the
// time to live of its lease.
func (m Marker) ActedBefore(at time.Time, ttl time.Duration) bool {
	return m.SettlesIn(at, ttl) > 0
}

// MayHaveLost reports whether writes of the last period may have been lost with an earlier
// generation.
func (m Marker) MayHaveLost(now time.Time, period time.Duration) bool {
	return m.Generation > 0 && !m.First && now.Before(m.Since().Add(period+clockMargin))
}
