// Package runner executes a plan: it starts a simulated platform and real entry instances, sends
// requests, injects the plan's faults, and checks the observations of callers, backend servers
// and the platform against the invariants.
//
// # Usage
//
//	report, err := runner.Play(ctx, runner.Options{Program: "target/papayaport-site", Dir: dir}, plan.New(seed, plan.Usual))
//
// Lock order: Run.mu before the locks of the simulated platform.
package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/entry/site"
	"papayaport.dev/soak/caller"
	"papayaport.dev/soak/instance"
	"papayaport.dev/soak/invariant"
	"papayaport.dev/soak/link"
	"papayaport.dev/soak/plan"
	"papayaport.dev/standin/fakeplatform"
)

// Options holds the paths of a run.
type Options struct {
	// Program is the executable of the entry instance, Dir an existing directory for logs.
	Program, Dir string
}

// Report is the outcome of a run.
type Report struct {
	Seed       uint64   `json:"seed"`
	Entries    int      `json:"entries"`
	Backends   int      `json:"backends"`
	Faults     int      `json:"faults"`
	Requests   int      `json:"requests"`
	Served     int      `json:"served"`
	Probes     int      `json:"probes"`
	Violations []string `json:"violations,omitempty"`
}

// Settings of the entry instances. The retry budget, the tolerances and the time for leaving
// servers are those of the users' first sites. Grace, lease and usage window are shorter, so that
// each occurs several times in a run.
const (
	graceS       = 6    // seconds
	memoryMB     = 284  // of the users' smaller machines
	leaseMS      = 1500 // milliseconds
	leavingMS    = 2000 // milliseconds
	usageWindowS = 2    // seconds
	retryRatio   = 0.2  // retries per request
	retryWindowS = 10   // seconds
	allowance    = 56   // additional retries per window
	quotaWindowS = 8    // seconds
	quotaOverrun = 0.1  // share of the limit
	// highRate is the client account's limit in tokens per second, about the demand in the larger
	// runs. highRateSlack is its tolerance: 4 s of the rate, as for the users' smallest accounts.
	highRate      = 20_000
	highRateSlack = 4 * highRate
	// lowRate is the limit for half of the seeds, below the demand. lowRateSlack is 0.1 s of the
	// rate, as for the users' largest accounts.
	lowRate      = 4_000
	lowRateSlack = lowRate / 10
	// poolThreshold is the number of instances from which on limits are pooled (every second seed)
	// and views of the store are relayed (every third seed). disabledThreshold exceeds all sizes.
	poolThreshold     = 3
	disabledThreshold = 1000
)

// Properties of the simulated platform.
const (
	// maxSeedPeers is the number of seed peers in the settings of an entry instance.
	maxSeedPeers = 3
	// slots is the concurrency of a backend server, and queue its queue length.
	slots = 16
	queue = 64
	// connections bounds the connections to a backend server; cacheTokens is an engine's KV cache
	// capacity.
	connections = 200
	cacheTokens = 100_000
	// streamSize is the number of events of a stream.
	streamSize = 20
)

var zones = []string{"a", "b", "c"}

// entry is an entry instance with the proxies on its connections.
type entry struct {
	*instance.Instance
	store, cloud, peers *link.Link
}

// backend is the current incarnation at a place. A place is a position in the list of backend
// servers; successive incarnations share its link and address.
type backend struct {
	*fakeplatform.Backend
	link *link.Link
	// label identifies the incarnation.
	label string
	// events is 0 for a plain service.
	events      int
	incarnation int
}

// Run is the state of one run.
type Run struct {
	// ctx ends with the run.
	ctx          context.Context
	plan         plan.Plan
	options      Options
	store        *fakeplatform.Store
	cloud        *fakeplatform.Cloud
	storeAddress string
	cloudAddress string
	entries      []*entry
	// usedAddresses are the addresses of entry instances.
	usedAddresses map[string]bool

	mu       sync.Mutex
	random   *rand.Rand
	backends []*backend
	// incarnations are all incarnations of backend servers.
	incarnations []*backend
	version      int
	accepted     time.Time
	routes       []fakeplatform.Route
	faults       []*injectedFault
	rollouts     []*rolloutOrder
	ready        []bool
	// claimed holds the claims of faults on processes, see Run.claim.
	claimed     []int
	lastRequest int
	record      invariant.Record
}

// injectedFault is a fault with its actual start and end.
type injectedFault struct {
	plan.Fault
	invariant.Span
}

