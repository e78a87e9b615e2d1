package proof

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/connection/administration"
	"papayaport.dev/standin/caller"
	"papayaport.dev/standin/launch"
	"papayaport.dev/standin/link"
	"papayaport.dev/standin/tenants"
)

const (
	// partitionTime is the duration of the partition; the instance list is stale after 10 s.
	partitionTime = 14 * time.Second
	// countTime is the time over which calls of the store are counted.
	countTime = 5 * time.Second
	// burstFactor is the permitted ratio of the store calls after a partition to those before.
	burstFactor = 3
	// burstSlack is the number of additional permitted calls, for small counts.
	burstSlack = 30
)

// A failure domain that is partitioned from the platform continues to serve, reports what is
// stale, and recovers without a burst of calls to the store.
func TestPartitionedDomainContinuesServing(t *testing.T) {
	t.Parallel()
	ctx, s := start(t, launch.Plan{Tenants: []string{tenants.Rahmeh}, Domains: []string{"a", "b"}, Entries: 4, Links: true})
	time.Sleep(countTime)
	callsBefore := countStoreCalls(ctx, t, s)
	setPlatformLinks(ctx, t, s, link.Cut)
	entry := launch.InDomain("a", s.Entries)[0]
	served := 0
	for began := time.Now(); time.Since(began) < partitionTime; served++ {
		requireServed(ctx, t, entry)
		time.Sleep(200 * time.Millisecond)
	}
	require.Greater(t, served, 10)
	client := administration.NewClient(http.DefaultClient, []string{"http://" + entry.Administration}, s.OperatorToken)
	stale := func(kind string) bool {
		status, err := client.Status(ctx)
		require.NoError(t, err)
		for _, source := range status.Sources {
			if source.Kind == kind {
				return source.Stale && source.AgeMS > countTime.Milliseconds()
			}
		}
		return false
	}
	require.True(t, stale("store"), "the status reports that the store is stale")
	require.True(t, stale("instance_list"), "the status reports that the instance list is stale")
	setPlatformLinks(ctx, t, s, link.Pass)
	callsAfter := countStoreCalls(ctx, t, s)
	t.Logf("%d requests served during the partition; %d store calls before, %d after", served, callsBefore, callsAfter)
	require.LessOrEqual(t, callsAfter, burstFactor*callsBefore+burstSlack)
	require.Eventually(t, func() bool { return !stale("store") && !stale("instance_list") }, 20*time.Second, 200*time.Millisecond)
}

func setPlatformLinks(ctx context.Context, t *testing.T, s *launch.System, mode link.Mode) {
	t.Helper()
	for _, relay := range []string{"store-a", "cloud-a"} {
		require.NoError(t, s.SetLinkFaults(ctx, link.Faults{Relay: relay, Mode: mode}))
	}
}

func countStoreCalls(ctx context.Context, t *testing.T, s *launch.System) int {
	t.Helper()
	before, err := s.StoreCalls(ctx)
	require.NoError(t, err)
	time.Sleep(countTime)
	after, err := s.StoreCalls(ctx)
	require.NoError(t, err)
	return int(after.Reads() + after.Writes() - before.Reads() - before.Writes())
}

// requireServed sends a chat and a lookup through one entry instance.
func requireServed(ctx context.Context, t *testing.T, entry *launch.Process) {
	t.Helper()
	tenant := rahmeh(t)
	c := caller.New(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, entry.URL(), tenants.Key(largeAccounts[0]))
	id := uuid.NewString()
	chat := caller.Chat{Service: tenant.Model, Messages: question(id, "who takes the urn?"), MaxTokens: 24, RequestID: id}
	answer, err := c.Chat(ctx, chat)
	require.NoError(t, err)
	requireText(t, tenant, chat, answer)
	reply, err := c.Call(ctx, caller.Call{Method: http.MethodGet, Path: "/" + tenant.Plain + "/status/urn-2"})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, reply.Status)
}
