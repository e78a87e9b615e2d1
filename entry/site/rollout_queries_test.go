package site

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/process/membership"
	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/process/sizing"
	"papayaport.dev/serving/request/route"
	"papayaport.dev/serving/version/deployment"
	"papayaport.dev/serving/version/rollout"
)

// inPhase applies a roll-out record to a site that has servers of both versions.
func inPhase(t *testing.T, s *Site, record rollout.Record) {
	servers := versioned("v1", "v1", "v2", "v2", "v0")
	record.Service, record.Order, record.DurationMS = "app", testOrder.Revision, 12000
	held := rolloutView{Orders: []rollout.Order{testOrder}, Records: []platform.Entry{recordEntry(t, record, 6)}}
	s.applyRolloutView(clock.Boot(), held, servers)
	s.setServers(time.Now(), servers)
}

var trialRecord = rollout.Record{To: "v2", Phase: rollout.Trial, From: []string{"v1"}, Barred: []string{"v0"}}

// TestRolloutQueries guards against a trial that continues without a decision, and against permits
// of a superseded holder.
func TestRolloutQueries(t *testing.T) {
	holder, _ := newRolloutSite(t)
	inPhase(t, holder, trialRecord)
	now := clock.Boot()
	decisions := []rollout.Decision{{Record: holder.rollouts.records["app"].Record, Permit: true}}
	holder.rollouts.setPermits(now, 7, decisions)
	request := holder.rollouts.nextQuery(now.Add(permitTTL), 7)
	require.Equal(t, []string{"app"}, request.Services)
	require.Equal(t, []rollout.Permit{{Service: "app", Order: testOrder.Revision, Phase: rollout.Trial}}, request.Permits)
	require.Empty(t, holder.rollouts.nextQuery(now.Add(permitTTL+time.Millisecond), 7).Permits, "the last decision has expired")

	peer, lines := newRolloutSite(t)
	inPhase(t, peer, trialRecord)
	fresh := func() bool {
		_, fresh := peer.rollouts.gate.PermitAge(clock.Boot(), "app")
		return fresh
	}
	peer.rollouts.applyPermits(clock.Boot().Add(-time.Hour), 8, nil)
	peer.handleRolloutQuery(request)
	require.False(t, fresh(), "a newer holder has sent permits")
	request.Fencing = 9
	reports := peer.handleRolloutQuery(request)
	require.True(t, fresh())
	require.Len(t, reports, 1)
	require.Equal(t, []any{"app", testOrder.Revision, rollout.Trial, "e"},
		[]any{reports[0].Service, reports[0].Order, reports[0].Applied, reports[0].Instance})

	peer.logExpiredPermits()
	require.Zero(t, strings.Count(lines.String(), "rollout: permit expired"))
	peer.rollouts.gate = rollout.NewGate(peer.settings.Rollout.limits())
	peer.applyRollouts(peer.backends())
	for range 3 {
		peer.logExpiredPermits()
	}
	require.Equal(t, 1, strings.Count(lines.String(), "rollout: permit expired"))

	// Nothing is queried in a phase other than trial and shift.
	done := trialRecord
	done.Phase = rollout.Reverted
	other, _ := newRolloutSite(t)
	inPhase(t, other, done)
	require.Empty(t, other.rollouts.nextQuery(clock.Boot(), 7).Services)
}