// Play executes a plan. Violations are in the report; the error is for runs that could not be
// executed.
func Play(ctx context.Context, options Options, p plan.Plan) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &Run{
		ctx: ctx, plan: p, options: options, store: fakeplatform.NewStore(), cloud: fakeplatform.NewCloud(),
		random: rand.New(rand.NewPCG(p.Seed, 1)), ready: make([]bool, p.Entries), usedAddresses: map[string]bool{},
	}
	w.record.Limit = invariant.Limit{Rate: highRate, Burst: highRate, Window: quotaWindowS * time.Second, Overrun: quotaOverrun, Slack: highRateSlack}
	if p.Seed%4 < 2 {
		w.record.Limit.Rate, w.record.Limit.Burst, w.record.Limit.Slack = lowRate, lowRate, lowRateSlack
	}
	w.record.Budget = invariant.Budget{Ratio: retryRatio, Allowance: allowance, Window: retryWindowS * time.Second}
	defer w.close()
	if err := w.start(); err != nil {
		return Report{}, err
	}
	err := w.play(ctx)
	r := w.snapshot()
	report := Report{
		Seed: p.Seed, Entries: p.Entries, Backends: p.Plain + p.Engines, Faults: len(p.Faults),
		Requests: len(r.Answers), Probes: len(r.Probes), Violations: invariant.Check(r),
	}
	for _, a := range r.Answers {
		if a.Err == nil && a.Status == 200 {
			report.Served++
		}
	}
	var broken *violation
	if errors.As(err, &broken) {
		report.Violations, err = append(report.Violations, broken.Error()), nil
	}
	return report, err
}

// violation is an error for a violated invariant that ends a run.
type violation struct{ text string }

// Error implements error.
func (b *violation) Error() string { return b.text }

func violated(format string, args ...any) error { return &violation{fmt.Sprintf(format, args...)} }

func (w *Run) start() error {
	var err error
	if w.storeAddress, err = fakeplatform.Serve(w.ctx, w.store); err != nil {
		return err
	}
	if w.cloudAddress, err = fakeplatform.Serve(w.ctx, w.cloud); err != nil {
		return err
	}
	for i := range w.plan.Plain + w.plan.Engines {
		b := &backend{}
		if i >= w.plan.Plain {
			b.events = streamSize
		}
		w.backends = append(w.backends, b)
		if err := w.startBackend(i, serverName(i)); err != nil {
			return err
		}
	}
	for _, kind := range caller.Kinds {
		w.routes = append(w.routes, route(string(kind), kind))
	}
	w.publish()
	return w.startEntries()
}

// target is the target latency of all routes, as in the users' plain services.
const target = 200 * time.Millisecond

func route(name string, kind caller.Kind) fakeplatform.Route {
	r := fakeplatform.Route{
		Name: name, Host: caller.Host, Prefix: "/" + name + "/", Timeout: caller.Deadline, TargetLatency: target, Service: "app", Attempts: 1,
	}
	switch kind {
	case caller.Safe:
		r.Kind, r.Attempts = fakeplatform.SafeKind, 2
	case caller.Unsafe:
		r.Kind = fakeplatform.UnsafeKind
	case caller.Stream:
		r.Kind, r.Service = fakeplatform.StreamingKind, "llm"
	case caller.Resume:
		r.Kind, r.Service, r.Resumable, r.Attempts = fakeplatform.StreamingKind, "llm", true, 3
	}
	return r
}

// versionRoute returns the name of the route that a version adds.
func versionRoute(version int) string { return fmt.Sprintf("version-%d", version) }

// publish writes the next configuration.
func (w *Run) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 1 + w.random.IntN(3)
	w.routes = append(w.routes, route(versionRoute(w.version), caller.Safe))
	err := w.store.Publish(fakeplatform.Configuration{
		Version: w.version, Routes: w.routes,
		Services: []fakeplatform.Service{
			{Name: "app", Connections: connections},
			{Name: "llm", Connections: connections, Slots: slots, CacheTokens: cacheTokens},
		},
		Accounts: []fakeplatform.Account{
			{Name: caller.Account, Key: caller.Key, TokensPerSecond: int(w.record.Limit.Rate), Burst: int(w.record.Limit.Burst), PlainTokens: caller.PlainTokens},
			{Name: caller.FreeAccount, Key: caller.FreeKey},
		},
		Limits: fakeplatform.Limits{BodyBytes: 100_000, HeaderBytes: 8192, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	})
	if err != nil {
		panic(err) // unreachable: a configuration has only plain values
	}
	w.accepted = time.Now()
}

