// Package runner plays a plan: it starts the stand-in of the platform and real entry
// instances, lets callers send requests, injects the plan's faults, and judges what
// callers, backend servers and the platform saw.
//
// # Usage
//
//	report, err := runner.Play(ctx, runner.Options{Program: "target/papayaport-site", Dir: dir}, plan.New(seed, plan.Usual))
//
// Lock order: World.mu before the locks of the stand-ins.
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
	"papayaport.dev/standin/outside"
)

// Options says what is played and where its files go.
type Options struct {
	// Program is the entry instance's program, Dir an existing directory for logs.
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

// What the entry instances are told. Budget, tolerances and the time for leaving servers are
// those of the users' first sites; grace, lease and usage windows are shorter, so that each
// comes several times in a run.
const (
	graceS       = 6    // seconds
	memoryMB     = 284  // of the users' smaller machines
	leaseMS      = 1500 // milliseconds
	leavingMS    = 2000 // milliseconds
	usageWindowS = 2    // seconds
	retryRatio   = 0.2  // repeats for each request
	retryWindowS = 10   // seconds
	allowance    = 56   // repeats in a window besides
	quotaWindowS = 8    // seconds
	quotaOverrun = 0.1  // share of the limit
	// ampleRate is the client account's limit in tokens a second, about what callers ask for
	// in the larger runs, and ampleSlack the tolerance: four seconds of it, as the users'
	// smallest accounts have.
	highRate      = 20_000
	highRateSlack = 4 * highRate
	// tightRate is the limit in every other pair of runs, less than callers ask for, and
	// tightSlack a tenth of a second of it, as the users' largest accounts have.
	lowRate      = 4_000
	lowRateSlack = lowRate / 10
	// largeFrom is the size from which on a fleet has pools of limits in every second run,
	// and readers of the store in every third one; never is beyond all sizes.
	poolThreshold     = 3
	disabledThreshold = 1000
)

// The shapes around them.
const (
	// mostSeeds is the number of peers that each entry instance is told of.
	maxSeedPeers = 3
	// slots and queue are the requests that a backend server runs and holds.
	slots = 16
	queue = 64
	// connections bounds those to a backend server, cacheTokens what an engine keeps.
	connections = 200
	cacheTokens = 100_000
	// streamSize is the number of events of a stream.
	streamSize = 20
)

var zones = []string{"a", "b", "c"}

// entry is an entry instance with the links around it.
type entry struct {
	*instance.Instance
	store, cloud, peers *link.Link
}

// backend is a place of a backend server over its incarnations.
type backend struct {
	*outside.Backend
	link *link.Link
	// label names the incarnation.
	label string
	// events is 0 for a plain service.
	events      int
	incarnation int
}

// Run is one run.
type Run struct {
	// life ends what the run starts, when the run ends.
	ctx          context.Context
	plan         plan.Plan
	options      Options
	store        *outside.Store
	cloud        *outside.Cloud
	storeAddress string
	cloudAddress string
	entries      []*entry
	// given are the addresses of entry instances.
	usedAddresses map[string]bool

	mu       sync.Mutex
	random   *rand.Rand
	backends []*backend
	// ever are all incarnations of backend servers.
	incarnations []*backend
	version      int
	accepted     time.Time
	routes       []outside.Route
	faults       []*injectedFault
	rollouts     []*rolloutOrder
	ready        []bool
	// claimed are the places that a fault ends and starts.
	claimed     []int
	lastRequest int
	record      invariant.Record
}

// injected is a fault with the times at which it really began and ended.
type injectedFault struct {
	plan.Fault
	invariant.Span
}

// Play plays a plan. The error tells that it could not be played, not that a promise broke.
func Play(ctx context.Context, options Options, p plan.Plan) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &Run{
		ctx: ctx, plan: p, options: options, store: outside.NewStore(), cloud: outside.NewCloud(),
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

// brokenPromise is a violation that ends a run.
type violation struct{ text string }

// Error implements error.
func (b *violation) Error() string { return b.text }

func violated(format string, args ...any) error { return &violation{fmt.Sprintf(format, args...)} }

func (w *Run) start() error {
	var err error
	if w.storeAddress, err = outside.Serve(w.ctx, w.store); err != nil {
		return err
	}
	if w.cloudAddress, err = outside.Serve(w.ctx, w.cloud); err != nil {
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

// target is the time in which an answer should begin: that of the users' plain services.
const target = 200 * time.Millisecond

func route(name string, kind caller.Kind) outside.Route {
	r := outside.Route{
		Name: name, Host: caller.Host, Prefix: "/" + name + "/", Wait: caller.Deadline, Target: target, Service: "app", Attempts: 1,
	}
	switch kind {
	case caller.Safe:
		r.Kind, r.Attempts = outside.SafeKind, 2
	case caller.Unsafe:
		r.Kind = outside.UnsafeKind
	case caller.Stream:
		r.Kind, r.Service = outside.StreamingKind, "llm"
	case caller.Resume:
		r.Kind, r.Service, r.Resumable, r.Attempts = outside.StreamingKind, "llm", true, 3
	}
	return r
}

// versionRoute is the name of the route that a version brings.
func versionRoute(version int) string { return fmt.Sprintf("version-%d", version) }

// publish writes the next configuration.
func (w *Run) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 1 + w.random.IntN(3)
	w.routes = append(w.routes, route(versionRoute(w.version), caller.Safe))
	err := w.store.Publish(outside.Configuration{
		Version: w.version, Routes: w.routes,
		Services: []outside.Service{
			{Name: "app", Connections: connections},
			{Name: "llm", Connections: connections, Slots: slots, CacheTokens: cacheTokens},
		},
		Accounts: []outside.Account{
			{Name: caller.Account, Key: caller.Key, TokensPerSecond: int(w.record.Limit.Rate), Burst: int(w.record.Limit.Burst), PlainTokens: caller.PlainTokens},
			{Name: caller.FreeAccount, Key: caller.FreeKey},
		},
		Limits: outside.Limits{BodyBytes: 100_000, HeaderBytes: 8192, HeaderTime: 3 * time.Second, IdleTime: 15 * time.Second},
	})
	if err != nil {
		panic(err) // plain values always encode
	}
	w.accepted = time.Now()
}

// serverName is the name of the first backend server in a place; later ones add to it.
func serverName(place int) string { return fmt.Sprintf("server-%d", place) }

// startBackend starts the next incarnation of a place, at the address of the one before.
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
	b.Backend, err = outside.Start(w.ctx, w.store, outside.Server{
		ID: id, Service: service, Version: w.currentVersion(service), Zone: zones[place%len(zones)], Slots: slots, Queue: queue, Work: work, Events: b.events,
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
			return errors.Wrap(err, "read settings of roll-outs")
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

// freeAddress returns an address that nothing listens at, and not the same one twice. Each
// run has a loopback address of its own, so that no connection of another run takes the
// port meanwhile.
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

// closeTime bounds the end of the processes.
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
