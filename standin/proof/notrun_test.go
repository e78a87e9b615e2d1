package proof

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/problem"
	"papayaport.dev/standin/launch"
	"papayaport.dev/standin/link"
	"papayaport.dev/standin/plain"
	"papayaport.dev/standin/store"
	"papayaport.dev/standin/tenants"
)

// lateRunWait is the time after which a request answered as not_run is checked for a late run.
const lateRunWait = 2 * time.Second

// requireNeverRuns checks after lateRunWait that the actions have not run.
func requireNeverRuns(ctx context.Context, t *testing.T, s *launch.System, actions ...action) {
	t.Helper()
	time.Sleep(lateRunWait)
	for _, a := range actions {
		require.Zero(t, runsOf(ctx, t, s, a), "action %s", a.id)
	}
}

// clockTolerance is the time after its start during which an entry instance can't rule out,
// without the store, that an earlier process ran a request.
const clockTolerance = 7 * time.Second

// During a store outage a keyed request is answered as not_run within its deadline and indeed
// does not run, an unkeyed request runs, and a repeat of a request that ran before the outage
// receives the earlier answer.
func TestStoreOutage(t *testing.T) {
	tests := map[string]store.Faults{
		"refusing": {Outage: true},
		"silent":   {Silent: true},
	}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, s := start(t, launch.Plan{Tenants: []string{tenants.Rahmeh}, EnginesPerDomain: -1})
			time.Sleep(clockTolerance)
			ran := newBooking(t)
			first := repeatUntilAnswered(ctx, t, s.Entries[:1], ran)
			require.NoError(t, s.SetFaults(ctx, s.Store, faults))
			defer func() { require.NoError(t, s.SetFaults(ctx, s.Store, store.Faults{})) }()

			a := newBooking(t)
			began := time.Now()
			r := sendTo(ctx, t, s.Entries[1], a)
			require.Less(t, time.Since(began), keyedDeadline+3*time.Second)
			require.Equal(t, problem.NotRun, r.document.Outcome, r)
			require.Equal(t, problem.StoreUnavailable, r.document.Kind, r)
			require.NotEqual(t, problem.NotRun, sendTo(ctx, t, s.Entries[2], ran).document.Outcome)
			toAll := newBooking(t)
			for _, r := range sendToAll(ctx, t, s.Entries, toAll) {
				require.NotEqual(t, http.StatusOK, r.status, r)
			}
			unkeyed := action{path: "/charges", id: uuid.NewString()}
			r = sendTo(ctx, t, s.Entries[3], unkeyed)
			require.Equal(t, http.StatusOK, r.status, r)
			require.Equal(t, 1, runsOf(ctx, t, s, unkeyed))

			require.NoError(t, s.SetFaults(ctx, s.Store, store.Faults{}))
			requireNeverRuns(ctx, t, s, a, toAll)
			for _, again := range []action{a, toAll} {
				repeatUntilAnswered(ctx, t, s.Entries, again)
				require.Equal(t, 1, runsOf(ctx, t, s, again))
			}
			require.Equal(t, first.body, repeatUntilAnswered(ctx, t, s.Entries[4:5], ran).body)
			require.Equal(t, 1, runsOf(ctx, t, s, ran))
		})
	}
}

// A request that a backend server declares as not run, by the header of its contract, is answered
// as not_run.
func TestRefusalByContract(t *testing.T) {
	ctx, s := start(t, launch.Plan{Tenants: []string{tenants.Rahmeh}, EnginesPerDomain: -1, Entries: 4})
	setServiceFaults(ctx, t, s, plain.Faults{Refuse: true, PostOnly: true})
	keyed := newBooking(t)
	unkeyed := action{path: "/charges", id: uuid.NewString()}
	for _, a := range []action{keyed, unkeyed} {
		r := sendTo(ctx, t, s.Entries[0], a)
		require.Equal(t, problem.NotRun, r.document.Outcome, r)
	}
	requireNeverRuns(ctx, t, s, keyed, unkeyed)
	setServiceFaults(ctx, t, s, plain.Faults{})
	time.Sleep(time.Second)
	repeatUntilAnswered(ctx, t, s.Entries[1:], keyed)
	require.Equal(t, 1, runsOf(ctx, t, s, keyed))
}

// Without a live backend server no request runs, and callers receive an error.
func TestNoBackend(t *testing.T) {
	ctx, s := start(t, launch.Plan{Tenants: []string{tenants.Rahmeh}, EnginesPerDomain: -1, Entries: 4, Links: true})
	require.NoError(t, s.SetLinkFaults(ctx, link.Faults{Relay: "backend-arrangements-app-*", Mode: link.Cut}))
	keyed := newBooking(t)
	unkeyed := action{path: "/charges", id: uuid.NewString()}
	for _, a := range []action{keyed, unkeyed} {
		r := sendTo(ctx, t, s.Entries[0], a)
		require.Zero(t, runsOf(ctx, t, s, a))
		require.NotEqual(t, http.StatusOK, r.status)
	}
	requireNeverRuns(ctx, t, s, keyed, unkeyed)
}

// One failure domain is partitioned from the store: its entry instances claim through instances
// of other domains or answer not_run, and their answers are correct.
func TestDomainCutFromStore(t *testing.T) {
	ctx, s := start(t, launch.Plan{Tenants: []string{tenants.Rahmeh}, EnginesPerDomain: -1, Links: true})
	require.NoError(t, s.SetLinkFaults(ctx, link.Faults{Relay: "store-a", Mode: link.Cut}))
	succeeded := 0
	for range 12 {
		a := newBooking(t)
		r := sendTo(ctx, t, launch.InDomain("a", s.Entries)[0], a)
		switch {
		case r.status == http.StatusOK:
			succeeded++
			require.Equal(t, 1, runsOf(ctx, t, s, a))
		case r.document.Outcome == problem.NotRun:
			requireNeverRuns(ctx, t, s, a)
		default:
			require.Equal(t, problem.Unknown, r.document.Outcome, r)
		}
		repeatUntilAnswered(ctx, t, launch.InDomain("b", s.Entries), a)
		require.Equal(t, 1, runsOf(ctx, t, s, a))
	}
	t.Logf("%d of 12 requests were claimed through other failure domains", succeeded)
	require.Positive(t, succeeded)
}
