package relay

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/connection/room"
	"papayaport.dev/serving/connection/upstream"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/request/backpressure"
	"papayaport.dev/serving/request/route"
	"papayaport.dev/serving/version/deployment"
	"papayaport.dev/serving/version/service"
)

const (
	// maxUnsent bounds the servers tried for one request without a byte leaving.
	maxUnsent = 3
	// silenceTargets is the number of latency targets without an answer after which a
	// request that may repeat is tried elsewhere.
	silenceTargets = 3
	// shortestSilence is the least time before that, so that a garbage collection or a
	// lost packet does not double the load.
	shortestSilence = 500 * time.Millisecond
	// silenceEstimates is the number of estimated times to the first answer before that: a
	// queue that was known of is no silence.
	silenceEstimates = 2
	// budgetPeriod is the time between two looks whether the budget allows a repeat of a
	// silent attempt.
	budgetPeriod = 250 * time.Millisecond
	// lastRequest is the time before its end from which on a leaving instance takes no
	// request at all: plain services answer nearly all within a second.
	lastRequest = time.Second
	// leavingRetry is when a caller that a leaving instance refused may come back: at once,
	// to another instance, with time for a connection.
	leavingRetry = 50 * time.Millisecond
	// shortestComeBack is the least wait of a caller whose request was turned away by one of
	// several backend servers, with time for a connection, and comeBackSpread the share of a
	// wait by which callers come back apart from each other.
	shortestComeBack = 100 * time.Millisecond
	comeBackSpread   = 0.5
	// targetQuantile is the share of requests that should keep the latency target.
	targetQuantile = 0.95
)

// run is one caller's request over its attempts.
type run struct {
	relay    *Relay
	received time.Time
	call     *Call
	version  *deployment.Version
	route    *deployment.Route
	account  *deployment.Account
	service  string
	deadline time.Time

	attempts int
	unsent   int
	excluded []string
	// failedAtCandidate tells that a repeat goes to the old version of its service.
	failedAtCandidate bool
	// share is the memory that the present answer takes.
	share *room.Share
	// mayHaveRun tells that an attempt was sent and not refused.
	mayHaveRun bool
	// begun tells that the request was counted as running.
	begun bool
	// reserved tells that a repeat was taken from the budget and not sent yet.
	reserved atomic.Bool

	// competed is the decision on the request in the present load, nil when there was none.
	competed *competition

	// What the log line tells besides.
	asked     backpressure.Asked
	status    int
	limitedBy string
	kind      problem.Kind
	detail    string
	backend   string
	firstByte time.Duration
	events    int
	// progress is when the last event of a stream arrived, or when the request did.
	progress time.Time
}

// match finds the route, the client account and the service of a request.
func (r *run) match(version *deployment.Version) error {
	r.version = version
	host, _, _ := strings.Cut(r.call.Host, ":")
	found := false
	if r.route, found = version.Match(host, r.call.Path); !found {
		return problem.New(problem.UnknownRoute, "no route for %s%s in version %d", host, r.call.Path, version.Version)
	}
	if !r.route.Anonymous && len(version.Accounts) > 0 {
		if r.account, found = version.Account(r.call.Key); !found {
			return problem.New(problem.Unauthenticated, "the key belongs to no client account in version %d", version.Version)
		}
	}
	wait := r.call.Wait
	if wait <= 0 {
		wait = usualWait
	}
	if r.route.Timeout > 0 {
		wait = min(wait, r.route.Timeout)
	}
	r.deadline = r.received.Add(wait)
	if stop := r.relay.leaving.Load(); stop != nil {
		streams := r.route.Kind == deployment.Streaming && !r.received.Before(stop.settled)
		if streams || stop.end.Sub(r.received) < lastRequest {
			return problem.New(problem.Leaving, "this instance leaves in %d ms", time.Until(stop.end).Milliseconds()).After(leavingRetry)
		}
		if stop.end.Before(r.deadline) {
			r.deadline = stop.end
		}
	}
	r.service = r.route.Pick(r.relay.Draw())
	if _, found = version.Service(r.service); !found {
		return problem.New(problem.NoBackend, "route %s leads to no service", r.route.Name)
	}
	return nil
}

// serve makes attempts until one is answered or none may follow.
func (r *run) serve(caller context.Context, w http.ResponseWriter) {
	if r.route.Kind == deployment.NonIdempotent {
		// A sent request runs to its end whether its caller stays or not.
		caller = context.WithoutCancel(caller)
	}
	ctx, cancel := withDeadline(caller, r.deadline)
	defer cancel()
	var err error
	if r.route.Kind == deployment.Streaming {
		err = r.serveStream(ctx, w)
	} else {
		err = r.servePlain(ctx, w)
	}
	if err != nil {
		r.refuse(w, problem.From(err))
	}
}

