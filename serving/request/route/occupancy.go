package route

import (
	"time"

	"papayaport.dev/serving/process/occupancy"
)

// Occupancy appends the load that this entry instance has at the backend servers.
func (t *Table) Occupancy(works []occupancy.ServerLoad) []occupancy.ServerLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.groups {
		for _, b := range g.backends {
			if b.ownLoad.inFlight > 0 {
				works = append(works, occupancy.ServerLoad{Server: uint32(b.hash), Requests: b.ownLoad.inFlight, Tokens: b.ownLoad.prefill})
			}
		}
	}
	return works
}

// SetOccupancy replaces the known load of the peers with the load of all other entry instances at the
// given time. It takes precedence over earlier load reports of servers, and applies until it is
// replaced.
func (t *Table) SetOccupancy(described time.Time, others []occupancy.ServerLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	describedAt := toMonotime(described)
	for _, g := range t.groups {
		for _, b := range g.backends {
			b.peerLoad, b.peerLoadAt, b.hasOccupancy = serverLoad{}, describedAt, true
		}
	}
	for i := range others {
		if b := t.servers[others[i].Server]; b != nil {
			b.peerLoad = serverLoad{inFlight: others[i].Requests, prefill: others[i].Tokens}
		}
	}
}

// outdated reports whether the last load report is older than the occupancy sums.
func (b *backend) outdated() bool { return b.hasOccupancy && b.reportedAt < b.peerLoadAt }
