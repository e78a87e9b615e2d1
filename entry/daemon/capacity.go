package daemon

import (
	"context"
	"net/http"
	"time"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/process/capacity"
	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/version/service"
)

const (
	capacityPeriod = time.Second
	pricesPeriod   = 15 * time.Second
)

// engineOrders sends orders to engines.
type engineOrders struct{ client *http.Client }

// Order sends an order to the engine at an address.
func (e *engineOrders) Order(ctx context.Context, address string, order engine.Order) error {
	return engine.New(e.client, address).Order(ctx, order)
}

// Drain announces to all entry instances that a backend server leaves, so that it gets no new
// work.
func (d *Daemon) Drain(stop capacity.PlannedStop, within time.Duration) {
	d.announceLeaving(stop.Instance, stop.Incarnation, within)
	d.exchange.Deliver()
}

func (d *Daemon) initCapacity() {
	if d.platform.Cloud == nil {
		return
	}
	d.capacity = capacity.New(capacity.Dependencies{
		Store: d.platform.Store, Cloud: d.platform.Cloud, Engines: &engineOrders{d.platform.HTTP},
		Drainer: d, Leases: d.leases, Log: d.logEntry("capacity"),
	}, d.settings.FailureDomain, time.Now, d.newRandom())
}

// runCapacity runs the capacity manager and feeds it load and prices until ctx ends.
func (d *Daemon) runCapacity(ctx context.Context) error {
	if d.capacity == nil {
		return nil
	}
	go d.runPrices(ctx)
	go func() {
		_ = clock.Every(ctx, capacityPeriod, func(_ context.Context, now time.Time) { d.reportLoad(now) })
	}()
	return d.capacity.Run(ctx)
}

// runPrices periodically reads the current prices while this instance holds a lease for
// capacity planning.
func (d *Daemon) runPrices(ctx context.Context) {
	_ = clock.Every(ctx, pricesPeriod, func(ctx context.Context, _ time.Time) {
		ctx, cancel := context.WithTimeout(ctx, controlTimeout)
		defer cancel()
		if !d.plansCapacity() {
			return
		}
		if prices, err := d.platform.Cloud.Prices(ctx); err == nil {
			d.capacity.SetPrices(prices)
		}
	})
}

func (d *Daemon) plansCapacity() bool {
	for _, name := range d.capacity.LeaseNames() {
		if _, held := d.leases.Held(name); held {
			return true
		}
	}
	return false
}

// reportLoad passes the load of the failure domain's backend servers to the capacity
// manager.
func (d *Daemon) reportLoad(now time.Time) {
	version := d.keeper.Current()
	if version == nil {
		return
	}
	load := d.domainLoad(now)
	for name := range version.Files {
		d.capacity.SetDemand(name, load.demand(d, name))
		d.capacity.SetReports(name, load.reports[name])
	}
}

// domainLoad is the load of one failure domain's backend servers from all entry instances.
type domainLoad struct {
	inFlight map[string]int
	reports  map[string][]capacity.Report
	entries  int
	domains  int
}

func (d *Daemon) domainLoad(now time.Time) domainLoad {
	load := domainLoad{inFlight: map[string]int{}, reports: map[string][]capacity.Report{}}
	use := d.totalUse(now)
	allHeard := d.allEntriesLive(now)
	list, _ := d.fleet.list()
	domains := map[string]bool{}
	for _, inst := range list {
		domains[inst.FailureDomain] = true
		if inst.Role == platform.EntryRole {
			load.entries++
			continue
		}
		if inst.FailureDomain != d.settings.FailureDomain {
			continue
		}
		report := d.report(inst, use[inst.ID], allHeard)
		load.inFlight[inst.Service] += report.InUse
		load.reports[inst.Service] = append(load.reports[inst.Service], report)
	}
	load.domains = max(1, len(domains))
	return load
}

// totalUse returns the requests in flight from all entry instances by backend server.
func (d *Daemon) totalUse(now time.Time) map[string]int {
	use := map[string]int{}
	for _, own := range d.routes.LocalLoad() {
		use[own.Backend] += own.InFlight
	}
	for id, others := range d.members.Totals(now).ByBackend {
		use[id] += others.InFlight
	}
	return use
}

// allEntriesLive reports whether every other listed entry instance is live.
func (d *Daemon) allEntriesLive(now time.Time) bool {
	live := map[string]bool{}
	for _, member := range d.members.Members(now) {
		live[member.Instance] = member.Live
	}
	list, _ := d.fleet.list()
	for _, inst := range list {
		other := inst.Role == platform.EntryRole && inst.ID != d.settings.Instance
		if other && !live[inst.ID] {
			return false
		}
	}
	return true
}

func (d *Daemon) report(inst platform.Instance, use int, allHeard bool) capacity.Report {
	load, _ := d.fleet.load(inst.ID)
	return capacity.Report{
		Instance: inst.ID, Incarnation: inst.Incarnation, Models: load.Models,
		InUse: max(use, load.Running+load.Queued), AllReported: allHeard,
	}
}

// demand estimates a service's load in the failure domain. It extrapolates the queue of this
// instance, since callers are spread evenly over the entry instances.
func (l domainLoad) demand(d *Daemon, name string) capacity.Demand {
	waiting, _ := d.admission.QueueCounts(name)
	return capacity.Demand{
		InFlight: l.inFlight[name],
		Waiting:  waiting * max(1, l.entries) / l.domains,
	}
}

func (f *fleet) load(id string) (engine.Load, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	load, found := f.loads[id]
	return load, found
}

// capacityFiles returns copies of the service files for the capacity manager.
func capacityFiles(files []*service.File) []service.File {
	copies := make([]service.File, len(files))
	for i, file := range files {
		copies[i] = *file
	}
	return copies
}
