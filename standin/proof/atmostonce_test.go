package proof

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/problem"
	"papayaport.dev/standin/caller"
	"papayaport.dev/standin/launch"
	"papayaport.dev/standin/plain"
	"papayaport.dev/standin/store"
	"papayaport.dev/standin/tenants"
)

// A keyed request that is sent to all 8 entry instances concurrently runs once, and all of them
// return the answer of that run.
func TestKeyedRequestAtAllEntriesRunsOnce(t *testing.T) {
	ctx, s := start(t, launch.Plan{Tenants: []string{tenants.Rahmeh}, EnginesPerDomain: -1})
	for range 20 {
		a := newBooking(t)
		results := sendToAll(ctx, t, s.Entries, a)
		require.Equal(t, 1, runsOf(ctx, t, s, a))
		for _, r := range results {
			require.Equal(t, http.StatusOK, r.status, r)
			require.Equal(t, results[0].body, r.body, r)
		}
	}
}

// Lost requests and answers of the store and stale reads don't make a request run twice; once the
// faults end, every key has an answer.
func TestKeyedRequestsThroughFaultyStoreRunOnce(t *testing.T) {
	ctx, s := start(t, launch.Plan{Tenants: []string{tenants.Rahmeh}, EnginesPerDomain: -1})
	faults := store.Faults{LoseAnswers: 0.3, LoseRequests: 0.2, StaleReads: 5, Seed: 4}
	require.NoError(t, s.SetFaults(ctx, s.Store, faults))
	var actions []action
	for range 6 {
		a := newBooking(t)
		actions = append(actions, a)
		for range 2 {
			for _, r := range sendToAll(ctx, t, s.Entries, a) {
				require.True(t, r.status == http.StatusOK || r.document.Outcome != "", r)
			}
			require.LessOrEqual(t, runsOf(ctx, t, s, a), 1)
		}
	}
	require.NoError(t, s.SetFaults(ctx, s.Store, store.Faults{}))
	for _, a := range actions {
		repeatUntilAnswered(ctx, t, s.Entries, a)
		require.Equal(t, 1, runsOf(ctx, t, s, a))
	}
}

// The claiming entry instance is killed at different times between claim, send and answer: no
// repeat runs the request again, and none is answered as not_run after the request ran.
func TestKeyedRequestOfKilledEntryRunsOnce(t *testing.T) {
	ctx, s := start(t, launch.Plan{Tenants: []string{tenants.Rahmeh}, EnginesPerDomain: -1})
	setServiceFaults(ctx, t, s, plain.Faults{DelayMS: 100, AnswerDelayMS: 100})
	for i, after := range []time.Duration{0, 5, 15, 50, 150, 250, 400} {
		holder := s.Entries[i]
		others := append(append([]*launch.Process{}, s.Entries[:i]...), s.Entries[i+1:]...)
		a := newBooking(t)
		sent := make(chan result, 1)
		go func() { sent <- sendTo(ctx, t, holder, a) }()
		time.Sleep(after * time.Millisecond)
		require.NoError(t, holder.Kill())
		<-sent
		time.Sleep(300 * time.Millisecond) // lets a request that the killed process sent run
		before := runsOf(ctx, t, s, a)
		for _, r := range sendToAll(ctx, t, others, a) {
			if before > 0 {
				require.NotEqual(t, problem.NotRun, r.document.Outcome, r)
			}
		}
		require.LessOrEqual(t, runsOf(ctx, t, s, a), 1)
		require.NoError(t, s.Restart(ctx, holder))
		require.NoError(t, s.WaitEntry(ctx, holder))
		sendToAll(ctx, t, s.Entries, a)
		require.LessOrEqual(t, runsOf(ctx, t, s, a), 1)
	}
}

// freezeTime is the time that an entry instance is frozen, well below its request's deadline.
const freezeTime = time.Second

// The claiming entry instance is frozen at different times and resumed: its request runs once,
// and all callers receive the same answer.
func TestKeyedRequestOfFrozenEntryRunsOnce(t *testing.T) {
	ctx, s := start(t, launch.Plan{Tenants: []string{tenants.Rahmeh}, EnginesPerDomain: -1})
	setServiceFaults(ctx, t, s, plain.Faults{DelayMS: 50, AnswerDelayMS: 50})
	for i, after := range []time.Duration{0, 5, 15, 60, 120} {
		holder := s.Entries[i]
		others := append(append([]*launch.Process{}, s.Entries[:i]...), s.Entries[i+1:]...)
		a := newBooking(t)
		sent := make(chan result, 1)
		go func() { sent <- sendTo(ctx, t, holder, a) }()
		time.Sleep(after * time.Millisecond)
		require.NoError(t, holder.Freeze())
		resumed := time.AfterFunc(freezeTime, func() { _ = holder.Resume() })
		results := sendToAll(ctx, t, others, a)
		resumed.Stop()
		require.NoError(t, holder.Resume())
		<-sent
		require.LessOrEqual(t, runsOf(ctx, t, s, a), 1)
		last := repeatUntilAnswered(ctx, t, s.Entries, a)
		require.Equal(t, 1, runsOf(ctx, t, s, a))
		for _, r := range results {
			if r.status == http.StatusOK {
				require.Equal(t, last.body, r.body)
			}
		}
	}
}

