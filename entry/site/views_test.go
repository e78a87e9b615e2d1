package site

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/process/directory"
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

// TestViewForPeers relays what the store holds: a server that only this instance keeps,
// since it was cut off just before, is gone for peers.
func TestViewForPeers(t *testing.T) {
	s := newTestSite(t)
	v := &viewing{site: s, table: directory.New(directory.DefaultReturn)}
	one, two := directory.Server{ID: "one", Incarnation: 1}, directory.Server{ID: "two", Incarnation: 1}
	view := func(servers ...directory.Server) heldView { return heldView{at: clock.Boot(), servers: servers} }
	v.take(view(one, two), "store")
	require.Len(t, s.answerView(viewQuery{}).Servers, 2)

	v.table.Failed(time.Now())
	v.take(view(one), "store")
	require.Len(t, s.backends(), 2, "it may come back")
	require.Equal(t, []directory.Server{one}, s.answerView(viewQuery{}).Servers)
}

// TestViewQuery sends only what the asking instance lacks.
func TestViewQuery(t *testing.T) {
	s := newTestSite(t)
	require.Nil(t, s.answerView(viewQuery{}), "nothing was read yet")
	v := &viewing{site: s, table: directory.New(directory.DefaultReturn)}
	held := heldView{at: clock.Boot().Add(-time.Second), servers: []directory.Server{{ID: "one", Incarnation: 1}}}
	v.take(held, "store")
	answer := s.answerView(viewQuery{})
	require.False(t, answer.SameServers)
	require.Len(t, answer.Servers, 1)
	require.GreaterOrEqual(t, answer.AgeMS, int64(1000))
	require.NoError(t, held.digest())
	again := s.answerView(viewQuery{Configuration: held.configurationDigest, Servers: held.serversDigest})
	require.True(t, again.SameServers)
	require.Empty(t, again.Servers)

	// An older view than the one held changes nothing.
	v.takeOver(s.view.Load(), &viewReply{}, time.Hour, "peer")
	require.Len(t, s.backends(), 1)
	v.takeOver(s.view.Load(), &viewReply{}, 0, "peer")
	require.Empty(t, s.backends())
}
