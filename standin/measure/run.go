package measure

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"papayaport.dev/standin/cloud"
	"papayaport.dev/standin/launch"
	"papayaport.dev/standin/load"
	"papayaport.dev/standin/tenants"
)

// run runs one case. An error is returned in the result.
func (o Options) run(ctx context.Context, c Case) Result {
	ctx, cancel := context.WithTimeout(ctx, o.Duration+runLimit)
	defer cancel()
	result, err := o.runCase(ctx, c)
	result.Case, result.Err = c, err
	return result
}

func (o Options) runCase(ctx context.Context, c Case) (Result, error) {
	shape, err := load.Get(c.Shape)
	if err != nil {
		return Result{}, err
	}
	tenant, err := tenants.Get(shape.Tenant())
	if err != nil {
		return Result{}, err
	}
	arrivals := shape.Arrivals(load.Plan{Tenant: tenant, Rate: o.Rates[c.Shape], Duration: o.Duration, Seed: c.Seed})
	system, err := o.start(ctx, c, tenant)
	if err != nil {
		return Result{}, err
	}
	defer system.Stop()
	outcomes, meter, err := o.drive(ctx, c, system, tenant, arrivals)
	if err != nil {
		return Result{}, err
	}
	target := tenant.Services[tenant.Model].LatencyTarget
	result := Result{Report: load.Summarize(outcomes, target.FirstTokenMS, target.BetweenTokensMS)}
	result.Cost, result.Computed, result.Starts = meter.cost(), meter.computed(), meter.starts()
	result.Needed, err = needed(tenant.ModelName(), outcomes)
	return result, err
}

// start starts the system of a case and waits until it is ready. Starts of instances are refused in
// all cases, so that every policy has the same engines.
func (o Options) start(ctx context.Context, c Case, tenant tenants.Tenant) (*launch.System, error) {
	system, err := launch.Start(ctx, launch.Plan{
		BinDir: o.BinDir, Tenants: []string{tenant.Name}, Entries: o.Entries,
		EnginesPerDomain: o.EnginesPerDomain, ServicesPerDomain: -1,
		Engine: engineConfig(), Policy: c.Policy, LogLevel: "warning",
	})
	if err != nil {
		return nil, errors.Wrap(err, "starting the system")
	}
	if err := o.prepare(ctx, system); err != nil {
		system.Stop()
		return nil, err
	}
	return system, nil
}

func (o Options) prepare(ctx context.Context, system *launch.System) error {
	if err := system.SetFaults(ctx, system.Cloud, cloud.Faults{RefuseStarts: true}); err != nil {
		return err
	}
	if err := system.PublishTenants(ctx); err != nil {
		return err
	}
	if err := system.WaitReady(ctx); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

// drive sends the load, triggers the wave and samples the engines.
func (o Options) drive(ctx context.Context, c Case, system *launch.System, tenant tenants.Tenant, arrivals []load.Arrival) ([]load.Outcome, *meter, error) {
	m := newMeter(system, &http.Client{Timeout: time.Second})
	meterCtx, stop := context.WithCancel(ctx)
	defer stop()
	var group errgroup.Group
	group.Go(func() error { return m.run(meterCtx) })
	if c.Wave {
		group.Go(func() error { return o.wave(meterCtx, system, m) })
	}
	url := "http://" + system.Balancer
	outcomes := load.Run(ctx, load.Config{URL: url, Tenant: tenant, RunID: fmt.Sprint(c.Seed)}, arrivals)
	time.Sleep(settleTime)
	m.readRuns(ctx)
	stop()
	return outcomes, m, group.Wait()
}

// wave reclaims the engines of the first failure domain, the cheapest one.
func (o Options) wave(ctx context.Context, system *launch.System, m *meter) error {
	if !sleep(ctx, time.Duration(waveAfter*float64(o.Duration))) {
		return nil
	}
	domain := system.Engines[0].Instance.FailureDomain
	reclaim := cloud.Reclaim{LeaveInMS: waveNotice.Milliseconds()}
	for _, p := range launch.InDomain(domain, system.Engines) {
		reclaim.Instances = append(reclaim.Instances, p.Instance.ID)
	}
	if err := system.Reclaim(ctx, reclaim); err != nil {
		return err
	}
	if sleep(ctx, waveNotice-lastReadBefore) {
		m.readRuns(ctx)
	}
	return nil
}

// lastReadBefore is the time before the exit of the engines at which their runs are read.
const lastReadBefore = 150 * time.Millisecond

// sleep waits, and reports whether the whole time has passed.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
