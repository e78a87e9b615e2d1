package daemon

import (
	"time"

	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/version/service"
)

// fleetWait is how long a new instance waits, after it first read the instance list, for
// a backend server of every service in force.
const fleetWait = 5 * time.Second

// ready returns why the instance takes no requests, nil if it does. Once it had a
// configuration and an instance list it stays ready in every outage.
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

// fleetKnown tells whether the backend servers are known well enough to serve.
func (d *Daemon) fleetKnown(now time.Time) bool {
	if d.fleetReady.Load() {
		return true
	}
	list, first := d.fleet.firstHeard()
	if first.IsZero() {
		return false
	}
	if now.Sub(first) < fleetWait && !d.eachServiceHasBackend(list) {
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

// firstHeard returns the present list and when the first one was read.
func (f *fleet) firstHeard() ([]platform.Instance, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances, f.first
}

// servable is the configuration as the gateway sees it: ready once requests can be served.
type servable struct{ d *Daemon }

// Service returns a service in force.
func (s *servable) Service(name string) (*service.File, bool) { return s.d.keeper.Service(name) }

// Ready tells whether requests can be served.
func (s *servable) Ready() bool { return s.d.keeper.Ready() && s.d.fleetKnown(time.Now()) }