// A backend server reads a POST and closes the connection: neither the system nor net/http
// retries a keyed or an unkeyed request.
func TestClosedConnectionDoesNotRepeatRequest(t *testing.T) {
	tests := map[string]struct {
		ran  bool
		want int
	}{
		"after the run": {true, 1},
		"without a run": {false, 0},
	}
	ctx, s := start(t, launch.Plan{Tenants: []string{tenants.Rahmeh}, EnginesPerDomain: -1, Entries: 8})
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			openIdleConnections(ctx, t, s.Entries[0])
			setServiceFaults(ctx, t, s, plain.Faults{CloseAfterRead: true, RunBeforeClose: test.ran, PostOnly: true})
			keyed := newBooking(t)
			unkeyed := action{path: "/charges", id: uuid.NewString()}
			for _, a := range []action{keyed, unkeyed} {
				first := sendTo(ctx, t, s.Entries[0], a)
				require.Equal(t, problem.AnswerLost, first.document.Kind, first)
				require.Equal(t, problem.Unknown, first.document.Outcome, first)
				require.Equal(t, test.want, runsOf(ctx, t, s, a))
			}
			setServiceFaults(ctx, t, s, plain.Faults{})
			for _, r := range sendToAll(ctx, t, s.Entries, keyed) {
				require.Equal(t, problem.Unknown, r.document.Outcome, r)
			}
			require.Equal(t, test.want, runsOf(ctx, t, s, keyed))
		})
	}
}

// openIdleConnections makes an entry instance open connections to the plain services, which then
// stay idle.
func openIdleConnections(ctx context.Context, t *testing.T, p *launch.Process) {
	t.Helper()
	tenant := rahmeh(t)
	c := caller.New(&http.Client{}, p.URL(), tenants.Key(tenant.Accounts[1]))
	var group sync.WaitGroup
	for range 12 {
		group.Add(1)
		go func() {
			defer group.Done()
			_, _ = c.Call(ctx, caller.Call{Method: http.MethodGet, Path: "/" + tenant.Plain + "/status/urn-1"})
		}()
	}
	group.Wait()
}

// A request with a key that is older than the retry window or lies in the future does not run.
func TestKeyOutsideWindowDoesNotRun(t *testing.T) {
	ctx, s := start(t, launch.Plan{Tenants: []string{tenants.Rahmeh}, EnginesPerDomain: -1, Entries: 4})
	window := rahmeh(t).Services["arrangements-app"]
	tests := map[string]struct {
		age  time.Duration
		kind problem.Kind
	}{
		"too old":      {window.RetryWindow() + time.Minute, problem.KeyExpired},
		"far too old":  {365 * 24 * time.Hour, problem.KeyExpired},
		"in an hour":   {-time.Hour, problem.KeyInvalid},
		"no timestamp": {time.Since(time.Unix(0, 0)), problem.KeyExpired},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a := newBooking(t)
			a.key = keyOfAge(t, test.age)
			for _, r := range sendToAll(ctx, t, s.Entries, a) {
				require.Equal(t, test.kind, r.document.Kind, r)
			}
			require.Zero(t, runsOf(ctx, t, s, a))
		})
	}
}

func keyOfAge(t *testing.T, age time.Duration) string {
	t.Helper()
	key, err := uuid.NewV7()
	require.NoError(t, err)
	millis := max(0, time.Now().Add(-age).UnixMilli())
	for i := range 6 {
		key[i] = byte(millis >> (8 * (5 - i)))
	}
	return key.String()
}

// The claiming entry instance is stopped gracefully while its request runs: the caller receives
// the answer, and repeats receive the same one after the entry instance has exited.
func TestAnswerSurvivesStopOfEntry(t *testing.T) {
	ctx, s := start(t, launch.Plan{Tenants: []string{tenants.Rahmeh}, EnginesPerDomain: -1, Entries: 4, StopGrace: 5 * time.Second})
	setServiceFaults(ctx, t, s, plain.Faults{DelayMS: 300, AnswerDelayMS: 300})
	for i, p := range s.Entries[:2] {
		a := newBooking(t)
		sent := make(chan result, 1)
		go func() { sent <- sendTo(ctx, t, p, a) }()
		time.Sleep(200 * time.Millisecond)
		require.NoError(t, p.Terminate())
		first := <-sent
		require.Equal(t, http.StatusOK, first.status, first)
		require.NoError(t, p.Wait(ctx))
		for _, r := range sendToAll(ctx, t, s.Entries[i+1:], a) {
			require.Equal(t, http.StatusOK, r.status, r)
			require.Equal(t, first.body, r.body, r)
		}
		require.Equal(t, 1, runsOf(ctx, t, s, a))
	}
}
