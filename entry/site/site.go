// Package site runs an entry instance on a platform that provides a key-value store, a list of
// backend servers and its own dialect of HTTP headers. It connects the relay, the gossip between
// entry instances (peers), the configuration, the leases and the duties in one process.
//
// A duty is a call to the platform that one entry instance makes on behalf of all; its holder
// is elected by a lease. A pool is the token bucket of a client account's rate limit at one
// entry instance, which the others ask for grants. A part is an instance's own share of a limit.
//
// The platform is accessed through small interfaces, which an integration implements. State that
// must survive a restart is kept in the platform's store.
//
// # Usage
//
//	s, err := site.New(settings, site.Platform{...}, log, lines)
//	err = s.Run(ctx) // until ctx ends, and then until all requests are answered
package site

import (
	"context"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"papayaport.dev/entry/relay"
	"papayaport.dev/serving/connection/inbound"
	"papayaport.dev/serving/connection/memorybudget"
	"papayaport.dev/serving/connection/peer"
	"papayaport.dev/serving/connection/upstream"
	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/process/departure"
	"papayaport.dev/serving/process/directory"
	"papayaport.dev/serving/process/exchange"
	"papayaport.dev/serving/process/lease"
	"papayaport.dev/serving/process/membership"
	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/process/reachability"
	"papayaport.dev/serving/process/sizing"
	"papayaport.dev/serving/process/usage"
	"papayaport.dev/serving/request/admission"
	"papayaport.dev/serving/request/budget"
	"papayaport.dev/serving/request/quarantine"
	"papayaport.dev/serving/request/quota"
	"papayaport.dev/serving/request/route"
	"papayaport.dev/serving/version/deployment"
	"papayaport.dev/serving/version/distribution"
	"papayaport.dev/serving/version/rollout"
)

// Store is the platform's key-value store. Its errors are those of the package store.
type Store interface {
	lease.Store
	Get(ctx context.Context, key string) (platform.Entry, error)
	List(ctx context.Context, prefix string) (platform.Entries, error)
	Put(ctx context.Context, key string, value []byte, ifRevision uint64) (platform.Entry, error)
	// Remove removes a key that has a revision.
	Remove(ctx context.Context, key string, ifRevision uint64) error
	// Generation returns the number of the newest generation of the store that this instance has heard
	// of. The store begins a new one when it comes back without its latest acknowledged writes;
	// revisions and fencing tokens of a later one are higher. A store that never does so returns 0.
	Generation() uint64
	// AdvanceGeneration records a generation that another instance has heard of. Responses of earlier
	// ones are then errors.
	AdvanceGeneration(generation uint64)
}

// View is a snapshot of the platform's store.
type View struct {
	// Configuration is the newest published configuration, encoded, if it was asked for. It is empty
	// before the first one.
	Configuration []byte
	Servers       []directory.Server
	// Own holds the entries that entry instances write.
	Own []platform.Entry
	// Leases lists the names of the leases that are held.
	Leases []string
	// Orders are the operators' roll-out orders. An order that can't be decoded has no To.
	Orders []rollout.Order
	// Generation is the generation of the store that was read.
	Generation uint64
}

// Viewer reads the platform's store. One read per poll covers everything that an entry instance
// follows, but for a large configuration. Unlike a watch, polling misses nothing when the store
// compacts its history.
type Viewer interface {
	// View fails if nothing arrives for some time. It is not bounded otherwise, since its time
	// depends on the link.
	View(ctx context.Context, withConfiguration bool) (View, error)
	// Configuration returns the newest published configuration, encoded, if it was written after
	// a revision, and waits for up to wait until it is. It is empty before the first one. The
	// revision that it returns is for the next call; 0 reads it at once.
	Configuration(ctx context.Context, after uint64, wait time.Duration) (raw []byte, revision uint64, err error)
	// Decode decodes a configuration.
	Decode(raw []byte) (deployment.Deployment, error)
}

// Duty identifies the holder of the duties in calls to the platform.
type Duty struct {
	Holder string
	// Fencing is the fencing token; it grows with every change of the holder.
	Fencing uint64
}

// Duties are the calls that one entry instance makes on behalf of all.
type Duties interface {
	Report(ctx context.Context, duty Duty, window usage.Window) error
	// Order sets the desired number of backend servers. It returns ErrNoneAvailable when the
	// platform has none left.
	Order(ctx context.Context, duty Duty, order sizing.Order) error
}

