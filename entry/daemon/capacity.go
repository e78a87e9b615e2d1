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

// engineOrders gives orders to engines.
type engineOrders struct{ client *http.Client }

// Order gives one order.
func (e *engineOrders) Order(ctx context.Context, address string, order engine.Order) error {
	return engine.New(e.client, address).Order(ctx, order)
}

// Drain tells all entry instances that a backend server gets no new work.
func (d *Daemon) Drain(stop capacity.PlannedStop, within time.Duration) {
	d.notice(stop.Instance, stop.Incarnation, within)
	d.exchange.Deliver()
}

func (d *Daemon) joinCapacity() {
	if d.outside.Cloud == nil {
		return
	}
	d.capacity = capacity.New(capacity.Parts{
		Store: d.outside.Store, Cloud: d.outside.Cloud, Engines: &engineOrders{d.outside.HTTP},
		Drainer: d, Leases: d.leases, Log: d.entry("capacity"),
	}, d.set.FailureDomain, time.Now, d.seeded())
}

// runCapacity tells the capacity plans what they rest on, and carries them out.
func (d *Daemon) runCapacity(ctx context.Context) error {
	if d.capacity == nil {
		return nil
	}
	go d.runPrices(ctx)
	go func() {
		_ = clock.Every(ctx, capacityPeriod, func(_ context.Context, now time.Time) { d.feedCapacity(now) })
	}()
	return d.capacity.Run(ctx)
}

// runPrices reads the present prices while a plan of this failure domain is made here.
func (d *Daemon) runPrices(ctx context.Context) {
	_ = clock.Every(ctx, pricesPeriod, func(ctx context.Context, _ time.Time) {
		ctx, cancel := context.WithTimeout(ctx, controlTimeout)
		defer cancel()
		if !d.plansCapacity() {
			return
		}
		if prices, err := d.outside.Cloud.Prices(ctx); err == nil {
			d.capacity.Prices(prices)
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

// feedCapacity passes on the load of the failure domain's backend servers.
func (d *Daemon) feedCapacity(now time.Time) {
	version := d.keeper.Current()
	if version == nil {
		return
	}
	load := d.domainLoad(now)
	for name := range version.Files {
		d.capacity.Demand(name, load.demand(d, name))
		d.capacity.Servers(name, load.reports[name])
	}
}

// domainLoad is the load of one failure domain's backend servers over all entry instances.
type domainLoad struct {
	inFlight map[string]int
	reports  map[string][]capacity.Report
	entries  int
	domains  int
}

func (d *Daemon) domainLoad(now time.Time) domainLoad {
	load := domainLoad{inFlight: map[string]int{}, reports: map[string][]capacity.Report{}}
	use := d.totalUse(now)
	allHeard := d.allHeard(now)
	list, _ := d.fleet.list()
	domains := map[string]bool{}
	for _, inst := range list {
		domains[inst.FailureDomain] = true
		if inst.Role == platform.EntryRole {
			load.entries++
			continue
		}
		if inst.FailureDomain != d.set.FailureDomain {
			continue
		}
		report := d.report(inst, use[inst.ID], allHeard)
		load.inFlight[inst.Service] += report.InUse
		load.reports[inst.Service] = append(load.reports[inst.Service], report)
	}
	load.domains = max(1, len(domains))
	return load
}

// totalUse returns the requests in flight by backend server over all entry instances.
func (d *Daemon) totalUse(now time.Time) map[string]int {
	use := map[string]int{}
	for _, own := range d.routes.Use() {
		use[own.Backend] += own.InFlight
	}
	for id, others := range d.members.Totals(now).ByBackend {
		use[id] += others.InFlight
	}
	return use
}

// allHeard tells whether every other listed entry instance is live.
func (d *Daemon) allHeard(now time.Time) bool {
	live := map[string]bool{}
	for _, member := range d.members.Members(now) {
		live[member.Instance] = member.Live
	}
	list, _ := d.fleet.list()
	for _, inst := range list {
		other := inst.Role == platform.EntryRole && inst.ID != d.set.Instance
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
		InUse: max(use, load.Running+load.Queued), AllHeard: allHeard,
	}
}

// demand estimates a service's load in the failure domain. Requests wait at the entry
// instances, over which callers are spread evenly.
func (l domainLoad) demand(d *Daemon, name string) capacity.Demand {
	waiting, _ := d.admission.Waiting(name)
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

// capacityFiles returns the service files as the capacity plans take them.
func capacityFiles(files []*service.File) []service.File {
	copies := make([]service.File, len(files))
	for i, file := range files {
		copies[i] = *file
	}
	return copies
}