// TestMessagesOfOtherVersions guards the compatibility of peer messages between two versions of
// this program in one fleet.
func TestMessagesOfOtherVersions(t *testing.T) {
	type oldQuery struct {
		Roll bool       `cbor:"3,keyasint,omitempty"`
		View *viewQuery `cbor:"4,keyasint,omitempty"`
	}
	type oldReply struct {
		NotKnown bool `cbor:"5,keyasint,omitempty"`
	}
	data, err := cbor.Marshal(query{Rollouts: &rolloutQuery{Fencing: 1, Services: []string{"app"}}})
	require.NoError(t, err)
	var old oldQuery
	require.NoError(t, cbor.Unmarshal(data, &old))
	require.Equal(t, oldQuery{}, old, "an older instance decodes none of its queries")
	data, err = cbor.Marshal(oldReply{NotKnown: true})
	require.NoError(t, err)
	var answered reply
	require.NoError(t, cbor.Unmarshal(data, &answered))
	require.Empty(t, answered.Rollouts)
	require.Nil(t, answered.View)

	s, _ := newRolloutSite(t)
	inPhase(t, s, trialRecord)
	data, err = cbor.Marshal(query{Rollouts: &rolloutQuery{Fencing: 1, Services: []string{"app"}}})
	require.NoError(t, err)
	data, err = (&peerHandler{s}).Action(t.Context(), data)
	require.NoError(t, err)
	require.NoError(t, cbor.Unmarshal(data, &answered))
	require.Len(t, answered.Rollouts, 1)
}

// TestDuePeers guards against rounds that query more peers than the smallest instance can handle,
// and against peers that are never queried.
func TestDuePeers(t *testing.T) {
	for count, rounds := range map[int]int{0: 1, 1: 1, maxRolloutQueries: 1, maxRolloutQueries + 1: 2, 2 * maxRolloutQueries: 2, 379: 2} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			s, _ := newRolloutSite(t)
			addresses := make([]string, count)
			for i := range addresses {
				addresses[i] = fmt.Sprint("peer-", i)
			}
			asked := map[string]int{}
			for range rounds {
				due := s.rollouts.dueAddresses(addresses)
				require.LessOrEqual(t, len(due), maxRolloutQueries)
				for _, address := range due {
					asked[address]++
				}
			}
			require.Len(t, asked, count)
			for range rounds {
				require.Empty(t, s.rollouts.dueAddresses(addresses), "all queries are in flight")
			}
			s.rollouts.storeReply(clock.Boot(), "peer-0", nil)
			again := 0
			for range rounds {
				again += len(s.rollouts.dueAddresses(addresses))
			}
			require.Equal(t, min(count, 1), again)
		})
	}
}

// TestDecisionReports guards against expired reports and reports of ended processes in a decision,
// which would delay a shift or count twice.
func TestDecisionReports(t *testing.T) {
	s, _ := newRolloutSite(t)
	inPhase(t, s, trialRecord)
	now := clock.Boot()
	hear := func(age time.Duration, instance string, incarnation uint64, inFlight int) {
		s.rollouts.storeReply(now.Add(-age), "", []rollout.Report{{Service: "app", Instance: instance, Incarnation: incarnation, InFlight: inFlight}})
	}
	hear(time.Second, "restarted", 2, 20)
	hear(0, "restarted", 1, 10)
	hear(reportTTL+time.Second, "set back", 9, 40)
	hear(0, "set back", 8, 50)
	hear(reportTTL+time.Second, "silent", 1, 30)
	for _, name := range []string{"restarted", "silent", "unasked"} {
		s.members.Receive(time.Now(), membership.Message{From: membership.Member{Instance: name, Incarnation: 1, PeerAddress: "10.0.0.9:" + name}})
	}
	input, found := s.rolloutInput(7)
	require.True(t, found)
	heard := map[string]int{}
	for _, report := range input.Reports {
		heard[report.Instance] = report.InFlight
	}
	require.Equal(t, map[string]int{"restarted": 20, "set back": 50, "e": 0}, heard)
	require.Equal(t, 2, input.MissingReports)
	require.Equal(t, map[string]rollout.Servers{"v0": {Count: 1, Slots: 4}, "v1": {Count: 2, Slots: 8}, "v2": {Count: 2, Slots: 8}}, input.Servers["app"])
}

