package proof

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/standin/launch"
	"papayaport.dev/standin/tenants"
)

// TestSignalsDuringStop guards against signals that end the daemon before it has answered its
// requests: hang-ups while it serves, and all kinds of signals during its shutdown.
func TestSignalsDuringStop(t *testing.T) {
	t.Parallel()
	ctx, s := start(t, launch.Plan{Tenants: []string{tenants.Rahmeh}, Domains: []string{"a", "b"}, Entries: 4, StopGrace: 3 * time.Second})
	requests := startLoad(ctx, t, s, loadWorkers)
	for _, p := range s.Entries[:2] {
		for range 10 {
			require.NoError(t, p.Signal(syscall.SIGHUP))
			time.Sleep(20 * time.Millisecond)
		}
		require.NoError(t, p.Terminate())
		kinds := []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGQUIT, syscall.SIGINT, syscall.SIGPIPE, syscall.SIGUSR1}
		for i := 0; p.Running(); i++ {
			_ = p.Signal(kinds[i%len(kinds)]) // fails once the process has exited
			time.Sleep(20 * time.Millisecond)
		}
		require.Zero(t, p.ExitCode(), "%s stops cleanly", p.Name)
		require.NoError(t, s.Restart(ctx, p))
		require.NoError(t, s.WaitEntry(ctx, p))
	}
	requests.requireClean(ctx, t)
}
