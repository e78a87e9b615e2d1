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
	listPeriod         = time.Second
	noticePollTimeout  = 20 * time.Second
	platformRetryDelay = time.Second
	// minEnginePollPeriod is the minimum interval between two polls of one engine.
	minEnginePollPeriod = 500 * time.Millisecond
	// maxEnginePollsPerSecond is the maximum rate of polls over all engines.
	maxEnginePollsPerSecond = 50
	// maxConcurrentPolls is the maximum number of concurrent polls.
	maxConcurrentPolls = 8
	engineTimeout      = time.Second
)

// fleet caches the instance list and the load reports of the engines.
type fleet struct {
	mu        sync.Mutex
	instances []platform.Instance
	// listedAt is when the data of the instance list was current.
	listedAt time.Time
	// firstListedAt is when the first instance list was read.
	firstListedAt time.Time
	// polledAt is when each engine last answered a poll.
	polledAt map[string]time.Time
	loads    map[string]engine.Load
}

func newFleet() *fleet {
	return &fleet{polledAt: map[string]time.Time{}, loads: map[string]engine.Load{}}
}

func (f *fleet) setList(list []platform.Instance, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = list
	f.listedAt = now
	if f.firstListedAt.IsZero() {
		f.firstListedAt = time.Now()
	}
	known := map[string]bool{}
	for _, inst := range list {
		known[inst.ID] = true
	}
	maps.DeleteFunc(f.polledAt, func(id string, _ time.Time) bool { return !known[id] })
	maps.DeleteFunc(f.loads, func(id string, _ engine.Load) bool { return !known[id] })
}

func (f *fleet) list() ([]platform.Instance, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances, f.listedAt
}

func (f *fleet) recordLoad(id string, load engine.Load, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polledAt[id] = now
	f.loads[id] = load
}

func (f *fleet) pollTimes() map[string]time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.polledAt)
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

// runList periodically reads the instance list until ctx ends.
func (d *Daemon) runList(ctx context.Context) error {
	return clock.Every(ctx, listPeriod, func(ctx context.Context, _ time.Time) {
		ctx, cancel := context.WithTimeout(ctx, controlTimeout)
		defer cancel()
		list, err := d.platform.Instances.List(ctx)
		if err != nil {
			d.logEntry("fleet").WithError(err).Debug("fleet: cannot read instance list")
			return
		}
		d.applyList(list, time.Now())
	})
}

func (d *Daemon) applyList(list platform.Instances, now time.Time) {
	d.fleet.setList(list.Instances, now.Add(-time.Duration(list.AgeMS)*time.Millisecond))
	d.members.MergeInstances(now, list.Instances)
	d.applyBackends(now, list.Instances)
	if d.capacity != nil {
		d.capacity.SetInstances(list)
	}
	for _, inst := range list.Instances {
		if inst.Leaving {
			d.announceLeaving(inst.ID, inst.Incarnation, time.Duration(inst.LeaveInMS)*time.Millisecond)
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
		d.members.RegisterNames(inst.ID)
		backends = append(backends, d.backend(inst))
	}
	d.gateway.SetBackends(now, backends)
	d.admission.SetEntries(now, max(1, entries))
}

// defaultSlots is the assumed number of concurrent requests of a backend server whose service
// file sets none.
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

// runNotices long-polls the cloud API for notices until ctx ends.
func (d *Daemon) runNotices(ctx context.Context) error {
	if d.platform.Cloud == nil {
		return nil
	}
	after := uint64(0)
	for ctx.Err() == nil {
		notices, err := d.platform.Cloud.Notices(ctx, after, noticePollTimeout)
		if err != nil {
			_ = clock.Sleep(ctx, platformRetryDelay)
			continue
		}
		after = notices.Next
		for _, notice := range notices.Notices {
			d.announceLeaving(notice.Instance, notice.Incarnation, time.Duration(notice.LeaveInMS)*time.Millisecond)
		}
		d.exchange.Deliver()
	}
	return ctx.Err()
}

// announceLeaving records that an incarnation of an instance leaves after the given time, and
// sends that to the peers at once.
func (d *Daemon) announceLeaving(id string, incarnation uint64, timeLeft time.Duration) {
	now := time.Now()
	leaving := membership.Leaving{Instance: id, Incarnation: incarnation, Deadline: now.Add(timeLeft)}
	d.exchange.Notice(now, leaving)
}

// runEnginePolls polls the engines for their load, their cache events and whether they are
// leaving, until ctx ends.
func (d *Daemon) runEnginePolls(ctx context.Context) error {
	next := map[string]time.Time{}
	return clock.Every(ctx, minEnginePollPeriod/4, func(ctx context.Context, now time.Time) {
		engines := d.engines()
		period := max(minEnginePollPeriod, time.Duration(len(engines))*time.Second/maxEnginePollsPerSecond)
		group, ctx := errgroup.WithContext(ctx)
		group.SetLimit(maxConcurrentPolls)
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
	client := engine.New(d.platform.HTTP, inst.Address)
	load, err := client.Load(ctx)
	if err != nil {
		return
	}
	now := time.Now()
	d.fleet.recordLoad(inst.ID, load, now)
	d.routes.Report(now, inst.ID, load)
	if load.Leaving {
		d.announceLeaving(inst.ID, max(load.Incarnation, inst.Incarnation), time.Duration(load.LeaveInMS)*time.Millisecond)
		d.exchange.Deliver()
	}
	after, snapshot := d.routes.CacheCursor(inst.ID)
	events, err := client.Events(ctx, after, snapshot)
	if err == nil {
		d.routes.CacheEvents(time.Now(), inst.ID, events)
	}
}
