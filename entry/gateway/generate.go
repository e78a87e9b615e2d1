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
	// firstSilence is the shortest time after which an engine without a first token is silent.
	firstSilence = 5 * time.Second
	// betweenSilence is the shortest time after which an engine between tokens is silent.
	betweenSilence = 2 * time.Second
	// silenceFactor is the multiple of the estimate or target that counts as silence.
	silenceFactor = 8
	// backendWait is the time between two looks for a backend server for an accepted request.
	backendWait = 100 * time.Millisecond
)

// Causes of the end of an attempt.
var (
	errMoved    = errors.New("the backend server is leaving")
	errDeadline = problem.New(problem.DeadlineExceeded, "the deadline passed")
)

func (r *run) newAssembly() *answer.Assembly { return answer.New(r.chat.MaxTokens) }

func endWith(err error) answer.End { return answer.End{Err: problem.From(err)} }

// generate makes attempts until the answer is whole or given up.
func (g *Gateway) generate(r *run) {
	ctx, cancel := context.WithDeadlineCause(r.ctx, r.deadline, errDeadline)
	defer cancel()
	end, ok := g.attempts(ctx, r)
	if !ok {
		g.continueElsewhere(r)
		return
	}
	r.finish(g.Clock(), end)
	g.admitter.release(r.key, r.promptSize+r.log.Tokens())
	if end.Err == nil {
		g.Retries.Success(r.file.Name)
	}
	g.Meters.finished(r, g.Clock(), end)
}

// attempts returns the end of the answer; false when another entry instance has it now.
func (g *Gateway) attempts(ctx context.Context, r *run) (answer.End, bool) {
	for {
		choice, err := g.choose(ctx, r)
		if err != nil {
			return endWith(err), true
		}
		end, err := g.attempt(ctx, r, choice)
		if err == nil {
			return end, true
		}
		if errors.Is(err, errHandedOver) {
			return answer.End{}, false
		}
		if cause := context.Cause(ctx); cause != nil {
			return endWith(cause), true
		}
		if errors.Is(err, errMoved) {
			continue
		}
		if err := g.retry(ctx, r, choice, err); err != nil {
			return endWith(err), true
		}
	}
}

// choose picks a backend server. A request that has begun waits for one; a new one is
// refused at once, and so is one without any token while all servers want no request.
func (g *Gateway) choose(ctx context.Context, r *run) (route.Choice, error) {
	for {
		choice, err := g.pick(r)
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
			return route.Choice{}, afterAttempt(err)
		}
		if err := clock.Sleep(ctx, backendWait); err != nil {
			return route.Choice{}, err
		}
	}
}

func (g *Gateway) pick(r *run) (route.Choice, error) {
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	if backend, found := g.Routes.Backend(target); found {
		choice := route.Choice{Backend: backend, CachedTokens: r.promptSize}
		if g.Routes.MayGo(g.Clock(), choice) {
			return choice, nil
		}
	}
	return g.Routes.Choose(g.Clock(), r.routeRequest())
}

// retry waits before the next attempt, or tells why there is none. Leaving a backend
// server whose end was announced costs nothing of the retry budget.
func (g *Gateway) retry(ctx context.Context, r *run, choice route.Choice, cause error) error {
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
		return afterAttempt(err)
	}
	g.Meters.retried(r.file.Name)
	return clock.Sleep(ctx, wait)
}

// attempt sends a run to a backend server once and reads its answer.
func (g *Gateway) attempt(ctx context.Context, r *run, choice route.Choice) (answer.End, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &attempt{choice: choice, started: g.Clock(), cancel: cancel, number: r.nextAttempt()}
	a.id = fmt.Sprintf("%s.%d", r.id, a.number)
	if !r.begin(a) {
		return answer.End{}, errHandedOver
	}
	g.Meters.attempted(r.file.Name)
	g.Routes.Sent(a.started, a.id, choice, r.routeRequest())
	end, err := g.stream(ctx, r, a)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause
	}
	g.settle(r, a, end, err)
	return end, err
}

