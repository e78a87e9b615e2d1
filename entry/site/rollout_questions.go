package site

import (
	"context"
	"time"

	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/version/rollout"
)

const (
	// rolloutQuestionPeriod is the interval between rounds of roll-out queries, and
	// rolloutQuestions the largest number of peers queried per round: it takes a tenth of the
	// CPU of the smallest instances.
	rolloutQuestionPeriod = 500 * time.Millisecond
	rolloutQuestions      = 190
	// rolloutQuestionTimeout bounds the query to one peer.
	rolloutQuestionTimeout = time.Second
	// decisionLife is how long the permits of a decision are sent to peers: longer than a write
	// to a slow store, during which nothing is decided.
	decisionLife = time.Second
	// reportLife is how long the last report of an instance is valid: two rounds of queries in
	// the largest fleets, and a lost reply.
	reportLife = 3 * time.Second
	// shortestRollback is the time that a trial needs to end after the decisive failed request:
	// 0.8 s until the reports arrive, 0.5 s to decide, and 2 s until the permits have expired.
	shortestRollback = 3300 * time.Millisecond
)

// rolloutQuery carries the permits of the holder of the duties to an instance and requests its
// reports.
type rolloutQuery struct {
	Fencing uint64           `cbor:"1,keyasint"`
	Permits []rollout.Permit `cbor:"2,keyasint,omitempty"`
	// Services lists the services whose reports are requested.
	Services []string `cbor:"3,keyasint,omitempty"`
}

// heardReport is the last report of an instance.
type heardReport struct {
	rollout.Report
	// at is when it was received, by clock.Boot.
	at time.Time
}

// answerRollouts applies the permits of a query and returns the requested reports, nil when this
// instance takes no part in roll-outs.
func (s *Site) answerRollouts(question rolloutQuery) []rollout.Report {
	r := s.rollouts
	if r == nil {
		return nil
	}
	r.takePermits(clock.Boot(), question.Fencing, question.Permits)
	reports := make([]rollout.Report, 0, len(question.Services))
	for _, service := range question.Services {
		reports = append(reports, s.ownReport(service))
	}
	return reports
}

// takePermits applies permits unless their fencing token is older than the newest seen.
func (r *rollouts) takePermits(now time.Time, fencing uint64, permits []rollout.Permit) {
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
		Service: service, Order: order, Applied: phase, Instance: s.set.Instance, Incarnation: s.incarnation(),
		Evidence: r.recorder.Evidence(time.Now(), service),
	}
	for _, use := range s.routes.Use() {
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

// runRolloutQuestions queries the other entry instances while this one holds the duties.
func (s *Site) runRolloutQuestions(ctx context.Context) error {
	return clock.Every(ctx, rolloutQuestionPeriod, func(ctx context.Context, _ time.Time) {
		fencing, held := s.leases.Held(dutyLease)
		if !held || s.relay.Draining() {
			return
		}
		question := s.rollouts.question(clock.Boot(), fencing)
		if len(question.Services) == 0 {
			return
		}
		for _, address := range s.rollouts.due(s.peerAddresses()) {
			go s.askRollouts(ctx, address, question)
		}
	})
}

// question returns the query of a round. Permits older than decisionLife are left out.
func (r *rollouts) question(now time.Time, fencing uint64) rolloutQuery {
	r.mu.Lock()
	defer r.mu.Unlock()
	question := rolloutQuery{Fencing: fencing, Services: r.openServices()}
	if now.Sub(r.decidedAt) <= decisionLife {
		question.Permits = r.permits
	}
	return question
}

// due returns the peers to query in this round, without those with a query in flight, and marks
// them as in flight.
func (r *rollouts) due(addresses []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	rounds := (len(addresses) + rolloutQuestions - 1) / rolloutQuestions
	r.turn++
	var due []string
	for i, address := range addresses {
		if i%rounds != r.turn%rounds || r.asked[address] {
			continue
		}
		r.asked[address] = true
		due = append(due, address)
	}
	return due
}

// askRollouts queries one peer and stores its reports.
func (s *Site) askRollouts(ctx context.Context, address string, question rolloutQuery) {
	ctx, cancel := context.WithTimeout(ctx, rolloutQuestionTimeout)
	defer cancel()
	answered, err := s.askPeer(ctx, address, query{Rollouts: &question})
	s.rollouts.answered(clock.Boot(), address, answered.Rollouts)
	if err != nil {
		s.part("rollout").WithError(err).WithField("peer", address).Debug("rollout: peer did not report")
	}
}

// answered stores the reports of a peer, none when the query failed.
func (r *rollouts) answered(now time.Time, address string, reports []rollout.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.asked, address)
	for _, report := range reports {
		r.hear(now, report)
	}
}

// hear stores one report. A report of an earlier incarnation of the instance is ignored while that
// of the later one is valid; afterwards it is accepted, since the clock that numbers incarnations
// may have been set back. The caller holds mu.
func (r *rollouts) hear(now time.Time, report rollout.Report) {
	heard := r.reports[report.Service]
	if heard == nil {
		heard = map[string]heardReport{}
		r.reports[report.Service] = heard
	}
	last := heard[report.Instance]
	if report.Incarnation >= last.Incarnation || now.Sub(last.at) > reportLife {
		heard[report.Instance] = heardReport{report, now}
	}
}
