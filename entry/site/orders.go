package site

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/process/sizing"
	"papayaport.dev/serving/version/deployment"
)

// uncachedShare is the share of the admitted tokens that engines have to prefill: prompts share
// most of their parts, and the admitted tokens include those of responses.
const uncachedShare = 0.3

// orderServers orders the desired number of backend servers of each service.
func (s *Site) orderServers(ctx context.Context, fencing uint64) {
	version := s.keeper.Current()
	if version == nil || !s.fleetKnown.Load() {
		return
	}
	for i := range version.Services {
		in := s.sizingInput(&version.Services[i])
		for _, order := range s.planner.Plan(time.Now(), in) {
			if !s.stillHolds(fencing) {
				return
			}
			if order, due := s.keepCount(time.Now(), order, in); due {
				s.order(ctx, fencing, order, in)
			}
		}
	}
}

func (s *Site) order(ctx context.Context, fencing uint64, order sizing.Order, in sizing.Input) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := s.platform.Duties.Order(ctx, s.duty(fencing), order)
	s.planner.RecordOrder(time.Now(), order, err == nil)
	if err == nil {
		s.recordOrder(time.Now(), order)
	}
	log := s.logger("duties").WithFields(logrus.Fields{
		"service": order.Service, "failure_domain": order.FailureDomain, "reclaimable": order.Reclaimable,
		"count": order.Count, "in_flight": in.InFlight, "prefill_per_second": int(in.PrefillPerSecond),
		"learned_prefill_rate": int(in.LearnedPrefillRate),
		"live":                 in.Live[order.FailureDomain], "fencing": fencing,
	})
	if err != nil {
		log.WithError(err).Warn("duties: order refused")
		return
	}
	log.Info("duties: ordered")
}

// sizingInput returns the load and the live servers of a service over all entry instances.
func (s *Site) sizingInput(svc *deployment.Service) sizing.Input {
	now := time.Now()
	in := sizing.Input{Service: svc, Live: map[string]sizing.ServerCount{}}
	for _, domain := range s.settings.FailureDomains {
		in.Live[domain] = sizing.ServerCount{}
	}
	for _, server := range s.backends() {
		if server.Service != svc.Name || server.Leaving || s.rollouts.isUnused(server.Service, server.Version) {
			continue
		}
		count := in.Live[server.FailureDomain]
		if server.Reclaimable {
			count.Reclaimable++
		} else {
			count.OnDemand++
		}
		in.Live[server.FailureDomain] = count
	}
	load := s.load(now, svc.Name)
	in.InFlight, in.PrefillPerSecond = load.inFlight, uncachedShare*load.tokensPerSecond
	in.LearnedPrefillRate = load.prefillRate
	return in
}

// inFlight returns the number of requests in flight from this instance to backend servers, by
// service.
func (s *Site) inFlight() map[string]int {
	own := map[string]int{}
	for _, use := range s.routes.LocalLoad() {
		own[use.Backend] = use.InFlight
	}
	inFlight := map[string]int{}
	for _, server := range s.backends() {
		if own[server.ID] > 0 {
			inFlight[server.Service] += own[server.ID]
		}
	}
	return inFlight
}
