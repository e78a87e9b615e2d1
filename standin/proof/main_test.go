// Package proof holds the integration tests of papayaport's guarantees. They start whole systems
// of processes on loopback, and inject faults: killed, frozen and reclaimed processes and faulty
// links.
package proof

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	wire "papayaport.dev/serving/connection/engine"
	"papayaport.dev/standin/caller"
	"papayaport.dev/standin/engine"
	"papayaport.dev/standin/launch"
	"papayaport.dev/standin/tenants"
)

// testTimeout is the time limit of one test.
const testTimeout = 90 * time.Second

// binDir is the directory of the programs under test.
var binDir string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "papayaport-proof-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	programs := map[string]string{"papayaport": "entry", "papayactl": "ctl", "standin": "standin"}
	for program, module := range programs {
		args := append([]string{"build", "-o", filepath.Join(dir, program)}, buildFlags...)
		build := exec.Command("go", append(args, "papayaport.dev/"+module)...)
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "building %s: %v\n%s", program, err, out)
			return 1
		}
	}
	return m.Run()
}

// maxSystems is the number of systems that parallel tests run at a time.
const maxSystems = 3

var systems = make(chan struct{}, maxSystems)

// start starts a system, publishes the tenants' service files and waits until the entries are
// ready. The system is stopped at the end of the test; if the test failed, its logs are printed.
func start(t *testing.T, plan launch.Plan) (context.Context, *launch.System) {
	t.Helper()
	systems <- struct{}{}
	t.Cleanup(func() { <-systems })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	plan.BinDir = binDir
	s, err := launch.Start(ctx, plan)
	require.NoError(t, err)
	t.Cleanup(func() {
		requireNoRace(t, s)
		if t.Failed() {
			showLogs(t, s)
		}
		s.Stop()
	})
	require.NoError(t, s.PublishTenants(ctx))
	require.NoError(t, s.WaitReady(ctx))
	return ctx, s
}

// requireNoRace fails the test if an entry's log contains a report of the race detector.
func requireNoRace(t *testing.T, s *launch.System) {
	for _, p := range s.Entries {
		data, err := os.ReadFile(p.Log)
		require.NoError(t, err)
		if at := bytes.Index(data, []byte("WARNING: DATA RACE")); at >= 0 {
			t.Errorf("%s: %s", p.Name, data[at:min(len(data), at+logBytes)])
		}
	}
}

// logBytes is the number of bytes of each entry's log that are printed.
const logBytes = 3000

func showLogs(t *testing.T, s *launch.System) {
	for _, p := range s.Entries {
		data, _ := os.ReadFile(p.Log)
		t.Logf("%s:\n%s", p.Log, data[max(0, len(data)-logBytes):])
	}
}

// newClient returns a client of the balancer that opens a new connection for every request.
func newClient(s *launch.System, account string) *caller.Client {
	transport := &http.Transport{DisableKeepAlives: true}
	return caller.New(&http.Client{Transport: transport}, "http://"+s.Balancer, tenants.Key(account))
}

// rahmeh returns the tenant that most tests use.
func rahmeh(t *testing.T) tenants.Tenant {
	t.Helper()
	tenant, err := tenants.Get(tenants.Rahmeh)
	require.NoError(t, err)
	return tenant
}

// question returns a prompt that is unique to a request id.
func question(id string, words string) []wire.Message {
	return []wire.Message{{Role: "user", Content: id + ": " + words}}
}

// requireText checks that an answer is complete and has the expected text.
func requireText(t *testing.T, tenant tenants.Tenant, chat caller.Chat, got caller.Answer) {
	t.Helper()
	want := engine.Text(engine.Answer(tenant.ModelName(), chat.Messages, chat.MaxTokens))
	require.Equal(t, want, got.Text, "request %s", chat.RequestID)
	require.NotNil(t, got.Usage, "request %s has no final usage", chat.RequestID)
}
