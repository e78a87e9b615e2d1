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

// run runs one case and never fails: a result without figures carries its error.
func (o Options) run(ctx context.Context, c Case) Result {
	ctx, cancel := context.WithTimeout(ctx, o.Duration+runLimit)
	defer cancel()
	result, err := o.try(ctx, c)
	result.Case, result.Err = c, err
	return result
}

func (o Options) try(ctx context.Context, c Case) (Result, error) {
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

// start starts the system of a case, ready for requests. Starts of instances are refused
// in all cases, so that every policy has the same engines.
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

// drive sends the load, lets the wave come and meters the engines.
func (o Options) drive(ctx context.Context, c Case, system *launch.System, tenant tenants.Tenant, arrivals []load.Arrival) ([]load.Outcome, *meter, error) {
	m := newMeter(system, &http.Client{Timeout: time.Second})
	metered, stop := context.WithCancel(ctx)
	defer stop()
	var group errgroup.Group
	group.Go(func() error { return m.run(metered) })
	if c.Wave {
		group.Go(func() error { return o.wave(metered, system, m) })
	}
	url := "http://" + system.Balancer
	outcomes := load.Run(ctx, load.Config{URL: url, Tenant: tenant, RunID: fmt.Sprint(c.Seed)}, arrivals)
	time.Sleep(settleTime)
	m.readRuns(ctx)
	stop()
	return outcomes, m, group.Wait()
}

// wave reclaims the engines of the first failure domain, which is the cheapest.
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
	if sleep(ctx, waveNotice-lastLook) {
		m.readRuns(ctx)
	}
	return nil
}

// lastLook is the time before the engines' end at which their runs are read.
const lastLook = 150 * time.Millisecond

// sleep waits and tells whether the whole time passed.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
