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
	// inForceWithin is the time in which an accepted version must be in force everywhere.
	inForceWithin = 8 * time.Second
	// pollEvery is the time between two looks at all entries.
	pollEvery = 50 * time.Millisecond
)

// Exit codes of papayactl.
const (
	codeDone     = 0
	codeNotDone  = 1
	codeUnknown  = 3
	codeConflict = 4
)

// versions is a system whose configuration is published and watched.
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
	return administration.NewClient(&http.Client{Timeout: 5 * time.Second}, []string{"http://" + p.AdministrationAddress}, v.s.OperatorToken)
}

// watch follows the version of every entry until the test ends: within one incarnation
// it never goes back.
func (v *versions) watch() {
	ctx, cancel := context.WithCancel(v.ctx)
	var looking sync.WaitGroup
	v.t.Cleanup(func() {
		cancel()
		looking.Wait()
	})
	for _, p := range v.s.Entries {
		looking.Go(func() { v.watchOne(ctx, p) })
	}
}

func (v *versions) watchOne(ctx context.Context, p *launch.Process) {
	client := v.client(p)
	highest := map[uint64]uint64{}
	for ctx.Err() == nil {
		status, err := client.Status(ctx)
		if err == nil && status.Version < highest[status.Incarnation] {
			v.t.Errorf("%s went back from version %d to %d", p.Name, highest[status.Incarnation], status.Version)
		}
		if err == nil {
			highest[status.Incarnation] = status.Version
		}
		time.Sleep(pollEvery)
	}
}

// file writes a service file that differs by its deadline, and returns its path.
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

// control runs papayactl against one entry and returns its exit code and output.
func (v *versions) control(p *launch.Process, args ...string) (int, string) {
	out, err := v.s.Papayactl(v.ctx, p, args...)
	var ended *exec.ExitError
	if errors.As(err, &ended) {
		return ended.ExitCode(), string(out)
	}
	require.NoError(v.t, err)
	return codeDone, string(out)
}

// publish publishes through one entry and returns the version.
func (v *versions) publish(p *launch.Process, deadlineMS int) uint64 {
	code, out := v.control(p, "--json", "publish", v.file(deadlineMS))
	require.Equal(v.t, codeDone, code, out)
	var result publication.Result
	require.NoError(v.t, json.Unmarshal([]byte(out), &result))
	return result.Head.Version
}

// requireInForce waits until all given entries have at least a version, and returns how
// long that took.
func (v *versions) requireInForce(version uint64, entries ...*launch.Process) time.Duration {
	since := time.Now()
	for _, p := range entries {
		v.requireVersion(p, version, since.Add(inForceWithin))
	}
	return time.Since(since)
}

// requireVersion waits until one entry has at least a version.
func (v *versions) requireVersion(p *launch.Process, version uint64, deadline time.Time) {
	for {
		status, err := v.client(p).Status(v.ctx)
		if err == nil && status.Version >= version {
			return
		}
		require.True(v.t, time.Now().Before(deadline), "%s has version %d, not %d (%v)", p.Name, status.Version, version, err)
		time.Sleep(pollEvery)
	}
}

// history reads the whole audit trail, first version first.
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

// A run of versions published through all entries in turn is in force on all 8 within
// 8 s each, and the audit trail holds each of them.
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

// A failure domain that is cut from the store gets versions from peers, and refuses to
// publish without having done anything.
func TestDomainCutFromStoreGetsVersionsFromPeers(t *testing.T) {
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
	code, out := v.control(cut[0], "publish", v.file(31_000))
	require.Equal(t, codeNotDone, code, out)
	require.Len(t, v.history(connected[0]), before)
	require.NoError(t, v.s.SetLinkFaults(v.ctx, link.Faults{Relay: "store-a", Mode: link.Pass}))
	v.requireInForce(v.publish(cut[0], 32_000), v.s.Entries...)
}

