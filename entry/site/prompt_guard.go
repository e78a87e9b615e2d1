package site

import (
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/request/quarantine"
)

// CheckPrompt implements relay.PromptGuard.
func (s *Site) CheckPrompt(parts []uint64) time.Duration {
	left, _ := s.quarantine.Check(time.Now(), parts)
	return left
}

// PromptLost implements relay.PromptGuard. The report reaches the other instances with this
// instance's record, which is written within recordPeriod.
func (s *Site) PromptLost(loss quarantine.Loss) {
	s.quarantine.Lost(time.Now(), s.calendar.Now(), loss)
}

// PromptServed implements relay.PromptGuard.
func (s *Site) PromptServed(answer quarantine.Answer) {
	s.quarantine.Served(time.Now(), answer)
}

// mergeQuarantine adds what another instance reports about prompts; nil adds nothing.
func (s *Site) mergeQuarantine(from *quarantine.Snapshot) {
	if from != nil {
		s.quarantine.Merge(time.Now(), *from)
	}
}

func (s *Site) logQuarantine(now time.Time) {
	for _, change := range s.quarantine.TakeChanges(now) {
		s.logger("quarantine").WithFields(logrus.Fields{
			"prompt_part": strconv.FormatUint(change.Part, 16), "quarantined": change.Quarantined, "crashes": change.Crashes,
		}).Warn("quarantine: a part of prompts changed")
	}
}

// ownQuarantine returns what this instance reports about prompts, nil for nothing.
func (s *Site) ownQuarantine() *quarantine.Snapshot {
	own := s.quarantine.Own(time.Now())
	if own.IsEmpty() {
		return nil
	}
	return &own
}

// quarantineFor returns what is known about prompts for a peer that has the given digest, nil if it
// has the same.
func (s *Site) quarantineFor(digest uint64) *quarantine.Snapshot {
	if s.quarantine.Digest() == digest {
		return nil
	}
	all := s.quarantine.All(time.Now())
	return &all
}
