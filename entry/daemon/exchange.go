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

// watchersPerDomain is the number of entry instances per failure domain that watch the
// key-value service for new versions; the others learn of them from peers.
const watchersPerDomain = 2

func (d *Daemon) publishLocal(now time.Time) {
	head := d.keeper.Head()
	d.members.SetLocal(now, membership.LocalState{
		ConfigVersion: head.Version, ManifestHash: string(head.Manifest),
		Draining: d.gateway.Draining(),
		Backends: d.routes.LocalLoad(), Accounts: d.admission.Usage(now),
	})
	totals := d.members.Totals(now)
	d.routes.SetPeerLoad(now, totals)
	d.admission.SetPeerUsage(now, totals)
}

// applyChange applies a change received from peers or the platform.
func (d *Daemon) applyChange(change membership.Change) {
	switch c := change.(type) {
	case membership.LeavingChange:
		d.applyLeaving(c.Leaving)
	case membership.ConfigChange:
		d.keeper.HandleOffer(c.Config.Address, c.Config.Version, c.Config.ManifestHash)
	}
}

func (d *Daemon) applyLeaving(leaving membership.Leaving) {
	if leaving.Instance != d.settings.Instance {
		if d.capacity != nil {
			d.capacity.MarkLeaving(leaving.Instance, leaving.Incarnation)
		}
		d.gateway.MarkLeaving(leaving.Instance, leaving.Incarnation, leaving.Deadline)
		return
	}
	if leaving.Incarnation < d.settings.Incarnation {
		return
	}
	d.leaveOnce.Do(func() {
		d.leaveDeadline = leaving.Deadline
		close(d.leaveSignal)
	})
}

func watchLease(domain string, slot int) string { return fmt.Sprintf("watch/%s/%d", domain, slot) }

// wantedLeases returns the names of the leases that this instance should try to acquire.
func (d *Daemon) wantedLeases() []string {
	if d.gateway.Draining() {
		return nil
	}
	var names []string
	for slot := range watchersPerDomain {
		names = append(names, watchLease(d.settings.FailureDomain, slot))
	}
	if d.capacity != nil {
		names = append(names, d.capacity.LeaseNames()...)
	}
	return names
}

func (d *Daemon) leaseRank(name string) int {
	var others []string
	for _, member := range d.members.Live(time.Now()) {
		if member.FailureDomain == d.settings.FailureDomain {
			others = append(others, member.Instance)
		}
	}
	return lease.Rank(name, d.settings.Instance, others)
}

// isWatcher reports whether this instance watches the key-value service for its failure domain.
func (d *Daemon) isWatcher() bool {
	for slot := range watchersPerDomain {
		if _, held := d.leases.Held(watchLease(d.settings.FailureDomain, slot)); held {
			return true
		}
	}
	return false
}

// runTicks calls the gateway's Tick periodically until ctx ends.
func (d *Daemon) runTicks(ctx context.Context) error {
	return clock.Every(ctx, gateway.TickPeriod, func(_ context.Context, now time.Time) { d.gateway.Tick(now) })
}

// runVersions applies each new configuration version until ctx ends.
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
			d.members.RegisterNames(file.Name + "/" + account.Name)
		}
	}
	d.admission.SetServices(now, version.Number, files)
	d.retries.SetServices(now, files)
	if d.capacity != nil {
		d.capacity.SetServices(capacityFiles(files))
	}
	if list, listedAt := d.fleet.list(); !listedAt.IsZero() {
		d.applyBackends(now, list)
	}
	d.logEntry("daemon").WithField("version", version.Number).Info("daemon: configuration in force")
}
