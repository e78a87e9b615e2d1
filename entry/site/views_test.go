package site

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/process/directory"
	"papayaport.dev/serving/process/membership"
	"papayaport.dev/serving/process/platform"
)

type noLines struct{}

func (noLines) Dropped() int64 { return 0 }

func newTestSite(t *testing.T) *Site {
	set, faults := Parse("entry.json", []byte(goodSettings+"}"))
	require.Empty(t, faults)
	log := logrus.New()
	log.SetOutput(io.Discard)
	s, err := New(set, Platform{}, log, noLines{})
	require.NoError(t, err)
	return s
}

// TestViewForPeers guards that peers get the contents of the store: a server that this instance
// retains after an outage, although the store no longer lists it, is not passed on.
func TestViewForPeers(t *testing.T) {
	s := newTestSite(t)
	v := &viewPoller{site: s, table: directory.New(directory.DefaultGracePeriod)}
	one, two := directory.Server{ID: "one", Incarnation: 1}, directory.Server{ID: "two", Incarnation: 1}
	view := func(servers ...directory.Server) storeView { return storeView{at: clock.Boot(), servers: servers} }
	v.apply(view(one, two))
	require.Len(t, s.handleViewQuery(viewQuery{}).Servers, 2)

	v.table.ListFailed(time.Now())
	v.apply(view(one))
	require.Len(t, s.backends(), 2, "servers are retained after an outage")
	require.Equal(t, []directory.Server{one}, s.handleViewQuery(viewQuery{}).Servers)
}

// TestViewDelta guards against replies that grow with the number of servers when one of them changes,
// and against a list that differs from the reader's.
func TestViewDelta(t *testing.T) {
	reader, follower := newTestSite(t), newTestSite(t)
	read := &viewPoller{site: reader, table: directory.New(directory.DefaultGracePeriod)}
	follow := &viewPoller{site: follower, table: directory.New(directory.DefaultGracePeriod)}
	list := func(first, count int) (servers []directory.Server) {
		for i := range count {
			servers = append(servers, directory.Server{ID: fmt.Sprintf("i-%05d", first+i), Incarnation: 1, Service: "app", Address: "127.0.0.1:80"})
		}
		return servers
	}
	query := func(delta bool) *viewReply {
		held := follower.view.Load()
		if held == nil {
			held = &storeView{}
		}
		answer := reader.handleViewQuery(viewQuery{Servers: held.serversDigest, Delta: delta})
		follow.applyReply(held, answer, 0)
		return answer
	}
	read.apply(storeView{at: clock.Boot(), servers: list(0, 720)})
	require.Len(t, query(true).Servers, 720, "the first view is whole")
	for round := range 3 {
		changed := list(round+1, 720)
		changed[5].Leaving = true
		read.apply(storeView{at: clock.Boot(), servers: changed})
		answer := query(true)
		require.Empty(t, answer.Servers)
		require.LessOrEqual(t, len(answer.Delta.Changed)+len(answer.Delta.Gone), 4)
		require.Equal(t, changed, follower.view.Load().servers)
		require.Equal(t, answer.ServersDigest, follower.view.Load().serversDigest)
	}
	read.apply(storeView{at: clock.Boot(), servers: list(9, 720)})
	require.Len(t, query(false).Servers, 720, "an older version of the program gets the whole list")
	for round := range recentLists + 1 {
		read.apply(storeView{at: clock.Boot(), servers: list(100+round, 720)})
	}
	require.Len(t, query(true).Servers, 720, "a list that is not recent")
}

// TestQueryTimeouts guards against queries whose reply does not fit into their time on a slow link,
// so that no view ever arrives, and against a reader that is gone and delays the next one for long.
func TestQueryTimeouts(t *testing.T) {
	own := []platform.Entry{{Key: "k", Value: make([]byte, 380*400)}}
	var servers []directory.Server
	for i := range 720 {
		servers = append(servers, directory.Server{
			ID: fmt.Sprintf("i-%010d", i), Incarnation: 1_700_000_000_000, Service: "model-pool", Address: "10.200.100.200:8104", FailureDomain: "amman-a", Slots: 128, Version: "v1",
		})
	}
	view := storeView{at: clock.Boot(), servers: servers, own: own}
	require.NoError(t, view.digest())
	whole, err := cbor.Marshal(viewReply{Servers: servers, Own: own})
	require.NoError(t, err)
	require.Greater(t, view.queryTimeout(viewQuery{Own: true}), transferTime(len(whole)))
	require.LessOrEqual(t, view.queryTimeout(viewQuery{}), 300*time.Millisecond)
	require.Equal(t, firstViewTimeout, (&storeView{}).queryTimeout(viewQuery{}))
}

