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
	"papayaport.dev/standin/fakeplatform"
)

// services are the plain service and the service of the engines.
var services = []string{"app", "llm"}

const (
	// recordPrefix is the key prefix of roll-out records. Records contain shiftPhase while the
	// ordered version gets all requests.
	recordPrefix = "papayaport/rollouts/"
	shiftPhase   = `"phase":"shift"`
	// candidateVersion is the version in orders.
	candidateVersion = "v2"
	// failingShare is the fraction of requests that a bad version fails, high enough to be
	// detected with few responses.
	failingShare = 0.7
	// candidateWork is the time per request or event of a new server, the average of the old ones.
	candidateWork = 16 * time.Millisecond
)

// rolloutSettings are the roll-out settings of entry instances.
var rolloutSettings = fmt.Sprintf(`{"rollout": {"exposure_share": %v, "exposure_slack": %v, "rollback_ms": %d}}`,
	invariant.RolloutBounds.Share, invariant.RolloutBounds.Slack, invariant.RolloutBounds.RollbackTime.Milliseconds())

// rolloutOrder is an operator's order; bad states whether its version is bad.
type rolloutOrder struct {
	*fakeplatform.Rollout
	bad bool
}

// injectRollout orders a new version of a service, and returns at the order's deadline.
func (w *Run) injectRollout(ctx context.Context, f plan.Fault) error {
	service, count, events := services[f.Target], w.plan.Plain, 0
	if f.Target > 0 {
		count, events = w.plan.Engines, streamSize
	}
	var defect fakeplatform.Defect
	switch f.Number {
	case plan.BadVersion:
		defect.FailureShare = failingShare
	case plan.BadOnOneRoute:
		kinds := [][]caller.Kind{{caller.Safe, caller.Unsafe}, {caller.Stream, caller.Resume}}[f.Target]
		defect.FailureShare, defect.PathPrefix = failingShare, fmt.Sprintf("/%s/", kinds[w.plan.Seed/3%2])
	}
	var servers []fakeplatform.Server
	for i := range count {
		servers = append(servers, fakeplatform.Server{
			ID: fmt.Sprintf("%s-%s-%d", service, candidateVersion, i), Zone: zones[i%len(zones)],
			Slots: slots, QueueCapacity: queue, ServiceTime: candidateWork, Events: events, Defect: defect,
		})
	}
	if err := w.startRollout(fakeplatform.Order{Service: service, To: candidateVersion, Duration: f.For}, servers); err != nil {
		return err
	}
	return clock.Sleep(ctx, f.For)
}

// startRollout writes an order, with the current servers of the service as the old ones.
func (w *Run) startRollout(o fakeplatform.Order, servers []fakeplatform.Server) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	var old []*fakeplatform.Backend
	for _, b := range w.backends {
		if b.Service == o.Service {
			old = append(old, b.Backend)
		}
	}
	r, err := fakeplatform.Operator{Store: w.store}.StartRollout(w.ctx, o, servers, old, nil)
	if err != nil {
		return err
	}
	w.rollouts = append(w.rollouts, &rolloutOrder{r, servers[0].Defect.Bad()})
	return nil
}

// currentVersion returns the version that a replacement server of a service starts with.
func (w *Run) currentVersion(service string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range w.rollouts {
		if final, found := o.Final(); found && o.Service == service && final.State == fakeplatform.Completed {
			return o.To
		}
	}
	return fakeplatform.FirstVersion
}

// joinRollout adds a started server to the old servers of its service's orders. The caller must
// hold w.mu.
func (w *Run) joinRollout(b *backend) {
	for _, o := range w.rollouts {
		if o.Service == b.Service && b.Version != o.To {
			o.AddOldServer(b.Backend)
		}
	}
}

// freshBackends returns the servers that orders started. The caller must hold w.mu.
func (w *Run) freshBackends() (all []*backend) {
	for _, o := range w.rollouts {
		for _, b := range o.OrderedServers() {
			all = append(all, &backend{Backend: b, label: b.ID + "#1", events: b.Events})
		}
	}
	return all
}

// rolloutCuts reports whether the end of old servers may have cut responses during a span. The
// caller must hold w.mu.
func (w *Run) rolloutCuts(span invariant.Span) bool {
	return slices.ContainsFunc(w.rollouts, func(o *rolloutOrder) bool {
		final, found := o.Final()
		return found && final.At.Before(span.To) && final.At.Add(lateLossTime).After(span.From)
	})
}

// clearDefects removes the defects of all new versions, since a bad version that was completed
// keeps serving.
func (w *Run) clearDefects() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range w.rollouts {
		for _, b := range o.OrderedServers() {
			b.SetDefect(fakeplatform.Defect{})
		}
	}
}

// waitDecided waits until each order has reached a final state.
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

// serverFaults are the faults that delay or abort requests at a backend server.
var serverFaults = []plan.Kind{
	plan.BackendLink, plan.KillBackend, plan.DrainBackend, plan.MisbehavingBackend, plan.LeaveBackend, plan.EndlessBackend, plan.RetryAfterBackend,
}

// rolloutRecord returns the observations of an order so far. The caller must hold w.mu.
func (w *Run) rolloutRecord(o *rolloutOrder) invariant.Rollout {
	r := invariant.Rollout{
		Span: invariant.Span{From: o.OrderedAt, To: o.Deadline()}, Now: time.Now(), Bad: o.bad,
		States: o.States(), Counts: o.Counts(invariant.RolloutBounds),
	}
	for _, b := range o.OrderedServers() {
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
