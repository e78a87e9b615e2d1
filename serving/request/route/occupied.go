package route

import (
	"time"

	"papayaport.dev/serving/process/occupancy"
)

// Occupancy appends the work that this entry instance has at the backend servers.
func (t *Table) Occupancy(works []occupancy.Work) []occupancy.Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.groups {
		for _, b := range g.backends {
			if b.own.inFlight > 0 {
				works = append(works, occupancy.Work{Server: uint32(b.hash), Requests: b.own.inFlight, Tokens: b.own.prefill})
			}
		}
	}
	return works
}

// Occupied takes in the work of all other entry instances as of a moment, and replaces what
// Peers told. It counts before reports that servers made earlier, and until it is replaced.
func (t *Table) Occupied(described time.Time, others []occupancy.Work) {
	t.mu.Lock()
	defer t.mu.Unlock()
	moment := at(described)
	for _, g := range t.groups {
		for _, b := range g.backends {
			b.peers, b.peersAt, b.occupied = use{}, moment, true
		}
	}
	for i := range others {
		if b := t.servers[others[i].Server]; b != nil {
			b.peers = use{inFlight: others[i].Requests, prefill: others[i].Tokens}
		}
	}
}

// outdated tells whether the last report is older than the sums of all instances.
func (b *backend) outdated() bool { return b.occupied && b.reportedAt < b.peersAt }
