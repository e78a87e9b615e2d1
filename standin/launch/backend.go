package launch

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/process/platform/exchange"
	"papayaport.dev/serving/version/service"
)

func (s *System) startBackends(ctx context.Context) error {
	for _, tenant := range s.Tenants {
		for _, domain := range s.plan.Domains {
			for i := range max(0, s.plan.EnginesPerDomain) {
				p, err := s.newEngine(tenant.Services[tenant.Model], domain, i+1)
				if err != nil {
					return err
				}
				s.Engines = append(s.Engines, p)
			}
			for i := range max(0, s.plan.ServicesPerDomain) {
				p, err := s.newPlainService(tenant.Services[tenant.Plain], domain, i+1)
				if err != nil {
					return err
				}
				s.Services = append(s.Services, p)
			}
		}
	}
	return s.startAll(ctx, s.Backends())
}

// startAll starts processes and waits until all of them accept connections.
func (s *System) startAll(ctx context.Context, processes []*Process) error {
	for _, p := range processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	var group errgroup.Group
	for _, p := range processes {
		group.Go(func() error { return s.waitListening(ctx, p) })
	}
	return group.Wait()
}

// newBackend describes a backend server; in a plan with links it is registered under the address
// of its relay.
func (s *System) newBackend(file service.File, domain string, number int) (*Process, error) {
	addresses, err := s.addresses.allocate(2)
	if err != nil {
		return nil, err
	}
	id := fmt.Sprintf("%s-%s%d", file.Name, domain, number)
	p := s.newProcess(id, "standin", addresses[0])
	public := addresses[0]
	if s.plan.Links {
		public = addresses[1]
		s.relays = append(s.relays, "backend-"+id+"="+public+"="+p.Address)
	}
	class := file.Capacity.Classes[0]
	p.Instance = platform.Instance{
		ID: id, Incarnation: now(), Role: platform.BackendRole, Service: file.Name,
		Address: "http://" + public, Region: s.Region(), FailureDomain: domain,
		Class: class, Reclaimable: strings.HasSuffix(class, "-spot"),
	}
	return p, nil
}

// now returns the time in milliseconds since the epoch, for use as an incarnation.
func now() uint64 { return uint64(time.Now().UnixMilli()) }

func (s *System) newEngine(file service.File, domain string, number int) (*Process, error) {
	p, err := s.newBackend(file, domain, number)
	if err != nil {
		return nil, err
	}
	cfg := s.plan.Engine
	p.args = []string{
		"engine", "--listen", p.Address, "--instance", p.Instance.ID,
		"--models", file.Model.Name, "--weights", s.Weights,
		fmt.Sprintf("--slots=%d", cfg.Slots),
		fmt.Sprintf("--prefill-per-second=%g", cfg.PrefillPerSecond),
		fmt.Sprintf("--decode-ms=%g", cfg.DecodeMS),
		fmt.Sprintf("--batch-share=%g", cfg.BatchShare),
		fmt.Sprintf("--cache-tokens=%d", cfg.CacheTokens),
		fmt.Sprintf("--load-lag=%dms", cfg.LoadLagMS),
		fmt.Sprintf("--event-lag=%dms", cfg.EventLagMS),
		fmt.Sprintf("--event-loss=%g", cfg.EventLoss),
		fmt.Sprintf("--kv-bytes-per-token=%d", cfg.KVBytesPerToken),
		fmt.Sprintf("--kv-bytes-per-second=%g", cfg.KVBytesPerSecond),
		"--seed", strconv.Itoa(number),
	}
	if file.OrdersFenced {
		p.args = append(p.args, "--fenced")
	}
	p.args = append(p.args, "--incarnation", strconv.FormatUint(p.Instance.Incarnation, 10))
	return p, nil
}

func (s *System) newPlainService(file service.File, domain string, number int) (*Process, error) {
	p, err := s.newBackend(file, domain, number)
	if err != nil {
		return nil, err
	}
	p.args = []string{
		"service", "--listen", p.Address, "--instance", p.Instance.ID, "--slots", strconv.Itoa(plainSlots),
		"--incarnation", strconv.FormatUint(p.Instance.Incarnation, 10),
	}
	return p, nil
}

func (s *System) registerBackends(ctx context.Context) error {
	for _, p := range s.Backends() {
		if err := s.Register(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

// Register adds an instance to the instance list, replacing one with the same id.
func (s *System) Register(ctx context.Context, p *Process) error {
	answer, err := exchange.Do(ctx, s.http, http.MethodPost, s.Cloud+"/standin/register", p.Instance, &p.Instance)
	if err == nil && answer.Status != http.StatusOK {
		err = errors.Errorf("status %d", answer.Status)
	}
	return errors.Wrapf(err, "registering %s", p.Name)
}

// Restart starts an exited process again on the same address, as a new incarnation, and
// registers it.
func (s *System) Restart(ctx context.Context, p *Process) error {
	if p.Running() {
		return errors.Errorf("%s is still running", p.Name)
	}
	if p.Instance.ID == "" {
		return s.startAndWait(ctx, p)
	}
	p.Instance.Incarnation = max(now(), p.Instance.Incarnation+1)
	p.Instance.Leaving, p.Instance.LeaveInMS = false, 0
	if p.Instance.Role == platform.EntryRole {
		return s.startEntry(ctx, p)
	}
	p.args[len(p.args)-1] = strconv.FormatUint(p.Instance.Incarnation, 10)
	if err := s.startAndWait(ctx, p); err != nil {
		return err
	}
	return s.Register(ctx, p)
}
