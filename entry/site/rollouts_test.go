package site

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/process/directory"
	"papayaport.dev/serving/process/lease"
	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/process/platform/store"
	"papayaport.dev/serving/version/rollout"
)

const boundedSettings = goodSettings + `, "rollout": {"exposure_share": 0.1, "exposure_slack": 50, "rollback_ms": 5000}}`

// newRolloutSite returns a site with exposure bounds for roll-outs, and its log output.
func newRolloutSite(t *testing.T) (*Site, *bytes.Buffer) {
	set, faults := Parse("entry.json", []byte(boundedSettings))
	require.Empty(t, faults)
	lines := &bytes.Buffer{}
	log := logrus.New()
	log.SetOutput(lines)
	s, err := New(set, Platform{}, log, noLines{})
	require.NoError(t, err)
	return s, lines
}

func recordEntry(t *testing.T, record rollout.Record, revision uint64) platform.Entry {
	value, err := json.Marshal(record)
	require.NoError(t, err)
	return platform.Entry{Key: rolloutsPrefix + record.Service, Value: value, Revision: revision}
}

// versioned returns one server of the service app for each of the versions.
func versioned(versions ...string) []directory.Server {
	var servers []directory.Server
	for i, version := range versions {
		servers = append(servers, directory.Server{
			ID: version + "-" + string(rune('a'+i)), Incarnation: 1, Service: "app", Address: "10.0.0.9:1",
			FailureDomain: "a", Slots: 4, Version: version,
		})
	}
	return servers
}

var testOrder = rollout.Order{Service: "app", To: "v2", Duration: 12 * time.Second, Revision: 5}

// TestRolloutsInViews guards against an instance that does not read the store and continues to use
// a version that the record bars, and against sending unchanged records with each view.
func TestRolloutsInViews(t *testing.T) {
	reader, _ := newRolloutSite(t)
	follower, _ := newRolloutSite(t)
	read := &viewPoller{site: reader, table: directory.New(directory.DefaultGracePeriod)}
	follow := &viewPoller{site: follower, table: directory.New(directory.DefaultGracePeriod)}
	own := platform.Entry{Key: entriesPrefix + "e", Value: []byte(`{"incarnation": 1}`)}
	look := func(view View) *viewReply {
		read.apply(storeView{at: clock.Boot(), servers: view.Servers, own: view.Own, rollouts: rolloutsOf(view)})
		held := follower.view.Load()
		if held == nil {
			held = &storeView{}
		}
		answer := reader.handleViewQuery(viewQuery{Servers: held.serversDigest, Rollouts: held.rolloutsDigest})
		follow.applyReply(held, answer, 0)
		return answer
	}
	servers := versioned("v1", "v2")
	record := rollout.Record{Service: "app", To: "v2", Order: 5, Phase: rollout.Trial, From: []string{"v1"}, DurationMS: 12000}

	look(View{Servers: servers, Own: []platform.Entry{own}})
	require.Empty(t, follower.rollouts.Pick("app", "r", false).Excluded)
	look(View{Servers: servers, Orders: []rollout.Order{testOrder}})
	require.Equal(t, []string{"v2"}, follower.rollouts.Pick("app", "r", false).Excluded, "an order without a record")
	view := View{Servers: servers, Orders: []rollout.Order{testOrder}, Own: []platform.Entry{own, recordEntry(t, record, 6)}}
	require.Len(t, look(view).Rollouts.Records, 1, "records of entry instances are not included")
	order, phase := follower.rollouts.gate.Applied("app")
	require.Equal(t, []any{uint64(5), rollout.Trial}, []any{order, phase})
	require.Nil(t, look(view).Rollouts, "the follower has the same")
	_, phase = follower.rollouts.gate.Applied("app")
	require.Equal(t, rollout.Trial, phase, "parts that were not sent are kept")

	record.Phase = rollout.Reverted
	look(View{Servers: servers, Orders: []rollout.Order{testOrder}, Own: []platform.Entry{recordEntry(t, record, 7)}})
	require.Equal(t, []string{"v2"}, follower.rollouts.Pick("app", "r", false).Excluded)
	_, phase = follower.rollouts.gate.Applied("app")
	require.Equal(t, rollout.Reverted, phase)
}

