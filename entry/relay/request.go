package relay

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/connection/memorybudget"
	"papayaport.dev/serving/connection/upstream"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/request/backpressure"
	"papayaport.dev/serving/request/route"
	"papayaport.dev/serving/version/deployment"
	"papayaport.dev/serving/version/service"
)

const (
	// maxUnsentAttempts bounds the attempts of one request that fail before a byte is sent.
	maxUnsentAttempts = 3
	// responseTimeoutTargets is the response timeout as a multiple of the route's latency
	// target.
	responseTimeoutTargets = 3
	// minResponseTimeout is the lower bound of the response timeout, so that a garbage
	// collection pause or a lost packet does not double the load.
	minResponseTimeout = 500 * time.Millisecond
	// responseTimeoutEstimates is the response timeout as a multiple of the estimated time to
	// the first token, so that expected queueing is not taken for a stall.
	responseTimeoutEstimates = 2
	// budgetPollInterval is the interval at which a stalled attempt checks whether the retry
	// budget allows a retry.
	budgetPollInterval = 250 * time.Millisecond
	// drainCutoff is the remaining time below which a draining instance rejects every request:
	// plain services answer nearly all requests within a second.
	drainCutoff = time.Second
	// drainRetryAfter is the Retry-After of a request that a draining instance rejects. Another
	// instance can serve it at once; the delay covers the set-up of a connection.
	drainRetryAfter = 50 * time.Millisecond
	// minRetryAfter is the lower bound of the Retry-After of a request that backend servers
	// rejected; it covers the set-up of a connection. retryAfterJitter is the jitter as a share
	// of the delay.
	minRetryAfter    = 100 * time.Millisecond
	retryAfterJitter = 0.5
	// targetQuantile is the share of requests that should meet the latency target.
	targetQuantile = 0.95
)

// requestState is the state of one caller's request over all its attempts.
type requestState struct {
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
	// failedOnCandidate is set when a retry has to go to the old version of the service.
	failedOnCandidate bool
	// oldUnreachable is set when such a retry reached no server of the old version.
	oldUnreachable bool
	// memory is the reservation for the response that is being read.
	memory *memorybudget.Share
	// bodyMemory is the reservation for the request's body, nil for none.
	bodyMemory *memorybudget.Share
	// mayHaveRun is set when an attempt was sent and the server did not report it as not run.
	mayHaveRun bool
	// countedRunning is set when the request was counted as running.
	countedRunning bool
	// retryReserved is set while a retry was taken from the retry budget and not sent yet.
	retryReserved atomic.Bool

	// forwarded is set at the instance that serves the request for another one, and admitted if that
	// one has charged and counted it. passedOn is set where it was received.
	forwarded, admitted, passedOn bool

	// shedding is the load-shedding decision on the request, nil when there was none.
	shedding *sheddingDecision

	// Further fields of the log line.
	backpressure backpressure.Signal
	status       int
	limitedBy    string
	kind         problem.Kind
	detail       string
	backend      string
	firstByte    time.Duration
	events       int
	// framing is how the last answer marks its end, and unfinishedBytes is the length of the event
	// inside which a stream ended.
	framing         upstream.Framing
	unfinishedBytes int
	// requestDigest is the result of digest, 0 before its first call.
	requestDigest uint64
	// lostAt lists the servers that closed their connection before the answer was complete.
	lostAt []string
	// progress is when the last event of the stream arrived, or the request before the first.
	progress time.Time
	// maxGap is the longest time between two events of the stream.
	maxGap time.Duration
}

