package relay

import (
	"math"
	"sync"
	"time"

	"papayaport.dev/serving/request/route"
	"papayaport.dev/serving/version/rollout"
)

// eventAllowance is the time per event of a stream that is added to the estimate before the
// whole response counts as slower than expected.
const eventAllowance = 20 * time.Millisecond

// anyVersion is the VersionPicker of a deployment without roll-outs.
type anyVersion struct{}

// Pick implements VersionPicker.
func (anyVersion) Pick(string, string, bool) rollout.Pick { return rollout.Pick{} }

// Sent implements VersionPicker.
func (anyVersion) Sent(string, string, bool) {}

// IsCandidate implements VersionPicker.
func (anyVersion) IsCandidate(string, string) bool { return false }

// noObserver is the AttemptObserver of a deployment without roll-outs.
type noObserver struct{}

// Started implements AttemptObserver.
func (noObserver) Started(rollout.Attempt) uint64 { return 0 }

// FirstResponse implements AttemptObserver.
func (noObserver) FirstResponse(uint64) {}

// Dropped implements AttemptObserver.
func (noObserver) Dropped(uint64) {}

// Finished implements AttemptObserver.
func (noObserver) Finished(rollout.Answer, string) {}

// Kinds of failures that are reported to AttemptObserver.
const (
	kindFailed = "failed"
	kindSilent = "silent"
	kindWrong  = "wrong"
)

// failureKinds maps the results that are failures of the backend server to their kinds. Attempts
// that were not run, were cancelled by the caller or exceeded their deadline are no failures.
var failureKinds = map[route.Result]string{route.Failed: kindFailed, route.Silent: kindSilent, route.Wrong: kindWrong}

// chooseBackend selects the versions that the next attempt may use and a backend server of one of
// them. If no server of the picked version accepts the request, it falls back to the old versions.
func (r *requestState) chooseBackend(request *route.Request) (*attempt, error) {
	relay := r.relay
	pick := relay.VersionPicker.Pick(r.service, r.route.Name, r.failedOnCandidate)
	request.Versions = versionsOf(pick)
	choice, err := relay.Routes.Choose(time.Now(), *request)
	if err != nil && pick.Only != "" {
		pick = relay.VersionPicker.Pick(r.service, r.route.Name, true)
		request.Versions = versionsOf(pick)
		choice, err = relay.Routes.Choose(time.Now(), *request)
	}
	if r.failedOnCandidate && (err != nil || r.oldUnreachable) {
		// In the shift phase the old servers may be gone already, some of them still listed, so
		// another server of the candidate may take the retry. In the trial phase it may not.
		if again := relay.VersionPicker.Pick(r.service, r.route.Name, false); again.Candidate && again.MaxServers == 0 {
			pick, request.Versions = again, versionsOf(again)
			choice, err = relay.Routes.Choose(time.Now(), *request)
		}
	}
	if err != nil {
		return nil, err
	}
	onTrial := pick.Candidate && pick.MaxServers > 0 // only the trial phase bounds the number of servers
	return &attempt{id: relay.attemptID(r.call), choice: choice, forCandidate: pick.Candidate, onTrial: onTrial, observation: observation{
		observer: relay.AttemptObserver, events: r.events, attempt: rollout.Attempt{
			Service: r.service, Route: r.route.Name, Server: choice.Backend.ID, Estimate: r.expectedLatency(&choice),
			Candidate: relay.VersionPicker.IsCandidate(r.service, choice.Backend.Version),
		},
	}}, nil
}

// expectedLatency returns the latency that the ratios of a finished attempt relate to. For a
// request without a prompt the estimate does not depend on the request's work and may be far
// off. The geometric mean with the route's target is then closer to typical latencies and keeps
// the ratios in the range that the roll-out evidence resolves, 1/8 to 16.
func (r *requestState) expectedLatency(choice *route.Choice) time.Duration {
	basis := choice.Baseline()
	if r.call.Prompt != nil || r.route.Target <= 0 {
		return basis
	}
	return time.Duration(math.Sqrt(float64(basis) * float64(r.route.Target)))
}

func versionsOf(pick rollout.Pick) route.Versions {
	return route.Versions{Only: pick.Only, Not: pick.Excluded, MaxServers: pick.MaxServers}
}

// recordCandidateResult sends retries to the old version when an attempt on the candidate did
// not succeed: always during the trial, where few servers take few requests, and otherwise only
// when the server failed the request.
func (r *requestState) recordCandidateResult(a *attempt, result route.Result) {
	_, failed := failureKinds[result]
	if a.observation.attempt.Candidate && result != route.OK && (a.onTrial || (failed && a.observation.isSent())) {
		r.failedOnCandidate = true
	}
}

// observation reports the course of one attempt to an AttemptObserver. Its end is reported once,
// by the goroutine of the request or by the stall timer. Only the observer is called under mu.
type observation struct {
	observer AttemptObserver
	attempt  rollout.Attempt
	// events is the number of events that the caller received before this attempt.
	events int

	mu sync.Mutex
	// number is the observer's number of the attempt, 0 for one that is not observed.
	number uint64
	sentAt time.Time
	ended  bool
}

// started reports that the attempt is being sent.
func (o *observation) started(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sentAt, o.number = now, o.observer.Started(o.attempt)
}

func (o *observation) isSent() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.sentAt.IsZero()
}

// firstResponse reports the arrival of the first event of a stream, or of a response head.
func (o *observation) firstResponse() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.number != 0 && !o.ended {
		o.observer.FirstResponse(o.number)
	}
}

// stalled reports a failure of an attempt that made no progress within its timeout. The attempt
// may go on waiting, but its end is not reported again.
func (o *observation) stalled(now time.Time) {
	o.mu.Lock()
	short := o.isTooShort(now)
	o.mu.Unlock()
	if !short {
		o.finish(now, route.Silent, 0)
	}
}

// isTooShort reports whether the server had too little time to count as stalled, since the set-up
// of the connection took most of the timeout. The caller holds mu.
func (o *observation) isTooShort(now time.Time) bool { return now.Sub(o.sentAt) < minResponseTimeout/2 }

// discard reports that the attempt never reached its server.
func (o *observation) discard() { o.finish(time.Now(), route.Refused, 0) }

// finish reports the result of the attempt and the number of events that the caller received
// from it.
func (o *observation) finish(now time.Time, result route.Result, events int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.number == 0 || o.ended {
		return
	}
	o.ended = true
	kind, failed := failureKinds[result]
	waited := now.Sub(o.sentAt)
	if (!failed && result != route.OK) || (result == route.Silent && o.isTooShort(now)) {
		o.observer.Dropped(o.number)
		return
	}
	answer := rollout.Answer{
		Attempt: o.number, Service: o.attempt.Service, Route: o.attempt.Route, Server: o.attempt.Server,
		Candidate: o.attempt.Candidate, Failed: failed,
	}
	if !failed && o.attempt.Estimate > 0 {
		answer.FirstRatio = float64(waited) / float64(o.attempt.Estimate)
		answer.WholeRatio = float64(waited) / float64(o.attempt.Estimate+time.Duration(events)*eventAllowance)
	}
	o.observer.Finished(answer, kind)
}
