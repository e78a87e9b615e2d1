package site

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"papayaport.dev/serving/connection/peer"
	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/process/lease"
	"papayaport.dev/serving/process/membership"
	"papayaport.dev/serving/version/distribution"
	"papayaport.dev/serving/version/publication"
)

func (s *Site) self() membership.Member {
	return membership.Member{
		Instance: s.settings.Instance, Incarnation: s.incarnation(), Region: s.settings.Region,
		FailureDomain: s.settings.FailureDomain, PeerAddress: s.settings.AdvertisedPeers, CallerAddress: s.settings.Callers,
		MemoryMB: s.settings.MemoryMB,
	}
}

// updateGossip updates the local state that is gossiped to peers, and applies the totals of
// theirs.
func (s *Site) updateGossip(now time.Time) {
	local := membership.LocalState{
		Draining: s.relay.Draining(), Backends: s.routes.LocalLoad(), Accounts: s.admission.Usage(now),
	}
	if version := s.keeper.Current(); version != nil {
		local.ConfigVersion = version.Version
	}
	s.members.SetLocal(now, local)
	totals := s.members.Totals(now)
	if !s.occupancy.reporter.Fresh(clock.Boot()) {
		s.routes.SetPeerLoad(now, totals)
	}
	s.admission.SetEntries(now, s.limitSharers())
	s.setQuotaEntries()
	s.admission.SetPeerUsage(now, totals)
}

// applyChange applies a change of the membership that came from a peer or the store.
func (s *Site) applyChange(change membership.Change) {
	switch change := change.(type) {
	case membership.LeavingChange:
		l := change.Leaving
		s.routes.MarkLeaving(time.Now(), l.Instance, l.Incarnation, l.Deadline)
	case membership.LimitChange:
		s.applyPeerLimit(change.Limit)
	case membership.ConfigChange:
		if change.Config.Address != s.settings.AdvertisedPeers {
			s.announce(distribution.Source{Address: change.Config.Address, Version: change.Config.Version})
		}
	}
}

// sortByRendezvous sorts members in place by their rendezvous hash for key, highest first
// (Thaler and Ravishankar, 1998).
func sortByRendezvous(members []membership.Member, key string) []membership.Member {
	rank := func(m membership.Member) uint64 { return xxhash.Sum64String(m.PeerAddress + "\x00" + key) }
	slices.SortFunc(members, func(a, b membership.Member) int { return cmp.Compare(rank(b), rank(a)) })
	return members
}

// peerHandler serves the calls of other entry instances. Requests are neither stored nor handed
// over, since their responses are opaque.
type peerHandler struct{ s *Site }

// Exchange handles a membership message.
func (h *peerHandler) Exchange(_ context.Context, message membership.Message) (membership.Message, error) {
	return h.s.exchange.Receive(time.Now(), message), nil
}

// Head returns the encoded configuration in force, for instances that run an older version of the
// program.
func (h *peerHandler) Head(context.Context) ([]byte, error) {
	raw := h.s.keeper.Raw()
	if raw == nil {
		return nil, peer.ErrNotFound
	}
	return raw, nil
}

// Manifest returns the manifest of the configuration in force. The hash is ignored.
func (h *peerHandler) Manifest(context.Context, string) ([]byte, error) {
	manifest, found := h.s.archive.Manifest()
	if !found {
		return nil, peer.ErrNotFound
	}
	data, err := cbor.Marshal(manifest)
	return data, errors.Wrap(err, "encode manifest")
}

// Chunk returns a compressed chunk of a configuration.
func (h *peerHandler) Chunk(_ context.Context, hash string) ([]byte, error) {
	data, found, err := h.s.archive.Chunk(publication.Hash(hash))
	if err == nil && !found {
		err = peer.ErrNotFound
	}
	return data, err
}

// HandOver always returns peer.ErrNotFound.
func (h *peerHandler) HandOver(context.Context, peer.HandOver) error { return peer.ErrNotFound }

// Find always returns false.
func (h *peerHandler) Find(context.Context, string) (bool, error) { return false, nil }

// Attach always returns peer.ErrNotFound.
func (h *peerHandler) Attach(context.Context, string, int64, func([]byte) error) error {
	return peer.ErrNotFound
}

// dutyLease is the lease for all duties, so that one instance holds all of them.
const dutyLease = "duties"

func (s *Site) wantedLeases() []string {
	if s.relay.Draining() || !s.ready() {
		return nil
	}
	return []string{dutyLease}
}

// leaseRank returns the number of reachable instances that precede this one for a lease: those
// with more memory, and among equals those with a higher rank of the lease. The holder polls all
// other instances, and larger machines have more CPU.
func (s *Site) leaseRank(name string) int {
	larger := 0
	var equals []string
	for _, member := range s.members.Reachable(time.Now()) {
		switch {
		case member.MemoryMB > s.settings.MemoryMB:
			larger++
		case member.MemoryMB == s.settings.MemoryMB:
			equals = append(equals, member.Instance)
		}
	}
	return larger + lease.Rank(name, s.settings.Instance, equals)
}

// leaseMargin is added to the time for which the platform ties a duty to its holder, so that the
// next holder's first call comes after it. A holder stops acting when a quarter of the sum is
// left, which has to be longer than callTimeout.
const leaseMargin = 2500 * time.Millisecond

func (s *Site) leaseTTL() time.Duration { return milliseconds(s.settings.LeaseMS) + leaseMargin }

// expiringLeases is a lease.Store whose leases are never released, but expire. A holder that
// released its lease could reacquire it within the time in which the platform reports a change
// of the holder as a conflict.
type expiringLeases struct{ lease.Store }

// Release does nothing.
func (l expiringLeases) Release(context.Context, string, string, uint64) error { return nil }

func formatIncarnation(incarnation uint64) string { return strconv.FormatUint(incarnation, 10) }
