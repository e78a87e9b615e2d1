// Package backpressure enforces the restrictions that a backend server signals in its
// responses: a pause during which it accepts no requests, or a limit on the requests per
// second from all entry instances together.
//
// A limit is enforced without remote calls. A few entry instances, the holders, each get an
// even share of it; the others send nothing. All instances with the same instance list
// compute the same holders. There are at most as many holders as requests that may be sent
// at the same moment, so that unused shares never add up to more than the server can take,
// however low the limit and however large the fleet. While instance lists differ, there may
// be more holders than intended, each with one extra share.
//
// Restrictions belong to one process of a server: a new process with the same id starts
// without any.
//
// # Usage
//
//	var server backpressure.Server
//	server.Observe(now, sentAt, backpressure.Signal{Limited: true, PerSecond: 1.5}, draw)
//	server.SetShare(now, backpressure.ShareOf(self, entries, backpressure.Target{ID: "server-1", PerSecond: 1.5}))
//	if wait, admitted := server.Allow(now); !admitted {
//		// retry after wait
//	}
//	server.Acquire(now) // right before a request goes out
package backpressure

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// baseBurst is the number of simultaneous requests that a server accepts at any limit. The
	// user documentation allows five requests beyond 1.5 times the limit; one is left for an
	// instance that probes whether the limit still applies.
	baseBurst = 4
	// minPerSecond is the smallest rate used, also for a limit of zero: a server that receives
	// no requests can't signal in a response that it accepts them again.
	minPerSecond = 0.1
	// probeWindow is the time during which one of the non-holders may probe whether a limit that
	// is no longer repeated still applies: two windows of the user documentation.
	probeWindow = 8 * time.Second
	// minProbePeriod is the shortest time between two probes of an instance, and before its
	// first: several times as long as peers take to repeat a limit.
	minProbePeriod = 30 * time.Second
)

// Signal holds the restrictions that a backend server signals in one response.
type Signal struct {
	// Leaving is set if the server is shutting down and accepts no new requests.
	Leaving bool
	// PauseFor is how long the server accepts no requests from this instance, 0 if not signalled.
	PauseFor time.Duration
	// Limited is set if the response contains a limit, and PerSecond is that limit, in requests
	// per second from all entry instances together.
	Limited   bool
	PerSecond float64
	// LimitInvalid is set if the response contains a limit that can't be parsed; the known limit
	// stays in effect.
	LimitInvalid bool
}

// Limit is a server's limit, or the end of one, with the time at which it was received.
type Limit struct {
	// Active is false if the limit ended.
	Active    bool
	PerSecond float64
	// ObservedAt is when a response with the limit, or without one, was received.
	ObservedAt time.Time
}

// Share is an entry instance's share of a limit.
type Share struct {
	// PerSecond is the number of requests per second, 0 if the instance is not a holder.
	PerSecond float64
	// Burst is the number of requests that may be sent at once.
	Burst float64
	// ProbePeriod is the period in which each non-holder may probe once whether the limit still
	// applies, and ProbeOffset is the start of this instance's probe window within it. Turn is 0 for
	// an instance that must not probe.
	ProbePeriod, ProbeOffset time.Duration
}

// Entry identifies an entry instance.
type Entry struct{ Instance, FailureDomain string }

// Target is a backend server with a limit in requests per second.
type Target struct {
	ID, FailureDomain string
	PerSecond         float64
}

// ShareOf returns an entry instance's share of a server's limit. The holders are the first
// instances in this order: instances in the server's failure domain come first, since they
// send it the most requests, then by their score for the server (rendezvous hashing, Thaler
// and Ravishankar, 1998). An instance that is not in entries has no share.
func ShareOf(self Entry, entries []Entry, server Target) Share {
	preceding, listed := 0, false
	for _, entry := range entries {
		listed = listed || entry == self
		if server.precedes(entry, self) {
			preceding++
		}
	}
	perSecond := server.PerSecond
	perSecond = max(perSecond, minPerSecond)
	burst := math.Floor(perSecond) + baseBurst
	holders := min(float64(len(entries)), burst)
	switch {
	case !listed:
		return Share{}
	case float64(preceding) < holders:
		return Share{PerSecond: perSecond / holders, Burst: burst / holders}
	}
	turn := time.Duration(len(entries)) * probeWindow
	return Share{ProbePeriod: max(turn, minProbePeriod), ProbeOffset: time.Duration(preceding) * probeWindow}
}

// precedes reports whether one comes before other in the server's order of instances.
func (s *Target) precedes(one, other Entry) bool {
	if near := one.FailureDomain == s.FailureDomain; near != (other.FailureDomain == s.FailureDomain) {
		return near
	}
	return s.score(one) > s.score(other)
}

func (s *Target) score(entry Entry) uint64 { return xxhash.Sum64String(entry.Instance + "\x00" + s.ID) }