func (r *run) routeRequest() route.Request {
	request := route.Request{
		Service: r.service, AnswerTokens: 1, Priority: r.priority(), Deadline: r.deadline, Exclude: r.excluded,
		Target: service.LatencyTarget{
			FirstTokenMS: float64(r.route.Target.Milliseconds()), BetweenTokensMS: float64(r.route.TargetGap.Milliseconds()),
			Quantile: targetQuantile,
		},
	}
	if p := r.call.Prompt; p != nil {
		request.PromptTokens, request.AnswerTokens, request.Blocks = p.PromptTokens, p.AnswerTokens, p.blocks()
	}
	return request
}

// attempt is one send with its place in the routing table.
type attempt struct {
	id       string
	choice   route.Choice
	response *upstream.Response
	answer   Answer
	cancel   context.CancelCauseFunc
	// picked tells that it is for the version that the service moves to.
	picked bool
	// onTrial tells that it goes to a version that is not trusted yet.
	onTrial bool
	// declined tells that the server answered whole that it won't do the request, which is no
	// failure of its version.
	declined    bool
	observation observation
}

// send makes one attempt up to the head of its answer. The attempt is settled by settle.
func (r *run) send(ctx context.Context, lastEvent string) (*attempt, error) {
	relay := r.relay
	request := r.routeRequest()
	a, err := r.choose(&request)
	if err != nil {
		return nil, err
	}
	choice := a.choice
	ctx, a.cancel = context.WithCancelCause(ctx)
	r.backend = choice.Backend.ID
	relay.Routes.Sent(time.Now(), a.id, choice, request)
	var sentAt time.Time
	silence := r.watchSilence(a, r.attempts+1)
	silence.Reset(r.silence(choice))
	defer silence.Stop()
	header := relay.Codec.Attempt(r.call, Attempt{
		Server: choice.Backend.ID, Left: time.Until(r.deadline), Account: r.accountName(),
		Priority: r.priority(), LastEvent: lastEvent,
	})
	a.response, err = relay.Pool.Send(ctx, relay.server(r.version, choice.Backend), upstream.Request{
		ID: r.call.ID, Method: r.call.Method, Target: r.call.Target, Host: r.call.Host, Header: header, Body: r.call.Body,
		MayGo: func() bool {
			sentAt = time.Now()
			if !relay.Routes.MayGo(sentAt, choice) {
				return false
			}
			relay.Picks.Sent(r.service, r.route.Name, a.picked)
			a.observation.began(sentAt)
			return true
		},
	})
	if err != nil {
		r.noteFailure(a, err)
		return nil, err
	}
	a.answer = relay.Codec.Answer(a.response.Status, a.response.Header)
	r.asked = a.answer.Asked
	if !a.answer.Elsewhere && (a.answer.Valid || a.answer.NotRun) {
		relay.Servers.Asked(sentAt, choice.Backend, a.answer.Asked)
	}
	if r.route.Kind != deployment.Streaming && !a.answer.NotRun {
		a.observation.first()
	}
	relay.odd.note(relay.Log, choice.Backend.ID, "a field that is not known", a.answer.Unknown)
	relay.odd.note(relay.Log, choice.Backend.ID, "a field that can't be read", a.answer.Unreadable)
	r.noteAnswer(a)
	return a, nil
}

// noteFailure counts an attempt that got no answer.
func (r *run) noteFailure(a *attempt, err error) {
	if errors.Is(err, upstream.ErrWithheld) {
		r.relay.Meters.withheld(r.service)
	}
	var failure *upstream.Error
	sent := !errors.As(err, &failure) || failure.Sent
	result := route.Failed
	switch {
	case errors.Is(err, errSilent):
		result = route.Silent
	case errors.Is(err, context.Canceled), errors.Is(err, errDeadline), errors.Is(err, upstream.ErrBusy),
		errors.Is(err, upstream.ErrWithheld):
		result = route.Cancelled
	case errors.Is(err, upstream.ErrForeign), errors.Is(err, upstream.ErrEndless):
		result = route.Wrong
	}
	r.relay.Meters.noteEndless(r.service, err)
	if !sent {
		a.observation.drop()
	}
	r.settle(a, result)
	r.excluded = append(r.excluded, a.choice.Backend.ID)
	if !sent {
		r.unsent++
		return
	}
	r.attempts++
	r.mayHaveRun = true
	if r.route.Kind != deployment.Streaming {
		r.began()
	}
}

// noteAnswer counts an attempt whose answer began.
func (r *run) noteAnswer(a *attempt) {
	now := time.Now()
	if a.answer.Load != nil {
		r.relay.report(now, a.choice.Backend, *a.answer.Load)
	}
	r.relay.Meters.attempted(r.service)
	if a.answer.Elsewhere {
		// Another server has the address; the one that was meant was not reached.
		r.unsent++
		return
	}
	r.attempts++
	if a.answer.NotRun {
		return
	}
	r.mayHaveRun = true
	if r.route.Kind != deployment.Streaming || a.response.Status != http.StatusOK {
		r.began()
	}
}

