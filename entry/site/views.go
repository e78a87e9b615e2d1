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
	"papayaport.dev/serving/request/quarantine"
	"papayaport.dev/serving/version/distribution"
)

const (
	// pollShare is the poll interval as a share of leaving_ms, the time within which a leaving
	// server must get no new work. A late or lost view leaves time for another.
	pollShare = 0.42
	// readerPollShare is the same for instances that read the store for others, which get the view
	// up to readerQueryPeriod later.
	readerPollShare = 0.16
	// readerQueryPeriod is the interval at which an instance queries its readers.
	readerQueryPeriod = 300 * time.Millisecond
	// readerQueryTimeout bounds a query to a reader, beyond the transfer of what the reply may hold.
	// Peers in a failure domain answer within a millisecond.
	readerQueryTimeout = 200 * time.Millisecond
	// firstViewTimeout bounds a query for a view of unknown size.
	firstViewTimeout = time.Second
	// slowestLink is the rate of the slowest supported link in bytes per second, 10 Mbit/s.
	slowestLink = 10e6 / 8
	// recentLists is the number of lists of servers that a reader knows the differences from.
	recentLists = 16
	// recordTransferPeriod is the interval between transfers of the entry instances' records,
	// which change with every usage window.
	recordTransferPeriod = 5 * time.Second
	// readersPerDomain is the smallest number of instances per failure domain that read the
	// store for the others, so that one may stop or be partitioned.
	readersPerDomain = 2
	// followersPerReader bounds the instances that query one reader, to 70 queries per second.
	followersPerReader = 20
	// fallbackPeers is the number of peers to query while the store can't be read. Most have a
	// view if only this instance is partitioned.
	fallbackPeers = 3
	// viewRetryDelay is the delay before the next read after one that failed.
	viewRetryDelay = 300 * time.Millisecond
)

// storeView is the last view, read from the store or from a peer.
type storeView struct {
	// generation is that of the store.
	generation uint64
	// at is when the store was read, by clock.Boot.
	at      time.Time
	servers []directory.Server
	own     []platform.Entry
	// leases lists the names of the leases that are held.
	leases   []string
	rollouts rolloutView
	// serversDigest and rolloutsDigest are compared with those of peers, so that only differences
	// are sent.
	serversDigest, rolloutsDigest uint64
	// recent holds the last lists of servers, this one first.
	recent []serverList
	// bytes is the encoded size of servers, and ownBytes that of own.
	bytes, ownBytes int
}

// serverList is a list of servers with its digest.
type serverList struct {
	digest  uint64
	servers []directory.Server
}

// transferTime returns the time for a number of bytes on the slowest supported link.
func transferTime(bytes int) time.Duration {
	return time.Duration(float64(bytes) / slowestLink * float64(time.Second))
}

// queryTimeout returns the time limit of a query to a reader, given the view that is held.
func (h *storeView) queryTimeout(request viewQuery) time.Duration {
	if h.at.IsZero() {
		return firstViewTimeout
	}
	limit := readerQueryTimeout + transferTime(h.bytes)
	if request.Own {
		limit += transferTime(h.ownBytes)
	}
	return min(limit, firstViewTimeout)
}

// viewQuery requests the view of a peer. Its digests let the peer leave out unchanged parts.
type viewQuery struct {
	// Configuration is the digest of the configuration in force. Instances that run an older version
	// of the program send the configuration with the view unless it is the same.
	Configuration uint64 `cbor:"1,keyasint"`
	Servers       uint64 `cbor:"2,keyasint"`
	// Own requests the records of the entry instances.
	Own bool `cbor:"3,keyasint,omitempty"`
	// Rollouts is the digest of the querying instance's roll-outs.
	Rollouts uint64 `cbor:"4,keyasint,omitempty"`
	// Quarantine is the digest of what the querying instance knows about prompts.
	Quarantine uint64 `cbor:"5,keyasint,omitempty"`
	// Delta accepts the differences from the list of servers with the digest Servers.
	Delta bool `cbor:"6,keyasint,omitempty"`
}

