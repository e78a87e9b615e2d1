package site

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/process/directory"
	"papayaport.dev/serving/process/platform/store"
	"papayaport.dev/serving/version/rollout"
)

// rolloutPeriod is the interval between decisions of the holder of the duties.
const rolloutPeriod = 250 * time.Millisecond

// runRollouts decides on roll-outs while this instance holds the duties, and logs the expiry of
// permits.
func (s *Site) runRollouts(ctx context.Context) error {
	var fencing uint64
	return clock.Every(ctx, rolloutPeriod, func(ctx context.Context, _ time.Time) {
		s.logExpiredPermits()
		now, held := s.leases.Held(dutyLease)
		if !held || s.relay.Draining() {
			return
		}
		if now != fencing {
			fencing = now
			s.rollouts.takeOver()
		}
		s.decideRollouts(ctx, fencing)
	})
}

// takeOver clears the state of an earlier term as the holder.
func (r *rollouts) takeOver() {
	r.decider.Reset()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports, r.unread, r.loggedOrders = map[string]map[string]receivedReport{}, map[string]bool{}, map[string]uint64{}
	r.permits, r.decidedAt = nil, time.Time{}
}

// decideRollouts makes one round of decisions and writes the changed records.
func (s *Site) decideRollouts(ctx context.Context, fencing uint64) {
	r := s.rollouts
	for _, service := range r.takeUnread() {
		s.readRollout(ctx, service)
	}
	input, found := s.rolloutInput(fencing)
	if !found {
		return
	}
	s.logOrders(input.Orders)
	decisions := r.decider.Decide(time.Now(), input)
	r.setPermits(clock.Boot(), fencing, decisions)
	for _, decision := range decisions {
		outcome := "none"
		if decision.Write {
			written := s.writeRollout(ctx, fencing, &decision)
			r.decider.HandleWriteResult(time.Now(), decision, written)
			outcome = outcomeNames[written]
		}
		s.logDecision(fencing, decision, outcome)
	}
}

// rolloutInput returns the input of a decision, and reports whether there is any order or record.
func (s *Site) rolloutInput(fencing uint64) (rollout.Input, bool) {
	r := s.rollouts
	servers, live := s.backends(), s.members.Live(time.Now())
	r.mu.Lock()
	open := r.openServices()
	input := rollout.Input{Fencing: fencing, Orders: r.orders, Records: r.stored(), Servers: readyServers(servers)}
	r.mu.Unlock()
	if len(input.Orders) == 0 && len(input.Records) == 0 {
		return input, false
	}
	own := make([]rollout.Report, len(open))
	for i, service := range open {
		own[i] = s.ownReport(service)
	}
	now := clock.Boot()
	r.mu.Lock()
	defer r.mu.Unlock()
	reported := map[string]bool{s.settings.Instance: true}
	for _, report := range own {
		r.storeReport(now, report)
	}
	for _, service := range open {
		for instance, report := range r.reports[service] {
			if now.Sub(report.at) > reportTTL {
				continue
			}
			reported[instance] = true
			input.Reports = append(input.Reports, report.Report)
		}
	}
	for _, member := range live {
		if !reported[member.Instance] {
			input.MissingReports++
		}
	}
	return input, true
}

// readyServers counts the servers that are not leaving, by service and version.
func readyServers(servers []directory.Server) map[string]map[string]rollout.Servers {
	ready := map[string]map[string]rollout.Servers{}
	for _, server := range servers {
		if ready[server.Service] == nil {
			ready[server.Service] = map[string]rollout.Servers{}
		}
		count := ready[server.Service][server.Version]
		if !server.Leaving {
			count.Count++
			count.Slots += server.Slots
		}
		ready[server.Service][server.Version] = count
	}
	return ready
}

// setPermits stores the permits of a decision for the next queries, and applies them here.
func (r *rollouts) setPermits(now time.Time, fencing uint64, decisions []rollout.Decision) {
	var permits []rollout.Permit
	for _, decision := range decisions {
		if decision.Permit {
			permits = append(permits, rollout.Permit{
				Service: decision.Record.Service, Order: decision.Record.Order, Phase: decision.Record.Phase,
			})
		}
	}
	r.mu.Lock()
	r.permits, r.decidedAt = permits, now
	r.mu.Unlock()
	r.applyPermits(now, fencing, permits)
}

// outcomeNames maps the outcomes of a write to their log values.
var outcomeNames = map[rollout.WriteResult]string{
	rollout.Accepted: "written", rollout.Conflict: "conflict", rollout.Unknown: "unknown", rollout.NotWritten: "not_written",
}