// RolloutWrite is a transaction that writes the record of a roll-out and its service's status.
type RolloutWrite struct {
	Service string
	// Key and Record are the record's key and value. Revision is the revision that the key must
	// have, 0 when it must not exist.
	Key      string
	Record   []byte
	Revision uint64
	// OrderRevision is the revision that the order's key must have, 0 when it must not exist.
	OrderRevision uint64
	// Phase and To are the status.
	Phase rollout.Phase
	To    string
}

// Rollouts writes the progress of roll-outs. Its errors are those of the package store.
type Rollouts interface {
	WriteRollout(ctx context.Context, write RolloutWrite) (platform.Entry, error)
}

// ErrNoneAvailable is returned when the platform has no backend server of the requested kind.
var ErrNoneAvailable = errors.New("no backend servers available")

// Platform holds the platform's implementations of the interfaces that a site uses.
type Platform struct {
	Store  Store
	Viewer Viewer
	Duties Duties
	// Rollouts may be nil when the settings have no exposure bounds for roll-outs.
	Rollouts Rollouts
	Codec    relay.Codec
	// EchoHeader is the header in which backend servers return the request id.
	EchoHeader string
}

// LogDropCounter counts the log lines that were dropped because the log buffer was full.
type LogDropCounter interface{ Dropped() int64 }

// Site is one entry instance.
type Site struct {
	settings Settings
	platform Platform
	log      *logrus.Logger
	started  time.Time
	metrics  *metrics.Set

	keeper deployment.Keeper
	// archive offers configurations to peers, and distribution copies them from peers. announced
	// holds one element after a peer has announced a version.
	archive      *distribution.Archive
	distribution *distribution.Table
	announced    chan struct{}
	// configurationDigest is the digest of the encoded configuration in force, and
	// configurationBytes the size of the last one that was received.
	configurationDigest atomic.Uint64
	configurationBytes  atomic.Int64
	// followsReader is set while readers reply, so that this instance need not read the store.
	followsReader atomic.Bool
	relay         *relay.Relay
	routes        *route.Table
	// admission holds this instance's parts of the rate limits of client accounts in a small
	// fleet, quota its accrued tokens and its pools in a large one.
	admission *admission.Table
	quota     *quota.Table
	budget    *budget.Table
	// quarantine holds the parts of prompts that are suspected of crashing backend servers.
	quarantine *quarantine.Table
	pool       *upstream.Pool
	// reachability tells whether this instance reaches backend servers.
	reachability *reachability.Detector
	// usage counts requests by calendar-aligned windows.
	usage    *usage.Counter
	calendar *clock.Calendar
	// connections holds the connections of all clients, requests the memory for them and their requests,
	// and descriptors the number of descriptors that the process may open.
	connections *inbound.Table
	requests    *memorybudget.Budget
	descriptors int
	// closedLogged is the number of connections closed for others as of the last log line, at
	// closedLoggedAt. Only runTicks uses them.
	closedLogged   int64
	closedLoggedAt time.Time
	members        *membership.Table
	peers          *peer.Client
	exchange       *exchange.Exchange
	leases         *lease.Leases
	// generation is that of the store.
	generation generationState

	// mu guards servers, records and listed. Nothing is locked under it.
	mu      sync.Mutex
	servers []directory.Server
	records []record
	// listed is the number of entry instances in the store, including this one.
	listed int

	// fleetKnown is set once the store has listed any backend server, and fullyStarted is closed
	// once the configuration is known as well.
	fleetKnown   atomic.Bool
	fullyStarted chan struct{}
	startedOnce  sync.Once
	record       recordState
	// startCredit is this process's part of the start credit of the limits.
	startCredit startCredit
	// own determines whether this instance holds a part of the fleet's shared limits.
	own          *departure.Share
	planner      *sizing.Planner
	dependencies dependencyHealth
	// view is the last view of the store, read directly or through a peer.
	view atomic.Pointer[storeView]
	// loadReports holds the load that the other instances reported, and usageReports their usage
	// counts. Both are filled while this instance holds the duties.
	loadReports  loadReports
	occupancy    *occupancyExchange
	usageReports *usage.PeerCounts
	// fixedSums holds the sums that any instance has fixed, as far as this one knows them.
	fixedSums *usage.FixedSums
	// sumsRevision is the revision at which they were last read from a view.
	sumsRevision atomic.Uint64
	intake       *sizing.TokenMeter
	// rollouts is nil when the settings have no exposure bounds for roll-outs.
	rollouts *rollouts
	// ignored holds the revisions of orders that were logged as ignored, by service. It and
	// ordered are each used by one goroutine only.
	ignored map[string]uint64
	// ordered holds the last ordered number of servers while this instance holds the duties.
	ordered      map[orderedKind]orderedCount
	lendRefusals lendRefusals
	unreachable  unreachablePeers
	// poolOrders holds the pools of each client account in order of preference, as of the last
	// payment.
	poolOrders atomic.Pointer[map[string][]membership.Member]
	// firstPaid is closed once this process has made its first payments into pools.
	firstPaid chan struct{}
	idle      idleConnections
	// overdue counts callers' connections that were closed because of a timeout, and poolFailures
	// the failed calls to another instance's pool.
	overdue, poolFailures *metrics.Counter
	lines                 LogDropCounter
}

