package daemon

import (
	"context"
	"fmt"
	"time"

	"papayaport.dev/entry/gateway"
	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/process/lease"
	"papayaport.dev/serving/process/membership"
	"papayaport.dev/serving/version/service"
)

// watchersPerDomain is the number of entry instances of a failure domain that watch
// the key-value service for new versions.
const watchersPerDomain = 2

func (d *Daemon) publishLocal(now time.Time) {
	head := d.keeper.HeadOf()
	d.members.SetLocal(now, membership.Local{
		ConfigVersion: head.Version, ManifestHash: string(head.Manifest),
		Draining: d.gateway.Draining(),
		Backends: d.routes.Use(), Accounts: d.admission.Use(now),
	})
	totals := d.members.Totals(now)
	d.routes.Peers(now, totals)
	d.admission.Peers(now, totals)
}

// applyChange acts on what was heard from peers and platform.
func (d *Daemon) applyChange(change membership.Change) {
	switch heard := change.(type) {
	case membership.LeavingHeard:
		d.applyLeaving(heard.Leaving)
	case membership.ConfigHeard:
		d.keeper.Offer(heard.Config.Address, heard.Config.Version, heard.Config.ManifestHash)
	}
}

func (d *Daemon) applyLeaving(leaving membership.Leaving) {
	if leaving.Instance != d.set.Instance {
		if d.capacity != nil {
			d.capacity.Notice(leaving.Instance, leaving.Incarnation)
		}
		d.gateway.MarkLeaving(leaving.Instance, leaving.Incarnation, leaving.Deadline)
		return
	}
	if leaving.Incarnation < d.set.Incarnation {
		return
	}
	d.leaveOnce.Do(func() {
		d.leaveBy = leaving.Deadline
		close(d.leave)
	})
}

func watchLease(domain string, place int) string { return fmt.Sprintf("watch/%s/%d", domain, place) }

// wantedLeases names the leases that this instance should try for.
func (d *Daemon) wantedLeases() []string {
	if d.gateway.Draining() {
		return nil
	}
	var names []string
	for place := range watchersPerDomain {
		names = append(names, watchLease(d.set.FailureDomain, place))
	}
	if d.capacity != nil {
		names = append(names, d.capacity.LeaseNames()...)
	}
	return names
}

func (d *Daemon) leaseRank(name string) int {
	var others []string
	for _, member := range d.members.Live(time.Now()) {
		if member.FailureDomain == d.set.FailureDomain {
			others = append(others, member.Instance)
		}
	}
	return lease.Rank(name, d.set.Instance, others)
}

// watching tells whether this instance watches the key-value service for its failure domain.
func (d *Daemon) watching() bool {
	for place := range watchersPerDomain {
		if _, held := d.leases.Held(watchLease(d.set.FailureDomain, place)); held {
			return true
		}
	}
	return false
}

// runTicks lets queued requests go on.
func (d *Daemon) runTicks(ctx context.Context) error {
	return clock.Every(ctx, gateway.TickPeriod, func(_ context.Context, now time.Time) { d.gateway.Tick(now) })
}

// runVersions puts each new version into force in the tables.
func (d *Daemon) runVersions(ctx context.Context) error {
	versions, end := d.keeper.Subscribe()
	defer end()
	for {
		d.applyVersion()
		select {
		case <-versions:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (d *Daemon) applyVersion() {
	version := d.keeper.Current()
	if version == nil {
		return
	}
	now := time.Now()
	var files []*service.File
	for _, file := range version.Files {
		files = append(files, file)
		for _, account := range file.Accounts {
			d.members.Know(file.Name + "/" + account.Name)
		}
	}
	d.admission.SetServices(now, version.Number, files)
	d.retries.SetServices(now, files)
	if d.capacity != nil {
		d.capacity.SetServices(capacityFiles(files))
	}
	if list, heard := d.fleet.list(); !heard.IsZero() {
		d.applyBackends(now, list)
	}
	d.entry("daemon").WithField("version", version.Number).Info("daemon: configuration in force")
}