// TestViewQuery guards that a reply holds only what differs from the querying instance's view.
func TestViewQuery(t *testing.T) {
	s := newTestSite(t)
	require.Nil(t, s.handleViewQuery(viewQuery{}), "nothing was read yet")
	v := &viewPoller{site: s, table: directory.New(directory.DefaultGracePeriod)}
	held := storeView{at: clock.Boot().Add(-time.Second), servers: []directory.Server{{ID: "one", Incarnation: 1}}}
	v.apply(held)
	answer := s.handleViewQuery(viewQuery{})
	require.False(t, answer.SameServers)
	require.Len(t, answer.Servers, 1)
	require.GreaterOrEqual(t, answer.AgeMS, int64(1000))
	require.NoError(t, held.digest())
	again := s.handleViewQuery(viewQuery{Servers: held.serversDigest})
	require.True(t, again.SameServers)
	require.Empty(t, again.Servers)

	// An older view than the one held changes nothing.
	v.applyReply(s.view.Load(), &viewReply{}, time.Hour)
	require.Len(t, s.backends(), 1)
	v.applyReply(s.view.Load(), &viewReply{}, 0)
	require.Empty(t, s.backends())
}

// TestReadersAtFleetStart guards that five instances of a failure domain select the same two
// readers while each knows only some of the records or peers, as in the first seconds of a fleet.
func TestReadersAtFleetStart(t *testing.T) {
	const instances, memoryMB = 5, 284
	member := func(i int) membership.Member {
		return membership.Member{
			Instance: fmt.Sprintf("e%d", i), Incarnation: 1, Region: "r", FailureDomain: "a",
			PeerAddress: fmt.Sprintf("10.0.0.%d:1", i), MemoryMB: memoryMB,
		}
	}
	record := func(i int) platform.Entry {
		return platform.Entry{Key: entriesPrefix + member(i).Instance, Value: fmt.Appendf(nil,
			`{"incarnation": 1, "region": "r", "failure_domain": "a", "peer_address": %q, "memory_mb": %d}`, member(i).PeerAddress, memoryMB)}
	}
	for name, test := range map[string]struct {
		// listed reports which records an instance has read, heard from which peers it has
		// received a message.
		listed, heard func(seenBy, of int) bool
	}{
		"records of some": {
			func(seenBy, of int) bool { return of <= seenBy },
			func(int, int) bool { return true },
		},
		"no records": {
			func(int, int) bool { return false },
			func(int, int) bool { return true },
		},
		"records of all, nobody heard yet": {
			func(int, int) bool { return true },
			func(int, int) bool { return false },
		},
		"each heard of one, records of all": {
			func(int, int) bool { return true },
			func(by, of int) bool { return of == (by+1)%instances },
		},
	} {
		t.Run(name, func(t *testing.T) {
			var readers []string
			named := map[string]int{}
			for i := range instances {
				s := newTestSite(t)
				self := member(i)
				s.settings.Instance, s.settings.AdvertisedPeers = self.Instance, self.PeerAddress
				s.members = membership.New(s.self(), nil, rand.New(rand.NewPCG(1, 1)), membership.DefaultBudget)
				var own []platform.Entry
				for other := range instances {
					if test.listed(i, other) {
						own = append(own, record(other))
					}
					if other != i && test.heard(i, other) {
						s.members.Receive(time.Now(), membership.Message{From: member(other)})
					}
				}
				s.setEntries(own)
				asked, isReader := s.readers()
				for _, reader := range asked {
					named[reader.Instance]++
				}
				if isReader {
					readers = append(readers, self.Instance)
				}
			}
			require.Len(t, readers, readersPerDomain)
			require.Equal(t, map[string]int{readers[0]: instances, readers[1]: instances}, named)
		})
	}
}
