// Package daemon joins the parts of an entry instance into one process: the callers'
// gateway, the exchange with peers, the configuration, the leases and the
// administration.
//
// # Usage
//
//	d, err := daemon.New(settings, daemon.Connect(settings), log)
//	err = d.Run(ctx) // until ctx ends, and then until all requests are answered
package daemon

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"papayaport.dev/entry/gateway"
	"papayaport.dev/serving/connection/administration"
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
	// controlTimeout bounds calls of the control plane to platform and engines.
	controlTimeout = 3 * time.Second
)

// Daemon is one entry instance.
type Daemon struct {
	set     settings.Settings
	log     *logrus.Logger
	started time.Time
	random  *rand.Rand
	tls     *tls.Config

	outside   Outside
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
	meters    *metrics.Set
	tokens    administration.Tokens

	fleet      *fleet
	memberList memberList
	// fleetReady is set once the backend servers were known well enough to serve.
	fleetReady atomic.Bool
	// leave is closed when this instance must go.
	leave     chan struct{}
	leaveOnce sync.Once
	leaveBy   time.Time
}

// New joins the parts of an entry instance. Nothing runs yet.
func New(set settings.Settings, outside Outside, log *logrus.Logger) (*Daemon, error) {
	d := &Daemon{set: set, outside: outside, log: log, started: time.Now(), meters: metrics.NewSet(), leave: make(chan struct{})}
	if d.set.Incarnation == 0 {
		d.set.Incarnation = uint64(d.started.UnixMilli())
	}
	d.random = rand.New(rand.NewPCG(d.set.Incarnation, uint64(d.started.UnixNano())))
	var err error
	if d.tls, err = loadTLS(set.TLS); err != nil {
		return nil, err
	}
	if d.tokens, err = loadTokens(set.OperatorTokensFile); err != nil {
		return nil, err
	}
	d.joinPeers()
	if err := d.joinTables(); err != nil {
		return nil, err
	}
	d.joinVersions()
	d.joinGateway()
	d.joinCapacity()
	d.fleet = newFleet()
	d.registerGauges()
	return d, nil
}

func (d *Daemon) seeded() *rand.Rand {
	return rand.New(rand.NewPCG(d.random.Uint64(), d.random.Uint64()))
}

func (d *Daemon) entry(part string) *logrus.Entry {
	return d.log.WithFields(logrus.Fields{"instance": d.set.Instance, "part": part})
}

func (d *Daemon) joinPeers() {
	d.members = membership.New(d.self(), d.set.SeedPeers, d.seeded(), membership.DefaultBudget)
	d.traffic = &peer.Traffic{}
	d.peers = peer.New(d.peerOptions())
	d.exchange = exchange.New(exchange.Parts{
		Members: d.members, Peers: d.peers, Tell: d.publishLocal, Apply: d.applyChange, Log: d.entry("exchange"),
	})
	holder := d.set.Instance + "/" + formatIncarnation(d.set.Incarnation)
	d.leases = lease.New(d.outside.Store, holder, d.wantedLeases, d.leaseRank, lease.DefaultTTL, time.Now, d.seeded())
}

func (d *Daemon) self() membership.Member {
	return membership.Member{
		Instance: d.set.Instance, Incarnation: d.set.Incarnation,
		Region: d.set.Region, FailureDomain: d.set.FailureDomain,
		PeerAddress: d.set.Peers.Listen, CallerAddress: d.set.Callers.Listen,
	}
}

func (d *Daemon) peerOptions() peer.Options {
	options := peer.DefaultOptions()
	options.TLS = d.tls
	options.Traffic = d.traffic
	return options
}

func (d *Daemon) joinTables() error {
	var err error
	here := route.Self{Region: d.set.Region, FailureDomain: d.set.FailureDomain}
	if d.routes, err = route.New(here, d.set.Routing.Policy, d.seeded()); err != nil {
		return errors.Wrap(err, "routing.policy")
	}
	d.admission = admission.New()
	d.retries = retry.New(d.seeded())
	return nil
}

func (d *Daemon) joinVersions() {
	log := d.entry("publication")
	d.keeper = publication.NewKeeper(d.outside.Store, &peerSource{d}, d.watching, log)
	d.publisher = publication.NewPublisher(d.outside.Store, d.keeper, log)
}

func (d *Daemon) joinGateway() {
	self := action.Self{Instance: d.set.Instance, Incarnation: d.set.Incarnation, FailureDomain: d.set.FailureDomain}
	d.actions = action.New(d.outside.Store, &actionPeers{d}, self, d.actionMembers, action.DefaultSettings(), d.seeded(), d.entry("action"))
	connections := pool.New(pool.DefaultOptions)
	d.gateway = gateway.New(gateway.Dependencies{
		Configuration: &servable{d}, Routes: d.routes, Admission: d.admission, Retries: d.retries,
		Actions: d.actions, Peers: &requestPeers{d}, Pool: connections,
		Sender:  plain.New(connections, dialTimeout, d.set.Limits.AnswerBytes),
		Metrics: gateway.NewMetrics(d.meters), Limits: d.set.Limits, Clock: time.Now, Log: d.entry("gateway"),
	})
}

// Run serves until ctx ends or this instance must leave, and then until every request
// is answered or handed over.
func (d *Daemon) Run(ctx context.Context) error {
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, running := errgroup.WithContext(running)
	servers, err := d.listen(running, group)
	if err != nil {
		return err
	}
	d.loops(running, group)
	d.entry("daemon").WithField("callers", d.set.Callers.Listen).Info("daemon: started")
	select {
	case <-ctx.Done():
		d.stop(servers, time.Time{})
	case <-d.leave:
		d.stop(servers, d.leaveBy)
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

// loops starts everything that goes on for the life of the process.
func (d *Daemon) loops(ctx context.Context, group *errgroup.Group) {
	for _, loop := range []func(context.Context) error{
		d.keeper.Run, d.actions.Run, d.leases.Run,
		d.exchange.Run, d.runList, d.runNotices, d.runEngines, d.runTicks, d.runVersions, d.runCapacity,
	} {
		group.Go(func() error { return ignoreEnd(ctx, loop(ctx)) })
	}
}

// ignoreEnd drops the error of a loop that ended because it was told to.
func ignoreEnd(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}
