package site

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/process/directory"
	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/version/rollout"
)

// rolloutsPrefix is the key prefix of the roll-out records, one per service.
const rolloutsPrefix = "papayaport/rollouts/"

// rolloutView holds the roll-out orders and records of a view of the store.
type rolloutView struct {
	Orders  []rollout.Order  `cbor:"1,keyasint,omitempty"`
	Records []platform.Entry `cbor:"2,keyasint,omitempty"`
}

// rolloutsOf returns the roll-outs of a view.
func rolloutsOf(view View) rolloutView {
	held := rolloutView{Orders: view.Orders}
	for _, entry := range view.Own {
		if strings.HasPrefix(entry.Key, rolloutsPrefix) {
			held.Records = append(held.Records, entry)
		}
	}
	return held
}

// rollouts is the roll-out state of this instance. It selects the versions that the relay's
// attempts may use, and collects the reports that the holder of the duties decides on.
//
// mu is held while a state is applied to the gate and the recorder, so that an older state never
// replaces a newer one. These two call nothing while they hold their own locks. No other lock is
// taken under mu.
type rollouts struct {
	gate     *rollout.Gate
	recorder *rollout.Recorder
	decider  *rollout.Decider
	metrics  *metrics.Set

	mu      sync.Mutex
	orders  []rollout.Order
	records map[string]knownRecord
	applied map[string]appliedPhase
	// fencing is the highest fencing token of a holder that sent permits.
	fencing uint64

	// The fields below are filled while this instance holds the duties.

	// reports holds the last report of each instance, by service and instance.
	reports map[string]map[string]receivedReport
	// permits are those of the last decision, and decidedAt is its time by clock.Boot.
	permits   []rollout.Permit
	decidedAt time.Time
	// unread holds the services whose record must be read before the next write.
	unread map[string]bool
	// inFlight holds the addresses of peers with a query in flight.
	inFlight map[string]bool
	round    int
	// loggedOrders holds the revisions of orders that were logged, by service.
	loggedOrders map[string]uint64
}

// knownRecord is the newest known record of a service.
type knownRecord struct {
	rollout.Stored
	// at is when it was read from or written to the store, by clock.Boot.
	at time.Time
}

// appliedPhase is the phase that version picks follow, as last logged.
type appliedPhase struct {
	order uint64
	phase rollout.Phase
	// hadPermit is set when a permit was valid at the last check.
	hadPermit bool
}

func newRollouts(limits rollout.Limits, set *metrics.Set) *rollouts {
	gate := rollout.NewGate(limits)
	gate.SetState(clock.Boot(), rollout.State{}) // starts the detection of process pauses
	return &rollouts{
		gate: gate, recorder: rollout.NewRecorder(), decider: rollout.NewDecider(limits), metrics: set,
		records: map[string]knownRecord{}, applied: map[string]appliedPhase{}, reports: map[string]map[string]receivedReport{},
		unread: map[string]bool{}, inFlight: map[string]bool{}, loggedOrders: map[string]uint64{},
	}
}

// applyRolloutView applies the roll-outs of a view that was read from the store at the given time.
func (s *Site) applyRolloutView(at time.Time, held rolloutView, servers []directory.Server) {
	if s.rollouts == nil {
		s.ignoreOrders(held.Orders)
		return
	}
	log := s.logger("rollout")
	s.rollouts.setOrders(held.Orders)
	s.rollouts.setRecords(log, at, held.Records)
	s.applyRollouts(servers)
}

// ignoreOrders logs each order once when the settings have no exposure bounds.
func (s *Site) ignoreOrders(orders []rollout.Order) {
	for _, order := range orders {
		if s.ignored[order.Service] == order.Revision {
			continue
		}
		s.ignored[order.Service] = order.Revision
		s.logger("rollout").WithFields(logrus.Fields{"service": order.Service, "to": order.To, "order": order.Revision}).
			Warn("rollout: order ignored, the settings have no bounds")
	}
}

func (r *rollouts) setOrders(orders []rollout.Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = orders
}

// setRecords applies the records of a view. Records that this instance wrote or read after the
// view was read are kept.
func (r *rollouts) setRecords(log *logrus.Entry, at time.Time, entries []platform.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	present := map[string]bool{}
	for _, entry := range entries {
		service := strings.TrimPrefix(entry.Key, rolloutsPrefix)
		present[service] = true
		r.setRecord(log, at, service, entry)
	}
	for service, known := range r.records {
		if !present[service] && at.After(known.at) {
			delete(r.records, service)
		}
	}
}

// setRecord applies one record. The caller holds mu.
func (r *rollouts) setRecord(log *logrus.Entry, at time.Time, service string, entry platform.Entry) {
	known, found := r.records[service]
	if found && entry.Revision <= known.Revision {
		if entry.Revision == known.Revision && at.After(known.at) {
			known.at = at
			r.records[service] = known
		}
		return
	}
	record, err := decodeRollout(service, entry.Value)
	if err != nil {
		// The revision is stored, so that the error is logged once.
		log.WithError(err).WithFields(logrus.Fields{"service": service, "revision": entry.Revision}).Error("rollout: record unreadable")
	} else {
		known.Record = record
	}
	known.Revision, known.at = entry.Revision, at
	r.records[service] = known
}

