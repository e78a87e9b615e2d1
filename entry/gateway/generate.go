package gateway

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/request/answer"
	"papayaport.dev/serving/request/retry"
	"papayaport.dev/serving/request/route"
)

const (
	// minFirstTokenTimeout is the minimum timeout for the first token of an attempt.
	minFirstTokenTimeout = 5 * time.Second
	// minTokenGapTimeout is the minimum timeout between two tokens of an attempt.
	minTokenGapTimeout = 2 * time.Second
	// timeoutFactor multiplies the estimated first-token latency and the target token
	// interval to get the timeouts.
	timeoutFactor = 8
	// backendPollPeriod is the interval at which a request that had an attempt looks for another
	// backend server.
	backendPollPeriod = 100 * time.Millisecond
)

// Causes for which an attempt is cancelled.
var (
	errMigrated = errors.New("the backend server is leaving")
	errDeadline = problem.New(problem.DeadlineExceeded, "the deadline passed")
)

func (r *run) newAssembly() *answer.Assembly { return answer.New(r.chat.MaxTokens) }

func endWithError(err error) answer.End { return answer.End{Err: problem.From(err)} }

// generate makes attempts until the answer is complete, has failed or is handed over.
func (g *Gateway) generate(r *run) {
	ctx, cancel := context.WithDeadlineCause(r.ctx, r.deadline, errDeadline)
	defer cancel()
	end, ok := g.runAttempts(ctx, r)
	if !ok {
		g.handOverRun(r)
		return
	}
	r.finish(g.Clock(), end)
	g.admitter.release(r.key, r.promptSize+r.log.Tokens())
	if end.Err == nil {
		g.Retries.Success(r.file.Name)
	}
	g.Metrics.observeTokenInterval(r, g.Clock(), end)
}

// runAttempts returns the end of the answer, or false if the run is to be handed over to
// another entry instance.
func (g *Gateway) runAttempts(ctx context.Context, r *run) (answer.End, bool) {
	for {
		choice, err := g.waitForBackend(ctx, r)
		if err != nil {
			return endWithError(err), true
		}
		end, err := g.runAttempt(ctx, r, choice)
		if err == nil {
			return end, true
		}
		if errors.Is(err, errHandedOver) {
			return answer.End{}, false
		}
		if cause := context.Cause(ctx); cause != nil {
			return endWithError(cause), true
		}
		if errors.Is(err, errMigrated) {
			continue
		}
		if err := g.waitForRetry(ctx, r, choice, err); err != nil {
			return endWithError(err), true
		}
	}
}

// waitForBackend returns a backend server for the next attempt. A run that had an attempt waits
// until one is available. A new run fails at once, and so does a run without tokens while
// all servers hold back requests with Retry-After.
func (g *Gateway) waitForBackend(ctx context.Context, r *run) (route.Choice, error) {
	for {
		choice, err := g.chooseBackend(r)
		if err == nil {
			return choice, nil
		}
		r.mu.Lock()
		begun := r.attempts > 0
		r.mu.Unlock()
		if !begun {
			return route.Choice{}, err
		}
		if r.log.Tokens() == 0 && problem.From(err).Kind == problem.HeldBack {
			return route.Choice{}, withUnknownOutcome(err)
		}
		if err := clock.Sleep(ctx, backendPollPeriod); err != nil {
			return route.Choice{}, err
		}
	}
}

func (g *Gateway) chooseBackend(r *run) (route.Choice, error) {
	r.mu.Lock()
	target := r.nextBackend
	r.mu.Unlock()
	if backend, found := g.Routes.Backend(target); found {
		choice := route.Choice{Backend: backend, CachedTokens: r.promptSize}
		if g.Routes.Admit(g.Clock(), choice) {
			return choice, nil
		}
	}
	return g.Routes.Choose(g.Clock(), r.routeRequest())
}

// waitForRetry waits for the back-off before the next attempt, or returns why there is none. A
// failure at a backend server that is known to be leaving is not charged to the retry
// budget.
func (g *Gateway) waitForRetry(ctx context.Context, r *run, choice route.Choice, cause error) error {
	r.exclude(choice.Backend.ID)
	if _, leaving := g.Routes.IsLeaving(choice.Backend.ID); leaving {
		return nil
	}
	g.Log.WithFields(logrus.Fields{"request_id": r.id, "backend": choice.Backend.ID}).
		Warn("gateway: attempt failed: " + cause.Error())
	r.mu.Lock()
	attempts := r.attempts
	r.mu.Unlock()
	wait, err := g.Retries.Next(g.Clock(), retry.Failure{
		Service: r.file.Name, Attempts: attempts, Idempotent: true,
		Deadline: r.deadline, Expected: choice.FirstToken,
	})
	if err != nil {
		return withUnknownOutcome(err)
	}
	g.Metrics.countRetry(r.file.Name)
	return clock.Sleep(ctx, wait)
}

