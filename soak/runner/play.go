package runner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"papayaport.dev/serving/process/clock"
	"papayaport.dev/soak/caller"
	"papayaport.dev/soak/invariant"
)

const (
	// startTimeout bounds the time until all entry instances are ready at the start of a run.
	startTimeout = 10 * time.Second
	// recoveryBound is the time after the last fault within which all requests must succeed, and
	// recoveryRequests the number of successive successes that prove it.
	recoveryBound    = 10 * time.Second
	recoveryRequests = 20
	// readyPeriod is the interval of the load balancer's health checks. After two failures it
	// stops using an instance.
	readyPeriod  = 250 * time.Millisecond
	readyTimeout = 500 * time.Millisecond
	// probePeriod is the interval between probes of the version in force.
	probePeriod = 150 * time.Millisecond
	// judgePeriod is the interval between checks of the invariants during a run.
	judgePeriod = 2 * time.Second
	// maxThinkTime bounds the pause of a caller between two requests.
	maxThinkTime = 40 * time.Millisecond
	// One in stickyCallerStride callers stays with an instance until it refuses connections.
	stickyCallerStride = 3
	// stopSlack is how long after the grace period a process must have exited.
	stopSlack = 500 * time.Millisecond
)

// play runs callers and faults to the end of the plan, checks recovery, and shuts all entry
// instances down.
func (w *Run) play(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	background, endBackground := context.WithCancel(ctx)
	defer endBackground()
	for number := range w.entries {
		group.Go(func() error { return w.watchReady(background, number) })
		group.Go(func() error { return w.probe(background, number) })
	}
	if err := w.waitReady(ctx, startTimeout); err != nil {
		return errors.Wrap(err, "start of entry instances")
	}
	for number := range w.plan.Callers {
		group.Go(func() error { return w.runCaller(background, number) })
	}
	group.Go(func() error { return w.judgePeriodically(background) })
	group.Go(func() error {
		defer endBackground()
		if err := w.injectAll(ctx); err != nil {
			return err
		}
		if err := w.requireRecovery(ctx); err != nil {
			return err
		}
		return w.stopAll(ctx)
	})
	return group.Wait()
}

// watchReady runs the load balancer's health checks of one entry instance.
func (w *Run) watchReady(ctx context.Context, number int) error {
	client := &http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := 0
	for ctx.Err() == nil {
		misses++
		if response, err := client.Get("http://" + w.entries[number].Settings.Ready + "/api/readyz"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				misses = 0
			}
		}
		w.mu.Lock()
		w.ready[number] = misses < 2
		w.mu.Unlock()
		if clock.Sleep(ctx, readyPeriod) != nil {
			return nil
		}
	}
	return nil
}

func (w *Run) waitReady(ctx context.Context, within time.Duration) error {
	time.Sleep(2 * readyPeriod) // until the first health check is done
	for end := time.Now().Add(within); ; {
		w.mu.Lock()
		missing := -1
		for number, ready := range w.ready {
			if !ready {
				missing = number
			}
		}
		w.mu.Unlock()
		if missing < 0 {
			return nil
		}
		if time.Now().After(end) {
			return errors.Errorf("entry %d not ready within %v", missing, within)
		}
		if err := clock.Sleep(ctx, readyPeriod); err != nil {
			return err
		}
	}
}

// nextID returns a new request id.
func (w *Run) nextID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastRequest++
	return fmt.Sprintf("request-%d", w.lastRequest)
}

// pickEntry returns a random ready entry instance, or stay if that is not negative. It returns
// false if no instance is ready.
func (w *Run) pickEntry(random *rand.Rand, stay int) (int, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if stay >= 0 {
		return stay, true
	}
	var ready []int
	for number, isReady := range w.ready {
		if isReady {
			ready = append(ready, number)
		}
	}
	if len(ready) == 0 {
		return 0, false
	}
	return ready[random.IntN(len(ready))], true
}

// runCaller sends the requests of one caller, with random pauses between them.
func (w *Run) runCaller(ctx context.Context, number int) error {
	random := rand.New(rand.NewPCG(w.plan.Seed, uint64(100+number)))
	c := caller.New()
	defer c.Close()
	stay := -1
	for ctx.Err() == nil {
		target, found := w.pickEntry(random, stay)
		if !found {
			if clock.Sleep(ctx, readyPeriod) != nil {
				return nil
			}
			continue
		}
		answer := c.Send(context.WithoutCancel(ctx), caller.Request{
			ID: w.nextID(), Entry: target, Address: w.entries[target].Settings.Callers, Kind: caller.Kinds[random.IntN(len(caller.Kinds))],
		})
		w.mu.Lock()
		w.record.Answers = append(w.record.Answers, answer)
		w.mu.Unlock()
		stay = -1
		if number%stickyCallerStride == 0 && !errors.Is(answer.Err, syscall.ECONNREFUSED) {
			stay = target
		}
		if clock.Sleep(ctx, time.Duration(random.Float64()*float64(maxThinkTime))) != nil {
			return nil
		}
	}
	return nil
}