// TestOrdersWithoutBounds guards against roll-outs in a deployment without exposure bounds, and
// against logging an ignored order with each view.
func TestOrdersWithoutBounds(t *testing.T) {
	s := newTestSite(t)
	lines := &bytes.Buffer{}
	s.log.SetOutput(lines)
	v := &viewPoller{site: s, table: directory.New(directory.DefaultGracePeriod)}
	record := rollout.Record{Service: "app", To: "v2", Order: 5, Phase: rollout.Reverted}
	for range 3 {
		view := View{Servers: versioned("v1", "v2"), Orders: []rollout.Order{testOrder}, Own: []platform.Entry{recordEntry(t, record, 6)}}
		v.apply(storeView{at: clock.Boot(), servers: view.Servers, rollouts: rolloutsOf(view)})
	}
	require.Equal(t, 1, strings.Count(lines.String(), "rollout: order ignored"))
	require.Nil(t, s.rollouts)
	require.Nil(t, s.handleRolloutQuery(rolloutQuery{Fencing: 1, Services: []string{"app"}}))
	require.False(t, s.rollouts.isUnused("app", "v2"))
	require.False(t, s.rollouts.inProgress("app"))
	_, _, ok := strings.Cut(lines.String(), "rollout: phase applied")
	require.False(t, ok)
}

// TestStaleViews guards against a holder that reverts to a record which it has replaced itself,
// because a view was read before the write.
func TestStaleViews(t *testing.T) {
	s, lines := newRolloutSite(t)
	trial := rollout.Record{Service: "app", To: "v2", Order: 5, Phase: rollout.Trial}
	shift := trial
	shift.Phase = rollout.Shift
	before := clock.Boot()
	s.rollouts.setWritten(before.Add(time.Second), shift, 9)
	phase := func() rollout.Phase { return s.rollouts.records["app"].Phase }
	s.rollouts.setRecords(s.logger("rollout"), before, []platform.Entry{recordEntry(t, trial, 7)})
	require.Equal(t, rollout.Shift, phase())
	s.rollouts.setRecords(s.logger("rollout"), before, nil)
	require.Equal(t, rollout.Shift, phase(), "the view is older than the write")
	s.rollouts.setRecords(s.logger("rollout"), before.Add(2*time.Second), nil)
	require.Empty(t, s.rollouts.records, "the record was removed")

	unreadable := platform.Entry{Key: rolloutsPrefix + "app", Value: []byte(`{`), Revision: 12}
	for range 3 {
		s.rollouts.setRecords(s.logger("rollout"), before.Add(3*time.Second), []platform.Entry{unreadable})
	}
	require.Equal(t, 1, strings.Count(lines.String(), "rollout: record unreadable"))
	require.Empty(t, s.rollouts.stored())
}

// rolloutStore is a fakeStore that implements Rollouts with conditional writes.
type rolloutStore struct {
	*fakeStore
	order  uint64
	writes []RolloutWrite
	// fails are the errors of the next writes. With a lost reply the write takes effect.
	fails []error
}

// WriteRollout implements Rollouts.
func (f *rolloutStore) WriteRollout(_ context.Context, write RolloutWrite) (platform.Entry, error) {
	f.writes = append(f.writes, write)
	var err error
	if len(f.fails) > 0 {
		err, f.fails = f.fails[0], f.fails[1:]
	}
	if err != nil && err != store.ErrUnknown {
		return platform.Entry{}, err
	}
	if write.OrderRevision != f.order || f.entries[write.Key].Revision != write.Revision {
		return platform.Entry{}, &store.Conflict{Entry: f.entries[write.Key]}
	}
	f.revision++
	f.entries[write.Key] = platform.Entry{Key: write.Key, Value: write.Record, Revision: f.revision}
	return f.entries[write.Key], err
}

// newHolder returns a site that holds the duties.
func newHolder(t *testing.T) (*Site, *rolloutStore, *bytes.Buffer) {
	s, lines := newRolloutSite(t)
	keys := &rolloutStore{fakeStore: newFakeStore(), order: testOrder.Revision}
	keys.revision = testOrder.Revision
	s.platform.Store, s.platform.Rollouts = keys, keys
	s.leases = lease.New(expiringLeases{keys}, "e/1", func() []string { return []string{dutyLease} },
		func(string) int { return 0 }, time.Minute, clock.Boot, rand.New(rand.NewPCG(1, 1)))
	go func() { _ = s.leases.Run(t.Context()) }()
	require.Eventually(t, func() bool { _, held := s.leases.Held(dutyLease); return held }, time.Second, time.Millisecond)
	return s, keys, lines
}

