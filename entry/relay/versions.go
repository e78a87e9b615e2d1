package relay

import (
	"math"
	"sync"
	"time"

	"papayaport.dev/serving/request/route"
	"papayaport.dev/serving/version/rollout"
)

// eventTime is the time that an event of a stream may take beyond the estimate before the
// whole answer counts as slower than expected.
const eventTime = 20 * time.Millisecond

// anyVersion is the Picks of a deployment without roll-outs.
type anyVersion struct{}

// Pick implements Picks.
func (anyVersion) Pick(string, string, bool) rollout.Pick { return rollout.Pick{} }

// Sent implements Picks.
func (anyVersion) Sent(string, string, bool) {}

// IsCandidate implements Picks.
func (anyVersion) IsCandidate(string, string) bool { return false }

// untold is the Outcomes of a deployment without roll-outs.
type untold struct{}

// Began implements Outcomes.
func (untold) Began(rollout.Attempt) uint64 { return 0 }

// First implements Outcomes.
func (untold) First(uint64) {}

// Dropped implements Outcomes.
func (untold) Dropped(uint64) {}

// Answered implements Outcomes.
func (untold) Answered(rollout.Answer, string) {}

// Kinds of failures that are told to Outcomes.
const (
	failedKind = "failed"
	silentKind = "silent"
	wrongKind  = "wrong"
)

// failures maps the results of attempts that are failures of their server to their kinds.
// What was not run, what the caller left and what passed its deadline is none.
var failures = map[route.Result]string{route.Failed: failedKind, route.Silent: silentKind, route.Wrong: wrongKind}

// choose picks the versions that the next attempt may use and a backend server of these.
// Where none of the one picked version takes the request, the old versions are asked.
func (r *run) choose(request *route.Request) (*attempt, error) {
	relay := r.relay
	pick := relay.Picks.Pick(r.service, r.route.Name, r.failedAtCandidate)
	request.Versions = versionsOf(pick)
	choice, err := relay.Routes.Choose(time.Now(), *request)
	if err != nil && pick.Only != "" {
		pick = relay.Picks.Pick(r.service, r.route.Name, true)
		request.Versions = versionsOf(pick)
		choice, err = relay.Routes.Choose(time.Now(), *request)
	}
	if err != nil && r.failedAtCandidate {
		// In a shift the old servers may have ended already: another server of the candidate
		// takes the repeat. On trial it may not.
		if again := relay.Picks.Pick(r.service, r.route.Name, false); again.Candidate && again.Most == 0 {
			pick, request.Versions = again, versionsOf(again)
			choice, err = relay.Routes.Choose(time.Now(), *request)
		}
	}
	if err != nil {
		return nil, err
	}
	onTrial := pick.Candidate && pick.Most > 0 // the trial uses a few servers, later phases all
	return &attempt{id: relay.attemptID(r.call), choice: choice, picked: pick.Candidate, onTrial: onTrial, tale: tale{
		outcomes: relay.Outcomes, events: r.events, attempt: rollout.Attempt{
			Service: r.service, Route: r.route.Name, Server: choice.Backend.ID, Estimate: r.expected(&choice),
			Candidate: relay.Picks.IsCandidate(r.service, choice.Backend.Version),
		},
	}}, nil
}

// expected returns the time that ratios are taken against. For a request without a prompt the
// estimate knows nothing of the work, and may be far from it. The geometric mean with the
// route's target is then nearer to usual times, and keeps them within the range that evidence
// tells apart, an eighth to sixteen times.
func (r *run) expected(choice *route.Choice) time.Duration {
	basis := choice.Basis()
	if r.call.Prompt != nil || r.route.Target <= 0 {
		return basis
	}
	return time.Duration(math.Sqrt(float64(basis) * float64(r.route.Target)))
}

func versionsOf(pick rollout.Pick) route.Versions {
	return route.Versions{Only: pick.Only, Not: pick.Not, Most: pick.Most}
}

// noteCandidate notes an attempt that a server of the candidate did not answer well. A
// repeat of its request goes to the old version: always while the candidate is on trial,
// where few servers take few requests, and otherwise when the server failed it.
func (r *run) noteCandidate(a *attempt, result route.Result) {
	_, failed := failures[result]
	if a.tale.attempt.Candidate && result != route.OK && (a.onTrial || (failed && a.tale.isSent())) {
		r.failedAtCandidate = true
	}
}

// tale is what Outcomes is told of one attempt. Its end is told once, by the goroutine of
// the request or by the timer of its silence. Nothing but Outcomes is called under mu.
type tale struct {
	outcomes Outcomes
	attempt  rollout.Attempt
	// events is the number of events that the caller had before.
	events int

	mu sync.Mutex
	// number is that of Outcomes, 0 for an attempt that is not counted.
	number uint64
	sentAt time.Time
	ended  bool
}

// began tells that the attempt goes out now.
func (t *tale) began(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sentAt, t.number = now, t.outcomes.Began(t.attempt)
}

func (t *tale) isSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.sentAt.IsZero()
}

// first tells that the first event of a stream, or the head of an answer, is there.
func (t *tale) first() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.number != 0 && !t.ended {
		t.outcomes.First(t.number)
	}
}

// silent tells a failure for an attempt that stayed without a sign for as long as one that
// may be repeated is given. It may go on to wait, and is not told again.
func (t *tale) silent(now time.Time) {
	t.mu.Lock()
	short := t.isShort(now)
	t.mu.Unlock()
	if !short {
		t.end(now, route.Silent, 0)
	}
}

// isShort tells whether the server had too little time to be called silent, since the
// connection took the larger part of it; mu is held.
func (t *tale) isShort(now time.Time) bool { return now.Sub(t.sentAt) < shortestSilence/2 }

// drop tells that the attempt never reached its server.
func (t *tale) drop() { t.end(time.Now(), route.Refused, 0) }

// end tells how the attempt ended, with the number of events that the caller has of it.
func (t *tale) end(now time.Time, result route.Result, events int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.number == 0 || t.ended {
		return
	}
	t.ended = true
	kind, failed := failures[result]
	waited := now.Sub(t.sentAt)
	if (!failed && result != route.OK) || (result == route.Silent && t.isShort(now)) {
		t.outcomes.Dropped(t.number)
		return
	}
	answer := rollout.Answer{
		Attempt: t.number, Service: t.attempt.Service, Route: t.attempt.Route, Server: t.attempt.Server,
		Candidate: t.attempt.Candidate, Failed: failed,
	}
	if !failed && t.attempt.Estimate > 0 {
		answer.FirstRatio = float64(waited) / float64(t.attempt.Estimate)
		answer.WholeRatio = float64(waited) / float64(t.attempt.Estimate+time.Duration(events)*eventTime)
	}
	t.outcomes.Answered(answer, kind)
}
