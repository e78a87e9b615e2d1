// Package reachability decides whether an entry instance is partitioned from the backend servers.
//
// Attempts show it first: several servers fail within a short time, or all requests in flight are
// silent. Both may have other reasons, such as crashed or busy servers, so the decision is taken by
// probes of several servers. Over a partition no connection can be opened, or none answers.
//
// The detector does no I/O and reads no clock. It is safe for concurrent use.
//
// # Usage
//
//	detector := reachability.New()
//	detector.Started(now)
//	detector.Reached(now)           // for every response and event of a server
//	detector.Unreached(now, server) // for every attempt that got no response
//	detector.Ended()
//	if detector.Step(now) { // in short intervals
//		detector.Probed(now, probe)
//	}
//	if detector.Isolated() {
//		// pass requests on to other instances
//	}
package reachability

import (
	"sync"
	"time"
)

const (
	// suspectedServers is the number of servers that have to fail within failureTTL.
	suspectedServers = 2
	failureTTL       = 3 * time.Second
	// maxSilence is how long at least silentRequests in flight may all be silent before servers are
	// probed. A single server may fall silent for about a second.
	maxSilence     = 1200 * time.Millisecond
	silentRequests = 2
	// hungSilence is how long they have to be silent if servers accept connections and don't answer a
	// probe, as busy servers may do for a moment.
	hungSilence = 2 * time.Second
	// suspectPeriod is the smallest interval between probes while servers are reachable, and
	// isolatedPeriod that while they are not.
	suspectPeriod  = time.Second
	isolatedPeriod = 300 * time.Millisecond
	// returnRounds is the number of successful probes in a row that end an isolation. It doubles, up
	// to maxReturnRounds, when the next isolation begins within relapseTime.
	returnRounds    = 2
	maxReturnRounds = 16
	relapseTime     = 15 * time.Second
	// aftermath is how long after an isolation servers may still be considered failed here.
	aftermath = 3 * time.Second
)

// Probe is the result of probing some servers.
type Probe struct {
	// Tried is the number of probed servers. Open is how many of them accepted a connection that
	// lasted, and Answered how many sent a byte. Servers without a free slot are open and silent.
	Tried, Open, Answered int
}

// Detector is the state of one entry instance.
type Detector struct {
	mu       sync.Mutex
	isolated bool
	// silent is set if the isolation began because open connections were silent.
	silent   bool
	inFlight int
	// waitingSince is the last success, or the time at which the first request in flight was sent
	// if that is later.
	waitingSince time.Time
	// failed is when each server last failed.
	failed    map[string]time.Time
	nextProbe time.Time
	endedAt   time.Time
	// rounds is the number of successful probes in a row, and needed how many end the isolation.
	rounds, needed int
}

// New returns the detector of an instance that reaches its servers.
func New() *Detector { return &Detector{failed: map[string]time.Time{}, needed: returnRounds} }

// Started records that a request is sent.
func (d *Detector) Started(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.inFlight++; d.inFlight == 1 {
		d.waitingSince = now
	}
}

// Ended records the end of a request after Started.
func (d *Detector) Ended() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
}

// Reached records bytes of a server.
func (d *Detector) Reached(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waitingSince = now
}

// Unreached records that a server could not be reached, or that its connection was lost. Successes at
// other servers don't outweigh it: open connections may last while no new one can be opened.
func (d *Detector) Unreached(now time.Time, server string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failed[server] = now
}

// Step reports whether servers have to be probed now. The result is passed to Probed.
func (d *Detector) Step(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Before(d.nextProbe) || !(d.isolated || d.hasFailures(now) || d.isSilent(now, maxSilence)) {
		return false
	}
	d.nextProbe = now.Add(suspectPeriod)
	if d.isolated {
		d.nextProbe = now.Add(isolatedPeriod)
	}
	return true
}

func (d *Detector) hasFailures(now time.Time) bool {
	for server, at := range d.failed {
		if now.Sub(at) > failureTTL {
			delete(d.failed, server)
		}
	}
	return len(d.failed) >= suspectedServers
}

func (d *Detector) isSilent(now time.Time, lasts time.Duration) bool {
	return d.inFlight >= silentRequests && now.Sub(d.waitingSince) >= lasts
}

// Probed records a probe. It returns true if the instance is isolated from now on, or no longer.
func (d *Detector) Probed(now time.Time, probe Probe) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if probe.Tried == 0 {
		return false
	}
	if !d.isolated {
		return d.begin(now, probe)
	}
	reached := probe.Open
	if d.silent {
		reached = probe.Answered
	}
	if 2*reached < probe.Tried {
		d.rounds = 0
		return false
	}
	if d.rounds++; d.rounds < d.needed {
		return false
	}
	d.isolated, d.endedAt, d.waitingSince = false, now, now
	clear(d.failed)
	return true
}

// begin begins an isolation if a probe shows it.
func (d *Detector) begin(now time.Time, probe Probe) bool {
	silent := probe.Answered == 0 && d.isSilent(now, hungSilence)
	if probe.Open > 0 && !silent {
		clear(d.failed)
		return false
	}
	if !d.endedAt.IsZero() && now.Sub(d.endedAt) < relapseTime {
		d.needed = min(2*d.needed, maxReturnRounds)
	} else {
		d.needed = returnRounds
	}
	d.isolated, d.silent, d.rounds, d.nextProbe = true, probe.Open > 0, 0, now.Add(isolatedPeriod)
	return true
}

// Isolated reports whether no server can be reached.
func (d *Detector) Isolated() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isolated
}

// Suspected reports whether a request that reached no server here may reach one from another
// instance.
func (d *Detector) Suspected(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isolated || d.hasFailures(now) || (!d.endedAt.IsZero() && now.Sub(d.endedAt) < aftermath)
}
