package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/connection/administration"
	platformstore "papayaport.dev/serving/process/platform/store"
	"papayaport.dev/serving/version/publication"
	"papayaport.dev/standin/launch"
	"papayaport.dev/standin/link"
	"papayaport.dev/standin/store"
	"papayaport.dev/standin/tenants"
)

const (
	// inForceTimeout is the time within which a published version must be in force on all entries.
	inForceTimeout = 8 * time.Second
	// pollInterval is the time between two status queries.
	pollInterval = 50 * time.Millisecond
)

// Exit codes of papayactl.
const (
	codeDone     = 0
	codeNotDone  = 1
	codeUnknown  = 3
	codeConflict = 4
)

// versions is a system whose published versions are monitored on every entry.
type versions struct {
	t   *testing.T
	ctx context.Context
	s   *launch.System
	dir string
}

func startVersions(t *testing.T, plan launch.Plan) *versions {
	plan.Tenants = []string{tenants.Rahmeh}
	ctx, s := start(t, plan)
	v := &versions{t: t, ctx: ctx, s: s, dir: t.TempDir()}
	v.watch()
	return v
}

// client returns a client of one entry's administration listener.
func (v *versions) client(p *launch.Process) *administration.Client {
	return administration.NewClient(&http.Client{Timeout: 5 * time.Second}, []string{"http://" + p.Administration}, v.s.OperatorToken)
}

// watch polls the version of every entry until the test ends, and checks that it never decreases
// within one incarnation.
func (v *versions) watch() {
	ctx, cancel := context.WithCancel(v.ctx)
	var watchers sync.WaitGroup
	v.t.Cleanup(func() {
		cancel()
		watchers.Wait()
	})
	for _, p := range v.s.Entries {
		watchers.Go(func() { v.watchOne(ctx, p) })
	}
}

func (v *versions) watchOne(ctx context.Context, p *launch.Process) {
	client := v.client(p)
	highest := map[uint64]uint64{}
	for ctx.Err() == nil {
		status, err := client.Status(ctx)
		if err == nil && status.Version < highest[status.Incarnation] {
			v.t.Errorf("the version of %s decreased from %d to %d", p.Name, highest[status.Incarnation], status.Version)
		}
		if err == nil {
			highest[status.Incarnation] = status.Version
		}
		time.Sleep(pollInterval)
	}
}

// file writes a service file with the given deadline, and returns its path.
func (v *versions) file(deadlineMS int) string {
	tenant := rahmeh(v.t)
	file := tenant.Services[tenant.Plain]
	file.DeadlineMS = int64(deadlineMS)
	data, err := json.Marshal(file)
	require.NoError(v.t, err)
	path := filepath.Join(v.dir, fmt.Sprintf("%d.service.json", deadlineMS))
	require.NoError(v.t, os.WriteFile(path, data, 0o600))
	return path
}

// papayactl runs papayactl against one entry and returns its exit code and output.
func (v *versions) papayactl(p *launch.Process, args ...string) (int, string) {
	out, err := v.s.Papayactl(v.ctx, p, args...)
	var exitErr *exec.ExitError
	if errors.As(err, &exitErr) {
		return exitErr.ExitCode(), string(out)
	}
	require.NoError(v.t, err)
	return codeDone, string(out)
}

// publish publishes a service file through one entry and returns the version.
func (v *versions) publish(p *launch.Process, deadlineMS int) uint64 {
	code, out := v.papayactl(p, "--json", "publish", v.file(deadlineMS))
	require.Equal(v.t, codeDone, code, out)
	var result publication.Result
	require.NoError(v.t, json.Unmarshal([]byte(out), &result))
	return result.Head.Version
}

// requireInForce waits until all given entries have at least the given version, and returns the
// time that this took.
func (v *versions) requireInForce(version uint64, entries ...*launch.Process) time.Duration {
	since := time.Now()
	for _, p := range entries {
		v.requireVersion(p, version, since.Add(inForceTimeout))
	}
	return time.Since(since)
}

// requireVersion waits until one entry has at least the given version.
func (v *versions) requireVersion(p *launch.Process, version uint64, deadline time.Time) {
	for {
		status, err := v.client(p).Status(v.ctx)
		if err == nil && status.Version >= version {
			return
		}
		require.True(v.t, time.Now().Before(deadline), "%s has version %d, want %d (%v)", p.Name, status.Version, version, err)
		time.Sleep(pollInterval)
	}
}

// history returns the whole audit trail in ascending order of versions.
func (v *versions) history(p *launch.Process) []publication.Head {
	answer, err := v.client(p).History(v.ctx, 0, publication.MaxHistory)
	require.NoError(v.t, err)
	slices.Reverse(answer.Versions)
	for i, head := range answer.Versions {
		require.Equal(v.t, uint64(i+1), head.Version)
		require.Equal(v.t, "operator", head.Operator)
	}
	return answer.Versions
}

func (v *versions) storeFaults(faults store.Faults) {
	require.NoError(v.t, v.s.SetFaults(v.ctx, v.s.Store, faults))
}

