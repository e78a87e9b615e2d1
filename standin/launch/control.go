package launch

import (
	"bytes"
	"context"
	"net/http"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"papayaport.dev/serving/process/platform/exchange"
	"papayaport.dev/standin/cloud"
	"papayaport.dev/standin/engine"
	"papayaport.dev/standin/engine/listener"
	"papayaport.dev/standin/link"
	"papayaport.dev/standin/plain"
	"papayaport.dev/standin/store"
)

// readyPollInterval is the interval at which readiness is polled.
const readyPollInterval = 50 * time.Millisecond

// Papayactl runs papayactl against an entry's administration listener, and returns its stdout
// and stderr. The error of a run that exits with a non-zero code is an *exec.ExitError.
func (s *System) Papayactl(ctx context.Context, entry *Process, args ...string) ([]byte, error) {
	all := append([]string{"--address", "http://" + entry.Administration, "--token", s.OperatorToken}, args...)
	cmd := exec.CommandContext(ctx, filepath.Join(s.plan.BinDir, "papayactl"), all...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	return out.Bytes(), err
}

// Publish publishes service files through an entry.
func (s *System) Publish(ctx context.Context, entry *Process, files ...string) error {
	out, err := s.Papayactl(ctx, entry, append([]string{"publish"}, files...)...)
	return errors.Wrapf(err, "publishing: %s", out)
}

// PublishTenants publishes all service files of the plan's tenants through the first entry.
func (s *System) PublishTenants(ctx context.Context) error {
	return s.Publish(ctx, s.Entries[0], s.ServiceFiles()...)
}

// ServiceFiles returns the paths of the tenants' service files in the working directory.
func (s *System) ServiceFiles() []string {
	var paths []string
	for _, tenant := range s.Tenants {
		for name := range tenant.Files {
			paths = append(paths, filepath.Join(s.WorkDir, name))
		}
	}
	return paths
}

// WaitReady waits until all running entries are ready, and the balancer reports a ready one.
func (s *System) WaitReady(ctx context.Context) error {
	var group errgroup.Group
	for _, p := range s.Entries {
		if p.Running() {
			group.Go(func() error { return s.WaitEntry(ctx, p) })
		}
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return s.waitStatus(ctx, "http://"+s.Balancer+"/readyz", "the balancer")
}

// WaitEntry waits until one entry is ready.
func (s *System) WaitEntry(ctx context.Context, p *Process) error {
	return s.waitStatus(ctx, p.URL()+"/readyz", p.Name)
}

func (s *System) waitStatus(ctx context.Context, url, name string) error {
	for {
		answer, err := exchange.Do(ctx, s.http, http.MethodGet, url, nil, nil)
		if err == nil && answer.Status == http.StatusOK {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "waiting until %s is ready (status %d)", name, answer.Status)
		case <-time.After(readyPollInterval):
		}
	}
}

// SetFaults sets the faults of the stand-in at a base URL: an engine/listener.Faults,
// plain.Faults, store.Faults or cloud.Faults.
func (s *System) SetFaults(ctx context.Context, url string, faults any) error {
	return s.post(ctx, url+"/standin/faults", faults)
}

// SetLinkFaults sets the faults of relays in a plan with links.
func (s *System) SetLinkFaults(ctx context.Context, faults link.Faults) error {
	return s.SetFaults(ctx, s.LinkControl, faults)
}

// Reclaim announces that the platform reclaims instances. Entry instances read this from the
// instance list and the notices; the caller has to end their processes.
func (s *System) Reclaim(ctx context.Context, reclaim cloud.Reclaim) error {
	return s.post(ctx, s.Cloud+"/standin/reclaim", reclaim)
}

func (s *System) post(ctx context.Context, url string, body any) error {
	answer, err := exchange.Do(ctx, s.http, http.MethodPost, url, body, nil)
	if err == nil && answer.Status/100 != 2 {
		err = errors.Errorf("status %d", answer.Status)
	}
	return errors.Wrapf(err, "posting to %s", url)
}

// EngineRuns returns the requests that an engine ran.
func (s *System) EngineRuns(ctx context.Context, p *Process) (engine.Runs, error) {
	var runs engine.Runs
	err := s.get(ctx, p.URL()+"/standin/runs", &runs)
	return runs, err
}

// EngineFaults returns the current faults of an engine.
func (s *System) EngineFaults(ctx context.Context, p *Process) (listener.Faults, error) {
	var faults listener.Faults
	err := s.get(ctx, p.URL()+"/standin/faults", &faults)
	return faults, err
}

// ServiceRuns returns the requests that a plain service ran.
func (s *System) ServiceRuns(ctx context.Context, p *Process) (plain.Runs, error) {
	var runs plain.Runs
	err := s.get(ctx, p.URL()+"/standin/runs", &runs)
	return runs, err
}

// StoreCalls returns the numbers of calls that the store has received.
func (s *System) StoreCalls(ctx context.Context) (store.Calls, error) {
	var calls store.Calls
	err := s.get(ctx, s.Store+"/standin/calls", &calls)
	return calls, err
}

func (s *System) get(ctx context.Context, url string, out any) error {
	answer, err := exchange.Do(ctx, s.http, http.MethodGet, url, nil, out)
	if err == nil && answer.Status != http.StatusOK {
		err = errors.Errorf("status %d", answer.Status)
	}
	return errors.Wrapf(err, "reading %s", url)
}
