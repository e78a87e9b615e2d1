package site

import (
	"fmt"
	"time"

	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/version/rollout"
)

// Pick implements relay.VersionPicker.
func (r *rollouts) Pick(service, route string, repeat bool) rollout.Pick {
	return r.gate.Pick(clock.Boot(), service, route, repeat)
}

// Sent implements relay.VersionPicker.
func (r *rollouts) Sent(service, route string, candidate bool) {
	r.gate.Sent(clock.Boot(), service, route, candidate)
}

// IsCandidate reports whether a version is the candidate of a service's roll-out in progress.
func (r *rollouts) IsCandidate(service, version string) bool {
	return r.gate.IsCandidate(service, version)
}

// Started counts an attempt that is being sent, and returns its number, 0 without a roll-out.
func (r *rollouts) Started(attempt rollout.Attempt) uint64 {
	number := r.recorder.Began(time.Now(), attempt)
	if number != 0 {
		r.metrics.GetOrCreateCounter(fmt.Sprintf("papayaport_rollout_requests_total{service=%q,cohort=%q}",
			attempt.Service, cohort(attempt.Candidate))).Inc()
	}
	return number
}

// FirstResponse records the time of an attempt's first event or response head.
func (r *rollouts) FirstResponse(attempt uint64) { r.recorder.First(time.Now(), attempt) }

// Dropped discards an attempt whose result is no evidence for or against its server.
func (r *rollouts) Dropped(attempt uint64) { r.recorder.Dropped(attempt) }

// Finished counts the end of an attempt; kind is the kind of failure, empty for none.
func (r *rollouts) Finished(answer rollout.Answer, kind string) {
	r.recorder.Answered(answer)
	if answer.Failed {
		r.metrics.GetOrCreateCounter(fmt.Sprintf("papayaport_rollout_bad_total{service=%q,cohort=%q,kind=%q}",
			answer.Service, cohort(answer.Candidate), kind)).Inc()
	}
}

func cohort(candidate bool) string {
	if candidate {
		return "candidate"
	}
	return "old"
}