// Versions published through each entry in turn are in force on all 8 entries within 8 s each,
// and the audit trail contains all of them.
func TestVersionIsInForceOnAllEntries(t *testing.T) {
	v := startVersions(t, launch.Plan{})
	longest := time.Duration(0)
	version := uint64(0)
	for i := range 10 {
		version = v.publish(v.s.Entries[i%len(v.s.Entries)], 20_000+i)
		longest = max(longest, v.requireInForce(version, v.s.Entries...))
	}
	t.Logf("longest time until a version was in force on %d entries: %v", len(v.s.Entries), longest)
	require.Len(t, v.history(v.s.Entries[3]), int(version))
	for _, p := range v.s.Entries {
		current, err := v.client(p).Current(v.ctx)
		require.NoError(t, err)
		require.Contains(t, string(current.Files[rahmeh(t).Plain]), `"deadline_ms":20009`)
	}
}

// A failure domain that is partitioned from the store receives versions from its peers, and
// rejects a publication without any effect.
func TestPartitionedDomainGetsVersionsFromPeers(t *testing.T) {
	v := startVersions(t, launch.Plan{Links: true})
	var cut, connected []*launch.Process
	for _, p := range v.s.Entries {
		if p.Instance.FailureDomain == "a" {
			cut = append(cut, p)
			continue
		}
		connected = append(connected, p)
	}
	require.NotEmpty(t, cut)
	for _, mode := range []link.Mode{link.Cut, link.Freeze} {
		require.NoError(t, v.s.SetLinkFaults(v.ctx, link.Faults{Relay: "store-a", Mode: mode}))
		version := v.publish(connected[0], 30_000+len(mode))
		t.Logf("store-a %s: in force on all entries after %v", mode, v.requireInForce(version, v.s.Entries...))
	}
	before := len(v.history(connected[0]))
	code, out := v.papayactl(cut[0], "publish", v.file(31_000))
	require.Equal(t, codeNotDone, code, out)
	require.Len(t, v.history(connected[0]), before)
	require.NoError(t, v.s.SetLinkFaults(v.ctx, link.Faults{Relay: "store-a", Mode: link.Pass}))
	v.requireInForce(v.publish(cut[0], 32_000), v.s.Entries...)
}

// The status of an entry that is partitioned from the store reports the store as stale, with the
// age of its data.
func TestStatusReportsStaleStore(t *testing.T) {
	v := startVersions(t, launch.Plan{Domains: []string{"a", "b"}, Entries: 2, Links: true})
	store := func() (administration.Source, bool) {
		status, err := v.client(v.s.Entries[0]).Status(v.ctx)
		at := slices.IndexFunc(status.Sources, func(source administration.Source) bool { return source.Kind == "store" })
		if err != nil || at < 0 {
			return administration.Source{}, false
		}
		return status.Sources[at], true
	}
	require.Eventually(t, func() bool { source, ok := store(); return ok && !source.Stale }, 10*time.Second, pollInterval)
	require.NoError(t, v.s.SetLinkFaults(v.ctx, link.Faults{Relay: "store-a", Mode: link.Cut}))
	since := time.Now()
	stale := func() bool { source, ok := store(); return ok && source.Stale }
	require.Eventually(t, stale, 30*time.Second, pollInterval, "the status reports that the store is stale")
	for range 10 {
		source, ok := store()
		require.True(t, ok && source.Stale)
		require.InDelta(t, time.Since(since).Seconds(), float64(source.AgeMS)/1000, 5)
		time.Sleep(200 * time.Millisecond)
	}
	require.NoError(t, v.s.SetLinkFaults(v.ctx, link.Faults{Relay: "store-a", Mode: link.Pass}))
	require.Eventually(t, func() bool { return !stale() }, 30*time.Second, pollInterval, "the status reports that the store is current again")
}

// An entry that starts while the store is down or returns stale reads starts with the highest
// version that its peers have.
func TestNewEntryStartsWithHighestVersion(t *testing.T) {
	faults := map[string]func(*versions) store.Faults{
		"outage":      func(*versions) store.Faults { return store.Faults{Outage: true} },
		"silent":      func(*versions) store.Faults { return store.Faults{Silent: true} },
		"stale reads": (*versions).staleReads,
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			v := startVersions(t, launch.Plan{Domains: []string{"a", "b"}, Entries: 4})
			version := uint64(0)
			for i := range 8 {
				version = v.publish(v.s.Entries[0], 40_000+i)
			}
			v.requireInForce(version, v.s.Entries...)
			v.storeFaults(fault(v))
			p := v.s.Entries[1]
			require.NoError(t, p.Kill())
			require.NoError(t, p.Wait(v.ctx))
			before, err := os.ReadFile(p.Log)
			require.NoError(t, err)
			require.NoError(t, v.s.Restart(v.ctx, p))
			require.NoError(t, v.s.WaitEntry(v.ctx, p))
			after, err := os.ReadFile(p.Log)
			require.NoError(t, err)
			first := inForcePattern.FindSubmatch(bytes.TrimPrefix(after, before))
			require.NotNil(t, first)
			require.Equal(t, fmt.Sprint(version), string(first[1]), "the first version in force is the highest one")
			v.storeFaults(store.Faults{})
			v.requireInForce(v.publish(p, 50_000), v.s.Entries...)
		})
	}
}

