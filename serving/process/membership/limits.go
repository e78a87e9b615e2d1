package membership

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// limitRefreshInterval is the least interval between two relayed records of an unchanged limit.
	limitRefreshInterval = 3 * time.Second
	// limitRetention is how long a limit is kept without being repeated. It is longer than an
	// instance avoids a server because of a limit.
	limitRetention = time.Hour
	// limitUnitsPerRequest is the resolution of limits on the wire, in units per request per second.
	limitUnitsPerRequest = 1000
)

// ServerLimit is the rate limit that one process of a backend server announced in its answers,
// for all entry instances together.
type ServerLimit struct {
	Backend     string
	Incarnation uint64
	// Limited is false if the server no longer announces a limit.
	Limited bool
	// PerSecond is in requests per second.
	PerSecond float64
	// ReceivedAt is when the answer with the limit was received, on this instance's clock.
	ReceivedAt time.Time
}

// LimitChange reports that a backend server's limit is new, repeated, changed or ended.
type LimitChange struct{ Limit ServerLimit }

func (LimitChange) change() {}

// LimitRecord is a ServerLimit on the wire.
type LimitRecord struct {
	_           struct{} `cbor:",toarray"`
	Backend     string
	Incarnation uint64
	// Milli is the limit in thousandths of a request per second, -1 if there is none.
	Milli int64
	AgeMS int64
}

type limitState struct {
	ServerLimit
	pushed  bool
	relayed int
}

func (r LimitRecord) limit(now time.Time) ServerLimit {
	return ServerLimit{
		Backend: r.Backend, Incarnation: r.Incarnation, Limited: r.Milli >= 0, PerSecond: float64(max(r.Milli, 0)) / limitUnitsPerRequest,
		ReceivedAt: now.Add(-time.Duration(max(r.AgeMS, 0)) * time.Millisecond),
	}
}

func (s *limitState) record(now time.Time) LimitRecord {
	record := LimitRecord{Backend: s.Backend, Incarnation: s.Incarnation, Milli: -1, AgeMS: now.Sub(s.ReceivedAt).Milliseconds()}
	if s.Limited {
		record.Milli = int64(math.Round(s.PerSecond * limitUnitsPerRequest))
	}
	return record
}

func (r LimitRecord) size() int { return 20 + len(r.Backend) }

// AnnounceLimit adds a limit that a backend server announced to this instance. It returns the
// messages that push a change to peers immediately; if the last push was less than pushPeriod
// ago, the next Tick returns them.
func (t *Table) AnnounceLimit(now time.Time, limit ServerLimit) []Exchange {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addLimit(now, limit)
	if !t.pushDue || now.Before(t.nextPush) {
		return nil
	}
	return t.push(now)
}

// addLimit stores a limit that is newer than the known one. The end of an unknown limit is
// ignored.
func (t *Table) addLimit(now time.Time, limit ServerLimit) {
	// Rounded as on the wire, so that a limit received from a peer equals the one received here.
	limit.PerSecond = min(math.Round(limit.PerSecond*limitUnitsPerRequest), math.MaxInt32) / limitUnitsPerRequest
	known := t.limits[limit.Backend]
	switch {
	case now.Sub(limit.ReceivedAt) > limitRetention:
		return
	case known == nil && !limit.Limited:
		return
	case known == nil || limit.Incarnation > known.Incarnation:
	case limit.Incarnation < known.Incarnation || !limit.ReceivedAt.After(known.ReceivedAt):
		return
	case limit.Limited == known.Limited && limit.PerSecond == known.PerSecond:
		if limit.ReceivedAt.Sub(known.ReceivedAt) >= limitRefreshInterval {
			known.ReceivedAt, known.relayed = limit.ReceivedAt, 0
			t.changes = append(t.changes, LimitChange{Limit: limit})
		}
		return
	}
	t.limits[limit.Backend] = &limitState{ServerLimit: limit}
	t.pushDue = true
	t.changes = append(t.changes, LimitChange{Limit: limit})
}

func (t *Table) pruneLimits(now time.Time) {
	for id, state := range t.limits {
		if now.Sub(state.ReceivedAt) > limitRetention {
			delete(t.limits, id)
		}
	}
}

// addLimits adds the limits that were relayed least, or all of them for a new peer.
func (t *Table) addLimits(now time.Time, m *Message, all bool, size, limit int) int {
	for _, state := range t.limitsBySent() {
		record := state.record(now)
		if size+record.size() > limit {
			break
		}
		if state.relayed >= maxRelays && !all {
			continue
		}
		size += record.size()
		state.relayed++
		m.Limits = append(m.Limits, record)
	}
	return size
}

// pushLimits adds the changed limits to a push.
func (t *Table) pushLimits(now time.Time, m *Message, size int) int {
	for _, state := range t.limitsBySent() {
		record := state.record(now)
		if state.pushed {
			continue
		}
		if size += record.size(); size > maxPushBytes {
			t.pushDue = true
			break
		}
		state.pushed = true
		m.Limits = append(m.Limits, record)
	}
	return size
}

// limitsBySent returns the limits, least relayed first.
func (t *Table) limitsBySent() []*limitState {
	states := make([]*limitState, 0, len(t.limits))
	for _, state := range t.limits {
		states = append(states, state)
	}
	slices.SortFunc(states, func(a, b *limitState) int {
		if a.relayed != b.relayed {
			return a.relayed - b.relayed
		}
		return strings.Compare(a.Backend, b.Backend)
	})
	return states
}
