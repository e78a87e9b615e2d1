// Package directory maintains the list of backend servers from the entries that servers write about
// themselves to the platform's store.
//
// A server whose entry is missing gets no new requests, unless the store was unavailable shortly
// before: entries expire during an outage, and a live server gets a grace period to write its entry
// again. The table does no I/O and reads no clock. It is not safe for concurrent use.
//
// # Usage
//
//	table := directory.New(directory.DefaultGracePeriod)
//	servers := table.Update(now, listed) // a complete listing was read
//	table.ListFailed(begun)                  // a listing could not be read
package directory

import (
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// DefaultGracePeriod is the grace period after an outage in which a missing server may write its entry
// again: the user documentation states about two seconds, and half a second is added for reading
// the listing.
const DefaultGracePeriod = 2500 * time.Millisecond

const (
	// staleEntryTime is how long after the beginning of a new generation of the store an entry may be
	// one that its server has removed before. Servers need about two seconds to write again, and a
	// third more time covers instances that read late.
	staleEntryTime = 4 * time.Second
	// removedTime is how long a removed server is remembered: longer than copies of the store are old.
	removedTime = time.Minute
)

// Server is one incarnation of a backend server as described by itself.
type Server struct {
	ID string `cbor:"1,keyasint"`
	// Incarnation increases with every start under the same id.
	Incarnation   uint64 `cbor:"2,keyasint"`
	Service       string `cbor:"3,keyasint"`
	Address       string `cbor:"4,keyasint"`
	FailureDomain string `cbor:"5,keyasint"`
	// Slots is the number of requests that the server runs concurrently.
	Slots int `cbor:"6,keyasint"`
	// Leaving reports that the server accepts no new requests.
	Leaving bool `cbor:"7,keyasint,omitempty"`
	// LeavesIn is the time until a leaving server stops, 0 when unknown.
	LeavesIn time.Duration `cbor:"8,keyasint,omitempty"`
	// Reclaimable reports whether the platform may take the server away on short notice.
	Reclaimable bool `cbor:"9,keyasint,omitempty"`
	// Version is the version of the server's software, empty when unknown.
	Version string `cbor:"10,keyasint,omitempty"`
}

// Bounds of valid entries.
const (
	maxSlots    = 1 << 20
	maxLeavesIn = 24 * time.Hour
)

// Validate returns an error for an entry that names no server that could be used, such as one
// that another program has written.
func (s Server) Validate() error {
	if s.ID == "" || s.Service == "" || s.FailureDomain == "" {
		return errors.New("id, service or failure domain missing")
	}
	if address, err := netip.ParseAddrPort(s.Address); err != nil || address.Port() == 0 {
		return errors.Errorf("address is %q, allowed is IP:PORT", s.Address)
	}
	if s.Slots <= 0 || s.Slots > maxSlots {
		return errors.Errorf("slots is %d, allowed is 1 to %d", s.Slots, maxSlots)
	}
	if s.Incarnation > math.MaxInt64 {
		return errors.Errorf("incarnation is %d, allowed is up to %d", s.Incarnation, int64(math.MaxInt64))
	}
	if s.LeavesIn < 0 || s.LeavesIn > maxLeavesIn {
		return errors.Errorf("time until the end is %s, allowed is up to %s", s.LeavesIn, maxLeavesIn)
	}
	return nil
}

// Table holds the backend servers known to one entry instance.
type Table struct {
	gracePeriod time.Duration
	known       map[string]Server
	// graceUntil is the end of the grace period after the last outage.
	graceUntil time.Time
	// removed holds the servers that were removed lately, and staleUntil the time until which an entry
	// of one is ignored.
	removed    map[string]removedServer
	staleUntil time.Time
}

// removedServer is a server whose entry is gone.
type removedServer struct {
	Server
	at time.Time
}

// New returns an empty table.
func New(gracePeriod time.Duration) *Table {
	return &Table{gracePeriod: gracePeriod, known: map[string]Server{}, removed: map[string]removedServer{}}
}

// ListFailed records that a listing started at the given time could not be read. The grace period
// starts then, not when the outage ends: an instance that was partitioned alone must not keep
// servers longer than the others, however late it notices that the partition has healed.
func (t *Table) ListFailed(begun time.Time) { t.graceUntil = begun.Add(t.gracePeriod) }

// StoreReplaced records that the store has come back from an older copy, in which servers that have
// been removed since are listed and new ones are not. Servers may write their entries again for the
// grace period.
func (t *Table) StoreReplaced(now time.Time) {
	t.graceUntil, t.staleUntil = now.Add(t.gracePeriod), now.Add(staleEntryTime)
}

// Update applies a complete listing and returns the servers that may get requests or are leaving,
// sorted by id. An older incarnation never replaces a newer one, and only a new incarnation ends
// leaving, also of a server whose entry was gone for a while.
func (t *Table) Update(now time.Time, listed []Server) []Server {
	present := make(map[string]bool, len(listed))
	for _, server := range listed {
		present[server.ID] = true
		t.update(now, server)
	}
	for id, server := range t.known {
		if !present[id] && !now.Before(t.graceUntil) {
			t.removed[id] = removedServer{server, now}
			delete(t.known, id)
		}
	}
	for id, server := range t.removed {
		if now.Sub(server.at) > removedTime {
			delete(t.removed, id)
		}
	}
	servers := make([]Server, 0, len(t.known))
	for _, server := range t.known {
		servers = append(servers, server)
	}
	slices.SortFunc(servers, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return servers
}

func (t *Table) update(now time.Time, server Server) {
	known, found := t.known[server.ID]
	if before, removed := t.removed[server.ID]; removed && !found {
		if now.Before(t.staleUntil) && server.Incarnation <= before.Incarnation {
			return
		}
		known, found = before.Server, true
		delete(t.removed, server.ID)
	}
	if found && server.Incarnation < known.Incarnation {
		return
	}
	if found && server.Incarnation == known.Incarnation {
		server.Leaving = server.Leaving || known.Leaving
	}
	t.known[server.ID] = server
}
