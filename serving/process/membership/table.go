package membership

import (
	"math/rand/v2"
	"sync"
	"time"

	"papayaport.dev/serving/process/platform"
)

// Periods and limits of the exchange.
const (
	// TickPeriod is how often Tick should be called.
	TickPeriod = 100 * time.Millisecond
	// ExchangePeriod is the time between two rounds of exchanges.
	ExchangePeriod = time.Second
	// DefaultBudget is the default number of bytes per second, sent and received together.
	DefaultBudget = 7200
	// localSilence and remoteSilence are the times without a heartbeat after which a member of
	// this failure domain, or of another, is no longer live.
	localSilence  = 8 * time.Second
	remoteSilence = 30 * time.Second
	// memberRetention is the time after which a silent member that is not listed is dropped.
	memberRetention = 5 * time.Minute
	// newcomerPeriod is how long a new member without a heartbeat is called like a live one.
	newcomerPeriod = 30 * time.Second
	// welcomeMembers is the number of members of this failure domain, and of others, that are
	// sent to a new peer.
	welcomeMembers = 6
	// minRecordBytes is the space for records in a message after the budget is exhausted.
	minRecordBytes = 300
	// localExchanges and remoteExchanges are the exchanges started in a round, and
	// smallRemoteExchanges those of a small fleet.
	localExchanges       = 1
	remoteExchanges      = 1
	smallRemoteExchanges = 2
	// wantMembersExchanges is the number of exchanges that request an unknown member: those of one
	// round, since the first peer may not know it either.
	wantMembersExchanges = localExchanges + smallRemoteExchanges
	// minUpstreamRounds is the least number of rounds between two exchanges with the member that
	// aggregates the usage of this one.
	minUpstreamRounds = 3
	// upstreamPerRound is the number of such exchanges per round that an aggregating member
	// receives.
	upstreamPerRound = 1
	// messagesPerSecond is the number of messages in both directions, of the exchanges of this
	// instance and of its peers.
	messagesPerSecond = 4 * (localExchanges + remoteExchanges)
	// probePeriod is the interval between probes of silent members.
	probePeriod = 2 * ExchangePeriod
	// seedPeriod is the interval between calls to a seed while other members are live.
	seedPeriod = 10 * ExchangePeriod
)

// Exchange is a message to send. The caller passes the reply to Receive, or calls MarkFailed.
type Exchange struct {
	Address string
	Message Message
}

// Change is a change of the state that this instance has to handle.
type Change interface{ change() }

// LeavingChange reports that an incarnation will stop; it receives no new requests from now on.
type LeavingChange struct{ Leaving Leaving }

// ConfigChange reports that a peer has a higher active configuration version.
type ConfigChange struct{ Config Config }

func (LeavingChange) change() {}
func (ConfigChange) change()  {}

// Table is the gossip state of one entry instance.
type Table struct {
	mu              sync.Mutex
	self            Member
	id              uint32
	domain          uint32
	seeds           []string
	random          *rand.Rand
	budget          int
	maxMessageBytes int // largest message in bytes

	local   LocalState
	config  Config
	count   uint32
	members map[string]*member // by instance
	byID    map[uint32]*member
	sorted  []*member // by instance, so that runs with one seed are reproducible
	cells   uint16    // in this failure domain, a power of two
	leaving map[uint64]*leavingState
	digest  uint64
	limits  map[string]*limitState // by backend server
	uses    map[useKey]*useState
	names   map[uint32]string
	changes []Change

	nextRound time.Time
	nextProbe time.Time
	nextSeed  time.Time
	nextPush  time.Time
	pushDue   bool
	// repairFrom is the address of a peer whose leaving set differs.
	repairFrom string
	nextRepair time.Time
	// wantMembers is the number of exchanges that still request members, because a heartbeat or a
	// roster contained an unknown one.
	wantMembers   int
	nextSeedIndex int
	sendBudget    tokenBucket
}

// New returns the table of one entry instance. Seeds are the peer addresses to call first;
// budget is in bytes per second, sent and received together.
func New(self Member, seeds []string, random *rand.Rand, budget int) *Table {
	t := &Table{
		self:            self,
		id:              self.id(),
		domain:          nameHash(self.FailureDomain),
		random:          random,
		budget:          budget,
		maxMessageBytes: budget / messagesPerSecond,
		members:         make(map[string]*member),
		byID:            make(map[uint32]*member),
		leaving:         make(map[uint64]*leavingState),
		limits:          make(map[string]*limitState),
		uses:            make(map[useKey]*useState),
		names:           make(map[uint32]string),
		cells:           1,
	}
	for _, address := range seeds {
		if address != self.PeerAddress {
			t.seeds = append(t.seeds, address)
		}
	}
	return t
}

// SetLocal replaces the local state that is gossiped.
func (t *Table) SetLocal(now time.Time, local LocalState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.local = local
	for _, use := range local.Backends {
		t.names[nameHash(use.Backend)] = use.Backend
	}
	for _, use := range local.Accounts {
		t.names[nameHash(use.Account)] = use.Account
	}
	if local.ConfigVersion >= t.config.Version && local.ConfigVersion > 0 {
		t.config = Config{Version: local.ConfigVersion, ManifestHash: local.ManifestHash, Address: t.self.PeerAddress}
	}
	_ = now
}

