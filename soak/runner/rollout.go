package runner

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"papayaport.dev/serving/process/clock"
	"papayaport.dev/soak/caller"
	"papayaport.dev/soak/invariant"
	"papayaport.dev/soak/plan"
	"papayaport.dev/standin/outside"
)

// services are the plain one and that of the engines.
var services = []string{"app", "llm"}

const (
	// recordPrefix begins the keys of the system's own records, and shiftPhase is in one whose
	// version gets all requests.
	recordPrefix = "papayaport/rollouts/"
	shiftPhase   = `"phase":"shift"`
	// orderedVersion is what orders name.
	candidateVersion = "v2"
	// badShare is the part of its requests that a bad version fails: enough that few answers
	// show it.
	failingShare = 0.7
	// orderedWork is the time of a new server's requests and events, as the old ones have it
	// on average.
	candidateWork = 16 * time.Millisecond
)

// rolloutSettings are the settings of entry instances about roll-outs.
var rolloutSettings = fmt.Sprintf(`{"rollout": {"exposure_share": %v, "exposure_slack": %v, "rollback_ms": %d}}`,
	invariant.RolloutBounds.Share, invariant.RolloutBounds.Slack, invariant.RolloutBounds.Rollback.Milliseconds())

// order is an operator's order under way.
type rolloutOrder struct {
	*outside.Rollout
	bad bool
}

// injectRollout orders another version of a service, and returns at the order's deadline.
func (w *Run) injectRollout(ctx context.Context, f plan.Fault) error {
	service, count, events := services[f.Target], w.plan.Plain, 0
	if f.Target > 0 {
		count, events = w.plan.Engines, streamSize
	}
	var defect outside.Defect
	switch f.Number {
	case plan.BadVersion:
		defect.Failing = failingShare
	case plan.BadOnOneRoute:
		kinds := [][]caller.Kind{{caller.Safe, caller.Unsafe}, {caller.Stream, caller.Resume}}[f.Target]
		defect.Failing, defect.Prefix = failingShare, fmt.Sprintf("/%s/", kinds[w.plan.Seed/3%2])
	}
	var servers []outside.Server
	for i := range count {
		servers = append(servers, outside.Server{
			ID: fmt.Sprintf("%s-%s-%d", service, candidateVersion, i), Zone: zones[i%len(zones)],
			Slots: slots, Queue: queue, Work: candidateWork, Events: events, Defect: defect,
		})
	}
	if err := w.startRollout(outside.Order{Service: service, To: candidateVersion, Duration: f.For}, servers); err != nil {
		return err
	}
	return clock.Sleep(ctx, f.For)
}

// order writes an order with the servers that serve now as the old ones.
func (w *Run) startRollout(o outside.Order, servers []outside.Server) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	var old []*outside.Backend
	for _, b := range w.backends {
		if b.Service == o.Service {
			old = append(old, b.Backend)
		}
	}
	r, err := outside.Operator{Store: w.store}.Roll(w.ctx, o, servers, old, nil)
	if err != nil {
		return err
	}
	w.rollouts = append(w.rollouts, &rolloutOrder{r, servers[0].Defect.Bad()})
	return nil
}

// versionOf returns the version of a server that starts now in place of one that ended.
func (w *Run) currentVersion(service string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range w.rollouts {
		if final, found := o.Final(); found && o.Service == service && final.State == outside.Completed {
			return o.To
		}
	}
	return outside.FirstVersion
}

// joinRollout tells the operator of a server that started. The caller has w.mu locked.
func (w *Run) joinRollout(b *backend) {
	for _, o := range w.rollouts {
		if o.Service == b.Service && b.Version != o.To {
			o.Join(b.Backend)
		}
	}
}

// freshBackends returns the servers that orders started. The caller has w.mu locked.
func (w *Run) freshBackends() (all []*backend) {
	for _, o := range w.rollouts {
		for _, b := range o.Fresh() {
			all = append(all, &backend{Backend: b, label: b.ID + "#1", events: b.Events})
		}
	}
	return all
}

// rolloutCuts tells whether the end of old servers may have cut answers during a span. The
// caller has w.mu locked.
func (w *Run) rolloutCuts(span invariant.Span) bool {
	return slices.ContainsFunc(w.rollouts, func(o *rolloutOrder) bool {
		final, found := o.Final()
		return found && final.At.Before(span.To) && final.At.Add(lateLossTime).After(span.From)
	})
}

// mendVersions ends what versions do wrong: one that was taken for good serves from then on.
func (w *Run) clearDefects() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range w.rollouts {
		for _, b := range o.Fresh() {
			b.SetDefect(outside.Defect{})
		}
	}
}

// untilDecided waits until each order has come to its last state.
func (w *Run) waitDecided(ctx context.Context, end time.Time) error {
	w.mu.Lock()
	orders := slices.Clone(w.rollouts)
	w.mu.Unlock()
	for _, o := range orders {
		for _, found := o.Final(); !found; _, found = o.Final() {
			if time.Now().After(end) {
				return violated("recovery: the order of %s is not decided", o.Service)
			}
			if err := clock.Sleep(ctx, maxThinkTime); err != nil {
				return err
			}
		}
	}
	return nil
}

// lingering are faults of backend servers that keep requests there for long, or end them.
var serverFaults = []plan.Kind{
	plan.BackendLink, plan.KillBackend, plan.DrainBackend, plan.MisbehavingBackend, plan.LeaveBackend, plan.EndlessBackend, plan.RetryAfterBackend,
}

// seen returns what is known of an order by now. The caller has w.mu locked.
func (w *Run) rolloutRecord(o *rolloutOrder) invariant.Rollout {
	r := invariant.Rollout{
		Span: invariant.Span{From: o.Made, To: o.Deadline()}, Now: time.Now(), Bad: o.bad,
		States: o.States(), Counts: o.Counts(invariant.RolloutBounds),
	}
	for _, b := range o.Fresh() {
		for _, arrival := range b.Arrivals() {
			r.Candidate = append(r.Candidate, invariant.Run{ID: arrival.ID, At: arrival.At, Server: b.ID})
		}
	}
	for _, write := range w.store.Writes(recordPrefix + o.Service) {
		if r.Shift.IsZero() && strings.Contains(string(write.Value), shiftPhase) {
			r.Shift = write.At
		}
	}
	r.ServersDisturbed = slices.ContainsFunc(w.faults, func(in *injectedFault) bool {
		return slices.Contains(serverFaults, in.Kind) && in.overlaps(r.Span)
	})
	return r
}
