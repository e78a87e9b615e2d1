package daemon

import (
	"time"

	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/version/service"
)

// fleetTimeout is how long a new instance waits, after it first read the instance list, until
// every service in force has a backend server.
const fleetTimeout = 5 * time.Second

// ready returns why the instance is not ready for requests, nil if it is. Once it had a
// configuration and an instance list, outages of the platform do not make it unready.
func (d *Daemon) ready() error {
	if d.gateway.Draining() {
		return problem.New(problem.Leaving, "draining")
	}
	if !d.keeper.Ready() {
		return problem.New(problem.NotReady, "no configuration yet")
	}
	if !d.fleetKnown(time.Now()) {
		return problem.New(problem.NotReady, "no backend servers known yet")
	}
	return nil
}

// fleetKnown reports whether enough backend servers are known to serve requests. Once true it
// stays true.
func (d *Daemon) fleetKnown(now time.Time) bool {
	if d.fleetReady.Load() {
		return true
	}
	list, first := d.fleet.listWithStart()
	if first.IsZero() {
		return false
	}
	if now.Sub(first) < fleetTimeout && !d.eachServiceHasBackend(list) {
		return false
	}
	d.fleetReady.Store(true)
	return true
}

func (d *Daemon) eachServiceHasBackend(list []platform.Instance) bool {
	served := map[string]bool{}
	for _, inst := range list {
		served[inst.Service] = true
	}
	version := d.keeper.Current()
	if version == nil {
		return false
	}
	for name := range version.Files {
		if !served[name] {
			return false
		}
	}
	return true
}

// listWithStart returns the current instance list and when the first one was read.
func (f *fleet) listWithStart() ([]platform.Instance, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances, f.firstListedAt
}

// readyConfiguration is the gateway's configuration. It is ready once requests can be served.
type readyConfiguration struct{ d *Daemon }

// Service returns the file of a service in force.
func (s *readyConfiguration) Service(name string) (*service.File, bool) {
	return s.d.keeper.Service(name)
}

// Ready reports whether requests can be served.
func (s *readyConfiguration) Ready() bool { return s.d.keeper.Ready() && s.d.fleetKnown(time.Now()) }
