package launch

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	wire "papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/process/platform/cloud"
	"papayaport.dev/serving/process/platform/instance"
	standin "papayaport.dev/standin/cloud"
	"papayaport.dev/standin/link"
	"papayaport.dev/standin/tenants"
)

const testTimeout = 60 * time.Second

// buildPrograms builds the stand-in program and returns its directory.
func buildPrograms(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-o", filepath.Join(dir, "standin"), "papayaport.dev/standin").CombinedOutput()
	require.NoError(t, err, string(out))
	return dir
}

func TestPlatformAndBackendsOverLinks(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	s, err := Start(ctx, Plan{
		BinDir: buildPrograms(t), Tenants: []string{tenants.Rahmeh}, Domains: []string{"a", "b"}, Entries: -1, Links: true,
	})
	require.NoError(t, err)
	defer s.Stop()

	list, err := instance.New(http.DefaultClient, s.Cloud).List(ctx)
	require.NoError(t, err)
	require.Len(t, list.Instances, 4)
	engine := InDomain("a", s.Engines)[0]
	listed := engine.Instance
	require.NotEqual(t, engine.URL(), listed.Address, "backend servers are reached through their relays")
	require.Positive(t, listed.PricePerHour)
	client := wire.New(&http.Client{Timeout: 300 * time.Millisecond}, listed.Address)
	load, err := client.Load(ctx)
	require.NoError(t, err)
	require.Equal(t, listed.Incarnation, load.Incarnation)
	require.NoError(t, s.SetLinkFaults(ctx, link.Faults{Relay: "backend-" + listed.ID, Mode: link.Freeze}))
	_, err = client.Load(ctx)
	require.Error(t, err)
	require.NoError(t, s.SetLinkFaults(ctx, link.Faults{Relay: "*"}))

	api := cloud.New(http.DefaultClient, s.Cloud)
	started, err := api.Start(ctx, platform.Start{RequestID: "r1", Service: "farewell-llm", Class: "t4", FailureDomain: "b"})
	require.NoError(t, err)
	_, err = wire.New(http.DefaultClient, started.Address).Load(ctx)
	require.NoError(t, err)

	require.NoError(t, s.Reclaim(ctx, standin.Reclaim{FailureDomain: "a", LeaveInMS: 200}))
	notices, err := api.Notices(ctx, 0, time.Second)
	require.NoError(t, err)
	require.Len(t, notices.Notices, 2)
	require.NoError(t, engine.Wait(ctx), "a reclaimed engine ends")
	require.Eventually(t, func() bool {
		list, err := instance.New(http.DefaultClient, s.Cloud).List(ctx)
		return err == nil && len(list.Instances) == 3
	}, 10*time.Second, 20*time.Millisecond, "and is no longer listed")

	require.NoError(t, s.Restart(ctx, engine))
	load, err = wire.New(http.DefaultClient, engine.URL()).Load(ctx)
	require.NoError(t, err)
	require.Greater(t, load.Incarnation, listed.Incarnation)
	require.False(t, load.Leaving)
}

func TestStopLeavesNothingRunning(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, err := Start(ctx, Plan{BinDir: buildPrograms(t), Tenants: []string{tenants.Rahmeh}, Domains: []string{"a"}, Entries: -1})
	require.NoError(t, err)
	var pids []int
	for _, p := range s.allProcesses() {
		pids = append(pids, p.PID())
	}
	require.Len(t, pids, 5)
	require.NoError(t, s.Engines[0].Freeze())
	dir := s.WorkDir
	s.Stop()
	for _, pid := range pids {
		require.ErrorIs(t, syscall.Kill(pid, 0), syscall.ESRCH)
	}
	_, err = os.Stat(dir)
	require.ErrorIs(t, err, os.ErrNotExist)
	require.Error(t, s.Restart(ctx, s.Engines[0]), "no process starts after Stop")
	s.Stop()
}

// parentEnv names the variable with the program directory that makes this test binary run as
// the parent to be killed.
const parentEnv = "PAPAYAPORT_TEST_PARENT"

func TestChildrenDieWithTheirParent(t *testing.T) {
	if dir := os.Getenv(parentEnv); dir != "" {
		runAsParent(t, dir)
	}
	parent := exec.Command(os.Args[0], "-test.run", "^TestChildrenDieWithTheirParent$")
	parent.Env = append(os.Environ(), parentEnv+"="+buildPrograms(t))
	out, err := parent.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, parent.Start())
	var pid int
	_, err = fmt.Fscanf(out, "%d\n", &pid)
	require.NoError(t, err)
	require.NoError(t, syscall.Kill(pid, 0), "the child runs")
	require.NoError(t, parent.Process.Kill())
	_ = parent.Wait()
	require.Eventually(t, func() bool { return processEnded(pid) }, 10*time.Second, 10*time.Millisecond)
}

// runAsParent starts a system, prints the id of one process and waits to be killed.
func runAsParent(t *testing.T, dir string) {
	s, err := Start(context.Background(), Plan{
		BinDir: dir, Tenants: []string{tenants.Rahmeh}, Domains: []string{"a"}, Entries: -1,
		WorkDir: filepath.Dir(dir),
	})
	require.NoError(t, err)
	fmt.Println(s.Engines[0].PID())
	time.Sleep(testTimeout)
}

// processEnded reports whether a process is gone or a zombie.
func processEnded(pid int) bool {
	state, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	return err != nil || strings.Contains(string(state), ") Z ")
}

func TestAddressesAreUnique(t *testing.T) {
	first, second := newAddressPool(), newAddressPool()
	seen := map[string]bool{}
	for range 300 {
		address, err := first.allocateOne()
		require.NoError(t, err)
		require.False(t, seen[address])
		seen[address] = true
	}
	taken, err := second.allocate(1)
	require.NoError(t, err)
	require.False(t, seen[taken[0]])
}