// TestHolderWrites guards against a record that is lost or written twice after a conflict, a lost
// reply or a write that failed.
func TestHolderWrites(t *testing.T) {
	for name, test := range map[string]struct {
		fails []error
		// another is what another holder writes first.
		another bool
		// first and second are the numbers of writes after one and two decisions, and gets the
		// reads of the record after two.
		first, second, gets int
		line                string
	}{
		"written":        {nil, false, 1, 1, 0, "rollout: trial"},
		"lost answer":    {[]error{store.ErrUnknown}, false, 1, 1, 1, "rollout: record read again"},
		"not written":    {[]error{store.ErrUnavailable}, false, 1, 2, 0, "rollout: record not written"},
		"unclear answer": {[]error{context.DeadlineExceeded}, false, 1, 2, 1, "rollout: no record is there"},
		"conflict":       {nil, true, 1, 1, 1, "rollout: conflict"},
	} {
		t.Run(name, func(t *testing.T) {
			s, keys, lines := newHolder(t)
			keys.fails = test.fails
			servers := versioned("v1", "v1", "v2", "v2")
			s.applyRolloutView(clock.Boot(), rolloutView{Orders: []rollout.Order{testOrder}}, servers)
			s.setServers(time.Now(), servers)
			if test.another {
				record := rollout.Record{Service: "app", To: "v2", Order: 5, Phase: rollout.Trial, StartedMS: time.Now().UnixMilli(), DurationMS: 12000}
				keys.revision++
				keys.entries[rolloutsPrefix+"app"] = recordEntry(t, record, keys.revision)
			}
			s.decideRollouts(t.Context(), 1)
			require.Len(t, keys.writes, test.first)
			require.Equal(t, rollout.Trial, keys.writes[0].Phase)
			require.Equal(t, testOrder.Revision, keys.writes[0].OrderRevision)
			require.Zero(t, keys.writes[0].Revision)
			s.decideRollouts(t.Context(), 1)
			require.Len(t, keys.writes, test.second)
			require.Equal(t, test.gets, keys.calls["get"])
			require.Contains(t, lines.String(), test.line)
			require.Equal(t, 1, strings.Count(lines.String(), "rollout: order seen"))
			order, phase := s.rollouts.gate.Applied("app")
			require.Equal(t, []any{testOrder.Revision, rollout.Trial}, []any{order, phase}, "known here before the next view")
			s.decideRollouts(t.Context(), 1)
			require.Len(t, s.rollouts.permits, 1)
			require.Len(t, keys.writes, test.second)
		})
	}
}

// TestSupersededHolder guards against writes of a superseded holder.
func TestSupersededHolder(t *testing.T) {
	s, keys, _ := newHolder(t)
	s.applyRolloutView(clock.Boot(), rolloutView{Orders: []rollout.Order{testOrder}}, versioned("v1", "v2"))
	s.decideRollouts(t.Context(), 99) // the lease has another fencing token by now
	require.Empty(t, keys.writes)
}

// TestRecordsAreReadBeforeTheNextWrite guards against a write that is based on a record which may
// have been replaced while the store can't be read.
func TestRecordsAreReadBeforeTheNextWrite(t *testing.T) {
	s, keys, _ := newHolder(t)
	servers := versioned("v1", "v2")
	s.applyRolloutView(clock.Boot(), rolloutView{Orders: []rollout.Order{testOrder}}, servers)
	s.setServers(time.Now(), servers)
	keys.fails = []error{store.ErrUnknown}
	s.decideRollouts(t.Context(), 1)
	require.Len(t, keys.writes, 1)
	s.platform.Store = downStore{keys}
	for range 3 {
		s.decideRollouts(t.Context(), 1)
	}
	require.Len(t, keys.writes, 1, "nothing is written before the record was read")
	s.platform.Store = keys
	s.decideRollouts(t.Context(), 1)
	require.Equal(t, rollout.Trial, s.rollouts.records["app"].Phase)
	require.Len(t, keys.writes, 1, "the first write was made")
}

// downStore is a Store whose reads fail.
type downStore struct{ Store }

// Get implements Store.
func (downStore) Get(context.Context, string) (platform.Entry, error) {
	return platform.Entry{}, store.ErrUnavailable
}
