// Package daemon combines the components of an entry instance into one process: the gateway
// for callers, the exchange with peers, the configuration, the leases and the administration
// API.
//
// # Usage
//
//	d, err := daemon.New(settings, daemon.NewPlatform(settings), log)
//	err = d.Run(ctx) // until ctx ends, followed by a graceful shutdown
package daemon

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"papayaport.dev/entry/gateway"
	"papayaport.dev/serving/connection/administration"
	"papayaport.dev/serving/connection/inbound"
	"papayaport.dev/serving/connection/memorybudget"
	"papayaport.dev/serving/connection/peer"
	"papayaport.dev/serving/connection/plain"
	"papayaport.dev/serving/connection/pool"
	"papayaport.dev/serving/process/capacity"
	"papayaport.dev/serving/process/exchange"
	"papayaport.dev/serving/process/lease"
	"papayaport.dev/serving/process/membership"
	"papayaport.dev/serving/process/settings"
	"papayaport.dev/serving/request/action"
	"papayaport.dev/serving/request/admission"
	"papayaport.dev/serving/request/retry"
	"papayaport.dev/serving/request/route"
	"papayaport.dev/serving/version/publication"
)

// Version is the version of the program.
const Version = "0.1.0"

const (
	dialTimeout = time.Second
	// controlTimeout is the timeout of control-plane calls to the platform.
	controlTimeout = 3 * time.Second
)

// Daemon is one entry instance.
type Daemon struct {
	settings settings.Settings
	log      *logrus.Logger
	started  time.Time
	random   *rand.Rand
	tls      *tls.Config

	platform  Platform
	members   *membership.Table
	traffic   *peer.Traffic
	peers     *peer.Client
	exchange  *exchange.Exchange
	leases    *lease.Leases
	keeper    *publication.Keeper
	publisher *publication.Publisher
	capacity  *capacity.Manager
	actions   *action.Keeper
	routes    *route.Table
	admission *admission.Table
	retries   *retry.Table
	gateway   *gateway.Gateway
	// connections holds the connections of all clients.
	connections *inbound.Table
	meters      *metrics.Set
	tokens      administration.Tokens

	fleet       *fleet
	memberCache memberCache
	// fleetReady is set once enough backend servers were known to serve requests.
	fleetReady atomic.Bool
	// leaveSignal is closed when this instance must shut down by leaveDeadline.
	leaveSignal   chan struct{}
	leaveOnce     sync.Once
	leaveDeadline time.Time
}

// New creates the components of an entry instance without starting them.
func New(set settings.Settings, outside Platform, log *logrus.Logger) (*Daemon, error) {
	d := &Daemon{settings: set, platform: outside, log: log, started: time.Now(), meters: metrics.NewSet(), leaveSignal: make(chan struct{})}
	if d.settings.Incarnation == 0 {
		d.settings.Incarnation = uint64(d.started.UnixMilli())
	}
	d.random = rand.New(rand.NewPCG(d.settings.Incarnation, uint64(d.started.UnixNano())))
	var err error
	if d.tls, err = loadTLS(set.TLS); err != nil {
		return nil, err
	}
	if d.tokens, err = loadTokens(set.OperatorTokensFile); err != nil {
		return nil, err
	}
	d.initPeers()
	if err := d.initTables(); err != nil {
		return nil, err
	}
	d.initVersions()
	d.initGateway()
	d.initCapacity()
	d.fleet = newFleet()
	d.registerGauges()
	return d, nil
}

func (d *Daemon) newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(d.random.Uint64(), d.random.Uint64()))
}

func (d *Daemon) logEntry(part string) *logrus.Entry {
	return d.log.WithFields(logrus.Fields{"instance": d.settings.Instance, "part": part})
}

func (d *Daemon) initPeers() {
	d.members = membership.New(d.self(), d.settings.SeedPeers, d.newRandom(), membership.DefaultBudget)
	d.traffic = &peer.Traffic{}
	d.peers = peer.New(d.peerOptions())
	d.exchange = exchange.New(exchange.Parts{
		Members: d.members, Peers: d.peers, Update: d.publishLocal, Apply: d.applyChange, Log: d.logEntry("exchange"),
	})
	holder := d.settings.Instance + "/" + formatIncarnation(d.settings.Incarnation)
	d.leases = lease.New(d.platform.Store, holder, d.wantedLeases, d.leaseRank, lease.DefaultTTL, time.Now, d.newRandom())
}

