// Package directory keeps which backend servers there are, from what servers say of
// themselves in the platform's store.
//
// A server whose entry is missing gets no new work, unless the store was out of reach
// just before: entries lapse during an outage, and a live server has a short time to
// come back. The table is pure and not safe for several goroutines.
//
// # Usage
//
//	table := directory.New(directory.DefaultReturn)
//	servers := table.Listed(now, listed) // a whole listing was read
//	table.Failed(begun)                  // none could be read
package directory

import (
	"slices"
	"strings"
	"time"
)

// DefaultReturn is how long behind an outage a missing server may come back: the users
// state about two seconds, and half a second is added for the listing to be read.
const DefaultReturn = 2500 * time.Millisecond

// Server is one incarnation of a backend server as it describes itself.
type Server struct {
	ID string `cbor:"1,keyasint"`
	// Incarnation grows with every start under one id.
	Incarnation   uint64 `cbor:"2,keyasint"`
	Service       string `cbor:"3,keyasint"`
	Address       string `cbor:"4,keyasint"`
	FailureDomain string `cbor:"5,keyasint"`
	// Slots is the number of requests that it runs at a time.
	Slots int `cbor:"6,keyasint"`
	// Leaving tells that it takes no new work.
	Leaving bool `cbor:"7,keyasint,omitempty"`
	// LeavesIn is the time it has left, 0 when it names none.
	LeavesIn time.Duration `cbor:"8,keyasint,omitempty"`
	// Reclaimable tells that the platform may take it away on short notice.
	Reclaimable bool `cbor:"9,keyasint,omitempty"`
	// Version is the version of its software, empty when it names none.
	Version string `cbor:"10,keyasint,omitempty"`
}

// Table is what one entry instance knows of the backend servers.
type Table struct {
	returnPeriod time.Duration
	known        map[string]Server
	// until is when servers that were missing after the last outage count as gone.
	graceUntil time.Time
}

// New returns an empty table.
func New(returnPeriod time.Duration) *Table {
	return &Table{returnPeriod: returnPeriod, known: map[string]Server{}}
}

// Failed notes that a listing that was begun at a time could not be read. The store came
// back after that: an instance that was cut off alone must not keep servers longer than
// the others, however late it notices that the cut has healed.
func (t *Table) Failed(begun time.Time) { t.graceUntil = begun.Add(t.returnPeriod) }

// Listed takes in a whole listing and returns the servers that may get work or are
// leaving, sorted by id. An older incarnation never replaces a newer one, and leaving
// ends only with a new incarnation.
func (t *Table) Listed(now time.Time, listed []Server) []Server {
	present := make(map[string]bool, len(listed))
	for _, server := range listed {
		present[server.ID] = true
		t.update(server)
	}
	for id := range t.known {
		if !present[id] && !now.Before(t.graceUntil) {
			delete(t.known, id)
		}
	}
	servers := make([]Server, 0, len(t.known))
	for _, server := range t.known {
		servers = append(servers, server)
	}
	slices.SortFunc(servers, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return servers
}

func (t *Table) update(server Server) {
	known, found := t.known[server.ID]
	if found && server.Incarnation < known.Incarnation {
		return
	}
	if found && server.Incarnation == known.Incarnation {
		server.Leaving = server.Leaving || known.Leaving
	}
	t.known[server.ID] = server
}
