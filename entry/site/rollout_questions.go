package site

import (
	"context"
	"time"

	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/version/rollout"
)

const (
	// rolloutQuestionPeriod is the time between two rounds of questions on roll-outs, and
	// rolloutQuestions the most peers that are asked in one: with it the smallest instances
	// have a tenth of their processor busy.
	rolloutQuestionPeriod = 500 * time.Millisecond
	rolloutQuestions      = 190
	// rolloutQuestionTimeout bounds the answer of one peer.
	rolloutQuestionTimeout = time.Second
	// decisionLife is how long permits of a decision are told: longer than a write to a slow
	// store, during which nothing is decided.
	decisionLife = time.Second
	// reportLife is how long the last report of an instance counts as its present state: two
	// rounds of questions in the largest fleets, and a lost answer.
	reportLife = 3 * time.Second
	// shortestRollback is what a trial needs to end after the last bad answer that it takes:
	// 0.8 s until the reports are there, 0.5 s to decide, and 2 s until permits have expired.
	shortestRollback = 3300 * time.Millisecond
)

// rolloutQuery brings an instance the permits of the holder of the duties, and asks for its
// reports.
type rolloutQuery struct {
	Fencing uint64           `cbor:"1,keyasint"`
	Permits []rollout.Permit `cbor:"2,keyasint,omitempty"`
	// Services are those whose reports are wanted.
	Services []string `cbor:"3,keyasint,omitempty"`
}

// heardReport is the last word of an instance.
type heardReport struct {
	rollout.Report
	// at is when it was heard, by clock.Boot.
	at time.Time
}

// answerRollouts takes in the permits and returns the reports that are asked for.
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

// takePermits takes in permits unless a later holder was heard before.
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

// runRolloutQuestions asks the other entry instances while this one holds the duties.
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

// question returns the question of a round. Permits of a decision that is too old are not told.
func (r *rollouts) question(now time.Time, fencing uint64) rolloutQuery {
	r.mu.Lock()
	defer r.mu.Unlock()
	question := rolloutQuery{Fencing: fencing, Services: r.openServices()}
	if now.Sub(r.decidedAt) <= decisionLife {
		question.Permits = r.permits
	}
	return question
}

// due returns the peers that are asked in this round, those that still owe an answer left
// out, and marks them as asked.
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

// askRollouts asks one peer.
func (s *Site) askRollouts(ctx context.Context, address string, question rolloutQuery) {
	ctx, cancel := context.WithTimeout(ctx, rolloutQuestionTimeout)
	defer cancel()
	answered, err := s.askPeer(ctx, address, query{Rollouts: &question})
	s.rollouts.answered(clock.Boot(), address, answered.Rollouts)
	if err != nil {
		s.part("rollout").WithError(err).WithField("peer", address).Debug("rollout: peer did not report")
	}
}

// answered takes in the reports of a peer, none when it did not answer.
func (r *rollouts) answered(now time.Time, address string, reports []rollout.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.asked, address)
	for _, report := range reports {
		r.hear(now, report)
	}
}

// hear takes in one report; mu is held. One of an earlier process of the instance is left out,
// unless the later one is silent: the clock that numbers processes may have been set back.
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
