package site

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/process/directory"
	"papayaport.dev/serving/process/membership"
	"papayaport.dev/serving/process/platform"
)

const (
	// viewShare is the share of the time allowed for a leaving server's new work to end
	// that passes between two views; a late or lost one leaves time for another.
	viewShare = 0.42
	// readerShare is the same for the instances that read for others, who hear of it
	// followPeriod later.
	readerShare = 0.16
	// followPeriod is the time between two questions of an instance to its readers.
	followPeriod = 300 * time.Millisecond
	// followTimeout bounds the answer of a reader; peers of a failure domain answer in a
	// millisecond.
	followTimeout = 200 * time.Millisecond
	// ownPeriod is the time between two transfers of the entry instances' own keys, which
	// change with each usage window.
	ownPeriod = 5 * time.Second
	// readersPerDomain is the least number of instances of a failure domain that read the
	// store for the others: one may stop or be cut off.
	readersPerDomain = 2
	// followersPerReader bounds the instances that ask one reader, 70 questions a second.
	followersPerReader = 20
	// askedAtLoss is the number of peers that are asked while the store can't be read; most
	// have a view when only this instance is cut off.
	askedAtLoss = 3
	// viewTimeout bounds one view.
	viewTimeout = 900 * time.Millisecond
	// viewRetry is the time to the next view after one that failed.
	viewRetry = 300 * time.Millisecond
)

// heldView is the last view, whether it was read from the store or from a peer.
type heldView struct {
	// at is when the store was read, by clock.Boot.
	at            time.Time
	configuration []byte
	servers       []directory.Server
	own           []platform.Entry
	// leases names the leases that some instance holds.
	leases   []string
	rollouts heldRollouts
	// configurationDigest, serversDigest and rolloutsDigest tell whether a peer has the same.
	configurationDigest, serversDigest, rolloutsDigest uint64
}

// viewQuery asks a peer for its view. What the asking instance has already is not sent.
type viewQuery struct {
	Configuration uint64 `cbor:"1,keyasint"`
	Servers       uint64 `cbor:"2,keyasint"`
	// Own asks for the entry instances' own keys.
	Own bool `cbor:"3,keyasint,omitempty"`
	// Rollouts is the digest of the roll-outs that the asking instance knows.
	Rollouts uint64 `cbor:"4,keyasint,omitempty"`
}

// viewReply holds what differs from the asking instance's view.
type viewReply struct {
	// AgeMS is how long ago the store was read.
	AgeMS         int64              `cbor:"1,keyasint"`
	Configuration []byte             `cbor:"2,keyasint,omitempty"`
	SameServers   bool               `cbor:"3,keyasint,omitempty"`
	Servers       []directory.Server `cbor:"4,keyasint,omitempty"`
	Own           []platform.Entry   `cbor:"5,keyasint,omitempty"`
	// Leases is nil when the peer does not tell them.
	Leases []string `cbor:"6,keyasint"`
	// Rollouts is nil when the asking instance has the same, or the peer knows of none.
	Rollouts *heldRollouts `cbor:"7,keyasint,omitempty"`
}

// digest fills in the digests.
func (h *heldView) digest() error {
	data, err := cbor.Marshal(h.servers)
	if err != nil {
		return errors.Wrap(err, "encode servers")
	}
	h.configurationDigest, h.serversDigest = xxhash.Sum64(h.configuration), xxhash.Sum64(data)
	if data, err = cbor.Marshal(h.rollouts); err != nil {
		return errors.Wrap(err, "encode roll-outs")
	}
	h.rolloutsDigest = xxhash.Sum64(data)
	return nil
}

// answerView answers a peer from the view held here.
func (s *Site) answerView(question viewQuery) *viewReply {
	held := s.view.Load()
	if held == nil {
		return nil
	}
	answer := &viewReply{
		AgeMS: clock.Boot().Sub(held.at).Milliseconds(), SameServers: held.serversDigest == question.Servers, Leases: held.leases,
	}
	if held.configurationDigest != question.Configuration {
		answer.Configuration = held.configuration
	}
	if !answer.SameServers {
		answer.Servers = held.servers
	}
	if question.Own {
		answer.Own = held.own
	}
	if question.Rollouts != held.rolloutsDigest {
		answer.Rollouts = &held.rollouts
	}
	return answer
}

// runView follows the configuration, the backend servers and the other entry instances.
func (s *Site) runView(ctx context.Context) error {
	v := &viewing{site: s, table: directory.New(directory.DefaultReturn)}
	for {
		if err := clock.Sleep(ctx, v.look(ctx)); err != nil {
			return err
		}
	}
}

// viewing is the state of following the store's view.
type viewing struct {
	site  *Site
	table *directory.Table
	// ownAt is when the own keys were taken over last.
	ownAt time.Time
}

// look takes one look and returns the time to the next.
func (v *viewing) look(ctx context.Context) time.Duration {
	s := v.site
	usual := time.Duration(viewShare * float64(milliseconds(s.set.LeavingMS)))
	period := usual
	if s.entries() >= s.set.RelayedFrom {
		readers, isReader := s.readers()
		switch {
		case isReader:
			period = time.Duration(readerShare * float64(milliseconds(s.set.LeavingMS)))
		case v.follow(ctx, readers, period):
			return followPeriod
		}
	}
	begun := time.Now()
	if v.read(ctx) {
		return period
	}
	// An instance that is cut off from the store alone lives by the views of others.
	if v.follow(ctx, s.others(), usual) {
		return min(followPeriod, period)
	}
	if held := s.view.Load(); held == nil || clock.Boot().Sub(held.at) > usual {
		v.table.Failed(begun)
	}
	return min(viewRetry, period)
}

