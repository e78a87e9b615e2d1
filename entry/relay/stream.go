package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/serving/connection/event"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/request/route"
)

// gapFactor is the number of target pauses without an event after which a resumable
// stream goes on elsewhere; shortestGap is the least time before that.
const (
	gapFactor   = 4
	shortestGap = 1500 * time.Millisecond
)

// stream is the caller's side of a stream.
type stream struct {
	w     http.ResponseWriter
	flush func() error
	begun bool
	// last is the id of the last whole event that the caller has.
	last string
}

// serveStream forwards a stream event by event. Once the caller has a part of it, a
// stream that can't be finished ends by breaking the caller's connection, so that it
// does not look complete.
func (r *run) serveStream(ctx context.Context, w http.ResponseWriter) error {
	r.relay.Budget.Request(time.Now(), r.service)
	out := &stream{w: w, flush: http.NewResponseController(w).Flush, last: r.call.LastEvent}
	for {
		answer, err := r.streamAttempt(ctx, out)
		if err == nil {
			return nil
		}
		if r.again(ctx, err) {
			continue
		}
		err = r.givenUp(ctx, err, answer.RetryAfter)
		if !out.begun {
			return err
		}
		failure := problem.From(err)
		r.kind, r.detail = failure.Kind, "broken off: "+failure.Detail
		r.status = http.StatusOK
		panic(http.ErrAbortHandler) // net/http closes the connection without a final chunk
	}
}

// streamAttempt forwards what one attempt gives. A nil error means that the stream is
// complete, or that the server answered with a failure that was passed on.
func (r *run) streamAttempt(ctx context.Context, out *stream) (Answer, error) {
	a, err := r.send(ctx, out.last)
	if err != nil {
		return Answer{}, err
	}
	if err := r.refusal(a); err != nil {
		return a.answer, err
	}
	if a.response.Status != http.StatusOK {
		return a.answer, r.streamFailure(ctx, a, out)
	}
	err = r.forward(ctx, a, out)
	result := route.OK
	switch {
	case errors.Is(err, errCaller), ctx.Err() != nil:
		result = route.Cancelled
	case errors.Is(err, errSilent):
		result = route.Silent
	case err != nil:
		result = brokenResult(err)
		r.relay.Meters.noteEndless(r.service, err)
	}
	if err != nil {
		r.excluded = append(r.excluded, a.choice.Backend.ID)
	}
	r.settle(a, result)
	return a.answer, err
}

// streamFailure passes a server's failure on when the caller has nothing yet.
func (r *run) streamFailure(ctx context.Context, a *attempt, out *stream) error {
	body, err := r.share.ReadAll(ctx, a.response.Body, a.response.Length, maxAnswerBytes)
	status := a.response.Status
	a.declined = err == nil && status < http.StatusInternalServerError
	r.settle(a, route.Failed)
	r.relay.Meters.noteEndless(r.service, err)
	r.excluded = append(r.excluded, a.choice.Backend.ID)
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if out.begun || (r.route.MayRepeat() && r.attempts < r.route.MaxAttempts) {
		return errors.Errorf("status %d of %s", status, a.choice.Backend.ID)
	}
	r.writePlain(out.w, plainAnswer{a.answer, status}, body)
	return nil
}

var errCaller = errors.New("the caller is gone")

// forward copies whole events to the caller as they arrive.
func (r *run) forward(ctx context.Context, a *attempt, out *stream) error {
	reader := event.New(a.response.Body, r.share)
	watch := r.watchSilence(a, r.attempts)
	defer watch.Stop()
	for first := true; ; first = false {
		watch.Reset(r.gap(a, first))
		one, err := reader.Next()
		if errors.Is(err, io.EOF) {
			if !out.begun {
				r.beginStream(a, out)
			}
			return nil
		}
		if err != nil {
			if ctx.Err() != nil {
				return context.Cause(ctx)
			}
			return errors.Wrap(err, "read event")
		}
		now := time.Now()
		r.progress = now
		if first {
			r.began()
			a.observation.first()
			r.relay.Routes.FirstToken(now, a.id, 0)
		} else {
			r.relay.Routes.Token(now, a.id)
		}
		if err := r.write(a, out, one); err != nil {
			return err
		}
	}
}

// gap returns how long the next event may take before the stream goes on elsewhere.
func (r *run) gap(a *attempt, first bool) time.Duration {
	if first {
		return r.silence(a.choice)
	}
	return max(gapFactor*r.route.TargetGap, shortestGap)
}

func (r *run) beginStream(a *attempt, out *stream) {
	header := out.w.Header()
	for name, values := range a.answer.Header {
		header[name] = values
	}
	r.status, r.firstByte = a.response.Status, time.Since(r.received)
	r.endCompetition()
	out.begun = true
	out.w.WriteHeader(a.response.Status)
}

func (r *run) write(a *attempt, out *stream, one event.Event) error {
	if !out.begun {
		r.beginStream(a, out)
	}
	if _, err := out.w.Write(one.Bytes); err != nil {
		return errors.Wrap(errCaller, err.Error())
	}
	if err := out.flush(); err != nil {
		return errors.Wrap(errCaller, err.Error())
	}
	if one.ID != "" {
		out.last = one.ID
	}
	r.events++
	return nil
}
