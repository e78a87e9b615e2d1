package launch

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/version/service"
	"papayaport.dev/standin/cloud"
	"papayaport.dev/standin/plain"
)

// plainSlots is the number of concurrent requests that a plain service accepts.
const plainSlots = 64

func (s *System) startPlatform(ctx context.Context) error {
	addresses, err := s.addresses.allocate(3)
	if err != nil {
		return err
	}
	store, weights, cloudAPI := addresses[0], addresses[1], addresses[2]
	config, err := s.cloudConfig("http://" + weights)
	if err != nil {
		return err
	}
	s.Store, s.Weights, s.Cloud = "http://"+store, "http://"+weights, "http://"+cloudAPI
	s.Platform["store"] = s.newProcess(
		"store", "standin", store, "store", "--listen", store,
		fmt.Sprintf("--writes-per-second=%g", s.plan.WritesPerSecond),
		fmt.Sprintf("--reads-per-second=%g", s.plan.ReadsPerSecond),
	)
	s.Platform["weights"] = s.newProcess("weights", "standin", weights, "weights", "--listen", weights)
	s.Platform["cloud"] = s.newProcess("cloud", "standin", cloudAPI, "cloud", "--listen", cloudAPI, "--config", config)
	for _, name := range []string{"store", "weights", "cloud"} {
		if err := s.startAndWait(ctx, s.Platform[name]); err != nil {
			return err
		}
	}
	return nil
}

// cloudConfig writes the cloud API's configuration and returns the path of its file.
func (s *System) cloudConfig(weights string) (string, error) {
	cfg := cloud.Config{
		ListLagMS: s.plan.ListLag.Milliseconds(),
		Region:    s.Region(),
		Prices:    s.prices(),
		Templates: map[string]cloud.Template{},
	}
	for _, tenant := range s.Tenants {
		for name, file := range tenant.Services {
			cfg.Templates[name] = s.template(file, weights)
		}
	}
	data, err := json.MarshalIndent(cfg, "", "  ")
	if err != nil {
		return "", errors.Wrap(err, "encoding the cloud configuration")
	}
	path := filepath.Join(s.WorkDir, "cloud.json")
	return path, errors.Wrap(os.WriteFile(path, data, 0o600), "writing the cloud configuration")
}

func (s *System) template(file service.File, weights string) cloud.Template {
	if file.Kind == service.PlainKind {
		return cloud.Template{Plain: &plain.Config{Slots: plainSlots}}
	}
	engine := s.plan.Engine
	engine.Weights = weights
	engine.Fenced = file.OrdersFenced
	engine.Models = []string{file.Model.Name}
	return cloud.Template{Engine: &engine}
}

// basePrices are the prices by class in the first failure domain, in dollars per hour.
var basePrices = map[string]float64{
	"a40-spot": 0.42, "l40-spot": 0.55, "a40": 1.28,
	"t4-spot": 0.12, "l4-spot": 0.24, "t4": 0.35,
	"c4-spot": 0.03, "c4": 0.09,
}

// domainPriceStep is the fraction of the base price that each further failure domain adds.
const domainPriceStep = 0.1

func (s *System) prices() []platform.Price {
	var prices []platform.Price
	for i, domain := range s.plan.Domains {
		for class, base := range basePrices {
			prices = append(prices, platform.Price{
				Class:         class,
				FailureDomain: domain,
				Reclaimable:   strings.HasSuffix(class, "-spot"),
				PricePerHour:  base * (1 + domainPriceStep*float64(i)),
			})
		}
	}
	return prices
}

// startLink starts the relays of a plan with links.
func (s *System) startLink(ctx context.Context) error {
	if !s.plan.Links {
		return nil
	}
	control, err := s.addresses.allocateOne()
	if err != nil {
		return err
	}
	args := []string{"link", "--control", control}
	for _, relay := range s.relays {
		args = append(args, "--relay", relay)
	}
	for _, domain := range s.plan.Domains {
		more, err := s.domainRelays(domain)
		if err != nil {
			return err
		}
		args = append(args, more...)
	}
	s.LinkControl = "http://" + control
	s.Platform["link"] = s.newProcess("link", "standin", control, args...)
	return s.startAndWait(ctx, s.Platform["link"])
}

// platformAddresses holds the base URLs of the platform's APIs for one failure domain.
type platformAddresses struct{ store, cloud string }

func (s *System) domainRelays(domain string) ([]string, error) {
	addresses, err := s.addresses.allocate(2)
	if err != nil {
		return nil, err
	}
	s.platformByDomain[domain] = platformAddresses{store: "http://" + addresses[0], cloud: "http://" + addresses[1]}
	return []string{
		"--relay", "store-" + domain + "=" + addresses[0] + "=" + strings.TrimPrefix(s.Store, "http://"),
		"--relay", "cloud-" + domain + "=" + addresses[1] + "=" + strings.TrimPrefix(s.Cloud, "http://"),
	}, nil
}