// read takes the view from the store.
func (v *viewing) read(ctx context.Context) bool {
	s := v.site
	at := clock.Boot()
	limited, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	view, err := s.platform.Viewer.View(limited)
	if ctx.Err() != nil {
		return false
	}
	if s.contacts.note(s.part("site"), "store", err) {
		s.leases.Regained()
	}
	if err != nil {
		return false
	}
	s.setEntries(view.Own)
	leases := append([]string{}, view.Leases...) // peers tell none from not told
	v.take(heldView{
		at: at, configuration: view.Configuration, servers: view.Servers, own: view.Own, leases: leases, rollouts: rolloutsOf(view),
	}, "store")
	v.ownAt = at
	return true
}

// follow takes the view from one of the readers of this instance's failure domain. A view
// that is older than oldest is of no use.
func (v *viewing) follow(ctx context.Context, readers []membership.Member, oldest time.Duration) bool {
	s := v.site
	held := s.view.Load()
	if held == nil {
		held = &heldView{}
	}
	question := viewQuery{
		Configuration: held.configurationDigest, Servers: held.serversDigest, Own: clock.Boot().Sub(v.ownAt) >= ownPeriod,
		Rollouts: held.rolloutsDigest,
	}
	for _, reader := range readers {
		if s.unreached.lately(reader.PeerAddress) {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, followTimeout)
		answered, err := s.askPeer(limited, reader.PeerAddress, query{View: &question})
		cancel()
		if err != nil {
			s.unreached.note(reader.PeerAddress)
			s.members.Unanswered(time.Now(), reader.PeerAddress)
			s.part("directory").WithError(err).WithField("peer", reader.Instance).Warn("directory: reader did not answer")
			continue
		}
		if answered.View == nil {
			continue
		}
		age := time.Duration(answered.View.AgeMS) * time.Millisecond
		if age > oldest {
			s.part("directory").WithFields(logrus.Fields{"peer": reader.Instance, "age_ms": answered.View.AgeMS}).
				Debug("directory: view of the reader is too old")
			continue
		}
		v.takeOver(held, answered.View, age, reader.Instance)
		return true
	}
	return false
}

// takeOver completes a reader's answer by what was held before.
func (v *viewing) takeOver(held *heldView, answer *viewReply, age time.Duration, reader string) {
	view := *held
	view.at = clock.Boot().Add(-age)
	if len(answer.Configuration) > 0 {
		view.configuration = answer.Configuration
	}
	if !answer.SameServers {
		view.servers = answer.Servers
	}
	if answer.Rollouts != nil {
		view.rollouts = *answer.Rollouts
	}
	view.leases = answer.Leases
	if view.at.Before(held.at) {
		return // another reader was ahead
	}
	if len(answer.Own) > 0 {
		view.own = answer.Own
		v.ownAt = clock.Boot()
		v.site.setEntries(view.own)
	}
	v.take(view, "peer "+reader)
}

// take puts a view into force.
func (v *viewing) take(view heldView, source string) {
	s := v.site
	now := time.Now()
	if len(view.configuration) > 0 {
		s.adopt(view.configuration, source)
	}
	// Peers get what the store holds; what is kept behind an outage is each instance's own
	// affair, since not all were cut off.
	if err := view.digest(); err != nil {
		s.part("directory").WithError(err).Error("directory: view not kept for peers")
	}
	s.view.Store(&view)
	if view.leases != nil {
		s.leases.Seen(dutyLease, slices.Contains(view.leases, dutyLease))
	}
	servers := v.table.Listed(now, view.servers)
	// Before the servers, so that none of a new version is used without its order.
	s.takeRollouts(view.at, view.rollouts, servers)
	s.setServers(now, servers)
}

// others returns a few live peers at random.
func (s *Site) others() []membership.Member {
	live := s.members.Live(time.Now())
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(askedAtLoss, len(live))]
}

// readers returns the entry instances that read the store for this one's failure domain,
// in the order in which this one asks them, and whether it is one of them. All instances
// of a domain come to the same ones without a call: of those worth a call the ones with the
// most memory, since where machines differ the link grows with it, and among equals by
// rendezvous order.
func (s *Site) readers() (readers []membership.Member, isReader bool) {
	domain := []membership.Member{s.self()}
	for _, member := range s.members.Reachable(time.Now()) {
		if member.FailureDomain == s.set.FailureDomain {
			domain = append(domain, member)
		}
	}
	readers = rendezvous(domain, "view")
	slices.SortStableFunc(readers, func(a, b membership.Member) int { return cmp.Compare(b.MemoryMB, a.MemoryMB) })
	count := max(readersPerDomain, len(domain)/followersPerReader)
	readers = readers[:min(count, len(readers))]
	for _, reader := range readers {
		isReader = isReader || reader.Instance == s.set.Instance
	}
	return rendezvous(readers, s.set.Instance), isReader
}