// afterAttempt makes sure that a request that was sent isn't said to be not run.
func afterAttempt(err error) error {
	failure := *problem.From(err)
	if outcomeOf(err) == problem.NotRun {
		failure.Outcome = problem.Unknown
	}
	return &failure
}

func (r *run) nextAttempt() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempts + 1
}

func (g *Gateway) settle(r *run, a *attempt, end answer.End, err error) {
	result := resultOf(err)
	computed := -1
	if err == nil {
		computed = end.Usage.PromptTokens - end.Usage.CachedTokens
	}
	if result == route.Silent {
		g.Pool.Drop(a.choice.Backend.ID)
	}
	g.Routes.Done(g.Clock(), a.id, result, computed)
	g.Meters.settled(r.file.Name, a, end, result, g.Clock())
}

func resultOf(err error) route.Result {
	var refused *engine.RefusedError
	switch {
	case err == nil:
		return route.OK
	case errors.Is(err, engine.ErrSilent):
		return route.Silent
	case errors.Is(err, engine.ErrNonsense):
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
	return errors.Is(err, errMoved) || errors.As(err, &p)
}

func (g *Gateway) progress(r *run, choice route.Choice) engine.Progress {
	target := time.Duration(r.file.LatencyTarget.BetweenTokensMS * float64(time.Millisecond))
	return engine.Progress{
		First:   max(firstSilence, silenceFactor*choice.FirstToken),
		Between: max(betweenSilence, silenceFactor*target),
	}
}

func (g *Gateway) stream(ctx context.Context, r *run, a *attempt) (answer.End, error) {
	backend := a.choice.Backend
	client := engine.New(g.Pool.Client(backend.ID, backend.Incarnation), backend.Address)
	sentAt := g.Clock()
	stream, err := client.Complete(ctx, r.completion(a.id), g.progress(r, a.choice))
	if err != nil {
		g.noteRefusal(sentAt, a.choice, err)
		return answer.End{}, err
	}
	defer stream.Close()
	if stream.Incarnation != 0 && backend.Incarnation != 0 && stream.Incarnation < backend.Incarnation {
		return answer.End{}, errors.Wrap(engine.ErrNonsense, "answer of an earlier incarnation")
	}
	r.assembly.Begin(a.id)
	return g.assemble(r, a, stream)
}

// assemble takes chunks until the final marker. An answer without it is no answer.
func (g *Gateway) assemble(r *run, a *attempt, stream *engine.Stream) (answer.End, error) {
	var end answer.End
	final := false
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) && final {
			return end, nil
		}
		if errors.Is(err, io.EOF) {
			return end, errors.Wrap(engine.ErrNonsense, "end without a finish reason")
		}
		if err != nil {
			return end, err
		}
		verdict := r.assembly.Judge(chunk)
		switch verdict {
		case answer.Token:
			g.accept(r, a, chunk)
		case answer.Final:
			final = true
			end = finalOf(chunk)
		case answer.Empty:
		case answer.Repeated, answer.Foreign:
			g.Meters.dropped(verdict.String())
		case answer.Gap, answer.Excess:
			g.Meters.dropped(verdict.String())
			return end, errors.Wrap(engine.ErrNonsense, verdict.String()+" in the answer")
		}
	}
}

func finalOf(chunk engine.Chunk) answer.End {
	end := answer.End{Reason: chunk.Choices[0].FinishReason}
	if chunk.Usage != nil {
		end.Usage = *chunk.Usage
	}
	return end
}

func (g *Gateway) accept(r *run, a *attempt, chunk engine.Chunk) {
	now := g.Clock()
	if r.log.Tokens() == 0 {
		g.Meters.firstToken(r.file.Name, now.Sub(r.started))
	}
	if first := a.first.CompareAndSwap(false, true); first {
		g.Routes.FirstToken(now, a.id, -1)
	} else {
		g.Routes.Token(now, a.id)
	}
	r.log.Append(chunk.Choices[0].Delta.Content)
}