// An entry that is cut from the store says so, and for how long.
func TestStatusTellsThatStoreIsStale(t *testing.T) {
	v := startVersions(t, launch.Plan{Domains: []string{"a", "b"}, Entries: 2, Links: true})
	store := func() (administration.Source, bool) {
		status, err := v.client(v.s.Entries[0]).Status(v.ctx)
		at := slices.IndexFunc(status.Sources, func(source administration.Source) bool { return source.Kind == "store" })
		if err != nil || at < 0 {
			return administration.Source{}, false
		}
		return status.Sources[at], true
	}
	require.Eventually(t, func() bool { source, ok := store(); return ok && !source.Stale }, 10*time.Second, pollEvery)
	require.NoError(t, v.s.SetLinkFaults(v.ctx, link.Faults{Relay: "store-a", Mode: link.Cut}))
	since := time.Now()
	stale := func() bool { source, ok := store(); return ok && source.Stale }
	require.Eventually(t, stale, 30*time.Second, pollEvery, "the status says that the store is stale")
	for range 10 {
		source, ok := store()
		require.True(t, ok && source.Stale)
		require.InDelta(t, time.Since(since).Seconds(), float64(source.AgeMS)/1000, 5)
		time.Sleep(200 * time.Millisecond)
	}
	require.NoError(t, v.s.SetLinkFaults(v.ctx, link.Faults{Relay: "store-a", Mode: link.Pass}))
	require.Eventually(t, func() bool { return !stale() }, 30*time.Second, pollEvery, "the status says that the store answers")
}

// An entry that starts while the store is down, or answers from the past, begins with
// the highest version that its peers know.
func TestNewEntryStartsWithHighestVersion(t *testing.T) {
	faults := map[string]func(*versions) store.Faults{
		"outage":      func(*versions) store.Faults { return store.Faults{Outage: true} },
		"silent":      func(*versions) store.Faults { return store.Faults{Silent: true} },
		"stale reads": (*versions).past,
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

// past returns faults under which the store answers with one of the first versions.
func (v *versions) past() store.Faults {
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
	require.Fail(v.t, "the store has no past")
	return store.Faults{}
}

// Of operators who publish on one base at once exactly one wins, and the others are told
// by whom.
func TestRaceOfPublishersHasOneWinner(t *testing.T) {
	v := startVersions(t, launch.Plan{Domains: []string{"a", "b"}, Entries: 4})
	const rounds, racers = 8, 3
	base := len(v.history(v.s.Entries[0]))
	for round := range rounds {
		paths := make([]string, racers)
		for i := range racers {
			paths[i] = v.file(60_000 + round*racers + i)
		}
		codes := make([]int, racers)
		outs := make([]string, racers)
		var racing sync.WaitGroup
		for i := range racers {
			racing.Go(func() {
				codes[i], outs[i] = v.control(v.s.Entries[i], "publish", "--base", fmt.Sprint(base+round), paths[i])
			})
		}
		racing.Wait()
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

// The store carries out writes and loses their answers, or loses the writes, and goes
// down in between: what papayactl said agrees with the audit trail, and what it did not
// know it finds out later.
func TestLostAnswersAreToldTruly(t *testing.T) {
	v := startVersions(t, launch.Plan{Domains: []string{"a", "b"}, Entries: 4, Links: true})
	said := map[string]int{}
	open := map[string]publication.ID{}
	const attempts = 10
	for i := range attempts {
		note := fmt.Sprintf("attempt-%d", i)
		v.storeFaults(store.Faults{LoseAnswers: 0.4, LoseRequests: 0.2, Seed: uint64(i)})
		stop := v.outage(i, time.Duration(100+40*(i%5))*time.Millisecond)
		code, out := v.control(v.s.Entries[i%4], "--json", "publish", "-m", note, v.file(70_000+i))
		stop()
		said[note] = code
		if code == codeUnknown {
			open[note] = publicationIn(t, out)
		}
		t.Logf("%s: exit code %d", note, code)
	}
	v.storeFaults(store.Faults{})
	v.publish(v.s.Entries[0], 80_000)
	landed := map[string]bool{}
	for _, head := range v.history(v.s.Entries[1]) {
		landed[head.Note] = true
	}
	for note, code := range said {
		switch code {
		case codeDone:
			require.True(t, landed[note], "%s was told landed", note)
		case codeNotDone, codeConflict:
			require.False(t, landed[note], "%s was told not landed", note)
		default:
			require.Equal(t, codeUnknown, code)
			code, out := v.control(v.s.Entries[2], "status", "--publication", string(open[note]))
			want := map[bool]int{true: codeDone, false: codeConflict}[landed[note]]
			require.Equal(t, want, code, out)
		}
	}
}

// outage takes every third publication's store away for longer than papayactl waits.
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
