package site

import (
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/request/quarantine"
)

// CheckRequest implements relay.RequestGuard.
func (s *Site) CheckRequest(content quarantine.Content) (quarantine.Cause, time.Duration) {
	return s.quarantine.Check(time.Now(), content)
}

// RequestLost implements relay.RequestGuard. The report reaches the other instances with this
// instance's record, which is written within recordPeriod.
func (s *Site) RequestLost(loss quarantine.Loss) {
	s.quarantine.Lost(time.Now(), s.calendar.Now(), loss)
}

// RequestServed implements relay.RequestGuard.
func (s *Site) RequestServed(answer quarantine.Answer) {
	s.quarantine.Served(time.Now(), answer)
}

// RequestEnded implements relay.RequestGuard.
func (s *Site) RequestEnded(request string, answered bool) {
	s.quarantine.Ended(time.Now(), request, answered)
}

// mergeQuarantine adds what another instance reports about requests and prompts; nil adds nothing.
func (s *Site) mergeQuarantine(from *quarantine.Snapshot) {
	if from != nil {
		s.quarantine.Merge(time.Now(), *from)
	}
}

func (s *Site) logQuarantine(now time.Time) {
	for _, change := range s.quarantine.TakeChanges(now) {
		log := s.logger("quarantine").WithFields(logrus.Fields{"quarantined": change.Quarantined, "crashes": change.Crashes})
		if change.IsRequest {
			log.WithField("request_digest", strconv.FormatUint(change.Part, 16)).Warn("quarantine: a request changed")
			continue
		}
		log.WithField("prompt_part", strconv.FormatUint(change.Part, 16)).Warn("quarantine: a part of prompts changed")
	}
}

// ownQuarantine returns what this instance reports about requests and prompts, nil for nothing.
func (s *Site) ownQuarantine() *quarantine.Snapshot {
	own := s.quarantine.Own(time.Now())
	if own.IsEmpty() {
		return nil
	}
	return &own
}

// quarantineFor returns what is known about requests and prompts for a peer that has the given digest, nil if it
// has the same.
func (s *Site) quarantineFor(digest uint64) *quarantine.Snapshot {
	if s.quarantine.Digest() == digest {
		return nil
	}
	all := s.quarantine.All(time.Now())
	return &all
}
