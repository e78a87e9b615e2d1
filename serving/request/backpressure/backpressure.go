// Package backpressure keeps what a backend server asked for in its answers: that nothing
// comes for a while, or no more than a number of requests a second from all entry instances
// together.
//
// A limit is kept without a call. A few entry instances, its holders, each have an even part
// of it and send no more; the others send nothing. All instances that list the same fleet
// come to the same holders. There are at most as many as may send a request at the same
// moment, so that idle parts never add up to more than a server bears, however low the limit
// and however large the fleet. Where lists differ for a while, some holders are counted twice,
// by a part each.
//
// What a server asked for belongs to one of its processes: a new one under the same id has
// asked for nothing.
//
// # Usage
//
//	var server backpressure.Server
//	server.Hear(now, sentAt, backpressure.Asked{Limited: true, PerSecond: 1.5}, draw)
//	server.SetPart(now, backpressure.PartOf(self, entries, backpressure.Target{ID: "server-1", PerSecond: 1.5}))
//	if wait, admitted := server.Admits(now); !admitted {
//		// come back after wait
//	}
//	server.Take(now) // right before a request goes out
package backpressure

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// baseBurst is the number of requests that a server with any limit bears at a moment. The
	// users' pages allow five beyond half as much again as the limit; one is left for an
	// instance that looks whether a limit still holds.
	baseBurst = 4
	// minPerSecond stands for a limit of none at all: a server that gets no request has no
	// answer in which to say that it takes some again.
	minPerSecond = 0.1
	// probeWindow is the time in which one of the instances that are no holders may look whether a
	// limit that nobody repeats still holds: two windows of the users' pages.
	probeWindow = 8 * time.Second
	// minProbePeriod is the least time between two looks of an instance, and before its first:
	// several times what a limit takes to be repeated by peers.
	minProbePeriod = 30 * time.Second
)

// Asked is what a backend server asks for in one answer.
type Asked struct {
	// Leaving tells that the server leaves and wants no new request.
	Leaving bool
	// Closed is how long the server wants no request from this instance, 0 when it doesn't say.
	Closed time.Duration
	// Limited tells that the server named a limit, and PerSecond which one, in requests a
	// second from all entry instances together.
	Limited   bool
	PerSecond float64
	// LimitUnclear tells that the server named a limit that can't be read: the one known holds.
	LimitUnclear bool
}

// Limit is a limit with its age.
type Limit struct {
	// Named is false for the end of a limit.
	Named     bool
	PerSecond float64
	// SaidAt is when an answer named the limit, or came without one.
	SaidAt time.Time
}

// Part is what an entry instance has of a limit.
type Part struct {
	// PerSecond is the number of requests a second, 0 when the instance is no holder.
	PerSecond float64
	// Burst is the number of requests that may go out at once.
	Burst float64
	// Turn is the time in which each instance that is no holder may look once whether the
	// limit still holds, Offset when this one may in it. Turn is 0 for one that may not.
	Turn, Offset time.Duration
}

// Entry is an entry instance.
type Entry struct{ Instance, FailureDomain string }

// Target is a backend server that named a limit in requests a second.
type Target struct {
	ID, FailureDomain string
	PerSecond         float64
}

// PartOf returns the part of an entry instance in the limit of a server. The holders are the
// first of all instances, those of the server's failure domain before the others, since they
// send most to it, and then by their rank for the server (rendezvous hashing, Thaler and
// Ravishankar, 1998). An instance that the entries don't list has no part.
func PartOf(self Entry, entries []Entry, server Target) Part {
	before, listed := 0, false
	for _, entry := range entries {
		listed = listed || entry == self
		if server.precedes(entry, self) {
			before++
		}
	}
	perSecond := server.PerSecond
	perSecond = max(perSecond, minPerSecond)
	burst := math.Floor(perSecond) + baseBurst
	holders := min(float64(len(entries)), burst)
	switch {
	case !listed:
		return Part{}
	case float64(before) < holders:
		return Part{PerSecond: perSecond / holders, Burst: burst / holders}
	}
	turn := time.Duration(len(entries)) * probeWindow
	return Part{Turn: max(turn, minProbePeriod), Offset: time.Duration(before) * probeWindow}
}

// precedes tells whether one instance comes before another for a server.
func (s *Target) precedes(one, other Entry) bool {
	if near := one.FailureDomain == s.FailureDomain; near != (other.FailureDomain == s.FailureDomain) {
		return near
	}
	return s.score(one) > s.score(other)
}

