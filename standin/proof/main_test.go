// Package proof holds the integration tests of papayaport's promises: real processes on
// loopback, with faults by kill, freeze, reclaim and faulty links.
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

// testLimit bounds one test.
const testLimit = 90 * time.Second

// binDir holds the programs under test.
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

// systemsAtATime bounds the systems of parallel tests.
const systemsAtATime = 3

var systems = make(chan struct{}, systemsAtATime)

// start starts a system with published service files and ready entries. It is stopped at
// the end of the test; the logs of a failed test are shown.
func start(t *testing.T, plan launch.Plan) (context.Context, *launch.System) {
	t.Helper()
	systems <- struct{}{}
	t.Cleanup(func() { <-systems })
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
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

// requireNoRace fails a test when the race detector found something in an entry.
func requireNoRace(t *testing.T, s *launch.System) {
	for _, p := range s.Entries {
		data, err := os.ReadFile(p.Log)
		require.NoError(t, err)
		if at := bytes.Index(data, []byte("WARNING: DATA RACE")); at >= 0 {
			t.Errorf("%s: %s", p.Name, data[at:min(len(data), at+logBytes)])
		}
	}
}

// logBytes is the part of each entry's log that is shown.
const logBytes = 3000

func showLogs(t *testing.T, s *launch.System) {
	for _, p := range s.Entries {
		data, _ := os.ReadFile(p.Log)
		t.Logf("%s:\n%s", p.Log, data[max(0, len(data)-logBytes):])
	}
}

// fresh returns a client of the balancer that opens a connection for every request.
func fresh(s *launch.System, account string) *caller.Client {
	transport := &http.Transport{DisableKeepAlives: true}
	return caller.New(&http.Client{Transport: transport}, "http://"+s.Balancer, tenants.Key(account))
}

// rahmeh returns the tenant of most tests.
func rahmeh(t *testing.T) tenants.Tenant {
	t.Helper()
	tenant, err := tenants.Get(tenants.Rahmeh)
	require.NoError(t, err)
	return tenant
}

// question returns a prompt that no other request has.
func question(id string, words string) []wire.Message {
	return []wire.Message{{Role: "user", Content: id + ": " + words}}
}

// requireText compares an answer with the undisturbed one.
func requireText(t *testing.T, tenant tenants.Tenant, chat caller.Chat, got caller.Answer) {
	t.Helper()
	want := engine.Text(engine.Answer(tenant.ModelName(), chat.Messages, chat.MaxTokens))
	require.Equal(t, want, got.Text, "request %s", chat.RequestID)
	require.NotNil(t, got.Usage, "request %s has no final usage", chat.RequestID)
}