// Server holds the restrictions of one process of a backend server. The zero value has none.
type Server struct {
	// restricted is set if any of the fields below may delay a request.
	restricted  bool
	closedUntil time.Time
	limit       Limit
	part        Share
	// limitUpdatedAt is when the limit was last received, and lastProbeAt when this instance last
	// probed whether it still applies.
	limitUpdatedAt, lastProbeAt time.Time
	// level is the number of requests that may be sent, as of refilledAt.
	level      float64
	refilledAt time.Time
	// levelInitialized is set once the first limit has set the level to a random value.
	levelInitialized bool
}

// Observe applies the restrictions in the response to a request that was sent at sentAt. draw is
// a random number in [0, 1) that sets the initial level, because all holders start at about
// the same time. Hear reports whether the known limit changed.
func (s *Server) Observe(now, sentAt time.Time, asked Signal, draw float64) (changed bool) {
	if asked.PauseFor > 0 {
		s.restricted = true
		if until := now.Add(asked.PauseFor); until.After(s.closedUntil) {
			s.closedUntil = until
		}
	}
	if asked.LimitInvalid || !asked.Limited && sentAt.Before(s.limit.ObservedAt) {
		return false // can't be parsed, or older than the response with the known limit
	}
	return s.ObserveLimit(now, Limit{Active: asked.Limited, PerSecond: asked.PerSecond, ObservedAt: now}, draw)
}

// ObserveLimit applies a limit, which may come from a peer, unless it is older than the known
// one. It reports whether the known limit changed.
func (s *Server) ObserveLimit(now time.Time, limit Limit, draw float64) (changed bool) {
	if !limit.Active && !s.limit.Active || limit.ObservedAt.Before(s.limit.ObservedAt) {
		return false
	}
	s.refill(now)
	changed = limit.Active != s.limit.Active || limit.PerSecond != s.limit.PerSecond
	s.limit, s.limitUpdatedAt = limit, now
	if limit.Active && !s.levelInitialized {
		s.level, s.levelInitialized = draw, true
	}
	s.restricted = true
	return changed
}

// Limit returns the known limit.
func (s *Server) Limit() Limit { return s.limit }

// SetShare sets this instance's share of the limit.
func (s *Server) SetShare(now time.Time, part Share) {
	s.refill(now)
	if part.PerSecond == 0 {
		s.level = 0
	}
	s.part = part
	s.level = min(s.level, part.Burst)
}

// refill adds the requests accrued since the last call.
func (s *Server) refill(now time.Time) {
	elapsed := max(now.Sub(s.refilledAt), 0)
	s.refilledAt = now
	if s.limit.Active && s.part.PerSecond > 0 {
		s.level = min(s.level+s.part.PerSecond*elapsed.Seconds(), s.part.Burst)
	}
}

// PausedFor returns the remaining time for which the server accepts no requests from this
// instance.
func (s *Server) PausedFor(now time.Time) time.Duration { return max(s.closedUntil.Sub(now), 0) }

// Allow reports whether a request may be sent to the server, and if not, how long to wait.
func (s *Server) Allow(now time.Time) (wait time.Duration, admitted bool) {
	if !s.restricted {
		return 0, true
	}
	if wait = s.PausedFor(now); wait > 0 {
		return wait, false
	}
	if !s.limit.Active {
		s.restricted = false
		return 0, true
	}
	s.refill(now)
	if s.level >= 1 {
		return 0, true
	}
	if s.part.PerSecond > 0 {
		return time.Duration((1 - s.level) / s.part.PerSecond * float64(time.Second)), false
	}
	return s.untilProbe(now)
}

// untilProbe reports whether a non-holder may now probe whether the limit still applies, and
// if not, how long to wait. An unused probe window expires, so that few instances probe at
// the same time after a long idle period.
func (s *Server) untilProbe(now time.Time) (wait time.Duration, admitted bool) {
	if s.part.ProbePeriod == 0 {
		return minProbePeriod, false
	}
	passed := now.Sub(s.limitUpdatedAt)
	inTurn := passed%s.part.ProbePeriod - s.part.ProbeOffset
	admitted = passed >= s.part.ProbePeriod && inTurn >= 0 && inTurn < probeWindow && now.Sub(s.lastProbeAt) >= probeWindow
	if admitted {
		return 0, true
	}
	return (2*s.part.ProbePeriod - inTurn) % s.part.ProbePeriod, false
}

// Acquire counts a request that is about to be sent. It returns false if the request must not be
// sent.
func (s *Server) Acquire(now time.Time) bool {
	if _, admitted := s.Allow(now); !admitted {
		return false
	}
	switch {
	case !s.limit.Active:
	case s.level >= 1:
		s.level--
	default:
		s.lastProbeAt = now
	}
	return true
}