// New returns an entry instance that is not running yet.
func New(set Settings, p Platform, log *logrus.Logger, lines LogDropCounter) (*Site, error) {
	s := &Site{settings: set, platform: p, log: log, lines: lines, started: time.Now(), metrics: metrics.NewSet(), listed: 1, planner: sizing.New(), intake: sizing.NewTokenMeter(), firstPaid: make(chan struct{}), fullyStarted: make(chan struct{}), ignored: map[string]uint64{}}
	random := rand.New(rand.NewPCG(uint64(s.started.UnixNano()), 1))
	seeded := func() *rand.Rand { return rand.New(rand.NewPCG(random.Uint64(), random.Uint64())) }
	var err error
	here := route.Self{Instance: set.Instance, Region: set.Region, FailureDomain: set.FailureDomain}
	if s.routes, err = route.New(here, set.Policy, seeded()); err != nil {
		return nil, errors.Wrap(err, "policy")
	}
	s.admission, s.quota = admission.New(), quota.New()
	s.quarantine = quarantine.New()
	s.archive, s.announced = distribution.NewArchive(), make(chan struct{}, 1)
	s.distribution = distribution.New(s.archive, seeded())
	s.poolOrders.Store(&map[string][]membership.Member{})
	s.budget = budget.New(budget.Limits{
		Ratio: set.Retry.Ratio, Window: seconds(set.Retry.WindowS), Allowance: set.Retry.Allowance,
	}, s.started)
	dialled := s.metrics.NewCounter("papayaport_backend_dials_total")
	s.pool = upstream.New(upstream.Options{EchoHeader: p.EchoHeader, OnDial: dialled.Inc})
	s.reachability = reachability.New()
	s.usage, s.usageReports = usage.New(seconds(set.Usage.WindowS)), usage.NewPeerCounts()
	s.fixedSums = usage.NewFixedSums(keptSums)
	s.calendar = clock.NewCalendar(s.started, clock.Boot())
	s.record.deficits = quota.NewDeficitLog()
	s.own = departure.NewShare(clock.Boot())
	s.members = membership.New(s.self(), set.SeedPeers, seeded(), membership.DefaultBudget)
	s.peers = peer.New(peer.DefaultOptions())
	s.occupancy = newOccupancyExchange(set.Instance, s.incarnation(), s.metrics)
	s.exchange = exchange.New(exchange.Parts{
		Members: s.members, Peers: s.peers, Update: s.updateGossip, Apply: s.applyChange, Log: s.logger("exchange"),
	})
	s.leases = lease.New(settledLeases{expiringLeases{p.Store}, s}, set.Instance+"/"+formatIncarnation(s.incarnation()), s.wantedLeases, s.leaseRank,
		s.leaseTTL(), clock.Boot, seeded())
	memory := memorybudget.New(s.requestMemory() + s.responseMemory())
	s.requests = memory.Part(s.requestMemory())
	bodies := s.requests.Part(s.requestMemory() / 2)
	s.connections = inbound.New(s.requests, bodies)
	s.descriptors = inbound.Descriptors(set.FileDescriptors)
	parts := relay.Dependencies{
		Versions: &s.keeper, Routes: s.routes, Limiter: s, AdmissionObserver: s.intake, BackpressureObserver: s, RequestGuard: s, Budget: s.budget, Pool: s.pool, Usage: s,
		Room: memory.Part(s.responseMemory()), BodyRoom: bodies,
		Codec: p.Codec, Metrics: relay.NewMetrics(s.metrics), Started: s.fullyStarted, Entries: s.entries, Draw: rand.Float64, Log: s.logger("relay").WithField("failure_domain", set.FailureDomain),
		LoadShedder: s.newLoadShedder(), LoadKnown: s.isLoadKnown,
		Forwarder: newForwarder(s), Reachability: s.reachability,
	}
	if set.Rollout != nil {
		s.rollouts = newRollouts(set.Rollout.limits(), s.metrics)
		parts.VersionPicker, parts.AttemptObserver = s.rollouts, s.rollouts
		s.checkRollback()
	}
	s.relay = relay.New(parts)
	s.overdue = s.metrics.NewCounter("papayaport_caller_connections_overdue_total")
	s.poolFailures = s.metrics.NewCounter("papayaport_pools_lost_total")
	s.registerGauges()
	return s, nil
}