// serverName returns the id of the first backend server at a place. Later ids append a suffix.
func serverName(place int) string { return fmt.Sprintf("server-%d", place) }

// startBackend starts the next incarnation at a place, behind the same link address.
func (w *Run) startBackend(place int, id string) error {
	w.mu.Lock()
	b := *w.backends[place]
	work := time.Duration(2+w.random.IntN(30)) * time.Millisecond
	w.mu.Unlock()
	service := services[0]
	if b.events > 0 {
		service = services[1]
	}
	b.incarnation++
	b.label = fmt.Sprintf("%s#%d", id, b.incarnation)
	var err error
	b.Backend, err = fakeplatform.Start(w.ctx, w.store, fakeplatform.Server{
		ID: id, Service: service, Version: w.currentVersion(service), Zone: zones[place%len(zones)], Slots: slots, QueueCapacity: queue, ServiceTime: work, Events: b.events,
		Advertise: func(listening string) (string, error) {
			if b.link == nil {
				made, err := link.New(w.ctx, listening)
				b.link = made
				return made.Address, err
			}
			b.link.SetTarget(listening)
			return b.link.Address, nil
		},
	})
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.backends[place] = &b
	w.incarnations = append(w.incarnations, &b)
	w.joinRollout(&b)
	return nil
}

func (w *Run) startEntries() error {
	var settings []site.Settings
	var seeds []string
	pooled, relayed := disabledThreshold, disabledThreshold
	if w.plan.Seed%2 == 0 {
		pooled = poolThreshold
	}
	if w.plan.Seed%3 == 0 {
		relayed = poolThreshold
	}
	for number := range w.plan.Entries {
		e := &entry{}
		set := site.Settings{
			Instance: fmt.Sprintf("entry-%d", number), Region: "r", FailureDomain: zones[number%len(zones)], FailureDomains: zones,
			MemoryMB: memoryMB, GraceS: graceS, LeaseMS: leaseMS, LeavingMS: leavingMS,
			Retry: site.RetrySettings{Ratio: retryRatio, WindowS: retryWindowS, Allowance: allowance},
			Usage: site.UsageSettings{WindowS: usageWindowS},
			Quota: site.QuotaSettings{WindowS: quotaWindowS, Overrun: quotaOverrun, Slack: w.record.Limit.Slack, PooledFrom: pooled}, RelayedFrom: relayed,
			Policy: "papayaport_no_price", LogLevel: "info",
		}
		err := json.Unmarshal([]byte(rolloutSettings), &set)
		if err != nil {
			return errors.Wrap(err, "decode roll-out settings")
		}
		for _, address := range []*string{&set.Callers, &set.Ready, &set.Peers} {
			if *address, err = w.freeAddress(); err != nil {
				return err
			}
		}
		for _, way := range []struct {
			link   **link.Link
			target string
		}{{&e.store, w.storeAddress}, {&e.cloud, w.cloudAddress}, {&e.peers, set.Peers}} {
			if *way.link, err = link.New(w.ctx, way.target); err != nil {
				return err
			}
		}
		set.Store, set.Cloud, set.AdvertisedPeers = e.store.Address, e.cloud.Address, e.peers.Address
		if len(seeds) < maxSeedPeers {
			seeds = append(seeds, set.AdvertisedPeers)
		}
		w.entries, settings = append(w.entries, e), append(settings, set)
	}
	for number, e := range w.entries {
		settings[number].SeedPeers = seeds
		var err error
		if e.Instance, err = instance.New(w.options.Program, w.options.Dir, settings[number]); err != nil {
			return err
		}
		if err := e.Start(); err != nil {
			return err
		}
	}
	return nil
}

// freeAddress returns an address without a listener, and never the same one twice. Each run uses
// a separate loopback address, so that no connection of another run takes the port meanwhile.
func (w *Run) freeAddress() (string, error) {
	for {
		address, err := w.anyAddress()
		if err != nil {
			return "", err
		}
		if !w.usedAddresses[address] {
			w.usedAddresses[address] = true
			return address, nil
		}
	}
}

func (w *Run) anyAddress() (string, error) {
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:0", 1+w.plan.Seed/200%200, 1+w.plan.Seed%200))
	if err != nil {
		return "", errors.Wrap(err, "find a port")
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// closeTimeout bounds the wait for killed processes.
const closeTimeout = 5 * time.Second

func (w *Run) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, e := range w.entries {
		if e.Instance != nil {
			_ = e.Close(ctx) // ended by SIGKILL in any case
		}
	}
}