// runAttempt sends a run to a backend server once and reads the answer.
func (g *Gateway) runAttempt(ctx context.Context, r *run, choice route.Choice) (answer.End, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &attempt{choice: choice, startedAt: g.Clock(), cancel: cancel, number: r.nextAttemptNumber()}
	a.id = fmt.Sprintf("%s.%d", r.id, a.number)
	if !r.beginAttempt(a) {
		return answer.End{}, errHandedOver
	}
	g.Metrics.countAttempt(r.file.Name)
	g.Routes.Sent(a.startedAt, a.id, choice, r.routeRequest())
	end, err := g.streamAnswer(ctx, r, a)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause
	}
	g.recordResult(r, a, end, err)
	return end, err
}

// withUnknownOutcome replaces the outcome "not run" by "unknown", since an attempt was sent.
func withUnknownOutcome(err error) error {
	failure := *problem.From(err)
	if outcomeOf(err) == problem.NotRun {
		failure.Outcome = problem.Unknown
	}
	return &failure
}

func (r *run) nextAttemptNumber() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempts + 1
}

func (g *Gateway) recordResult(r *run, a *attempt, end answer.End, err error) {
	result := attemptResult(err)
	computed := -1
	if err == nil {
		computed = end.Usage.PromptTokens - end.Usage.CachedTokens
	}
	if result == route.Silent {
		g.Pool.Drop(a.choice.Backend.ID)
	}
	g.Routes.Done(g.Clock(), a.id, result, computed)
	g.Metrics.recordAttempt(r.file.Name, a, end, result, g.Clock())
}

func attemptResult(err error) route.Result {
	var refused *engine.RefusedError
	switch {
	case err == nil:
		return route.OK
	case errors.Is(err, engine.ErrNoProgress):
		return route.Silent
	case errors.Is(err, engine.ErrInvalidAnswer):
		return route.Wrong
	case errors.As(err, &refused):
		return route.Refused
	case errors.Is(err, engine.ErrTruncated), errors.Is(err, engine.ErrUnreachable):
		return route.Failed
	}
	if isCancelled(err) {
		return route.Cancelled
	}
	return route.Failed
}

func isCancelled(err error) bool {
	var p *problem.Error
	return errors.Is(err, errMigrated) || errors.As(err, &p)
}

func (g *Gateway) progressTimeouts(r *run, choice route.Choice) engine.ProgressTimeouts {
	target := time.Duration(r.file.LatencyTarget.BetweenTokensMS * float64(time.Millisecond))
	return engine.ProgressTimeouts{
		FirstChunk:    max(minFirstTokenTimeout, timeoutFactor*choice.FirstToken),
		BetweenChunks: max(minTokenGapTimeout, timeoutFactor*target),
	}
}

func (g *Gateway) streamAnswer(ctx context.Context, r *run, a *attempt) (answer.End, error) {
	backend := a.choice.Backend
	client := engine.New(g.Pool.Client(backend.ID, backend.Incarnation), backend.Address)
	sentAt := g.Clock()
	stream, err := client.Complete(ctx, r.completion(a.id), g.progressTimeouts(r, a.choice))
	if err != nil {
		g.recordRefusal(sentAt, a.choice, err)
		return answer.End{}, err
	}
	defer stream.Close()
	if stream.Incarnation != 0 && backend.Incarnation != 0 && stream.Incarnation < backend.Incarnation {
		return answer.End{}, errors.Wrap(engine.ErrInvalidAnswer, "answer of an earlier incarnation")
	}
	r.assembly.Begin(a.id)
	return g.assemble(r, a, stream)
}

// assemble appends the chunks of a stream to the run's answer until the stream ends. A
// stream without a final chunk is an error.
func (g *Gateway) assemble(r *run, a *attempt, stream *engine.Stream) (answer.End, error) {
	var end answer.End
	final := false
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) && final {
			return end, nil
		}
		if errors.Is(err, io.EOF) {
			return end, errors.Wrap(engine.ErrInvalidAnswer, "stream ended without a finish reason")
		}
		if err != nil {
			return end, err
		}
		verdict := r.assembly.Classify(chunk)
		switch verdict {
		case answer.Token:
			g.acceptToken(r, a, chunk)
		case answer.Final:
			final = true
			end = endFromChunk(chunk)
		case answer.Empty:
		case answer.Repeated, answer.Foreign:
			g.Metrics.countDroppedChunk(verdict.String())
		case answer.Gap, answer.Excess:
			g.Metrics.countDroppedChunk(verdict.String())
			return end, errors.Wrap(engine.ErrInvalidAnswer, verdict.String()+" in the answer")
		}
	}
}

func endFromChunk(chunk engine.Chunk) answer.End {
	end := answer.End{Reason: chunk.Choices[0].FinishReason}
	if chunk.Usage != nil {
		end.Usage = *chunk.Usage
	}
	return end
}

func (g *Gateway) acceptToken(r *run, a *attempt, chunk engine.Chunk) {
	now := g.Clock()
	if r.log.Tokens() == 0 {
		g.Metrics.observeFirstToken(r.file.Name, now.Sub(r.startedAt))
	}
	if first := a.firstTokenSeen.CompareAndSwap(false, true); first {
		g.Routes.FirstToken(now, a.id, -1)
	} else {
		g.Routes.Token(now, a.id)
	}
	r.log.Append(chunk.Choices[0].Delta.Content)
}
