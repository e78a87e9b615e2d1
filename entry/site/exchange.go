package site

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayaport.dev/serving/connection/peer"
	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/process/lease"
	"papayaport.dev/serving/process/membership"
)

func (s *Site) self() membership.Member {
	return membership.Member{
		Instance: s.set.Instance, Incarnation: s.incarnation(), Region: s.set.Region,
		FailureDomain: s.set.FailureDomain, PeerAddress: s.set.AdvertisedPeers, CallerAddress: s.set.Callers,
		MemoryMB: s.set.MemoryMB,
	}
}

// tellPeers updates what peers hear from this instance, and takes in what they told.
func (s *Site) tellPeers(now time.Time) {
	local := membership.Local{
		Draining: s.relay.Draining(), Backends: s.routes.Use(), Accounts: s.admission.Use(now),
	}
	if version := s.keeper.Current(); version != nil {
		local.ConfigVersion = version.Version
	}
	s.members.SetLocal(now, local)
	totals := s.members.Totals(now)
	if !s.occupied.reporter.Fresh(clock.Boot()) {
		s.routes.Peers(now, totals)
	}
	s.admission.SetEntries(now, s.sharers())
	s.setEarners()
	s.admission.Peers(now, totals)
}

// applyChange acts on what was heard from peers and directory.
func (s *Site) applyChange(change membership.Change) {
	switch heard := change.(type) {
	case membership.LeavingHeard:
		l := heard.Leaving
		s.routes.Leaving(time.Now(), l.Instance, l.Incarnation, l.Deadline)
	case membership.LimitHeard:
		s.hearLimit(heard.Limit)
	case membership.ConfigHeard:
		if heard.Config.Address != s.set.AdvertisedPeers {
			go s.fetch(heard.Config.Address)
		}
	}
}

// rendezvous sorts entry instances by their rank for a key (Thaler and Ravishankar, 1998).
func rendezvous(members []membership.Member, key string) []membership.Member {
	rank := func(m membership.Member) uint64 { return xxhash.Sum64String(m.PeerAddress + "\x00" + key) }
	slices.SortFunc(members, func(a, b membership.Member) int { return cmp.Compare(rank(b), rank(a)) })
	return members
}

// handler answers the calls of other entry instances. Requests are neither kept nor
// handed over here: their answers are opaque.
type handler struct{ s *Site }

// Exchange takes in a membership message.
func (h *handler) Exchange(_ context.Context, message membership.Message) (membership.Message, error) {
	return h.s.exchange.Receive(time.Now(), message), nil
}

// Head gives the configuration in force as it was read.
func (h *handler) Head(context.Context) ([]byte, error) {
	raw := h.s.keeper.Raw()
	if raw == nil {
		return nil, peer.ErrNotFound
	}
	return raw, nil
}

// Manifest holds nothing here.
func (h *handler) Manifest(context.Context, string) ([]byte, error) { return nil, peer.ErrNotFound }

// Chunk holds nothing here.
func (h *handler) Chunk(context.Context, string) ([]byte, error) { return nil, peer.ErrNotFound }

// HandOver takes nothing over.
func (h *handler) HandOver(context.Context, peer.HandOver) error { return peer.ErrNotFound }

// Find holds nothing here.
func (h *handler) Find(context.Context, string) (bool, error) { return false, nil }

// Attach holds nothing here.
func (h *handler) Attach(context.Context, string, int64, func([]byte) error) error {
	return peer.ErrNotFound
}

// dutyLease is the one lease for all duties, so that their holder is one instance.
const dutyLease = "duties"

func (s *Site) wantedLeases() []string {
	if s.relay.Draining() || !s.ready() {
		return nil
	}
	return []string{dutyLease}
}

// leaseRank counts the instances that come before this one for a lease, among all that are
// worth a call: those with more memory, since the holder asks all others and where machines
// differ the processor grows with it, and among equals by the lease's own rank.
func (s *Site) leaseRank(name string) int {
	larger := 0
	var equals []string
	for _, member := range s.members.Reachable(time.Now()) {
		switch {
		case member.MemoryMB > s.set.MemoryMB:
			larger++
		case member.MemoryMB == s.set.MemoryMB:
			equals = append(equals, member.Instance)
		}
	}
	return larger + lease.Rank(name, s.set.Instance, equals)
}

// leaseMargin is added to the time for which the platform counts a duty as its holder's,
// so that the next holder's first call comes after it: a quarter of the sum is the margin
// at whose start a holder stops to act, and it has to be longer than a call may take.
const leaseMargin = 2500 * time.Millisecond

func (s *Site) leaseTTL() time.Duration { return milliseconds(s.set.LeaseMS) + leaseMargin }

// lapsing lets leases end by themselves. A holder that gave its lease up at once could
// get it back within the time in which the platform takes a change back for a conflict.
type lapsing struct{ lease.Store }

// Release gives up nothing.
func (l lapsing) Release(context.Context, string, string, uint64) error { return nil }

func formatIncarnation(incarnation uint64) string { return strconv.FormatUint(incarnation, 10) }