// TestRequestsAtOldServers guards against completing a roll-out while requests are in flight at
// old servers, which the platform would then stop.
func TestRequestsAtOldServers(t *testing.T) {
	s, _ := newRolloutSite(t)
	inPhase(t, s, trialRecord)
	for i, version := range []string{"v1", "v1", "v2"} {
		request := route.Request{Service: "app", Versions: route.Versions{Only: version}}
		choice, err := s.routes.Choose(time.Now(), request)
		require.NoError(t, err)
		s.routes.Sent(time.Now(), fmt.Sprint(i), choice, request)
	}
	s.setServers(time.Now(), versioned("v2")) // the old ones are not listed any more
	report := s.ownReport("app")
	require.Equal(t, []int{3, 2}, []int{report.InFlight, report.InFlightOld})
}

// TestUnusedVersions guards against counting servers as capacity that receive almost no requests.
func TestUnusedVersions(t *testing.T) {
	for name, test := range map[string]struct {
		record     rollout.Record
		unused     []string
		inProgress bool
	}{
		"no record": {rollout.Record{}, []string{"v2"}, true},
		"trial":     {trialRecord, []string{"v0", "v2"}, true},
		"shift":     {rollout.Record{To: "v2", Phase: rollout.Shift, From: []string{"v1"}, Barred: []string{"v0"}}, []string{"v0"}, true},
		"completed": {rollout.Record{To: "v2", Phase: rollout.Completed, From: []string{"v1"}, Barred: []string{"v0"}}, []string{"v0", "v1"}, false},
		"reverted":  {rollout.Record{To: "v2", Phase: rollout.Reverted, From: []string{"v1"}, Barred: []string{"v0"}}, []string{"v0", "v2"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := newRolloutSite(t)
			if test.record.Phase != "" {
				inPhase(t, s, test.record)
			} else {
				s.applyRolloutView(clock.Boot(), rolloutView{Orders: []rollout.Order{testOrder}}, nil)
			}
			var unused []string
			for _, version := range []string{"v0", "v1", "v2", ""} {
				if s.rollouts.isUnused("app", version) {
					unused = append(unused, version)
				}
			}
			require.Equal(t, test.unused, unused)
			require.Equal(t, test.inProgress, s.rollouts.inProgress("app"))
			require.False(t, s.rollouts.isUnused("other", "v2"))
		})
	}
}

// TestLiveServersDuringTrial guards against counting new servers as capacity during a trial.
func TestLiveServersDuringTrial(t *testing.T) {
	s, _ := newRolloutSite(t)
	inPhase(t, s, trialRecord)
	in := s.sizingInput(&deployment.Service{Name: "app"})
	require.Equal(t, sizing.ServerCount{OnDemand: 2}, in.Live["a"], "two of v1; v2 is on trial and v0 is barred")
}

// TestCountsDoNotFall guards against removing old servers while a roll-out still needs them.
func TestCountsDoNotFall(t *testing.T) {
	now := time.Now()
	for name, test := range map[string]struct {
		live, last, wanted int
		lastAge            time.Duration
		idle               bool
		want               int
		due                bool
	}{
		"more":                              {4, 6, 8, time.Minute, false, 8, true},
		"the same":                          {4, 6, 6, time.Minute, false, 6, true},
		"fewer than ordered":                {6, 6, 3, time.Minute, false, 6, false},
		"fewer than there are":              {6, 0, 3, time.Minute, false, 6, false},
		"fewer, and some went":              {4, 6, 3, time.Minute, false, 6, true},
		"fewer, and some went a moment ago": {4, 6, 3, time.Second, false, 6, false},
		"fewer without a roll-out":          {6, 6, 3, time.Minute, true, 3, true},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := newRolloutSite(t)
			if !test.idle {
				inPhase(t, s, trialRecord)
			}
			order := sizing.Order{Service: "app", FailureDomain: "a", Reclaimable: true, Count: test.last}
			if test.last > 0 {
				s.recordOrder(now.Add(-test.lastAge), order)
			}
			order.Count = test.wanted
			got, due := s.keepCount(now, order, sizing.Input{Live: map[string]sizing.ServerCount{"a": {Reclaimable: test.live}}})
			require.Equal(t, []any{test.want, test.due}, []any{got.Count, due})
		})
	}
}
