package rollout

import (
	"sync"
	"time"
)

// Gate decides at one entry instance which versions attempts may use.
type Gate struct {
	mu     sync.Mutex
	limits Limits
}

// NewGate returns a gate without orders, which restricts nothing.
func NewGate(limits Limits) *Gate { return &Gate{limits: limits} }

// SetState takes in what the view of the store holds.
func (g *Gate) SetState(now time.Time, state State) {}

// Permit takes in the holder's permits. Now is of the boot clock, which goes on while the
// instance is suspended.
func (g *Gate) Permit(now time.Time, permits []Permit) {}

// Pick returns the versions that an attempt may use. Repeat tells that the request failed at
// the candidate before, or that no server of Only could be chosen: then the pick is of the old
// versions.
func (g *Gate) Pick(now time.Time, service, route string, repeat bool) Pick { return Pick{} }

// Sent counts an attempt that went out to a backend server.
func (g *Gate) Sent(now time.Time, service, route string, candidate bool) {}

// IsCandidate tells whether a version is the candidate of a service's roll-out in progress.
func (g *Gate) IsCandidate(service, version string) bool { return false }

// Applied returns the order that picks follow for a service, and its phase; 0 without one.
func (g *Gate) Applied(service string) (order uint64, phase Phase) { return 0, "" }

// PermitAge returns how long ago the last permit for a service's trial came, and whether it is
// fresh; it is not where no permit for the order came yet.
func (g *Gate) PermitAge(now time.Time, service string) (age time.Duration, fresh bool) {
	return 0, false
}