// probe periodically requests the route of the latest version from one entry instance.
func (w *Run) probe(ctx context.Context, number int) error {
	c := caller.New()
	defer c.Close()
	e := w.entries[number]
	for ctx.Err() == nil {
		if clock.Sleep(ctx, probePeriod) != nil {
			return nil
		}
		w.mu.Lock()
		probe := invariant.Probe{Entry: number, Version: w.version, Accepted: w.accepted}
		w.mu.Unlock()
		lives := e.Processes()
		if len(lives) == 0 {
			continue
		}
		probe.Process, probe.At = len(lives), time.Now()
		if started := lives[len(lives)-1].Started; started.After(probe.Accepted) {
			probe.Accepted = started
		}
		answer := c.Send(context.WithoutCancel(ctx), caller.Request{
			ID: caller.FreePrefix + w.nextID(), Entry: number, Address: e.Settings.Callers, Kind: caller.Safe, Path: "/" + versionRoute(probe.Version) + "/", Key: caller.FreeKey,
		})
		if answer.Err != nil || len(e.Processes()) != probe.Process {
			continue
		}
		probe.Applied = answer.Status != http.StatusNotFound
		probe.Undisturbed = !w.disturbed(number, invariant.Span{From: probe.Accepted, To: answer.End})
		w.mu.Lock()
		if answer.Status == http.StatusOK || answer.Status == http.StatusNotFound {
			w.record.Probes = append(w.record.Probes, probe)
		}
		w.record.Answers = append(w.record.Answers, answer)
		w.mu.Unlock()
	}
	return nil
}

// judgePeriodically checks the invariants during the run and ends it at the first violation.
func (w *Run) judgePeriodically(ctx context.Context) error {
	for {
		if clock.Sleep(ctx, judgePeriod) != nil {
			return nil
		}
		if found := invariant.Check(w.snapshot()); len(found) > 0 {
			return violated("ended early: %s", strings.Join(found, "; "))
		}
	}
}

// requireRecovery checks that all entry instances serve every kind of request again.
func (w *Run) requireRecovery(ctx context.Context) error {
	end := time.Now().Add(recoveryBound)
	w.clearDefects()
	if err := w.waitReady(ctx, recoveryBound); err != nil {
		if ctx.Err() != nil {
			return err // the soak was interrupted
		}
		return violated("recovery: %v", err)
	}
	for number, e := range w.entries {
		c := caller.New()
		for served := 0; served < recoveryRequests; {
			answer := c.Send(ctx, caller.Request{
				ID: caller.FreePrefix + w.nextID(), Entry: number, Address: e.Settings.Callers, Kind: caller.Kinds[served%len(caller.Kinds)], Key: caller.FreeKey,
			})
			w.mu.Lock()
			w.record.Answers = append(w.record.Answers, answer)
			w.mu.Unlock()
			switch {
			case answer.Err == nil && answer.Status == http.StatusOK:
				served++
			case ctx.Err() != nil:
				c.Close()
				return ctx.Err() // the soak was interrupted
			case time.Now().After(end):
				c.Close()
				return violated("recovery: entry %d answers %d, %v (%s, %s)", number, answer.Status, answer.Err, answer.ID, answer.Kind)
			default:
				served = 0
				time.Sleep(maxThinkTime)
			}
		}
		c.Close()
	}
	return w.waitDecided(ctx, end)
}

// stopAll shuts all entry instances down concurrently, under load.
func (w *Run) stopAll(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for number := range w.entries {
		group.Go(func() error { return w.stop(ctx, number) })
	}
	return group.Wait()
}

// stop shuts one entry instance down and checks that it exits in time without an error.
func (w *Run) stop(ctx context.Context, number int) error {
	e := w.entries[number]
	begun := time.Now()
	if err := e.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, graceS*time.Second+stopSlack)
	defer cancel()
	ended := e.Wait(limited)
	span := invariant.Span{From: begun, To: time.Now()}
	if w.disturbed(number, span) || w.backendsDisturbed(span) || ctx.Err() != nil {
		// Delayed by another fault: send SIGKILL, as the platform does after the grace period.
		if err := e.Signal(syscall.SIGKILL); err != nil {
			return err
		}
		return e.Wait(ctx)
	}
	if ended != nil {
		return violated("planned stop: entry %d still running after its grace period", number)
	}
	lives := e.Processes()
	if last := lives[len(lives)-1]; last.Err != nil && !last.Killed {
		return violated("planned stop: entry %d ended with %v", number, last.Err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.Stops = append(w.record.Stops, invariant.Stop{Entry: number, Span: span})
	return nil
}
