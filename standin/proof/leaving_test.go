package proof

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/standin/cloud"
	"papayaport.dev/standin/engine"
	"papayaport.dev/standin/launch"
	"papayaport.dev/standin/link"
	"papayaport.dev/standin/tenants"
)

// newWorkLimit is the time after the first notice during which requests may still start at a
// leaving backend server.
const newWorkLimit = 2 * time.Second

// restartLimit is the time within which a restarted backend server must serve requests.
const restartLimit = 10 * time.Second

// A leaving backend server receives no new requests from any entry instance later than 2 s after
// the first notice, even if notices are withheld or a failure domain can't reach the cloud API.
func TestLeavingBackendsGetNoNewWork(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		links bool
		// before sets faults before the notice.
		before func(ctx context.Context, t *testing.T, s *launch.System)
	}{
		"all sources": {false, func(context.Context, *testing.T, *launch.System) {}},
		"notices held back": {false, func(ctx context.Context, t *testing.T, s *launch.System) {
			require.NoError(t, s.SetFaults(ctx, s.Cloud, cloud.Faults{HoldNotices: true}))
		}},
		"one domain cut from the cloud API": {true, func(ctx context.Context, t *testing.T, s *launch.System) {
			require.NoError(t, s.SetLinkFaults(ctx, link.Faults{Relay: "cloud-a", Mode: link.Cut}))
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, s := start(t, launch.Plan{
				Tenants: []string{tenants.Rahmeh}, Domains: []string{"a", "b"}, Entries: 4, Links: test.links,
				ListLag: 500 * time.Millisecond,
			})
			requests := startLoad(ctx, t, s, loadWorkers)
			test.before(ctx, t, s)
			time.Sleep(time.Second)
			leaving := []*launch.Process{launch.InDomain("a", s.Engines)[0], launch.InDomain("a", s.Services)[0]}
			require.NoError(t, s.Reclaim(ctx, cloud.Reclaim{
				Instances: []string{leaving[0].Instance.ID, leaving[1].Instance.ID}, LeaveInMS: 8000,
			}))
			time.Sleep(newWorkLimit + 3*time.Second)
			requireNoNewWork(ctx, t, s, leaving[0], leaving[1])
			requests.stop()
			require.Empty(t, requests.faults)
		})
	}
}

func requireNoNewWork(ctx context.Context, t *testing.T, s *launch.System, model, plain *launch.Process) {
	t.Helper()
	limit := newWorkLimit.Milliseconds()
	runs, err := s.EngineRuns(ctx, model)
	require.NoError(t, err)
	before := 0
	for attempt, run := range runs.Attempts {
		require.LessOrEqual(t, run.AfterNoticeMS, limit, "attempt %s", attempt)
		if run.AfterNoticeMS == engine.NoNotice {
			before++
		}
	}
	require.Positive(t, before, "%s ran no request before the notice", model.Name)
	serviceRuns, err := s.ServiceRuns(ctx, plain)
	require.NoError(t, err)
	for _, after := range serviceRuns.AfterNoticeMS {
		require.LessOrEqual(t, after, limit)
	}
	require.Positive(t, serviceRuns.Lookups, "%s ran no request before the notice", plain.Name)
}

// A backend server that restarts on its old address is a new incarnation and receives requests,
// while the old incarnation stays in the leaving set.
func TestRestartedBackendGetsWork(t *testing.T) {
	t.Parallel()
	ctx, s := start(t, launch.Plan{Tenants: []string{tenants.Rahmeh}, Domains: []string{"a"}, Entries: 2})
	require.NoError(t, s.SetFaults(ctx, s.Cloud, cloud.Faults{RefuseStarts: true}))
	p := s.Engines[0]
	require.NoError(t, s.Reclaim(ctx, cloud.Reclaim{Instances: []string{p.Instance.ID}, LeaveInMS: 1000}))
	require.NoError(t, p.Wait(ctx))
	require.NoError(t, s.Restart(ctx, p))
	restarted := time.Now()
	chats := stream(ctx, t, s, persist, 4, 32)
	chats.requireComplete(t)
	require.Less(t, time.Since(restarted), restartLimit)
	require.Positive(t, chats.countAt(ctx, t, s, p))
}
