package launch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/process/settings"
)

// Settings are the settings of one entry instance.
type Settings = settings.Settings

// maxSeedPeers is the number of seed peers in an entry's settings.
const maxSeedPeers = 3

func (s *System) startEntries(ctx context.Context) error {
	if err := s.writeTokens(); err != nil {
		return err
	}
	for i := range s.plan.Entries {
		p, err := s.newEntry(i)
		if err != nil {
			return err
		}
		s.Entries = append(s.Entries, p)
	}
	var group errgroup.Group
	for _, p := range s.Entries {
		group.Go(func() error { return s.startEntry(ctx, p) })
	}
	return group.Wait()
}

func (s *System) tokensFile() string { return filepath.Join(s.WorkDir, "tokens") }

func (s *System) writeTokens() error {
	sum := sha256.Sum256([]byte(s.OperatorToken))
	line := "operator " + hex.EncodeToString(sum[:]) + "\n"
	return errors.Wrap(os.WriteFile(s.tokensFile(), []byte(line), 0o600), "writing the operator token file")
}

// newEntry describes an entry instance.
func (s *System) newEntry(index int) (*Process, error) {
	addresses, err := s.addresses.allocate(3)
	if err != nil {
		return nil, err
	}
	domain := s.plan.Domains[index%len(s.plan.Domains)]
	id := fmt.Sprintf("entry-%s%d", domain, index/len(s.plan.Domains)+1)
	p := s.newProcess(id, "papayaport", addresses[0], "run", "--settings", filepath.Join(s.WorkDir, id+".json"))
	p.Peers, p.Administration = addresses[1], addresses[2]
	p.Instance = platform.Instance{
		ID: id, Incarnation: now(), Role: platform.EntryRole,
		Address: p.URL(), PeerAddress: p.Peers, Region: s.Region(), FailureDomain: domain,
		Class: "c4-spot", Reclaimable: true,
	}
	return p, nil
}

// startEntry writes an entry's settings, starts it and registers it.
func (s *System) startEntry(ctx context.Context, p *Process) error {
	data, err := json.MarshalIndent(s.settings(p), "", "  ")
	if err != nil {
		return errors.Wrap(err, "encoding settings")
	}
	if err := os.WriteFile(filepath.Join(s.WorkDir, p.Name+".json"), data, 0o600); err != nil {
		return errors.Wrap(err, "writing settings")
	}
	if err := s.startAndWait(ctx, p); err != nil {
		return err
	}
	return s.Register(ctx, p)
}

func (s *System) settings(p *Process) Settings {
	set := settings.Defaults()
	set.Instance = p.Instance.ID
	set.Incarnation = p.Instance.Incarnation
	set.Region = p.Instance.Region
	set.FailureDomain = p.Instance.FailureDomain
	set.Callers.Listen = p.Address
	set.Peers.Listen = p.Peers
	set.Administration.Listen = p.Administration
	at := s.platformFor(p.Instance.FailureDomain)
	set.Store = settings.Store{Address: at.store, Prefix: "tenant/"}
	set.Instances.Address = at.cloud
	set.Cloud.Address = at.cloud
	set.SeedPeers = s.seedPeers(p)
	set.OperatorTokensFile = s.tokensFile()
	set.Stop.GraceMS = s.plan.StopGrace.Milliseconds()
	set.Log.Level = s.plan.LogLevel
	if s.plan.Policy != "" {
		set.Routing.Policy = s.plan.Policy
	}
	if s.plan.Settings != nil {
		s.plan.Settings(&set)
	}
	return set
}

// platformFor returns the platform's addresses for a failure domain: its relays if there are
// any.
func (s *System) platformFor(domain string) platformAddresses {
	if at, ok := s.platformByDomain[domain]; ok {
		return at
	}
	return platformAddresses{store: s.Store, cloud: s.Cloud}
}

func (s *System) seedPeers(p *Process) []string {
	var seedPeers []string
	for _, other := range s.Entries {
		if other != p && len(seedPeers) < maxSeedPeers {
			seedPeers = append(seedPeers, other.Peers)
		}
	}
	return seedPeers
}

func (s *System) startBalancer(ctx context.Context) error {
	if len(s.Entries) == 0 {
		return nil
	}
	address, err := s.addresses.allocateOne()
	if err != nil {
		return err
	}
	args := []string{"balancer", "--listen", address}
	for _, p := range s.Entries {
		args = append(args, "--entries", p.Address)
	}
	s.Balancer = address
	s.Platform["balancer"] = s.newProcess("balancer", "standin", address, args...)
	return s.startAndWait(ctx, s.Platform["balancer"])
}