// viewReply holds the parts that differ from the querying instance's view. Key 2 was the
// configuration.
type viewReply struct {
	// AgeMS is the age of the view in milliseconds.
	AgeMS       int64              `cbor:"1,keyasint"`
	SameServers bool               `cbor:"3,keyasint,omitempty"`
	Servers     []directory.Server `cbor:"4,keyasint,omitempty"`
	Own         []platform.Entry   `cbor:"5,keyasint,omitempty"`
	// Leases is nil when the peer does not send them.
	Leases []string `cbor:"6,keyasint"`
	// Rollouts is nil when the querying instance has the same, or the peer does not send them.
	Rollouts *rolloutView `cbor:"7,keyasint,omitempty"`
	// Quarantine is nil when the querying instance has the same.
	Quarantine *quarantine.Snapshot `cbor:"8,keyasint,omitempty"`
	// Version is the version of the configuration that the peer has in force, 0 without one.
	Version uint64 `cbor:"9,keyasint,omitempty"`
	// Delta holds the differences of the list of servers from the querying instance's, in place of
	// Servers, and ServersDigest is the digest of the list.
	Delta         *directory.Delta `cbor:"10,keyasint,omitempty"`
	ServersDigest uint64           `cbor:"11,keyasint,omitempty"`
	// Generation is the generation of the store that was read, 0 for one without generations and
	// from instances that run an older version of the program.
	Generation uint64 `cbor:"12,keyasint,omitempty"`
}

// digest sets the digests.
func (h *storeView) digest() error {
	data, err := cbor.Marshal(h.servers)
	if err != nil {
		return errors.Wrap(err, "encode servers")
	}
	h.serversDigest, h.bytes = xxhash.Sum64(data), len(data)
	h.ownBytes = 0
	for _, entry := range h.own {
		h.ownBytes += len(entry.Key) + len(entry.Value)
	}
	if data, err = cbor.Marshal(h.rollouts); err != nil {
		return errors.Wrap(err, "encode roll-outs")
	}
	h.rolloutsDigest = xxhash.Sum64(data)
	return nil
}

// handleViewQuery returns the reply to a peer's query from the view held here, nil without a view.
func (s *Site) handleViewQuery(request viewQuery) *viewReply {
	held := s.view.Load()
	if held == nil {
		return nil
	}
	answer := &viewReply{
		AgeMS: clock.Boot().Sub(held.at).Milliseconds(), SameServers: held.serversDigest == request.Servers, Leases: held.leases, Generation: held.generation,
		Quarantine: s.quarantineFor(request.Quarantine),
	}
	if version := s.keeper.Current(); version != nil {
		answer.Version = version.Version
	}
	answer.ServersDigest = held.serversDigest
	if !answer.SameServers {
		answer.Servers = held.servers
		if before := held.recentServers(request.Servers); request.Delta && before != nil {
			delta := directory.Diff(before, held.servers)
			answer.Servers, answer.Delta = nil, &delta
		}
	}
	if request.Own {
		answer.Own = held.own
	}
	if request.Rollouts != held.rolloutsDigest {
		answer.Rollouts = &held.rollouts
	}
	return answer
}

// recentServers returns the recent list of servers with a digest, nil if there is none.
func (h *storeView) recentServers(digest uint64) []directory.Server {
	for _, list := range h.recent {
		if list.digest == digest {
			return list.servers
		}
	}
	return nil
}

// runView polls the backend servers and the records of the entry instances.
func (s *Site) runView(ctx context.Context) error {
	v := &viewPoller{site: s, table: directory.New(directory.DefaultGracePeriod)}
	for {
		if err := clock.Sleep(ctx, v.poll(ctx)); err != nil {
			return err
		}
	}
}

// viewPoller is the state of the poll loop.
type viewPoller struct {
	site  *Site
	table *directory.Table
	// generation is the generation of the store that the table has seen.
	generation uint64
	// ownReceivedAt is when the records of the entry instances were last received, and relayedAt
	// when a reader last replied, by clock.Boot.
	ownReceivedAt, relayedAt time.Time
}