// began counts the request as running, once. A stream runs from its first event on: one
// whose caller left before may have waited all the time.
func (r *run) began() {
	if !r.begun && r.account != nil {
		r.begun = true
		r.relay.Usage.Began(r.account.Name)
	}
}

// settle ends an attempt.
func (r *run) settle(a *attempt, result route.Result) {
	now := time.Now()
	r.relay.Routes.Done(now, a.id, result, 0)
	if a.declined {
		result = route.OK
	}
	r.noteCandidate(a, result)
	a.observation.end(now, result, r.events-a.observation.events)
	if a.response != nil {
		a.response.Close()
	}
	a.cancel(nil)
}

// again tells whether another attempt may follow one that failed for a cause, and takes
// it from the budget of repeats. What never left costs nothing.
func (r *run) again(ctx context.Context, cause error) bool {
	var refusal *problem.Error
	if ctx.Err() != nil || errors.As(cause, &refusal) || (r.mayHaveRun && !r.route.MayRepeat()) {
		return false
	}
	if r.attempts == 0 {
		return r.unsent < maxUnsent
	}
	return r.attempts < max(r.route.MaxAttempts, 1) && r.unsent < maxUnsent &&
		(r.reserved.Swap(false) || r.relay.Budget.Take(time.Now(), r.service))
}

// givenUp returns the final answer of a request that gets no further attempt.
func (r *run) givenUp(ctx context.Context, cause error, retryAfter time.Duration) error {
	if !r.mayHaveRun {
		var refusal *problem.Error
		if errors.As(cause, &refusal) {
			return refusal
		}
		return problem.New(problem.BackendRefused, "not run: %v", cause).After(r.comeBack(retryAfter))
	}
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline) {
		return problem.New(problem.CallerGone, "%v", context.Cause(ctx))
	}
	if ctx.Err() != nil {
		return problem.New(problem.DeadlineExceeded, "%v", context.Cause(ctx))
	}
	return problem.New(problem.AnswerLost, "the answer was lost: %v", cause)
}

// comeBack returns when a caller may come back whose request a backend server turned away for
// a time: when the first server takes requests again, soon if another one does now. 0 stands
// for a server that named no time.
func (r *run) comeBack(asked time.Duration) time.Duration {
	if asked <= 0 {
		return 0
	}
	opens := r.relay.Routes.OpensIn(time.Now(), r.service)
	wait := max(min(asked, opens), shortestComeBack)
	return wait + time.Duration(comeBackSpread*r.relay.Draw()*float64(wait))
}

// refuse answers the caller without an answer of a backend server.
func (r *run) refuse(w http.ResponseWriter, failure *problem.Error) {
	r.kind, r.detail = failure.Kind, failure.Detail
	r.status = problem.Rows[failure.Kind].Status
	r.relay.Codec.Refuse(w, r.call, failure)
}

// log writes the request's line.
func (r *run) log() {
	took := time.Since(r.received)
	name := ""
	if r.route != nil {
		name = r.route.Name
	}
	r.relay.Meters.answered(r.service, name, r.status, string(r.kind), r.firstByte, took)
	fields := logrus.Fields{
		"request_id": r.call.ID, "route": name, "service": r.service, "account": r.accountName(),
		"status": r.status, "attempts": r.attempts, "unsent": r.unsent, "backend": r.backend, "took_ms": took.Milliseconds(),
	}
	if r.version != nil {
		fields["version"] = r.version.Version
	}
	if r.account != nil {
		fields["tokens"] = r.tokens()
	}
	if r.limitedBy != "" {
		fields["limited_by"] = r.limitedBy
	}
	if r.asked.Limited {
		fields["server_limit"] = r.asked.PerSecond
	}
	if r.asked.Closed > 0 {
		fields["server_closed_ms"] = r.asked.Closed.Milliseconds()
	}
	if r.asked.Leaving {
		fields["server_leaving"] = true
	}
	if r.firstByte > 0 {
		fields["first_ms"] = r.firstByte.Milliseconds()
	}
	if r.events > 0 {
		fields["events"] = r.events
	}
	if r.kind != "" {
		fields["kind"], fields["detail"], fields["may_have_run"] = r.kind, r.detail, r.mayHaveRun
		r.competed.addFields(fields)
		fields["quiet_ms"] = time.Since(r.progress).Milliseconds()
		r.relay.Log.WithFields(fields).Warn("relay: request not served")
		return
	}
	r.relay.Log.WithFields(fields).Info("relay: request answered")
}