func decodeRollout(service string, value []byte) (rollout.Record, error) {
	var record rollout.Record
	if err := json.Unmarshal(value, &record); err != nil {
		return record, errors.Wrap(err, "decode record")
	}
	if record.Service != service || record.Phase == "" {
		return record, errors.Errorf("record of service %q in phase %q", record.Service, record.Phase)
	}
	return record, nil
}

// stored returns the newest known records, sorted by service. The caller holds mu.
func (r *rollouts) stored() []rollout.Stored {
	var all []rollout.Stored
	for _, known := range r.records {
		if known.Service != "" {
			all = append(all, known.Stored)
		}
	}
	slices.SortFunc(all, func(a, b rollout.Stored) int { return strings.Compare(a.Service, b.Service) })
	return all
}

// applyRollouts applies the known state to the gate and the recorder, and logs new phases.
func (s *Site) applyRollouts(servers []directory.Server) {
	r := s.rollouts
	entries := s.entries()
	r.mu.Lock()
	defer r.mu.Unlock()
	state := rollout.State{Orders: r.orders, Entries: entries, StartedMS: s.started.UnixMilli()}
	for _, stored := range r.stored() {
		state.Records = append(state.Records, stored.Record)
	}
	state.OldServers = r.oldServers(servers)
	r.gate.SetState(clock.Boot(), state)
	for _, service := range r.services() {
		order, phase := r.gate.Applied(service)
		followed := order
		if !phase.InProgress() {
			followed = 0
		}
		r.recorder.Follow(service, followed)
		s.logAppliedPhase(service, order, phase)
	}
}

// services returns the services with an order, a record or an applied phase. The caller holds mu.
func (r *rollouts) services() []string {
	var names []string
	for _, order := range r.orders {
		names = append(names, order.Service)
	}
	for service := range r.records {
		names = append(names, service)
	}
	for service := range r.applied {
		names = append(names, service)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// oldServers counts the servers of other versions than the ordered one, by service. Servers that
// are leaving are included: a new version may skip the trial only if no old server exists. The
// caller holds mu.
func (r *rollouts) oldServers(servers []directory.Server) map[string]int {
	count := map[string]int{}
	for _, server := range servers {
		to, record := r.target(server.Service), r.records[server.Service]
		if to == "" {
			continue
		}
		count[server.Service] += 0
		if server.Version != to && !slices.Contains(record.Barred, server.Version) {
			count[server.Service]++
		}
	}
	return count
}

// target returns the version that the newest order of a service names, empty without an order. The
// caller holds mu.
func (r *rollouts) target(service string) string {
	for _, order := range r.orders {
		if order.Service == service && order.Readable() {
			return order.To
		}
	}
	return r.records[service].To
}

// logAppliedPhase logs a newly applied phase and sets its metrics. The caller holds rollouts.mu.
func (s *Site) logAppliedPhase(service string, order uint64, phase rollout.Phase) {
	r := s.rollouts
	last := r.applied[service]
	if last.order == order && last.phase == phase {
		return
	}
	r.applied[service] = appliedPhase{order: order, phase: phase}
	record, name := r.records[service].Record, string(phase)
	if name == "" {
		name = "none" // an order without a record, or a withdrawn order
	}
	s.logger("rollout").WithFields(logrus.Fields{
		"service": service, "order": order, "phase": name, "to": record.To, "barred": record.Barred, "reason": record.Reason,
	}).Info("rollout: phase applied")
	for _, one := range []rollout.Phase{rollout.Trial, rollout.Shift, rollout.Completed, rollout.Reverted} {
		value := 0.0
		if one == phase {
			value = 1
		}
		r.metrics.GetOrCreateGauge(fmt.Sprintf("papayaport_rollout_phase{service=%q,phase=%q}", service, one), nil).Set(value)
	}
	r.metrics.GetOrCreateGauge(fmt.Sprintf("papayaport_rollout_permit_age_seconds{service=%q}", service), func() float64 {
		age, _ := r.gate.PermitAge(clock.Boot(), service)
		return age.Seconds()
	})
}

// logExpiredPermits logs permits that expire during a trial.
func (s *Site) logExpiredPermits() {
	r, now := s.rollouts, clock.Boot()
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, applied := range r.applied {
		age, fresh := r.gate.PermitAge(now, service)
		if applied.hadPermit && !fresh && applied.phase == rollout.Trial {
			s.logger("rollout").WithFields(logrus.Fields{"service": service, "order": applied.order, "age_ms": age.Milliseconds()}).
				Warn("rollout: permit expired, the old version serves")
		}
		applied.hadPermit = fresh
		r.applied[service] = applied
	}
}

// checkRollback warns when rollback_ms is shorter than a trial needs to end.
func (s *Site) checkRollback() {
	if limits := s.settings.Rollout.limits(); limits.Rollback < minRollback {
		s.logger("rollout").WithFields(logrus.Fields{"rollback_ms": limits.Rollback.Milliseconds(), "least_ms": minRollback.Milliseconds()}).
			Warn("rollout: rollback_ms is shorter than the time that a trial needs to end")
	}
}