// poll polls once and returns the delay before the next poll.
func (v *viewPoller) poll(ctx context.Context) time.Duration {
	s := v.site
	usual := time.Duration(pollShare * float64(milliseconds(s.settings.LeavingMS)))
	period := usual
	if s.entries() >= s.settings.RelayedFrom {
		readers, isReader := s.readers()
		switch {
		case isReader:
			period = time.Duration(readerPollShare * float64(milliseconds(s.settings.LeavingMS)))
		case v.readFromPeers(ctx, readers, period):
			v.relayedAt = clock.Boot()
			s.followsReader.Store(true)
			return readerQueryPeriod
		}
		s.followsReader.Store(!isReader && clock.Boot().Sub(v.relayedAt) < usual)
	} else {
		s.followsReader.Store(false)
	}
	start := time.Now()
	if v.readFromStore(ctx) {
		return period
	}
	// An instance that can't reach the store uses the views of peers.
	if v.readFromPeers(ctx, s.randomPeers(), usual) {
		return min(readerQueryPeriod, period)
	}
	if held := s.view.Load(); held == nil || clock.Boot().Sub(held.at) > usual {
		v.table.ListFailed(start)
	}
	return min(viewRetryDelay, period)
}

// readFromStore reads the view from the store and reports whether it succeeded.
func (v *viewPoller) readFromStore(ctx context.Context) bool {
	s := v.site
	at := clock.Boot()
	limited, cancel := context.WithTimeout(ctx, milliseconds(s.settings.LeavingMS))
	defer cancel()
	view, err := s.platform.Viewer.View(limited, s.isConfigurationInView())
	if ctx.Err() != nil {
		return false
	}
	if s.dependencies.record(s.logger("site"), "store", err) {
		s.leases.StoreRecovered()
	}
	if err != nil || view.Generation != s.observeGeneration() {
		return false
	}
	if len(view.Configuration) > 0 {
		s.adopt(view.Configuration, "store")
	}
	s.setEntries(view.Own)
	leases := append([]string{}, view.Leases...) // not nil: for peers nil means not sent
	v.apply(storeView{
		at: at, generation: view.Generation, servers: view.Servers, own: view.Own, leases: leases, rollouts: rolloutsOf(view),
	})
	v.ownReceivedAt = at
	return true
}

// readFromPeers reads the view from the first of the readers that has one no older than oldest,
// and reports whether it succeeded.
func (v *viewPoller) readFromPeers(ctx context.Context, readers []membership.Member, oldest time.Duration) bool {
	s := v.site
	held := s.view.Load()
	if held == nil {
		held = &storeView{}
	}
	request := viewQuery{
		Configuration: s.configurationDigest.Load(), Servers: held.serversDigest, Delta: true, Own: clock.Boot().Sub(v.ownReceivedAt) >= recordTransferPeriod,
		Rollouts: held.rolloutsDigest, Quarantine: s.quarantine.Digest(),
	}
	for _, reader := range readers {
		if s.unreachable.isRecent(reader.PeerAddress) {
			continue
		}
		start := time.Now()
		limited, cancel := context.WithTimeout(ctx, held.queryTimeout(request))
		response, err := s.queryPeer(limited, reader.PeerAddress, query{View: &request})
		cancel()
		if err != nil {
			s.unreachable.add(reader.PeerAddress)
			s.members.MarkUnanswered(time.Now(), reader.PeerAddress)
			s.logger("directory").WithError(err).WithFields(logrus.Fields{
				"peer": reader.Instance, "after_ms": time.Since(start).Milliseconds(), "view_age_ms": clock.Boot().Sub(held.at).Milliseconds(),
			}).Warn("directory: reader did not answer")
			continue
		}
		if response.View == nil {
			continue
		}
		s.platform.Store.AdvanceGeneration(response.View.Generation)
		if now := s.observeGeneration(); response.View.Generation > 0 && response.View.Generation < now {
			s.logger("directory").WithFields(logrus.Fields{"peer": reader.Instance, "generation": response.View.Generation, "present": now}).
				Debug("directory: view of the reader is of an earlier generation of the store")
			continue
		}
		s.mergeQuarantine(response.View.Quarantine)
		s.announce(distribution.Source{Address: reader.PeerAddress, Version: response.View.Version, Near: reader.FailureDomain == s.settings.FailureDomain})
		age := time.Duration(response.View.AgeMS) * time.Millisecond
		if age > oldest {
			s.logger("directory").WithFields(logrus.Fields{"peer": reader.Instance, "age_ms": response.View.AgeMS}).
				Debug("directory: view of the reader is too old")
			continue
		}
		v.applyReply(held, response.View, age)
		return true
	}
	return false
}

