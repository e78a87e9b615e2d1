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
	// longAnswer is the length in tokens of an answer that takes longer than reclaimNotice.
	longAnswer = 800
	// reclaimNotice is the time between the notice of a reclaim and its execution.
	reclaimNotice = 2 * time.Second
)

// Streams on a reclaimed engine continue on other engines without missing or repeated tokens.
func TestStreamsSurviveReclaimOfTheirEngine(t *testing.T) {
	t.Parallel()
	ctx, s := start(t, launch.Plan{Tenants: []string{tenants.Rahmeh}, Domains: []string{"a", "b"}, Entries: 4})
	chats := stream(ctx, t, s, once, 8, longAnswer)
	from := chats.busiest(ctx, t, s)
	require.NoError(t, s.Reclaim(ctx, cloud.Reclaim{Instances: []string{from.Instance.ID}, LeaveInMS: reclaimNotice.Milliseconds()}))
	chats.requireComplete(t)
	require.NoError(t, from.Wait(ctx))
}

// A whole failure domain is reclaimed at once: engines, plain services and entry instances. No
// replacement can start.
func TestStreamsSurviveReclaimOfADomain(t *testing.T) {
	t.Parallel()
	ctx, s := start(t, launch.Plan{Tenants: []string{tenants.Rahmeh}, Entries: 8})
	require.NoError(t, s.SetFaults(ctx, s.Cloud, cloud.Faults{RefuseStarts: true}))
	chats := stream(ctx, t, s, persist, 16, longAnswer)
	reclaimDomain(ctx, t, s, "a")
	chats.requireComplete(t)
}

// reclaimDomain announces the reclaim of a domain, terminates its entries and kills those that
// still run at the end of the notice.
func reclaimDomain(ctx context.Context, t *testing.T, s *launch.System, domain string) {
	t.Helper()
	require.NoError(t, s.Reclaim(ctx, cloud.Reclaim{FailureDomain: domain, LeaveInMS: reclaimNotice.Milliseconds()}))
	for _, p := range launch.InDomain(domain, s.Entries) {
		require.NoError(t, p.Terminate())
	}
	time.Sleep(reclaimNotice)
	for _, p := range launch.InDomain(domain, s.Entries) {
		if p.Running() {
			require.NoError(t, p.Kill())
		}
	}
}

// An engine that has taken over streams is killed while the others are being moved.
func TestStreamsSurviveAKillDuringAReclaim(t *testing.T) {
	t.Parallel()
	ctx, s := start(t, launch.Plan{Tenants: []string{tenants.Rahmeh}, Domains: []string{"a", "b", "c"}, Entries: 3})
	chats := stream(ctx, t, s, once, 6, longAnswer)
	from := chats.busiest(ctx, t, s)
	require.NoError(t, s.Reclaim(ctx, cloud.Reclaim{Instances: []string{from.Instance.ID}, LeaveInMS: reclaimNotice.Milliseconds()}))
	require.NoError(t, chats.receiver(ctx, t, s, from).Kill())
	chats.requireComplete(t)
}

// An entry instance that serves streams is reclaimed; their callers resume through other entries.
func TestStreamsSurviveReclaimOfTheirEntry(t *testing.T) {
	t.Parallel()
	ctx, s := start(t, launch.Plan{
		Tenants: []string{tenants.Rahmeh}, Domains: []string{"a", "b"}, Entries: 4, StopGrace: time.Second,
	})
	chats := stream(ctx, t, s, persist, 8, longAnswer)
	entry := s.Entries[0]
	require.NoError(t, s.Reclaim(ctx, cloud.Reclaim{Instances: []string{entry.Instance.ID}, LeaveInMS: reclaimNotice.Milliseconds()}))
	require.NoError(t, entry.Terminate())
	time.Sleep(reclaimNotice)
	if entry.Running() {
		require.NoError(t, entry.Kill())
	}
	chats.requireComplete(t)
}
