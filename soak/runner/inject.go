package runner

import (
	"context"
	"fmt"
	"math"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"papayaport.dev/serving/process/clock"
	"papayaport.dev/soak/invariant"
	"papayaport.dev/soak/link"
	"papayaport.dev/soak/plan"
	"papayaport.dev/standin/fakeplatform"
)

// misbehaviours are the misbehaviours of plan.MisbehavingBackend.
var misbehaviours = []fakeplatform.Misbehaviour{
	fakeplatform.Refuse, fakeplatform.RunAndReset, fakeplatform.Truncate, fakeplatform.Twice, fakeplatform.Foreign,
	fakeplatform.InvalidResponse, fakeplatform.FalseEncoding, fakeplatform.Fail, fakeplatform.Hang,
}

// misbehaviourCount bounds the requests that one fault affects.
const misbehaviourCount = 40

// publishInterval is the time between successive configurations of one fault.
const publishInterval = 100 * time.Millisecond

// injectAll injects the plan's faults concurrently, each at its time, and returns at the end of
// the plan.
func (w *Run) injectAll(ctx context.Context) error {
	begun := time.Now()
	group, faulty := errgroup.WithContext(ctx)
	for _, f := range w.plan.Faults {
		group.Go(func() error {
			if err := clock.Sleep(faulty, time.Until(begun.Add(f.At))); err != nil {
				return err
			}
			in := &injectedFault{Fault: f, Span: invariant.Span{From: time.Now()}}
			w.mu.Lock()
			w.faults = append(w.faults, in)
			w.mu.Unlock()
			err := w.inject(faulty, f)
			w.mu.Lock()
			in.To = time.Now()
			w.mu.Unlock()
			return errors.Wrapf(err, "%s", f.Kind)
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return clock.Sleep(ctx, time.Until(begun.Add(w.plan.Length)))
}

// inject injects one fault and reverts it at its end.
func (w *Run) inject(ctx context.Context, f plan.Fault) error {
	hold := func() error { return clock.Sleep(ctx, f.For) }
	during := func(begin, end func()) error {
		begin()
		defer end()
		return hold()
	}
	switch f.Kind {
	case plan.KillEntry, plan.PauseEntry, plan.StopEntry, plan.ReloadEntry:
		return w.injectProcess(ctx, f, hold)
	case plan.StoreLink, plan.CloudLink, plan.PeerLink, plan.BackendLink:
		l := w.link(f)
		return during(func() { l.Disturb(f.Disturbance, plan.DelayOf(f)) }, l.Heal)
	case plan.KillBackend, plan.DrainBackend:
		return w.injectBackend(f, hold)
	case plan.MisbehavingBackend:
		b := w.backend(f.Target)
		return during(func() { b.Misbehave(misbehaviours[(f.Number+f.Target)%len(misbehaviours)], misbehaviourCount) }, func() { b.Misbehave(fakeplatform.NoMisbehaviour, 0) })
	case plan.LimitBackend, plan.RetryAfterBackend, plan.LeaveBackend, plan.EndlessBackend:
		return w.injectBackpressure(f, hold)
	case plan.Rollout:
		return w.injectRollout(ctx, f)
	case plan.StoreDown:
		return during(func() { w.store.SetUnavailable(true) }, func() { w.store.SetUnavailable(false) })
	case plan.StoreSlow:
		return during(func() { w.store.SetDelay(plan.DelayOf(f)) }, func() { w.store.SetDelay(0) })
	case plan.StaleStore:
		return w.injectStaleStore(ctx, f)
	case plan.LoseStoreResponses:
		w.store.LoseAnswers(f.Number)
		return nil
	case plan.Publish:
		for range f.Number {
			w.publish()
			if err := clock.Sleep(ctx, publishInterval); err != nil {
				return err
			}
		}
		return nil
	}
	return errors.Errorf("unknown kind of fault")
}

// limits are the rate limits that backend servers send, and endlessAnswers the misbehaviours of
// plan.EndlessBackend.
var (
	limits         = []string{"0.5", "1", "1.1", "2", "5", "20"}
	endlessAnswers = []fakeplatform.Misbehaviour{
		fakeplatform.EndlessHeaderLine, fakeplatform.EndlessHeaderLines, fakeplatform.EndlessBody, fakeplatform.Trickle, fakeplatform.LateTwice, fakeplatform.LateTwiceWithoutID,
	}
)

// retryAfter is the Retry-After of refusals, in seconds.
const retryAfter = "3"

// backpressureClaimOffset is added to the claims of backpressure faults, which may overlap with
// other faults of the same server.
const backpressureClaimOffset = 10_000

// injectBackpressure makes a backend server send backpressure. A server that announces that it
// leaves is replaced at the end of the fault.
func (w *Run) injectBackpressure(f plan.Fault, hold func() error) error {
	if !w.claim(backpressureClaimOffset + f.Target) {
		return nil
	}
	defer w.release(backpressureClaimOffset + f.Target)
	b := w.backend(f.Target)
	switch f.Kind {
	case plan.LimitBackend:
		b.SetBackpressure(fakeplatform.Backpressure{Limit: limits[f.Number-1]})
	case plan.RetryAfterBackend:
		b.SetBackpressure(fakeplatform.Backpressure{RetryAfter: retryAfter})
		b.Misbehave(fakeplatform.Refuse, math.MaxInt32)
	case plan.LeaveBackend:
		b.SetBackpressure(fakeplatform.Backpressure{Leaving: "1"})
	default:
		b.Misbehave(endlessAnswers[f.Number-1], misbehaviourCount)
	}
	err := hold()
	b.SetBackpressure(fakeplatform.Backpressure{})
	b.Misbehave(fakeplatform.NoMisbehaviour, 0)
	place := w.plan.Entries + f.Target
	if err != nil || f.Kind != plan.LeaveBackend || !w.claim(place) {
		return err
	}
	defer w.release(place)
	if w.backend(f.Target) != b {
		return nil // another fault ended the server
	}
	b.Stop()
	b.Unregister()
	return w.startBackend(f.Target, fmt.Sprintf("%s-%d", b.ID, b.incarnation))
}

// injectStaleStore makes the store return data from before a configuration that is already in
// force.
func (w *Run) injectStaleStore(ctx context.Context, f plan.Fault) error {
	w.store.SaveSnapshot()
	w.publish()
	if err := clock.Sleep(ctx, f.For/2); err != nil {
		return err
	}
	w.store.ServeSnapshot(true)
	defer w.store.ServeSnapshot(false)
	return clock.Sleep(ctx, f.For/2)
}

func (w *Run) injectProcess(ctx context.Context, f plan.Fault, hold func() error) error {
	e := w.entries[f.Target]
	switch f.Kind {
	case plan.ReloadEntry:
		return e.Signal(syscall.SIGHUP)
	case plan.PauseEntry:
		if err := e.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		err := hold()
		if contErr := e.Signal(syscall.SIGCONT); err == nil {
			err = contErr
		}
		return err
	}
	if !w.claim(f.Target) {
		return nil // another fault already ends the process
	}
	defer w.release(f.Target)
	if f.Kind == plan.StopEntry {
		if err := w.stop(ctx, f.Target); err != nil {
			return err
		}
		return e.Start()
	}
	if err := e.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	if err := e.Wait(ctx); err != nil {
		return err
	}
	if err := hold(); err != nil {
		return err
	}
	return e.Start()
}

func (w *Run) injectBackend(f plan.Fault, hold func() error) error {
	place := w.plan.Entries + f.Target // places of backend servers follow those of entries
	if !w.claim(place) {
		return nil
	}
	defer w.release(place)
	b := w.backend(f.Target)
	id := b.ID
	if f.Kind == plan.DrainBackend {
		w.mu.Lock()
		w.record.Leaving = append(w.record.Leaving, invariant.Leaving{Server: b.label, At: time.Now()})
		w.mu.Unlock()
		b.Drain()
		if err := hold(); err != nil {
			return err
		}
		b.Stop()
		b.Unregister()
		id = fmt.Sprintf("%s-%d", id, b.incarnation)
		return w.startBackend(f.Target, id)
	}
	b.Stop()
	if err := hold(); err != nil {
		return err
	}
	return w.startBackend(f.Target, id)
}

// claim reserves a process, so that only one fault at a time ends and starts it. It returns false
// if the process is claimed already. Claims are numbered by entry instances first, then by places
// of backend servers.
func (w *Run) claim(place int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if slices.Contains(w.claimed, place) {
		return false
	}
	w.claimed = append(w.claimed, place)
	return true
}

func (w *Run) release(place int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.claimed = slices.DeleteFunc(w.claimed, func(other int) bool { return other == place })
}

func (w *Run) backend(place int) *backend {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.backends[place]
}

func (w *Run) link(f plan.Fault) *link.Link {
	switch f.Kind {
	case plan.StoreLink:
		return w.entries[f.Target].store
	case plan.CloudLink:
		return w.entries[f.Target].cloud
	case plan.PeerLink:
		return w.entries[f.Target].peers
	}
	return w.backend(f.Target).link
}

// storeFaults are the faults that keep an entry instance from reading the current contents of the
// store, and allEntriesFaults those among them that affect all instances.
var (
	storeFaults      = []plan.Kind{plan.PauseEntry, plan.StoreLink, plan.StoreDown, plan.StoreSlow, plan.StaleStore}
	allEntriesFaults = []plan.Kind{plan.StoreDown, plan.StoreSlow, plan.StaleStore}
)

// overlaps reports whether a fault overlaps a span. A fault without an end is still active.
func (in *injectedFault) overlaps(span invariant.Span) bool {
	return in.From.Before(span.To) && (in.To.IsZero() || in.To.After(span.From))
}

// disturbed reports whether a fault affected one entry instance during a span.
func (w *Run) disturbed(number int, span invariant.Span) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.faults, func(in *injectedFault) bool {
		own := in.Target == number && slices.Contains([]plan.Kind{plan.PauseEntry, plan.KillEntry, plan.StoreLink, plan.PeerLink}, in.Kind)
		return (own || slices.Contains(allEntriesFaults, in.Kind)) && in.overlaps(span)
	})
}

// backendsDisturbed reports whether a fault of a backend server may have cut responses during a
// span.
func (w *Run) backendsDisturbed(span invariant.Span) bool {
	span.From = span.From.Add(-lateLossTime)
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.faults, func(in *injectedFault) bool {
		if in.Kind == plan.Rollout {
			return w.rolloutCuts(span)
		}
		cutting := slices.Contains([]plan.Kind{plan.KillBackend, plan.DrainBackend, plan.MisbehavingBackend, plan.BackendLink, plan.LeaveBackend, plan.EndlessBackend}, in.Kind)
		return cutting && in.overlaps(span)
	})
}