// RegisterNames registers names of backend servers or client accounts for Totals, before this instance
// has used them. Messages contain only hashes of the names.
func (t *Table) RegisterNames(names ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range names {
		t.names[nameHash(name)] = name
	}
}

// Tick advances the state to the given time and returns the exchanges that are due.
func (t *Table) Tick(now time.Time) []Exchange {
	t.mu.Lock()
	defer t.mu.Unlock()
	var exchanges []Exchange
	if t.pushDue && !now.Before(t.nextPush) {
		exchanges = t.push(now)
	}
	if t.repairFrom != "" && !now.Before(t.nextRepair) {
		exchanges = append(exchanges, t.repair(now))
	}
	if now.Before(t.nextRound) {
		return exchanges
	}
	t.nextRound = now.Add(ExchangePeriod)
	if t.count == 0 {
		// Jitter: instances that start together must not exchange at the same time.
		t.nextRound = now.Add(time.Duration(t.random.Int64N(int64(ExchangePeriod))))
	}
	t.count++
	t.prune(now)
	t.cells = t.countCells()
	t.issueUses(now)
	return append(exchanges, t.round(now)...)
}

// Receive merges a message or a reply into the state. It returns the reply to a message, and an
// empty message for a reply.
func (t *Table) Receive(now time.Time, m Message) Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.From.Instance == t.self.Instance {
		return t.empty(true)
	}
	known := t.byID[m.From.id()] != nil
	from := t.addMember(now, m.From, false)
	if from != nil {
		if !known {
			from.fullSent = 0
		}
		from.heartbeat(now, m.Count, m.Draining)
		from.configVersion = m.Config.Version
	}
	for _, record := range m.Leaving {
		t.addLeaving(now, record.leaving(now))
	}
	for _, record := range m.Limits {
		t.addLimit(now, record.limit(now))
	}
	t.compareDigest(&m)
	t.mergeConfig(m.Config)
	for _, other := range m.Members {
		t.addMember(now, other, false)
	}
	for _, beat := range m.Heartbeats {
		t.mergeHeartbeat(now, beat)
	}
	for _, use := range m.UsageRecords {
		t.mergeUse(now, use)
	}
	if m.Reply {
		return Message{}
	}
	if m.Repair {
		return t.repairReply(now, m.KnownLeaving)
	}
	if m.Push {
		reply := t.empty(true)
		reply.Push = true
		return reply
	}
	reply := t.compose(now, from, &m)
	if !known || m.WantMembers {
		t.addWelcome(now, &reply)
		reply.Limits = nil
		t.sendBudget.take(t.addLimits(now, &reply, true, 0, t.maxMessageBytes))
	}
	return reply
}

// MarkFailed records that the peer at address is unreachable.
func (t *Table) MarkFailed(now time.Time, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.members {
		if m.PeerAddress == address {
			m.failedAt = now
		}
	}
}

// MarkUnanswered records that the peer at address did not answer in time. A member without any
// heartbeat counts as failed then; others may only be slow.
func (t *Table) MarkUnanswered(now time.Time, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.members {
		if m.PeerAddress == address && m.lastHeard.IsZero() {
			m.failedAt = now
		}
	}
}

// MergeInstances merges the platform's instance list.
func (t *Table) MergeInstances(now time.Time, list []platform.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.members {
		m.listed = false
	}
	for i := range list {
		t.mergeListed(now, &list[i])
	}
}

func (t *Table) mergeListed(now time.Time, listed *platform.Instance) {
	t.names[nameHash(listed.ID)] = listed.ID
	if listed.Leaving {
		deadline := now.Add(time.Duration(listed.LeaveInMS) * time.Millisecond)
		t.addLeaving(now, Leaving{Instance: listed.ID, Incarnation: listed.Incarnation, Deadline: deadline})
	}
	if listed.Role != platform.EntryRole || listed.PeerAddress == "" {
		return
	}
	t.addMember(now, Member{
		Instance:      listed.ID,
		Incarnation:   listed.Incarnation,
		Region:        listed.Region,
		FailureDomain: listed.FailureDomain,
		PeerAddress:   listed.PeerAddress,
		CallerAddress: listed.Address,
		MemoryMB:      listed.MemoryMB,
	}, true)
}

// TakeChanges returns and clears the changes since the last call, oldest first.
func (t *Table) TakeChanges() []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := t.changes
	t.changes = nil
	return changes
}

// HighestConfig returns the highest known configuration version; Version is 0 if there is none.
func (t *Table) HighestConfig() Config {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.config
}

func (t *Table) mergeConfig(config Config) {
	if config.Version <= t.config.Version || config.Address == "" {
		return
	}
	t.config = config
	t.changes = append(t.changes, ConfigChange{Config: config})
}
