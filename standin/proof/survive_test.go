package proof

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/standin/cloud"
	"papayaport.dev/standin/launch"
	"papayaport.dev/standin/tenants"
)

const (
	// longAnswer outlasts a notice of two seconds at the engines' pace.
	longAnswer = 800
	// notice is the time between the announcement of a reclaim and its end.
	notice = 2 * time.Second
)

// Streams on a reclaimed engine go on elsewhere, token by token as if nothing had happened.
func TestStreamsSurviveReclaimOfTheirEngine(t *testing.T) {
	t.Parallel()
	ctx, s := start(t, launch.Plan{Tenants: []string{tenants.Rahmeh}, Domains: []string{"a", "b"}, Entries: 4})
	chats := stream(ctx, t, s, once, 8, longAnswer)
	from := chats.busiest(ctx, t, s)
	require.NoError(t, s.Reclaim(ctx, cloud.Reclaim{Instances: []string{from.Instance.ID}, LeaveInMS: notice.Milliseconds()}))
	chats.requireWhole(t)
	require.NoError(t, from.Wait(ctx))
}

// A whole failure domain goes at once, engines, plain services and entry instances, and
// no replacement starts.
func TestStreamsSurviveReclaimOfADomain(t *testing.T) {
	t.Parallel()
	ctx, s := start(t, launch.Plan{Tenants: []string{tenants.Rahmeh}, Entries: 8})
	require.NoError(t, s.SetFaults(ctx, s.Cloud, cloud.Faults{RefuseStarts: true}))
	chats := stream(ctx, t, s, persist, 16, longAnswer)
	reclaimDomain(ctx, t, s, "a")
	chats.requireWhole(t)
}

// reclaimDomain announces the reclaim of a domain and kills its entries when it ends.
func reclaimDomain(ctx context.Context, t *testing.T, s *launch.System, domain string) {
	t.Helper()
	require.NoError(t, s.Reclaim(ctx, cloud.Reclaim{FailureDomain: domain, LeaveInMS: notice.Milliseconds()}))
	for _, p := range launch.InDomain(domain, s.Entries) {
		require.NoError(t, p.Terminate())
	}
	time.Sleep(notice)
	for _, p := range launch.InDomain(domain, s.Entries) {
		if p.Running() {
			require.NoError(t, p.Kill())
		}
	}
}

// The engine that took over the streams is killed without notice while they move.
func TestStreamsSurviveAKillDuringAReclaim(t *testing.T) {
	t.Parallel()
	ctx, s := start(t, launch.Plan{Tenants: []string{tenants.Rahmeh}, Domains: []string{"a", "b", "c"}, Entries: 3})
	chats := stream(ctx, t, s, once, 6, longAnswer)
	from := chats.busiest(ctx, t, s)
	require.NoError(t, s.Reclaim(ctx, cloud.Reclaim{Instances: []string{from.Instance.ID}, LeaveInMS: notice.Milliseconds()}))
	require.NoError(t, chats.receiver(ctx, t, s, from).Kill())
	chats.requireWhole(t)
}

// The entry instance that holds the streams leaves; their callers come back elsewhere.
func TestStreamsSurviveReclaimOfTheirEntry(t *testing.T) {
	t.Parallel()
	ctx, s := start(t, launch.Plan{
		Tenants: []string{tenants.Rahmeh}, Domains: []string{"a", "b"}, Entries: 4, StopGrace: time.Second,
	})
	chats := stream(ctx, t, s, persist, 8, longAnswer)
	entry := s.Entries[0]
	require.NoError(t, s.Reclaim(ctx, cloud.Reclaim{Instances: []string{entry.Instance.ID}, LeaveInMS: notice.Milliseconds()}))
	require.NoError(t, entry.Terminate())
	time.Sleep(notice)
	if entry.Running() {
		require.NoError(t, entry.Kill())
	}
	chats.requireWhole(t)
}