func (s *Target) score(entry Entry) uint64 { return xxhash.Sum64String(entry.Instance + "\x00" + s.ID) }

// Server is what one process of a backend server asked this instance for. The zero value
// asked for nothing.
type Server struct {
	// restricted tells that any of the fields below may hold a request back.
	restricted        bool
	closedUntil time.Time
	limit       Limit
	part        Part
	// limitUpdatedAt is when the limit was last heard of, lookedAt when this instance last looked
	// whether it still holds.
	limitUpdatedAt, lastProbeAt time.Time
	// level is the number of requests that may go out, as of earnedAt.
	level    float64
	refilledAt time.Time
	// levelInitialized tells that the level was drawn at a first limit.
	levelInitialized bool
}

// Hear takes in what an answer to a request asks for. Draw is a random number in [0, 1): at
// first a holder has some part of a request, since all begin at about the same moment. It
// tells whether the limit that is known changed.
func (s *Server) Hear(now, sentAt time.Time, asked Asked, draw float64) (changed bool) {
	if asked.Closed > 0 {
		s.restricted = true
		if until := now.Add(asked.Closed); until.After(s.closedUntil) {
			s.closedUntil = until
		}
	}
	if asked.LimitUnclear || !asked.Limited && sentAt.Before(s.limit.SaidAt) {
		return false // unreadable, or overtaken by the answer that named the limit
	}
	return s.HearLimit(now, Limit{Named: asked.Limited, PerSecond: asked.PerSecond, SaidAt: now}, draw)
}

// HearLimit takes in a limit, which a peer may have heard of, if it is newer than the one
// known. It tells whether the limit that is known changed.
func (s *Server) HearLimit(now time.Time, limit Limit, draw float64) (changed bool) {
	if !limit.Named && !s.limit.Named || limit.SaidAt.Before(s.limit.SaidAt) {
		return false
	}
	s.refill(now)
	changed = limit.Named != s.limit.Named || limit.PerSecond != s.limit.PerSecond
	s.limit, s.limitUpdatedAt = limit, now
	if limit.Named && !s.levelInitialized {
		s.level, s.levelInitialized = draw, true
	}
	s.restricted = true
	return changed
}

// Limit returns the limit that is known.
func (s *Server) Limit() Limit { return s.limit }

// SetPart sets this instance's part of the limit.
func (s *Server) SetPart(now time.Time, part Part) {
	s.refill(now)
	if part.PerSecond == 0 {
		s.level = 0
	}
	s.part = part
	s.level = min(s.level, part.Burst)
}

// refill adds what passed since the last call.
func (s *Server) refill(now time.Time) {
	elapsed := max(now.Sub(s.refilledAt), 0)
	s.refilledAt = now
	if s.limit.Named && s.part.PerSecond > 0 {
		s.level = min(s.level+s.part.PerSecond*elapsed.Seconds(), s.part.Burst)
	}
}

// ClosedFor returns how long the server still wants no request at all from this instance.
func (s *Server) ClosedFor(now time.Time) time.Duration { return max(s.closedUntil.Sub(now), 0) }

// Admits tells whether a request may go to the server, and if not, when one may.
func (s *Server) Admits(now time.Time) (wait time.Duration, admitted bool) {
	if !s.restricted {
		return 0, true
	}
	if wait = s.ClosedFor(now); wait > 0 {
		return wait, false
	}
	if !s.limit.Named {
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

// untilProbe tells whether an instance that is no holder may look whether the limit still
// holds. A turn that passes unused is lost, so that few look at the same time when all have
// had nothing to send for long.
func (s *Server) untilProbe(now time.Time) (wait time.Duration, admitted bool) {
	if s.part.Turn == 0 {
		return minProbePeriod, false
	}
	passed := now.Sub(s.limitUpdatedAt)
	inTurn := passed%s.part.Turn - s.part.Offset
	admitted = passed >= s.part.Turn && inTurn >= 0 && inTurn < probeWindow && now.Sub(s.lastProbeAt) >= probeWindow
	if admitted {
		return 0, true
	}
	return (2*s.part.Turn - inTurn) % s.part.Turn, false
}

// Take counts a request that goes out, and tells whether it may.
func (s *Server) Take(now time.Time) bool {
	if _, admitted := s.Admits(now); !admitted {
		return false
	}
	switch {
	case !s.limit.Named:
	case s.level >= 1:
		s.level--
	default:
		s.lastProbeAt = now
	}
	return true
}
