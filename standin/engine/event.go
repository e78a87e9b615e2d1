package engine

import (
	"time"

	wire "papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/request/prefix"
)

// maxEvents is the number of cache events that an engine retains.
const maxEvents = 4096

// events holds the most recent cache events.
type events struct {
	lastSequence uint64
	retained     []event
}

type event struct {
	at time.Time
	wire.CacheEvent
}

// record adds a cache event, dated at the end of the current step. An event lost by EventLoss
// leaves a gap in the sequence numbers.
func (m *Model) record(block prefix.Block, stored bool) {
	m.events.lastSequence++
	if m.random.Float64() < m.cfg.EventLoss {
		return
	}
	e := wire.CacheEvent{Sequence: m.events.lastSequence, Block: uint64(block), Stored: stored}
	m.events.retained = append(m.events.retained, event{at: m.stepEnds, CacheEvent: e})
	if len(m.events.retained) > maxEvents {
		m.events.retained = m.events.retained[len(m.events.retained)-maxEvents:]
	}
}

// Events returns the published events after a sequence number, or a snapshot of the cached
// blocks. Next is the last sequence number covered, to be passed as after in the next call.
func (m *Model) Events(now time.Time, after uint64, snapshot bool) wire.CacheEvents {
	out := wire.CacheEvents{Incarnation: m.cfg.Incarnation, Next: after}
	published := now.Add(-m.cfg.eventLag())
	for _, e := range m.events.retained {
		if e.Sequence > after && !e.at.After(published) {
			out.Events = append(out.Events, e.CacheEvent)
			out.Next = e.Sequence
		}
	}
	if snapshot {
		out.Events = nil
		out.Snapshot = m.cache.snapshot()
		out.Next = m.events.lastSequence
	}
	return out
}