func (d *Daemon) self() membership.Member {
	return membership.Member{
		Instance: d.settings.Instance, Incarnation: d.settings.Incarnation,
		Region: d.settings.Region, FailureDomain: d.settings.FailureDomain,
		PeerAddress: d.settings.Peers.Listen, CallerAddress: d.settings.Callers.Listen,
	}
}

func (d *Daemon) peerOptions() peer.Options {
	options := peer.DefaultOptions()
	options.TLS = d.tls
	options.Traffic = d.traffic
	return options
}

func (d *Daemon) initTables() error {
	var err error
	here := route.Self{Region: d.settings.Region, FailureDomain: d.settings.FailureDomain}
	if d.routes, err = route.New(here, d.settings.Routing.Policy, d.newRandom()); err != nil {
		return errors.Wrap(err, "routing.policy")
	}
	d.admission = admission.New()
	d.retries = retry.New(d.newRandom())
	return nil
}

func (d *Daemon) initVersions() {
	log := d.logEntry("publication")
	d.keeper = publication.NewKeeper(d.platform.Store, &peerSource{d}, d.isWatcher, log)
	d.publisher = publication.NewPublisher(d.platform.Store, d.keeper, log)
}

func (d *Daemon) initGateway() {
	self := action.Self{Instance: d.settings.Instance, Incarnation: d.settings.Incarnation, FailureDomain: d.settings.FailureDomain}
	d.actions = action.New(d.platform.Store, &actionPeers{d}, self, d.actionMembers, action.DefaultSettings(), d.newRandom(), d.logEntry("action"))
	connections := pool.New(pool.DefaultOptions)
	requests := memorybudget.New(d.requestMemory())
	bodies := requests.Part(d.requestMemory() / 2)
	d.connections = inbound.New(requests, bodies)
	d.gateway = gateway.New(gateway.Dependencies{
		Configuration: &readyConfiguration{d}, Routes: d.routes, Admission: d.admission, Retries: d.retries,
		Actions: d.actions, Peers: &requestPeers{d}, Pool: connections,
		Sender:  plain.New(connections, dialTimeout, d.settings.Limits.AnswerBytes),
		Metrics: gateway.NewMetrics(d.meters), Limits: d.settings.Limits, Bodies: bodies, Clock: time.Now, Log: d.logEntry("gateway"),
	})
}

// requestDivisor is the divisor of the instance's memory that bounds the memory for connections with
// their requests, and memoryShare the share of it that is set as the Go runtime's soft limit.
const (
	requestDivisor = 4
	memoryShare    = 0.75
)

// requestMemory returns the memory for connections and requests in bytes.
func (d *Daemon) requestMemory() int64 {
	return int64(d.settings.Limits.MemoryMB) << 20 / requestDivisor
}

// Run serves requests until ctx ends or this instance must leave. It then shuts down
// gracefully: it returns once every request is answered or handed over, or the time is up.
func (d *Daemon) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(d.settings.Limits.MemoryMB) * (1 << 20)))
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, running := errgroup.WithContext(running)
	servers, err := d.listen(running, group)
	if err != nil {
		return err
	}
	d.startLoops(running, group)
	d.logEntry("daemon").WithField("callers", d.settings.Callers.Listen).Info("daemon: started")
	select {
	case <-ctx.Done():
		d.shutDown(servers, time.Time{})
	case <-d.leaveSignal:
		d.shutDown(servers, d.leaveDeadline)
	case <-running.Done():
	}
	cancel()
	err = group.Wait()
	_ = d.peers.Close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// startLoops starts the background loops of the process.
func (d *Daemon) startLoops(ctx context.Context, group *errgroup.Group) {
	for _, loop := range []func(context.Context) error{
		d.keeper.Run, d.actions.Run, d.leases.Run,
		d.exchange.Run, d.runList, d.runNotices, d.runEnginePolls, d.runTicks, d.runVersions, d.runCapacity,
	} {
		group.Go(func() error { return ignoreAfterEnd(ctx, loop(ctx)) })
	}
}

// ignoreAfterEnd returns nil for a loop that ended after its context.
func ignoreAfterEnd(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}
