package proof

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/standin/launch"
	"papayaport.dev/standin/tenants"
)

// loadWorkers is the number of concurrent callers in a load.
const loadWorkers = 6

// All entry instances are restarted one after another under load: no request is interrupted, and
// none is refused that another entry could have accepted.
func TestRollingRestartInterruptsNoRequest(t *testing.T) {
	t.Parallel()
	ctx, s := start(t, launch.Plan{Tenants: []string{tenants.Rahmeh}, Entries: 8, StopGrace: 3 * time.Second})
	requests := startLoad(ctx, t, s, loadWorkers)
	for _, p := range s.Entries {
		require.NoError(t, p.Terminate())
		require.NoError(t, p.Wait(ctx))
		require.Zero(t, p.ExitCode(), "%s stops cleanly", p.Name)
		require.NoError(t, s.Restart(ctx, p))
		require.NoError(t, s.WaitEntry(ctx, p))
	}
	requests.requireClean(ctx, t)
}

// An entry that its operator drains completes all accepted requests, and is no longer ready.
func TestDrainedEntryFinishesItsRequests(t *testing.T) {
	t.Parallel()
	ctx, s := start(t, launch.Plan{Tenants: []string{tenants.Rahmeh}, Domains: []string{"a", "b"}, Entries: 4})
	chats := stream(ctx, t, s, once, 8, longAnswer)
	requests := startLoad(ctx, t, s, loadWorkers)
	out, err := s.Papayactl(ctx, s.Entries[0], "drain")
	require.NoError(t, err, string(out))
	require.Eventually(t, func() bool { return !isReady(ctx, s, s.Entries[0]) }, 10*time.Second, 50*time.Millisecond)
	before := requests.completed()
	require.Eventually(t, func() bool { return requests.completed() > before+minRequests }, 30*time.Second, 50*time.Millisecond)
	requests.requireClean(ctx, t)
	chats.requireComplete(t)
}

func isReady(ctx context.Context, s *launch.System, p *launch.Process) bool {
	ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	return s.WaitEntry(ctx, p) == nil
}