func (s *Site) incarnation() uint64 { return uint64(s.started.UnixMilli()) }

func (s *Site) logger(name string) *logrus.Entry {
	return s.log.WithFields(logrus.Fields{"instance": s.settings.Instance, "part": name})
}

// requestDivisor and responseDivisor are the divisors of the memory limit that bound the memory for
// connections with their requests, and for responses. Together this is less than the smallest supported
// instances have free. Responses have a part of their own, since their requests have run already.
const requestDivisor, responseDivisor = 4, 8

// requestMemory returns the memory for connections and requests in bytes.
func (s *Site) requestMemory() int64 { return int64(s.settings.MemoryMB) << 20 / requestDivisor }

// responseMemory returns the memory for responses in bytes.
func (s *Site) responseMemory() int64 { return int64(s.settings.MemoryMB) << 20 / responseDivisor }

// memoryShare is the share of the memory limit that is set as the Go runtime's soft limit. The
// rest is left for kernel memory and socket buffers.
const memoryShare = 0.75

// Run serves until ctx ends, and then drains until every request is answered or the grace period
// is over.
func (s *Site) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.settings.MemoryMB) * (1 << 20)))
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, running := errgroup.WithContext(running)
	listeners, err := s.listen(running, group)
	if err != nil {
		return err
	}
	loops := []func(context.Context) error{
		s.runView, s.runConfiguration, s.runDistribution, s.exchange.Run, s.runRecord, s.leases.Run, s.runDuties, s.runTicks, s.runBorrow, s.runPayments, s.runLoadQueries,
		s.runOccupancy, s.runReachability,
	}
	if s.rollouts != nil {
		loops = append(loops, s.runRollouts, s.runRolloutQueries)
	}
	for _, loop := range loops {
		group.Go(func() error {
			err := loop(running)
			if running.Err() != nil {
				return nil
			}
			return err
		})
	}
	s.logger("site").WithFields(logrus.Fields{"callers": s.settings.Callers, "incarnation": s.incarnation()}).Info("site: started")
	select {
	case <-ctx.Done():
		s.stop(listeners)
	case <-running.Done():
	}
	cancel()
	err = group.Wait()
	s.flushRecord()
	if closeErr := s.peers.Close(); closeErr != nil {
		s.logger("site").WithError(closeErr).Debug("site: closing the connections to peers failed")
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// tickPeriod is the interval of checks for unused connections and waiting requests.
const tickPeriod = 250 * time.Millisecond

func (s *Site) runTicks(ctx context.Context) error {
	return clock.Every(ctx, tickPeriod, func(_ context.Context, now time.Time) {
		listed := map[string]bool{}
		for _, server := range s.backends() {
			listed[server.ID] = true
		}
		s.pool.CloseExpired(now, func(id string) bool { return listed[id] })
		s.admission.Tick(now)
		s.budget.SetEntries(s.limitSharers())
		s.closeOverdue(now)
		s.logClosed(now)
	})
}

// entries returns the number of entry instances: the live ones, or those that the store lists if
// that is more.
func (s *Site) entries() int {
	s.mu.Lock()
	listed := s.listed
	s.mu.Unlock()
	return max(listed, len(s.members.Live(time.Now()))+1)
}

// entriesWithoutPart is the number of entry instances that an instance without a part assumes,
// so that its share of every limit is close to zero.
const entriesWithoutPart = 1 << 20

// limitSharers returns the number of entry instances among which the retry budget and the parts of
// the limits are divided.
func (s *Site) limitSharers() int {
	if !s.own.Usable(clock.Boot()) {
		return entriesWithoutPart
	}
	return s.entries()
}

func (s *Site) backends() []directory.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers
}
