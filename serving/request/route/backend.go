package route

import (
	"time"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/process/membership"
)

// backend is what the table knows of one incarnation of a backend server.
type backend struct {
	Backend
	group  *group
	column int
	hash   uint64
	gone   bool

	leaving  bool
	deadline time.Time

	load       engine.Load
	reportedAt time.Time
	reported   bool
	peers      membership.BackendUse
	peersAt    time.Time

	inFlight      int
	prefillTokens int
	unsettled     unsettled

	observed observed
	health   health

	// nextEvent is the sequence of the next cache event.
	nextEvent uint64
	// stale tells that cache events are missing since the last snapshot.
	stale bool
}

// group is the backend servers of one service with the knowledge of their caches.
type group struct {
	backends []*backend
	known    *knowledge
	columns  []*backend
}

// newGroup returns a service without backend servers.
func newGroup() *group {
	return &group{known: newKnowledge(maxBlocks)}
}

// add gives a backend server a column.
func (g *group) add(b *backend) {
	b.group = g
	g.backends = append(g.backends, b)
	for column, other := range g.columns {
		if other == nil {
			g.columns[column] = b
			b.column = column
			return
		}
	}
	b.column = len(g.columns)
	g.columns = append(g.columns, b)
	g.known.grow(len(g.columns))
}

// remove forgets a backend server and what was known of its cache.
func (g *group) remove(b *backend) {
	b.gone = true
	g.known.clear(b.column)
	g.columns[b.column] = nil
	for i, other := range g.backends {
		if other == b {
			last := len(g.backends) - 1
			copy(g.backends[i:], g.backends[i+1:])
			g.backends[last] = nil
			g.backends = g.backends[:last]
			return
		}
	}
}