// entryDisruptions are the faults that excuse an entry instance from following backpressure, and
// backendDisruptions those that delay requests on the way to a backend server.
var (
	entryDisruptions   = []plan.Kind{plan.KillEntry, plan.PauseEntry, plan.StopEntry, plan.PeerLink}
	backendDisruptions = []plan.Kind{plan.BackendLink, plan.KillBackend, plan.DrainBackend}
)

// disruptions returns the intervals in which entry instances, or the connections to a backend
// server, were disrupted. The caller must hold w.mu.
func (w *Run) disruptions() (all []invariant.Disruption) {
	for _, in := range w.faults {
		one := invariant.Disruption{Entry: in.Target, Span: in.Span, PeersOnly: in.Kind == plan.PeerLink}
		if one.To.IsZero() {
			one.To = time.Now()
		}
		switch {
		case slices.Contains(entryDisruptions, in.Kind):
		case slices.Contains(backendDisruptions, in.Kind):
			one.Entry, one.Server = invariant.AllEntries, serverName(in.Target)
		default:
			continue
		}
		all = append(all, one)
	}
	return all
}

// backpressureOf parses the backpressure headers of a response.
func backpressureOf(server string, told fakeplatform.BackpressureAnswer) invariant.Backpressure {
	number := func(value string) float64 {
		figure, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return 0 // absent
		}
		return figure
	}
	return invariant.Backpressure{
		ID: told.ID, At: told.At, Server: server, RateLimit: number(told.Limit), Leaving: told.Leaving != "",
		RetryAfter: time.Duration(number(told.RetryAfter) * float64(time.Second)),
	}
}