// writeRollout writes a record with its status. If the outcome is unknown or a conflict, the
// record is read again before the next write for the service.
func (s *Site) writeRollout(ctx context.Context, fencing uint64, decision *rollout.Decision) rollout.WriteResult {
	service := decision.Record.Service
	log := s.logger("rollout").WithFields(logrus.Fields{"service": service, "order": decision.Record.Order, "fencing": fencing})
	if s.rollouts.isUnread(service) || !s.stillHolds(fencing) {
		return rollout.NotWritten
	}
	value, err := json.Marshal(decision.Record)
	if err != nil {
		log.WithError(err).Error("rollout: record not encoded")
		return rollout.NotWritten
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := s.platform.Rollouts.WriteRollout(ctx, RolloutWrite{
		Service: service, Key: rolloutsPrefix + service, Record: value, Revision: decision.Revision,
		OrderRevision: decision.OrderRevision, Phase: decision.Record.Phase, To: decision.Record.To,
	})
	var conflict *store.Conflict
	switch {
	case err == nil:
		decision.WrittenRevision = entry.Revision
		s.rollouts.setWritten(clock.Boot(), decision.Record, entry.Revision)
		s.applyRollouts(s.backends())
		return rollout.Accepted
	case errors.As(err, &conflict):
		s.rollouts.setUnread(service)
		log.WithError(err).Warn("rollout: conflict, the record is read again")
		return rollout.Conflict
	case errors.Is(err, store.ErrUnavailable):
		log.WithError(err).Warn("rollout: record not written, tried again")
		return rollout.NotWritten
	}
	s.rollouts.setUnread(service)
	log.WithError(err).Warn("rollout: outcome of the write is unknown, the record will be read")
	return rollout.Unknown
}

// setWritten stores a record that was written.
func (r *rollouts) setWritten(now time.Time, record rollout.Record, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records[record.Service] = knownRecord{Stored: rollout.Stored{Record: record, Revision: revision}, at: now}
}

// readRollout reads a service's record again after a conflict or a write with unknown outcome.
func (s *Site) readRollout(ctx context.Context, service string) {
	log := s.logger("rollout").WithField("service", service)
	at := clock.Boot()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := s.platform.Store.Get(ctx, rolloutsPrefix+service)
	switch {
	case errors.Is(err, store.ErrNotFound):
		log.Info("rollout: no record is there")
		s.rollouts.forget(at, service)
		return
	case err != nil:
		s.rollouts.setUnread(service)
		log.WithError(err).Warn("rollout: record not read, will be retried")
		return
	}
	log.WithField("revision", entry.Revision).Info("rollout: record read again")
	r := s.rollouts
	r.mu.Lock()
	r.setRecord(log, at, service, entry)
	r.mu.Unlock()
	s.applyRollouts(s.backends())
}

// forget removes a record that the store did not hold at the given time.
func (r *rollouts) forget(at time.Time, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.records[service].at) {
		delete(r.records, service)
	}
}

// takeUnread returns the services whose record must be read, and clears the list. If a read fails,
// setUnread adds the service again.
func (r *rollouts) takeUnread() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var services []string
	for service := range r.unread {
		services = append(services, service)
	}
	clear(r.unread)
	return services
}

func (r *rollouts) setUnread(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unread[service] = true
}

func (r *rollouts) isUnread(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unread[service]
}

// logOrders logs each order when this holder first sees it.
func (s *Site) logOrders(orders []rollout.Order) {
	r := s.rollouts
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, order := range orders {
		if r.loggedOrders[order.Service] == order.Revision || !order.Readable() {
			continue
		}
		r.loggedOrders[order.Service] = order.Revision
		s.logger("rollout").WithFields(logrus.Fields{
			"service": order.Service, "to": order.To, "order": order.Revision, "duration_ms": order.Duration.Milliseconds(),
		}).Info("rollout: order seen")
	}
}

// stepMessages maps the steps of a roll-out to their log messages.
var stepMessages = map[rollout.Step]string{
	rollout.StepTrial: "rollout: trial", rollout.StepShift: "rollout: shift", rollout.StepCompleted: "rollout: completed",
	rollout.StepReverted: "rollout: reverted", rollout.StepRepeated: "rollout: order repeated", rollout.StepWithdrawn: "rollout: withdrawn",
	rollout.StepEvidence: "rollout: evidence saved", rollout.StepTakeover: "rollout: taken over", rollout.StepUnreadable: "rollout: order unreadable",
}

// logDecision logs a step when it is decided, and again when a retry has written it.
func (s *Site) logDecision(fencing uint64, decision rollout.Decision, outcome string) {
	line, known := stepMessages[decision.Step]
	if !known || (decision.Repeated && outcome != outcomeNames[rollout.Accepted]) {
		return
	}
	record, finding := decision.Record, decision.Finding
	if record.Reason == "" {
		record.Reason = finding.Reason
	}
	fields := logrus.Fields{
		"service": record.Service, "to": record.To, "order": record.Order, "phase": record.Phase, "reason": record.Reason,
		"fencing": fencing, "write": outcome,
	}
	if finding.Verdict != "" {
		fields["verdict"], fields["test"], fields["route"] = finding.Verdict, finding.Test, finding.Route
		fields["answers"], fields["bad"], fields["old_answers"], fields["old_bad"] = finding.Answers, finding.Bad, finding.OldAnswers, finding.OldBad
		fields["tolerated"], fields["probability"], fields["backstop"] = finding.Tolerated, finding.Probability, finding.Backstop
	}
	s.logger("rollout").WithFields(fields).Info(line)
}
