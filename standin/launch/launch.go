// Package launch starts papayaport with all its surroundings as real processes on
// loopback: platform stand-ins, engines, plain services, entry instances and the
// balancer. Demo, measurement and integration tests use it.
//
// # Usage
//
//	system, err := launch.Start(ctx, launch.Plan{BinDir: "bin", Tenants: []string{tenants.Rahmeh}})
//	if err != nil {
//		return err
//	}
//	defer system.Stop()
//	if err := system.PublishTenants(ctx); err != nil {
//		return err
//	}
//	err = system.WaitReady(ctx)
//	// callers speak to "http://" + system.Balancer
//
// Every process is a child in a process group of its own, and dies with its parent. Its
// output stands in NAME.log in the working directory.
package launch

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/serving/process/platform"
	"papayaport.dev/standin/engine"
	"papayaport.dev/standin/tenants"
)

// Plan tells what to start. Only BinDir is required.
type Plan struct {
	// BinDir holds the programs papayaport, papayactl and standin.
	BinDir string
	// Tenants are names of tenants; empty means all.
	Tenants []string
	// Domains are the failure domains, by default a, b, c and d.
	Domains []string
	// Entries is the number of entry instances, spread over the domains; by default 8,
	// negative for none and no balancer.
	Entries int
	// EnginesPerDomain is the number of engines of each model service in each domain, by
	// default 1; negative for none.
	EnginesPerDomain int
	// ServicesPerDomain is the number of servers of each plain service in each domain, by
	// default 1; negative for none.
	ServicesPerDomain int
	// Engine describes the engines; a zero value takes engine.Default.
	Engine engine.Config
	// Links puts a relay between each domain's entries and the store ("store-DOMAIN") and
	// the cloud API ("cloud-DOMAIN"), and before each backend server ("backend-ID").
	Links bool
	// ListLag is the age of the instance list.
	ListLag time.Duration
	// Policy is the routing policy; empty takes the daemon's default.
	Policy string
	// StopGrace is the time for requests in flight at a planned stop, by default 5 s.
	StopGrace time.Duration
	// WritesPerSecond and ReadsPerSecond limit the store, by default 400 and 2000.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// Settings changes an entry's settings before they are written; nil for no change.
	Settings func(*Settings)
	// LogLevel is the daemon's log level, by default "info".
	LogLevel string
	// WorkDir holds settings, service files and logs; empty takes a directory that Stop
	// removes.
	WorkDir string
}

// System is a started system.
type System struct {
	// Balancer is the callers' address behind the balancer, as IP:PORT.
	Balancer string
	// Store, Cloud, Weights and LinkControl are base URLs. LinkControl is empty without links.
	Store, Cloud, Weights, LinkControl string
	// Entries, Engines and Services are the instances of the system and its backend servers.
	Entries, Engines, Services []*Process
	// Platform holds the other processes by name: store, weights, cloud, link, balancer.
	Platform map[string]*Process
	// OperatorToken is the token of the operator "operator".
	OperatorToken string
	// Tenants are the tenants of the plan.
	Tenants []tenants.Tenant
	// WorkDir holds settings, service files and logs.
	WorkDir string

	plan      Plan
	http      *http.Client
	starter   *starter
	ownDir    bool
	relays    []string
	addresses *addresses
	byDomain  map[string]relayed
}

// startTimeout bounds the time in which a process has to listen.
const startTimeout = 10 * time.Second

func (p Plan) withDefaults() Plan {
	if len(p.Tenants) == 0 {
		p.Tenants = []string{tenants.Villarreal, tenants.Rahmeh}
	}
	if len(p.Domains) == 0 {
		p.Domains = []string{"a", "b", "c", "d"}
	}
	setInt(&p.Entries, 8)
	setInt(&p.EnginesPerDomain, 1)
	setInt(&p.ServicesPerDomain, 1)
	if p.Engine.Slots == 0 {
		p.Engine = engine.Default()
	}
	if p.StopGrace == 0 {
		p.StopGrace = 5 * time.Second
	}
	if p.WritesPerSecond == 0 {
		p.WritesPerSecond = 400
	}
	if p.ReadsPerSecond == 0 {
		p.ReadsPerSecond = 2000
	}
	if p.LogLevel == "" {
		p.LogLevel = "info"
	}
	return p
}

func setInt(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

// Start starts the whole system, and returns when every process listens. No
// configuration is published yet, so that the entries are not ready. When a step fails,
// what was started is stopped. All processes are killed when ctx ends.
func Start(ctx context.Context, plan Plan) (*System, error) {
	s := &System{
		plan:          plan.withDefaults(),
		http:          &http.Client{Timeout: 10 * time.Second},
		starter:       newStarter(),
		addresses:     newAddresses(),
		Platform:      map[string]*Process{},
		byDomain:      map[string]relayed{},
		OperatorToken: "fixture-token-of-operator",
	}
	context.AfterFunc(ctx, s.killAll)
	if err := s.start(ctx); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

func (s *System) start(ctx context.Context) error {
	steps := []func(context.Context) error{
		s.prepare, s.startPlatform, s.startBackends, s.startLink, s.registerBackends, s.startEntries, s.startBalancer,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) prepare(context.Context) error {
	bin, err := filepath.Abs(s.plan.BinDir)
	if err != nil {
		return errors.Wrap(err, "finding the programs")
	}
	s.plan.BinDir = bin
	for _, name := range s.plan.Tenants {
		tenant, err := tenants.Get(name)
		if err != nil {
			return err
		}
		s.Tenants = append(s.Tenants, tenant)
	}
	s.WorkDir = s.plan.WorkDir
	if s.WorkDir == "" {
		dir, err := os.MkdirTemp("", "papayaport-")
		if err != nil {
			return errors.Wrap(err, "making a working directory")
		}
		s.WorkDir, s.ownDir = dir, true
	}
	for _, tenant := range s.Tenants {
		for name, data := range tenant.Files {
			if err := os.WriteFile(filepath.Join(s.WorkDir, name), data, 0o600); err != nil {
				return errors.Wrap(err, "writing a service file")
			}
		}
	}
	return nil
}

// Region returns the region of all instances: that of the first tenant.
func (s *System) Region() string { return s.Tenants[0].Region }

// Backends returns all backend servers that were started at the beginning.
func (s *System) Backends() []*Process {
	return append(append([]*Process{}, s.Engines...), s.Services...)
}

// In returns the processes of one failure domain.
func In(domain string, processes []*Process) []*Process {
	var found []*Process
	for _, p := range processes {
		if p.Instance.FailureDomain == domain {
			found = append(found, p)
		}
	}
	return found
}

// Of returns the backend servers of one service.
func Of(service string, processes []*Process) []*Process {
	var found []*Process
	for _, p := range processes {
		if p.Instance.Role == platform.BackendRole && p.Instance.Service == service {
			found = append(found, p)
		}
	}
	return found
}

// all returns every process, callers' side first.
func (s *System) all() []*Process {
	var all []*Process
	for _, name := range []string{"balancer", "link"} {
		if p := s.Platform[name]; p != nil {
			all = append(all, p)
		}
	}
	all = append(all, s.Entries...)
	all = append(all, s.Backends()...)
	for _, name := range []string{"cloud", "weights", "store"} {
		if p := s.Platform[name]; p != nil {
			all = append(all, p)
		}
	}
	return all
}

func (s *System) killAll() { s.starter.killAll() }

// Stop kills every process, waits for their ends and removes a working directory that
// Start made. It may be called twice.
func (s *System) Stop() {
	s.starter.stop()
	if s.ownDir {
		_ = os.RemoveAll(s.WorkDir)
	}
}
