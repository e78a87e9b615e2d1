package engine

import (
	"time"

	wire "papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/request/prefix"
)

// maxEvents bounds the cache events that an engine holds.
const maxEvents = 4096

// events holds the last cache events.
type events struct {
	last uint64
	held []event
}

type event struct {
	at time.Time
	wire.CacheEvent
}

// record adds a cache event. Its time is that of the step in which it happened.
func (m *Model) record(block prefix.Block, stored bool) {
	m.events.last++
	if m.random.Float64() < m.cfg.EventLoss {
		return
	}
	e := wire.CacheEvent{Sequence: m.events.last, Block: uint64(block), Stored: stored}
	m.events.held = append(m.events.held, event{at: m.stepEnds, CacheEvent: e})
	if len(m.events.held) > maxEvents {
		m.events.held = m.events.held[len(m.events.held)-maxEvents:]
	}
}

// Events returns the published events behind a sequence number. Next is the last
// published sequence number, to be asked for after.
func (m *Model) Events(now time.Time, after uint64, snapshot bool) wire.CacheEvents {
	out := wire.CacheEvents{Incarnation: m.cfg.Incarnation, Next: after}
	published := now.Add(-m.cfg.eventLag())
	for _, e := range m.events.held {
		if e.Sequence > after && !e.at.After(published) {
			out.Events = append(out.Events, e.CacheEvent)
			out.Next = e.Sequence
		}
	}
	if snapshot {
		out.Events = nil
		out.Snapshot = m.cache.snapshot()
		out.Next = m.events.last
	}
	return out
}