var inForcePattern = regexp.MustCompile(`publication: version in force.* version=([0-9]+)`)

// staleReads sets and returns store faults under which reads return one of the first versions.
func (v *versions) staleReads() store.Faults {
	client := platformstore.New(&http.Client{Timeout: time.Second}, v.s.Store, "tenant/")
	for revisions := uint64(200); revisions > 0; revisions -= 2 {
		faults := store.Faults{StaleReads: revisions}
		v.storeFaults(faults)
		entry, err := client.Get(v.ctx, publication.HeadKey)
		if err != nil {
			continue
		}
		head, err := publication.DecodeHead(entry.Value)
		require.NoError(v.t, err)
		require.Less(v.t, head.Version, uint64(4))
		return faults
	}
	require.Fail(v.t, "the store returns no early version")
	return store.Faults{}
}

// Exactly one of several operators who publish on the same base version concurrently succeeds,
// and the others receive a conflict that names the successful one.
func TestOneConcurrentPublisherSucceeds(t *testing.T) {
	v := startVersions(t, launch.Plan{Domains: []string{"a", "b"}, Entries: 4})
	const rounds, publishers = 8, 3
	base := len(v.history(v.s.Entries[0]))
	for round := range rounds {
		paths := make([]string, publishers)
		for i := range publishers {
			paths[i] = v.file(60_000 + round*publishers + i)
		}
		codes := make([]int, publishers)
		outs := make([]string, publishers)
		var group sync.WaitGroup
		for i := range publishers {
			group.Go(func() {
				codes[i], outs[i] = v.papayactl(v.s.Entries[i], "publish", "--base", fmt.Sprint(base+round), paths[i])
			})
		}
		group.Wait()
		winners := 0
		for i, code := range codes {
			if code == codeDone {
				winners++
				continue
			}
			require.Equal(t, codeConflict, code, outs[i])
			require.Contains(t, outs[i], fmt.Sprintf("version %d was published first by operator", base+round+1))
		}
		require.Equal(t, 1, winners, outs)
	}
	require.Len(t, v.history(v.s.Entries[3]), base+rounds)
	v.requireInForce(uint64(base+rounds), v.s.Entries...)
}

// The store loses answers to applied writes, loses writes, and is unreachable at times. The exit
// codes of papayactl must agree with the audit trail, and an unknown result must be resolved by a
// later status query.
func TestPublishResultsMatchHistory(t *testing.T) {
	v := startVersions(t, launch.Plan{Domains: []string{"a", "b"}, Entries: 4, Links: true})
	codes := map[string]int{}
	unknown := map[string]publication.ID{}
	const attempts = 10
	for i := range attempts {
		note := fmt.Sprintf("attempt-%d", i)
		v.storeFaults(store.Faults{LoseAnswers: 0.4, LoseRequests: 0.2, Seed: uint64(i)})
		stop := v.outage(i, time.Duration(100+40*(i%5))*time.Millisecond)
		code, out := v.papayactl(v.s.Entries[i%4], "--json", "publish", "-m", note, v.file(70_000+i))
		stop()
		codes[note] = code
		if code == codeUnknown {
			unknown[note] = publicationIn(t, out)
		}
		t.Logf("%s: exit code %d", note, code)
	}
	v.storeFaults(store.Faults{})
	v.publish(v.s.Entries[0], 80_000)
	published := map[string]bool{}
	for _, head := range v.history(v.s.Entries[1]) {
		published[head.Note] = true
	}
	for note, code := range codes {
		switch code {
		case codeDone:
			require.True(t, published[note], "%s was reported as published", note)
		case codeNotDone, codeConflict:
			require.False(t, published[note], "%s was reported as not published", note)
		default:
			require.Equal(t, codeUnknown, code)
			code, out := v.papayactl(v.s.Entries[2], "status", "--publication", string(unknown[note]))
			want := map[bool]int{true: codeDone, false: codeConflict}[published[note]]
			require.Equal(t, want, code, out)
		}
	}
}

// outage freezes the links to the store during every seventh attempt, for longer than papayactl
// waits. The returned function restores them.
func (v *versions) outage(attempt int, after time.Duration) (stop func()) {
	if attempt%7 != 3 {
		return func() {}
	}
	timer := time.AfterFunc(after, func() {
		_ = v.s.SetLinkFaults(v.ctx, link.Faults{Relay: "store-*", Mode: link.Freeze})
	})
	return func() {
		timer.Stop()
		require.NoError(v.t, v.s.SetLinkFaults(v.ctx, link.Faults{Relay: "store-*", Mode: link.Pass}))
	}
}

var publicationPattern = regexp.MustCompile(`--publication ([0-9]+-[0-9a-f-]{36})`)

func publicationIn(t *testing.T, out string) publication.ID {
	found := publicationPattern.FindStringSubmatch(out)
	require.Len(t, found, 2, out)
	return publication.ID(found[1])
}
