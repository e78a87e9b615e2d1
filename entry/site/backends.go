package site

import (
	"time"

	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/process/directory"
	"papayaport.dev/serving/process/membership"
	"papayaport.dev/serving/request/route"
	"papayaport.dev/serving/version/deployment"
)

const (
	// defaultLeavingTime is the remaining time of a leaving server that names none.
	defaultLeavingTime = 5 * time.Second
	// uniformPrice is the price of every server in the routing table, in dollars per hour. It is
	// equal for all, since servers are billed whether they are used or not.
	uniformPrice = 1
	// prefillPerSecond and decodeMS describe the engines' speed, which their responses do not
	// report: the prefill rate in prompt tokens per second, and the milliseconds between two
	// tokens with a half-full batch.
	prefillPerSecond = 56_000
	decodeMS         = 12
)

func (s *Site) setServers(now time.Time, servers []directory.Server) {
	s.logServers(s.backends(), servers)
	backends := make([]route.Backend, len(servers))
	for i, server := range servers {
		s.members.RegisterNames(server.ID)
		backends[i] = route.Backend{
			ID: server.ID, Incarnation: server.Incarnation, Service: server.Service, Address: server.Address,
			Region: s.settings.Region, FailureDomain: server.FailureDomain, Reclaimable: server.Reclaimable,
			PricePerHour: uniformPrice, Slots: server.Slots, Version: server.Version,
		}
		if engine := s.engineOf(server.Service); engine != nil {
			backends[i].PrefillPerSec, backends[i].DecodeMS, backends[i].CacheTokens = prefillPerSecond, decodeMS, engine.CacheTokens
		}
	}
	s.routes.SetBackends(now, backends)
	for _, server := range servers {
		if !server.Leaving {
			continue
		}
		left := server.LeavesIn
		if left <= 0 {
			left = defaultLeavingTime
		}
		s.exchange.Notice(now, membership.Leaving{
			Instance: server.ID, Incarnation: server.Incarnation, Deadline: now.Add(left),
		})
	}
	s.exchange.Deliver()
	s.mu.Lock()
	s.servers = servers
	s.mu.Unlock()
	s.fleetKnown.Store(s.fleetKnown.Load() || len(servers) > 0)
}

func (s *Site) engineOf(name string) *deployment.Engine {
	version := s.keeper.Current()
	if version == nil {
		return nil
	}
	if svc, found := version.Service(name); found {
		return svc.Engine
	}
	return nil
}

// logServers logs each server that is new, has changed its leaving state or is gone.
func (s *Site) logServers(before, now []directory.Server) {
	known := make(map[string]directory.Server, len(before))
	for _, server := range before {
		known[server.ID] = server
	}
	log := s.logger("directory")
	for _, server := range now {
		old, found := known[server.ID]
		delete(known, server.ID)
		if found && old.Incarnation == server.Incarnation && old.Leaving == server.Leaving {
			continue
		}
		log.WithFields(logrus.Fields{
			"backend": server.ID, "incarnation": server.Incarnation, "service": server.Service,
			"failure_domain": server.FailureDomain, "leaving": server.Leaving, "reclaimable": server.Reclaimable,
			"address": server.Address, "version": server.Version,
		}).Info("directory: backend server listed")
	}
	for id := range known {
		log.WithField("backend", id).Info("directory: backend server gone")
	}
}
