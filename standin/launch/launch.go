// Package launch starts a whole system as separate processes on loopback: platform stand-ins,
// engines, plain services, entry instances of papayaport and the balancer. The demo, the
// measurements and the integration tests use it.
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
//	// send requests to "http://" + system.Balancer
//
// Every process is a child in its own process group and is killed when its parent dies. Its
// output is appended to NAME.log in the working directory.
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

// Plan describes the system to start. Only BinDir is required.
type Plan struct {
	// BinDir holds the programs papayaport, papayactl and standin.
	BinDir string
	// Tenants are the names of the tenants; empty means all.
	Tenants []string
	// Domains are the failure domains, by default a, b, c and d.
	Domains []string
	// Entries is the number of entry instances, distributed over the domains; by default 8,
	// negative for no entries and no balancer.
	Entries int
	// EnginesPerDomain is the number of engines of each model service in each domain, by
	// default 1; negative for none.
	EnginesPerDomain int
	// ServicesPerDomain is the number of servers of each plain service in each domain, by
	// default 1; negative for none.
	ServicesPerDomain int
	// Engine configures the engines; if its Slots are 0, engine.Default is used.
	Engine engine.Config
	// Links adds relays that can inject network faults: between each domain's entries and the
	// store ("store-DOMAIN") and the cloud API ("cloud-DOMAIN"), and in front of each backend
	// server ("backend-ID").
	Links bool
	// ListLag is the delay with which the instance list shows changes.
	ListLag time.Duration
	// Policy is the routing policy; empty selects the daemon's default.
	Policy string
	// StopGrace is the time that a graceful shutdown allows requests in flight, by default 5 s.
	StopGrace time.Duration
	// WritesPerSecond and ReadsPerSecond are the store's rate limits, by default 400 and 2000.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// Settings modifies an entry's settings before they are written; nil for no change.
	Settings func(*Settings)
	// LogLevel is the daemon's log level, by default "info".
	LogLevel string
	// WorkDir is the directory for settings, service files and logs; empty creates a temporary
	// directory that Stop removes.
	WorkDir string
}

// System is a started system.
type System struct {
	// Balancer is the balancer's address for callers, as IP:PORT.
	Balancer string
	// Store, Cloud, Weights and LinkControl are base URLs. LinkControl is empty without links.
	Store, Cloud, Weights, LinkControl string
	// Entries are the entry instances; Engines and Services are the backend servers.
	Entries, Engines, Services []*Process
	// Platform holds the other processes by name: store, weights, cloud, link, balancer.
	Platform map[string]*Process
	// OperatorToken is the bearer token of the operator named "operator".
	OperatorToken string
	// Tenants are the tenants of the plan.
	Tenants []tenants.Tenant
	// WorkDir is the directory of the settings, service files and logs.
	WorkDir string

	plan             Plan
	http             *http.Client
	starter          *starter
	ownDir           bool
	relays           []string
	addresses        *addressPool
	platformByDomain map[string]platformAddresses
}

// startTimeout is the time within which a started process must accept connections.
const startTimeout = 10 * time.Second

func (p Plan) withDefaults() Plan {
	if len(p.Tenants) == 0 {
		p.Tenants = []string{tenants.Villarreal, tenants.Rahmeh}
	}
	if len(p.Domains) == 0 {
		p.Domains = []string{"a", "b", "c", "d"}
	}
	defaultInt(&p.Entries, 8)
	defaultInt(&p.EnginesPerDomain, 1)
	defaultInt(&p.ServicesPerDomain, 1)
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

func defaultInt(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

// Start starts the whole system, and returns when every process accepts connections. The
// entries are not ready yet, since no configuration has been published. If a step fails, the
// processes already started are stopped. All processes are killed when ctx ends.
func Start(ctx context.Context, plan Plan) (*System, error) {
	s := &System{
		plan:             plan.withDefaults(),
		http:             &http.Client{Timeout: 10 * time.Second},
		starter:          newStarter(),
		addresses:        newAddressPool(),
		Platform:         map[string]*Process{},
		platformByDomain: map[string]platformAddresses{},
		OperatorToken:    "fixture-token-of-operator",
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
		return errors.Wrap(err, "resolving the program directory")
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
			return errors.Wrap(err, "creating a working directory")
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

// Backends returns all backend servers that Start started.
func (s *System) Backends() []*Process {
	return append(append([]*Process{}, s.Engines...), s.Services...)
}

// InDomain returns the processes of one failure domain.
func InDomain(domain string, processes []*Process) []*Process {
	var found []*Process
	for _, p := range processes {
		if p.Instance.FailureDomain == domain {
			found = append(found, p)
		}
	}
	return found
}

// OfService returns the backend servers of one service.
func OfService(service string, processes []*Process) []*Process {
	var found []*Process
	for _, p := range processes {
		if p.Instance.Role == platform.BackendRole && p.Instance.Service == service {
			found = append(found, p)
		}
	}
	return found
}

// allProcesses returns every process, from the balancer to the store.
func (s *System) allProcesses() []*Process {
	var allProcesses []*Process
	for _, name := range []string{"balancer", "link"} {
		if p := s.Platform[name]; p != nil {
			allProcesses = append(allProcesses, p)
		}
	}
	allProcesses = append(allProcesses, s.Entries...)
	allProcesses = append(allProcesses, s.Backends()...)
	for _, name := range []string{"cloud", "weights", "store"} {
		if p := s.Platform[name]; p != nil {
			allProcesses = append(allProcesses, p)
		}
	}
	return allProcesses
}

func (s *System) killAll() { s.starter.killAll() }

// Stop kills every process, waits until they have exited and removes a working directory that
// Start created. It may be called more than once.
func (s *System) Stop() {
	s.starter.stop()
	if s.ownDir {
		_ = os.RemoveAll(s.WorkDir)
	}
}
