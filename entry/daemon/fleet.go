package daemon

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/process/membership"
	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/request/route"
	"papayaport.dev/serving/version/service"
)

const (
	listPeriod   = time.Second
	noticeWait   = 20 * time.Second
	platformWait = time.Second
	// enginePeriod is the shortest time between two looks at one engine.
	enginePeriod = 500 * time.Millisecond
	// enginesPerSecond bounds the looks at all engines together.
	enginesPerSecond = 50
	// engineWorkers is the number of engines that are looked at together.
	engineWorkers = 8
	engineTimeout = time.Second
)

// fleet is what this instance knows of the instance list and of the engines.
type fleet struct {
	mu        sync.Mutex
	instances []platform.Instance
	heard     time.Time
	// first is when the first list was read.
	first time.Time
	// polled is when each engine last answered.
	polled map[string]time.Time
	loads  map[string]engine.Load
}

func newFleet() *fleet {
	return &fleet{polled: map[string]time.Time{}, loads: map[string]engine.Load{}}
}

func (f *fleet) set(list []platform.Instance, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = list
	f.heard = now
	if f.first.IsZero() {
		f.first = time.Now()
	}
	known := map[string]bool{}
	for _, inst := range list {
		known[inst.ID] = true
	}
	maps.DeleteFunc(f.polled, func(id string, _ time.Time) bool { return !known[id] })
	maps.DeleteFunc(f.loads, func(id string, _ engine.Load) bool { return !known[id] })
}

func (f *fleet) list() ([]platform.Instance, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances, f.heard
}

func (f *fleet) answered(id string, load engine.Load, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polled[id] = now
	f.loads[id] = load
}

func (f *fleet) ages() map[string]time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.polled)
}

func (f *fleet) find(id string) (platform.Instance, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(f.instances, func(inst platform.Instance) bool { return inst.ID == id })
	if i < 0 {
		return platform.Instance{}, false
	}
	return f.instances[i], true
}

// runList reads the instance list.
func (d *Daemon) runList(ctx context.Context) error {
	return clock.Every(ctx, listPeriod, func(ctx context.Context, _ time.Time) {
		ctx, cancel := context.WithTimeout(ctx, controlTimeout)
		defer cancel()
		list, err := d.outside.Instances.List(ctx)
		if err != nil {
			d.entry("fleet").WithError(err).Debug("fleet: instance list unreadable")
			return
		}
		d.adoptList(list, time.Now())
	})
}

func (d *Daemon) adoptList(list platform.Instances, now time.Time) {
	d.fleet.set(list.Instances, now.Add(-time.Duration(list.AgeMS)*time.Millisecond))
	d.members.Instances(now, list.Instances)
	d.applyBackends(now, list.Instances)
	if d.capacity != nil {
		d.capacity.Instances(list)
	}
	for _, inst := range list.Instances {
		if inst.Leaving {
			d.notice(inst.ID, inst.Incarnation, time.Duration(inst.LeaveInMS)*time.Millisecond)
		}
	}
	d.exchange.Deliver()
}

func (d *Daemon) applyBackends(now time.Time, list []platform.Instance) {
	var backends []route.Backend
	entries := 0
	for _, inst := range list {
		if inst.Role == platform.EntryRole {
			entries++
			continue
		}
		d.members.Know(inst.ID)
		backends = append(backends, d.backend(inst))
	}
	d.gateway.SetBackends(now, backends)
	d.admission.SetEntries(now, max(1, entries))
}

// defaultSlots is the number of requests that a backend server of an unknown service runs.
const defaultSlots = 8

func (d *Daemon) backend(inst platform.Instance) route.Backend {
	slots := defaultSlots
	if file, found := d.keeper.Service(inst.Service); found && file.Capacity.SlotsPerServer > 0 {
		slots = file.Capacity.SlotsPerServer
	}
	return route.Backend{
		ID: inst.ID, Incarnation: inst.Incarnation, Service: inst.Service, Address: inst.Address,
		Region: inst.Region, FailureDomain: inst.FailureDomain, Class: inst.Class,
		Reclaimable: inst.Reclaimable, PricePerHour: inst.PricePerHour, Slots: slots,
	}
}

// runNotices waits for notices of the cloud API.
func (d *Daemon) runNotices(ctx context.Context) error {
	if d.outside.Cloud == nil {
		return nil
	}
	after := uint64(0)
	for ctx.Err() == nil {
		notices, err := d.outside.Cloud.Notices(ctx, after, noticeWait)
		if err != nil {
			_ = clock.Sleep(ctx, platformWait)
			continue
		}
		after = notices.Next
		for _, notice := range notices.Notices {
			d.notice(notice.Instance, notice.Incarnation, time.Duration(notice.LeaveInMS)*time.Millisecond)
		}
		d.exchange.Deliver()
	}
	return ctx.Err()
}

// notice takes in that an incarnation goes, and tells the peers at once.
func (d *Daemon) notice(id string, incarnation uint64, left time.Duration) {
	now := time.Now()
	leaving := membership.Leaving{Instance: id, Incarnation: incarnation, Deadline: now.Add(left)}
	d.exchange.Notice(now, leaving)
}

// runEngines looks at the engines in turn: their load, their cache and whether they leave.
func (d *Daemon) runEngines(ctx context.Context) error {
	next := map[string]time.Time{}
	return clock.Every(ctx, enginePeriod/4, func(ctx context.Context, now time.Time) {
		engines := d.engines()
		period := max(enginePeriod, time.Duration(len(engines))*time.Second/enginesPerSecond)
		group, ctx := errgroup.WithContext(ctx)
		group.SetLimit(engineWorkers)
		for _, inst := range engines {
			if now.Before(next[inst.ID]) {
				continue
			}
			next[inst.ID] = now.Add(period)
			group.Go(func() error {
				d.pollEngine(ctx, inst)
				return nil
			})
		}
		_ = group.Wait()
	})
}

func (d *Daemon) engines() []platform.Instance {
	list, _ := d.fleet.list()
	var engines []platform.Instance
	for _, inst := range list {
		file, found := d.keeper.Service(inst.Service)
		if found && inst.Role == platform.BackendRole && file.Kind == service.ModelKind {
			engines = append(engines, inst)
		}
	}
	return engines
}

func (d *Daemon) pollEngine(ctx context.Context, inst platform.Instance) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	client := engine.New(d.outside.HTTP, inst.Address)
	load, err := client.Load(ctx)
	if err != nil {
		return
	}
	now := time.Now()
	d.fleet.answered(inst.ID, load, now)
	d.routes.Report(now, inst.ID, load)
	if load.Leaving {
		d.notice(inst.ID, max(load.Incarnation, inst.Incarnation), time.Duration(load.LeaveInMS)*time.Millisecond)
		d.exchange.Deliver()
	}
	after, snapshot := d.routes.CacheCursor(inst.ID)
	events, err := client.Events(ctx, after, snapshot)
	if err == nil {
		d.routes.CacheEvents(time.Now(), inst.ID, events)
	}
}
