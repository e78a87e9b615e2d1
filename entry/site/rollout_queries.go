package site

import (
	"context"
	"time"

	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/version/rollout"
)

const (
	// rolloutQueryPeriod is the interval between rounds of roll-out queries, and
	// maxRolloutQueries the largest number of peers queried per round: it takes a tenth of the
	// CPU of the smallest instances.
	rolloutQueryPeriod = 500 * time.Millisecond
	maxRolloutQueries  = 190
	// rolloutQueryTimeout bounds the query to one peer.
	rolloutQueryTimeout = time.Second
	// permitTTL is how long the permits of a decision are sent to peers: longer than a write
	// to a slow store, during which nothing is decided.
	permitTTL = time.Second
	// reportTTL is how long the last report of an instance is valid: two rounds of queries in
	// the largest fleets, and a lost reply.
	reportTTL = 3 * time.Second
	// minRollback is the time that a trial needs to end after the decisive failed request:
	// 0.8 s until the reports arrive, 0.5 s to decide, and 2 s until the permits have expired.
	minRollback = 3300 * time.Millisecond
)

// rolloutQuery carries the permits of the holder of the duties to an instance and requests its
// reports.
type rolloutQuery struct {
	Fencing uint64           `cbor:"1,keyasint"`
	Permits []rollout.Permit `cbor:"2,keyasint,omitempty"`
	// Services lists the services whose reports are requested.
	Services []string `cbor:"3,keyasint,omitempty"`
}

// receivedReport is the last report of an instance.
type receivedReport struct {
	rollout.Report
	// at is when it was received, by clock.Boot.
	at time.Time
}

// handleRolloutQuery applies the permits of a query and returns the requested reports, nil when
// this instance takes no part in roll-outs.
func (s *Site) handleRolloutQuery(request rolloutQuery) []rollout.Report {
	r := s.rollouts
	if r == nil {
		return nil
	}
	r.applyPermits(clock.Boot(), request.Fencing, request.Permits)
	reports := make([]rollout.Report, 0, len(request.Services))
	for _, service := range request.Services {
		reports = append(reports, s.ownReport(service))
	}
	return reports
}

// applyPermits applies permits unless their fencing token is older than the newest seen.
func (r *rollouts) applyPermits(now time.Time, fencing uint64, permits []rollout.Permit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if fencing < r.fencing {
		return
	}
	r.fencing = fencing
	r.gate.Permit(now, permits)
}

// ownReport returns this instance's report on a service. The phase is read before the
// requests are counted, so that none of an earlier phase is missed.
func (s *Site) ownReport(service string) rollout.Report {
	r := s.rollouts
	order, phase := r.gate.Applied(service)
	report := rollout.Report{
		Service: service, Order: order, Applied: phase, Instance: s.settings.Instance, Incarnation: s.incarnation(),
		Evidence: r.recorder.Evidence(time.Now(), service),
	}
	for _, use := range s.routes.LocalLoad() {
		server, found := s.routes.Backend(use.Backend)
		if !found || server.Service != service {
			continue
		}
		report.InFlight += use.InFlight
		if !r.gate.IsCandidate(service, server.Version) {
			report.InFlightOld += use.InFlight
		}
	}
	return report
}

// runRolloutQueries queries the other entry instances while this one holds the duties.
func (s *Site) runRolloutQueries(ctx context.Context) error {
	return clock.Every(ctx, rolloutQueryPeriod, func(ctx context.Context, _ time.Time) {
		fencing, held := s.leases.Held(dutyLease)
		if !held || s.relay.Draining() {
			return
		}
		request := s.rollouts.nextQuery(clock.Boot(), fencing)
		if len(request.Services) == 0 {
			return
		}
		for _, address := range s.rollouts.dueAddresses(s.peerAddresses()) {
			go s.queryReports(ctx, address, request)
		}
	})
}

// nextQuery returns the query of a round. Permits older than permitTTL are left out.
func (r *rollouts) nextQuery(now time.Time, fencing uint64) rolloutQuery {
	r.mu.Lock()
	defer r.mu.Unlock()
	request := rolloutQuery{Fencing: fencing, Services: r.openServices()}
	if now.Sub(r.decidedAt) <= permitTTL {
		request.Permits = r.permits
	}
	return request
}

// dueAddresses returns the peers to query in this round, without those with a query in flight,
// and marks them as in flight.
func (r *rollouts) dueAddresses(addresses []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	rounds := (len(addresses) + maxRolloutQueries - 1) / maxRolloutQueries
	r.round++
	var due []string
	for i, address := range addresses {
		if i%rounds != r.round%rounds || r.inFlight[address] {
			continue
		}
		r.inFlight[address] = true
		due = append(due, address)
	}
	return due
}

// queryReports queries one peer and stores its reports.
func (s *Site) queryReports(ctx context.Context, address string, request rolloutQuery) {
	ctx, cancel := context.WithTimeout(ctx, rolloutQueryTimeout)
	defer cancel()
	response, err := s.queryPeer(ctx, address, query{Rollouts: &request})
	s.rollouts.storeReply(clock.Boot(), address, response.Rollouts)
	if err != nil {
		s.logger("rollout").WithError(err).WithField("peer", address).Debug("rollout: peer did not report")
	}
}

// storeReply stores the reports of a peer, none when the query failed.
func (r *rollouts) storeReply(now time.Time, address string, reports []rollout.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inFlight, address)
	for _, report := range reports {
		r.storeReport(now, report)
	}
}

// storeReport stores one report. A report of an earlier incarnation of the instance is ignored
// while that of the later one is valid; afterwards it is accepted, since the clock that numbers
// incarnations may have been set back. The caller holds mu.
func (r *rollouts) storeReport(now time.Time, report rollout.Report) {
	byInstance := r.reports[report.Service]
	if byInstance == nil {
		byInstance = map[string]receivedReport{}
		r.reports[report.Service] = byInstance
	}
	last := byInstance[report.Instance]
	if report.Incarnation >= last.Incarnation || now.Sub(last.at) > reportTTL {
		byInstance[report.Instance] = receivedReport{report, now}
	}
}
