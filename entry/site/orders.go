package site

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/process/sizing"
	"papayaport.dev/serving/request/admission"
	"papayaport.dev/serving/version/deployment"
)

// uncachedShare is the part of the tokens asked for that engines read anew: prompts share
// most of their parts, and answers are no prompts.
const uncachedShare = 0.3

// orderServers orders the number of backend servers that each service should have.
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
			s.order(ctx, fencing, order, in)
		}
	}
}

func (s *Site) order(ctx context.Context, fencing uint64, order sizing.Order, in sizing.Input) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := s.platform.Duties.Order(ctx, s.duty(fencing), order)
	s.planner.Ordered(time.Now(), order, err == nil)
	log := s.part("duties").WithFields(logrus.Fields{
		"service": order.Service, "failure_domain": order.FailureDomain, "reclaimable": order.Reclaimable,
		"count": order.Count, "in_flight": in.InFlight, "prefill_per_second": int(in.PrefillPerSecond),
		"live": in.Live[order.FailureDomain], "fencing": fencing,
	})
	if err != nil {
		log.WithError(err).Warn("duties: order refused")
		return
	}
	log.Info("duties: ordered")
}

// sizingInput gathers the load of a service over all entry instances.
func (s *Site) sizingInput(svc *deployment.Service) sizing.Input {
	now := time.Now()
	in := sizing.Input{Service: svc, Live: map[string]sizing.Count{}}
	for _, domain := range s.set.FailureDomains {
		in.Live[domain] = sizing.Count{}
	}
	for _, server := range s.backends() {
		if server.Service != svc.Name || server.Leaving {
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
	inFlight, tokens := s.load(now, svc.Name)
	if s.entries() < s.set.Quota.KeptFrom {
		// In a small fleet peers tell their demand account by account, so that what lies
		// beyond a limit is left out over all of them.
		tokens = s.owed(s.askedFor(now))
	}
	in.InFlight, in.PrefillPerSecond = inFlight, uncachedShare*tokens
	return in
}

// inFlight returns the requests at backend servers through this instance, by service.
func (s *Site) inFlight() map[string]int {
	own := map[string]int{}
	for _, use := range s.routes.Use() {
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

// tokensPerSecond returns what client accounts ask for through this instance, and what
// they ask for altogether where this instance keeps their limit.
func (s *Site) tokensPerSecond(now time.Time) float64 {
	asked := map[string]float64{}
	for _, table := range []*admission.Table{s.admission, s.kept} {
		for _, use := range table.Use(now) {
			asked[use.Account] += use.TokensPerSecond
		}
	}
	return s.owed(asked)
}

// askedFor returns what client accounts ask for through all entry instances heard of.
func (s *Site) askedFor(now time.Time) map[string]float64 {
	asked := map[string]float64{}
	for _, use := range s.admission.Use(now) {
		asked[use.Account] += use.TokensPerSecond
	}
	for _, use := range s.members.Totals(now).ByAccount {
		asked[use.Account] += use.TokensPerSecond
	}
	return asked
}

// owed adds up demand, what lies beyond an account's limit left out: it is refused, and
// servers for it would stand idle.
func (s *Site) owed(asked map[string]float64) (total float64) {
	version := s.keeper.Current()
	if version == nil {
		return 0
	}
	for i := range version.Accounts {
		account := &version.Accounts[i]
		demand := asked[accountsService+"/"+account.Name]
		if account.TokensPerSecond > 0 {
			demand = min(demand, account.TokensPerSecond)
		}
		total += demand
	}
	return total
}