// match sets the route, the client account, the deadline and the service of the request.
func (r *requestState) match(version *deployment.Version) error {
	r.version = version
	host, _, _ := strings.Cut(r.call.Host, ":")
	found := false
	if r.route, found = version.Match(host, r.call.Path); !found {
		return problem.New(problem.UnknownRoute, "no route for %s%s in version %d", host, r.call.Path, version.Version)
	}
	if !r.route.Anonymous && len(version.Accounts) > 0 {
		if r.account, found = version.Account(r.call.APIKey); !found {
			return problem.New(problem.Unauthenticated, "the key belongs to no client account in version %d", version.Version)
		}
	}
	wait := r.call.Timeout
	if wait <= 0 {
		wait = defaultTimeout
	}
	if r.route.Timeout > 0 {
		wait = min(wait, r.route.Timeout)
	}
	r.deadline = r.received.Add(wait)
	if stop := r.relay.leaving.Load(); stop != nil {
		streams := r.route.Kind == deployment.Streaming && !r.received.Before(stop.settled)
		if streams || stop.end.Sub(r.received) < drainCutoff {
			return problem.New(problem.Leaving, "this instance shuts down in %d ms", time.Until(stop.end).Milliseconds()).WithRetryAfter(drainRetryAfter)
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

// serve makes attempts until one succeeds or no retry is allowed.
func (r *requestState) serve(caller context.Context, w http.ResponseWriter) {
	if r.route.Kind == deployment.NonIdempotent {
		// A request that was sent runs to completion even if the caller disconnects.
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
	if err != nil && r.relay.Reachability.Suspected(time.Now()) && !isFinal(err) && r.passOn(caller, w, true) {
		return
	}
	if err != nil {
		r.reject(w, problem.From(err))
	}
}

// isFinal reports whether another instance would refuse the request as well, or nobody waits for it.
func isFinal(err error) bool {
	kind := problem.From(err).Kind
	return kind != problem.BackendRefused && kind != problem.NoBackend
}

func (r *requestState) routeRequest() route.Request {
	request := route.Request{
		Service: r.service, AnswerTokens: 1, Priority: r.priority(), Deadline: r.deadline, Exclude: r.excluded,
		Target: service.LatencyTarget{
			FirstTokenMS: float64(r.route.Target.Milliseconds()), BetweenTokensMS: float64(r.route.TargetGap.Milliseconds()),
			Quantile: targetQuantile,
		},
	}
	if p := r.call.Prompt; p != nil {
		request.PromptTokens, request.AnswerTokens, request.Blocks = p.PromptTokens, p.AnswerTokens, p.prefixBlocks()
	}
	return request
}

// attempt is one attempt at a request, with the slot that it holds in the routing table.
type attempt struct {
	id       string
	choice   route.Choice
	response *upstream.Response
	answer   Answer
	cancel   context.CancelCauseFunc
	// forCandidate is set when the attempt counts towards the candidate version's exposure.
	forCandidate bool
	// onTrial is set when the attempt goes to a version in the trial phase of its roll-out.
	onTrial bool
	// declined is set when the server returned a complete response with a client error, which
	// is no failure of its version.
	declined    bool
	observation observation
	// begunAt is when the answer began: the first event of a stream, or the head of another answer.
	begunAt time.Time
}

// send makes one attempt and returns once the head of the response has arrived. The caller
// must call settle on the attempt.
func (r *requestState) send(ctx context.Context, lastEvent string) (*attempt, error) {
	relay := r.relay
	// What is known of the request may have changed since the last attempt.
	if err := r.checkQuarantine(); err != nil {
		return nil, err
	}
	request := r.routeRequest()
	a, err := r.chooseBackend(&request)
	if err != nil {
		return nil, err
	}
	choice := a.choice
	ctx, a.cancel = context.WithCancelCause(ctx)
	r.backend = choice.Backend.ID
	relay.Routes.Sent(time.Now(), a.id, choice, request)
	var sentAt time.Time
	stallTimer := r.startStallTimer(a, r.attempts+1)
	stallTimer.Reset(r.responseTimeout(choice))
	defer stallTimer.Stop()
	relay.Reachability.Started(time.Now())
	defer func() {
		if err != nil {
			relay.Reachability.Ended()
		}
	}()
	header := relay.Codec.Attempt(r.call, Attempt{
		Server: choice.Backend.ID, Remaining: time.Until(r.deadline), Account: r.accountName(),
		Priority: r.priority(), LastEventID: lastEvent,
	})
	a.response, err = relay.Pool.Send(ctx, relay.server(r.version, choice.Backend), upstream.Request{
		ID: r.call.ID, Method: r.call.Method, Target: r.call.Target, Host: r.call.Host, Header: header, Body: r.call.Body,
		StillAccepted: func() bool {
			sentAt = time.Now()
			if !relay.Routes.Admit(sentAt, choice) {
				return false
			}
			relay.VersionPicker.Sent(r.service, r.route.Name, a.forCandidate)
			a.observation.started(sentAt)
			return true
		},
	})
	if err != nil {
		if showsPartition(err) {
			relay.Reachability.Unreached(time.Now(), choice.Backend.ID)
		}
		r.recordFailure(a, err)
		return nil, err
	}
	relay.Reachability.Reached(time.Now())
	a.answer = relay.Codec.Answer(a.response.Status, a.response.Header)
	r.backpressure = a.answer.Backpressure
	if !a.answer.Misdirected && (a.answer.Valid || a.answer.NotRun) {
		relay.BackpressureObserver.ObserveBackpressure(sentAt, choice.Backend, a.answer.Backpressure)
	}
	if r.route.Kind != deployment.Streaming && !a.answer.NotRun {
		a.begunAt = time.Now()
		a.observation.firstResponse()
	}
	r.framing = a.response.Framing
	relay.invalidFields.warn(relay.Log, choice.Backend.ID, "a field that is not known", a.answer.UnknownFields)
	relay.invalidFields.warn(relay.Log, choice.Backend.ID, "a malformed field", a.answer.MalformedFields)
	r.recordResponse(a)
	return a, nil
}

// recordFailure settles and counts an attempt that got no response.
func (r *requestState) recordFailure(a *attempt, err error) {
	if errors.Is(err, upstream.ErrWithheld) {
		r.relay.Metrics.withheld(r.service)
	}
	var failure *upstream.Error
	sent := !errors.As(err, &failure) || failure.Sent
	result := route.Failed
	switch {
	case errors.Is(err, errStalled):
		result = route.Silent
	case errors.Is(err, context.Canceled), errors.Is(err, errDeadline), errors.Is(err, upstream.ErrNoFreeConnection),
		errors.Is(err, upstream.ErrWithheld):
		result = route.Cancelled
	case errors.Is(err, upstream.ErrForeignAnswer), errors.Is(err, upstream.ErrHeadTooLarge):
		result = route.Wrong
	}
	r.relay.Metrics.responseOverLimit(r.service, err)
	if sent && result == route.Failed {
		r.recordLoss(a)
	}
	if !sent {
		a.observation.discard()
	}
	r.settle(a, result)
	r.excluded = append(r.excluded, a.choice.Backend.ID)
	if !sent {
		r.recordUnsent(a)
		return
	}
	r.attempts++
	r.mayHaveRun = true
	if r.route.Kind != deployment.Streaming {
		r.countRunning()
	}
}

// recordUnsent counts an attempt that reached no server. A retry that was taken from the retry
// budget for it was not spent, so the next attempt may use it.
func (r *requestState) recordUnsent(a *attempt) {
	r.unsent++
	if r.attempts > 0 {
		r.retryReserved.Store(true)
	}
	r.oldUnreachable = r.oldUnreachable || (r.failedOnCandidate && !a.forCandidate)
}

// recordResponse counts an attempt whose response head has arrived.
func (r *requestState) recordResponse(a *attempt) {
	now := time.Now()
	if a.answer.Load != nil {
		r.relay.reportLoad(now, a.choice.Backend, *a.answer.Load)
	}
	r.relay.Metrics.attempt(r.service)
	if a.answer.Misdirected {
		// Another server uses the address now; the chosen one was not reached.
		r.unsent++
		return
	}
	r.attempts++
	if a.answer.NotRun {
		return
	}
	r.mayHaveRun = true
	if r.route.Kind != deployment.Streaming || a.response.Status != http.StatusOK {
		r.countRunning()
	}
}

// countRunning counts the request as running, once. A stream is running from its first event
// on: before that it may have been queued all the time, also when the caller disconnects.
func (r *requestState) countRunning() {
	if !r.countedRunning && r.account != nil {
		r.countedRunning = true
		r.relay.Usage.Started(r.account.Name)
	}
}

// settle ends an attempt and releases its slot in the routing table.
func (r *requestState) settle(a *attempt, result route.Result) {
	now := time.Now()
	r.relay.Routes.Done(now, a.id, result, 0)
	r.recordServed(a, result)
	if a.declined {
		result = route.OK
	}
	r.recordCandidateResult(a, result)
	a.observation.finish(now, result, r.events-a.observation.events)
	if a.response != nil {
		a.response.Close()
		r.relay.Reachability.Ended()
	}
	a.cancel(nil)
}

// claimRetry reports whether a retry may follow an attempt that failed with cause, and takes it
// from the retry budget. Attempts that were never sent cost nothing.
func (r *requestState) claimRetry(ctx context.Context, cause error) bool {
	var refusal *problem.Error
	if ctx.Err() != nil || errors.As(cause, &refusal) || (r.mayHaveRun && !r.route.MayRepeat()) {
		return false
	}
	if r.attempts == 0 {
		return r.unsent < maxUnsentAttempts
	}
	return r.attempts < max(r.route.MaxAttempts, 1) && r.unsent < maxUnsentAttempts &&
		(r.retryReserved.Swap(false) || r.relay.Budget.Take(time.Now(), r.service))
}

// finalError returns the error for a request that gets no further attempt.
func (r *requestState) finalError(ctx context.Context, cause error, retryAfter time.Duration) error {
	if !r.mayHaveRun {
		var refusal *problem.Error
		if errors.As(cause, &refusal) {
			return refusal
		}
		return problem.New(problem.BackendRefused, "not run: %v", cause).WithRetryAfter(r.retryAfter(retryAfter))
	}
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline) {
		return problem.New(problem.CallerGone, "%v", context.Cause(ctx))
	}
	if ctx.Err() != nil {
		return problem.New(problem.DeadlineExceeded, "%v", context.Cause(ctx))
	}
	return problem.New(problem.AnswerLost, "the answer was lost: %v", cause)
}

// retryAfter returns the Retry-After for a request that a backend server rejected, given the
// delay that the server asked for: the time until the first server of the service accepts
// requests, with jitter. It is 0 when the server named no delay.
func (r *requestState) retryAfter(asked time.Duration) time.Duration {
	if asked <= 0 {
		return 0
	}
	opens := r.relay.Routes.AdmissionWait(time.Now(), r.service)
	wait := max(min(asked, opens), minRetryAfter)
	return wait + time.Duration(retryAfterJitter*r.relay.Draw()*float64(wait))
}

// reject writes an error response that does not come from a backend server.
func (r *requestState) reject(w http.ResponseWriter, failure *problem.Error) {
	r.kind, r.detail = failure.Kind, failure.Detail
	r.status = problem.Rows[failure.Kind].Status
	r.relay.Codec.Refuse(w, r.call, failure)
}

// log writes the log line of the request.
func (r *requestState) log() {
	took := time.Since(r.received)
	name := ""
	if r.route != nil {
		name = r.route.Name
	}
	r.relay.Metrics.request(r.service, name, r.status, string(r.kind), r.firstByte, took)
	fields := logrus.Fields{
		"request_id": r.call.ID, "route": name, "service": r.service, "account": r.accountName(),
		"status": r.status, "attempts": r.attempts, "unsent": r.unsent, "backend": r.backend, "took_ms": took.Milliseconds(),
	}
	if r.version != nil {
		fields["version"], fields["request_digest"] = r.version.Version, strconv.FormatUint(r.digest(), 16)
	}
	if r.account != nil {
		fields["tokens"] = r.quotaTokens()
	}
	if r.forwarded {
		fields["forwarded"] = true
	}
	if r.passedOn {
		fields["passed_on"] = true
	}
	if r.limitedBy != "" {
		fields["limited_by"] = r.limitedBy
	}
	if r.backpressure.Limited {
		fields["server_limit"] = r.backpressure.PerSecond
	}
	if r.backpressure.PauseFor > 0 {
		fields["server_closed_ms"] = r.backpressure.PauseFor.Milliseconds()
	}
	if r.backpressure.Leaving {
		fields["server_leaving"] = true
	}
	if r.route != nil && r.route.Target > 0 {
		fields["target_ms"] = r.route.Target.Milliseconds()
	}
	if r.firstByte > 0 {
		fields["first_ms"] = r.firstByte.Milliseconds()
	}
	if r.framing != "" {
		fields["framing"] = r.framing
	}
	if len(r.lostAt) > 0 {
		fields["lost_at"] = r.lostAt
		if r.call.Prompt != nil {
			fields["prompt_parts"] = r.call.Prompt.sharedPartNames()
		}
	}
	if r.unfinishedBytes > 0 {
		fields["unfinished_bytes"] = r.unfinishedBytes
	}
	if r.events > 0 {
		fields["events"], fields["max_gap_ms"], fields["target_gap_ms"] = r.events, r.maxGap.Milliseconds(), r.route.TargetGap.Milliseconds()
	}
	if r.kind != "" {
		fields["kind"], fields["detail"], fields["may_have_run"] = r.kind, r.detail, r.mayHaveRun
		r.shedding.addFields(fields)
		fields["quiet_ms"] = time.Since(r.progress).Milliseconds()
		r.relay.Log.WithFields(fields).Warn("relay: request not served")
		return
	}
	r.relay.Log.WithFields(fields).Info("relay: request answered")
}