// applyReply applies a reader's reply, with the unchanged parts taken from the view held before.
func (v *viewPoller) applyReply(held *storeView, answer *viewReply, age time.Duration) {
	view := *held
	view.at, view.generation = clock.Boot().Add(-age), answer.Generation
	switch {
	case answer.SameServers:
	case answer.Delta != nil:
		view.servers = answer.Delta.Apply(held.servers)
	default:
		view.servers = answer.Servers
	}
	if answer.Rollouts != nil {
		view.rollouts = *answer.Rollouts
	}
	view.leases = answer.Leases
	if view.at.Before(held.at) && view.generation == held.generation {
		return // the view held is newer
	}
	if len(answer.Own) > 0 {
		view.own = answer.Own
		v.ownReceivedAt = clock.Boot()
		v.site.setEntries(view.own)
	}
	v.apply(view)
}

// apply applies a view.
func (v *viewPoller) apply(view storeView) {
	s := v.site
	now := time.Now()
	// Peers get the contents of the store. Servers that this instance retains after an outage
	// are not passed on, since other instances may have had no outage.
	if err := view.digest(); err != nil {
		s.logger("directory").WithError(err).Error("directory: view not encoded for peers")
	}
	view.recent = s.recentLists(&view)
	s.view.Store(&view)
	if view.leases != nil {
		s.leases.Observe(dutyLease, slices.Contains(view.leases, dutyLease))
	}
	if view.generation > v.generation {
		if v.generation > 0 {
			v.table.StoreReplaced(now)
		}
		v.generation = view.generation
	}
	servers := v.table.Update(now, view.servers)
	// Load-outs are applied before the servers, so that no server of a new version is used
	// without its order.
	s.applyRolloutView(view.at, view.rollouts, servers)
	s.setServers(now, servers)
	s.checkStarted()
}

// recentLists returns the last lists of servers, with that of a new view first.
func (s *Site) recentLists(view *storeView) []serverList {
	var before []serverList
	if held := s.view.Load(); held != nil {
		before = held.recent
	}
	if len(before) > 0 && before[0].digest == view.serversDigest {
		return before
	}
	lists := append([]serverList{{view.serversDigest, view.servers}}, before...)
	return lists[:min(recentLists, len(lists))]
}

// randomPeers returns up to fallbackPeers live peers at random.
func (s *Site) randomPeers() []membership.Member {
	live := s.members.Live(time.Now())
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(fallbackPeers, len(live))]
}

// readers returns the entry instances that read the store for this one's failure domain, in the
// order in which this instance queries them, and whether it is one of them. All instances of a
// domain select the same readers without coordination: the reachable instances with the most
// memory, since larger machines have more network bandwidth, and among equals by rendezvous order.
func (s *Site) readers() (readers []membership.Member, isReader bool) {
	domain := []membership.Member{s.self()}
	for _, member := range s.members.Reachable(time.Now()) {
		if member.FailureDomain == s.settings.FailureDomain {
			domain = append(domain, member)
		}
	}
	readers = readersOf(domain)
	for _, reader := range readers {
		isReader = isReader || reader.Instance == s.settings.Instance
	}
	return sortByRendezvous(readers, s.settings.Instance), isReader
}

// readersOf returns the readers among the instances of a failure domain.
func readersOf(domain []membership.Member) []membership.Member {
	readers := sortByRendezvous(domain, "view")
	slices.SortStableFunc(readers, func(a, b membership.Member) int { return cmp.Compare(b.MemoryMB, a.MemoryMB) })
	count := max(readersPerDomain, len(domain)/followersPerReader)
	return readers[:min(count, len(readers))]
}
