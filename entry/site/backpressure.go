package site

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/process/membership"
	"papayaport.dev/serving/request/backpressure"
	"papayaport.dev/serving/request/route"
)

// ObserveBackpressure applies the backpressure signals of a backend server's response, and sends
// peers those that concern them: that the server is leaving, and its rate limit. Signals for this
// instance alone are not passed on.
func (s *Site) ObserveBackpressure(sentAt time.Time, server route.Backend, signals backpressure.Signal) {
	now := time.Now()
	changed := s.routes.ApplyBackpressure(now, sentAt, server.ID, server.Incarnation, signals)
	if signals == (backpressure.Signal{}) && !changed {
		return
	}
	if signals.PauseFor > 0 {
		s.logBackpressure(server, "closed", logrus.Fields{"closed_ms": signals.PauseFor.Milliseconds()})
	}
	if changed || signals.Limited {
		s.exchange.NoticeLimit(now, membership.ServerLimit{
			Backend: server.ID, Incarnation: server.Incarnation, Limited: signals.Limited, PerSecond: signals.PerSecond, ReceivedAt: now,
		})
	}
	if changed {
		s.logBackpressure(server, limitEvent(signals.Limited), logrus.Fields{"per_second": signals.PerSecond, "source": "answer"})
	}
	if signals.Leaving && !s.isLeaving(server.ID) {
		s.logBackpressure(server, "leaving", logrus.Fields{"source": "answer"})
		s.exchange.Notice(now, membership.Leaving{
			Instance: server.ID, Incarnation: server.Incarnation, Deadline: now.Add(defaultLeavingTime),
		})
	}
	s.exchange.Deliver()
}

func (s *Site) isLeaving(server string) bool {
	_, leaving := s.routes.IsLeaving(server)
	return leaving
}

// applyPeerLimit applies a backend server's limit that a peer passed on.
func (s *Site) applyPeerLimit(received membership.ServerLimit) {
	limit := backpressure.Limit{Active: received.Limited, PerSecond: received.PerSecond, ObservedAt: received.ReceivedAt}
	if !s.routes.ApplyPeerLimit(time.Now(), received.Backend, received.Incarnation, limit) {
		return
	}
	server, _ := s.routes.Backend(received.Backend)
	s.logBackpressure(server, limitEvent(received.Limited), logrus.Fields{
		"per_second": received.PerSecond, "source": "peer", "age_ms": time.Since(received.ReceivedAt).Milliseconds(),
	})
}

func limitEvent(named bool) string {
	if named {
		return "limit"
	}
	return "limit_ended"
}

func (s *Site) logBackpressure(server route.Backend, what string, fields logrus.Fields) {
	s.metrics.GetOrCreateCounter(fmt.Sprintf("papayaport_server_wishes_total{service=%q,what=%q}", server.Service, what)).Inc()
	s.logger("backpressure").WithFields(fields).WithFields(logrus.Fields{
		"backend": server.ID, "incarnation": server.Incarnation, "service": server.Service, "what": what,
	}).Info("backpressure: a backend server asks")
}

// setHolders sets the entry instances among which the routing table divides a server's limit:
// those that the store listed last.
func (s *Site) setHolders(records []record) {
	entries := make([]backpressure.Entry, len(records))
	for i, one := range records {
		entries[i] = backpressure.Entry{Instance: one.instance, FailureDomain: one.FailureDomain}
	}
	s.routes.SetEntries(time.Now(), entries)
}