// lateLossTime is how long after a fault of a backend server a response may still be lost due to
// it.
const lateLossTime = 2 * time.Second

// snapshot returns the observations so far.
func (w *Run) snapshot() invariant.Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.record
	r.Answers = slices.Clone(r.Answers)
	r.Probes, r.Leaving, r.Stops = slices.Clone(r.Probes), slices.Clone(r.Leaving), slices.Clone(r.Stops)
	r.Cloud = w.cloud.Faults()
	for _, in := range w.faults {
		if slices.Contains(storeFaults, in.Kind) {
			span := in.Span
			if span.To.IsZero() {
				span.To = time.Now()
			}
			blind := invariant.StoreCutoff{Entry: in.Target, Span: span}
			if slices.Contains(allEntriesFaults, in.Kind) {
				blind.Entry = invariant.AllEntries
			}
			r.StoreCutoffs = append(r.StoreCutoffs, blind)
		}
	}
	r.Disruptions = w.disruptions()
	for _, o := range w.rollouts {
		r.Rollouts = append(r.Rollouts, w.rolloutRecord(o))
	}
	for _, b := range append(w.freshBackends(), w.incarnations...) {
		for _, run := range b.Runs() {
			body := b.Body(run.ID)
			if b.events > 0 {
				body = ""
				for number := 1; number <= b.events; number++ {
					body += fakeplatform.Event(number)
				}
			}
			r.Runs = append(r.Runs, invariant.Run{ID: run.ID, At: run.At, Server: b.label, Body: body, Seal: b.Seal(run.ID)})
		}
		for _, told := range b.BackpressureAnswers() {
			r.Backpressure = append(r.Backpressure, backpressureOf(b.label, told))
		}
		for _, arrival := range b.Arrivals() {
			r.Arrivals = append(r.Arrivals, invariant.Run{ID: arrival.ID, At: arrival.At, Server: b.label})
		}
	}
	return r
}
