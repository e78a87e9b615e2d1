package relay

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/serving/connection/event"
	"papayaport.dev/serving/connection/upstream"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/request/route"
)

// eventTimeoutFactor is the event timeout as a multiple of the route's target gap between
// events, after which a resumable stream is retried on another backend server. minEventTimeout
// is its lower bound.
const (
	eventTimeoutFactor = 4
	minEventTimeout    = 1500 * time.Millisecond
)

// stream is the response stream to the caller.
type stream struct {
	w        http.ResponseWriter
	flush    func() error
	headSent bool
	// lastEventID is the id of the last complete event that was sent to the caller.
	lastEventID string
	// notResumable is set when the last event that was sent has no id, so that another server can't
	// go on after it.
	notResumable bool
}

// serveStream forwards a stream event by event. Once a part of it was sent to the caller, a
// stream that can't be completed ends by aborting the caller's connection, so that it does not
// look complete.
func (r *requestState) serveStream(ctx context.Context, w http.ResponseWriter) error {
	if !r.admitted {
		r.relay.Budget.Request(time.Now(), r.service)
	}
	out := &stream{w: w, flush: http.NewResponseController(w).Flush, lastEventID: r.call.LastEventID}
	for {
		answer, err := r.streamAttempt(ctx, out)
		if err == nil {
			return nil
		}
		if !out.notResumable && r.claimRetry(ctx, err) {
			continue
		}
		err = r.finalError(ctx, err, answer.RetryAfter)
		if !out.headSent {
			return err
		}
		failure := problem.From(err)
		r.kind, r.detail = failure.Kind, "broken off: "+failure.Detail
		r.status = http.StatusOK
		panic(http.ErrAbortHandler) // net/http closes the connection without a final chunk
	}
}

// streamAttempt forwards the events of one attempt. A nil error means that the stream is
// complete, or that an error response of the server was passed on.
func (r *requestState) streamAttempt(ctx context.Context, out *stream) (Answer, error) {
	a, err := r.send(ctx, out.lastEventID)
	if err != nil {
		return Answer{}, err
	}
	if out.headSent && !isEventStream(a.response) {
		a.answer.Valid = false
	}
	if err := r.checkRun(a); err != nil {
		return a.answer, err
	}
	if a.response.Status != http.StatusOK {
		return a.answer, r.streamFailure(ctx, a, out)
	}
	err = r.forward(ctx, a, out)
	result := route.OK
	switch {
	case errors.Is(err, errCallerGone), ctx.Err() != nil:
		result = route.Cancelled
	case errors.Is(err, errStalled):
		result = route.Silent
	case err != nil:
		result = readErrorResult(err)
		if result == route.Failed {
			r.recordLoss(a)
		}
		r.relay.Metrics.responseOverLimit(r.service, err)
	}
	if err != nil {
		r.excluded = append(r.excluded, a.choice.Backend.ID)
	}
	r.settle(a, result)
	return a.answer, err
}

// streamFailure passes a server's error response on if nothing was sent to the caller yet and
// no retry is possible.
func (r *requestState) streamFailure(ctx context.Context, a *attempt, out *stream) error {
	body, err := r.memory.ReadAll(ctx, a.response.Body, a.response.Length, maxResponseBytes)
	status := a.response.Status
	a.declined = err == nil && status < http.StatusInternalServerError
	r.settle(a, route.Failed)
	r.relay.Metrics.responseOverLimit(r.service, err)
	r.excluded = append(r.excluded, a.choice.Backend.ID)
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if out.headSent || (r.route.MayRepeat() && r.attempts < r.route.MaxAttempts) {
		return errors.Errorf("status %d of %s", status, a.choice.Backend.ID)
	}
	r.writePlain(out.w, plainResponse{a.answer, status}, body)
	return nil
}

var errCallerGone = errors.New("the caller is gone")

// forward copies complete events to the caller as they arrive.
func (r *requestState) forward(ctx context.Context, a *attempt, out *stream) error {
	reader := event.New(a.response.Body, r.memory)
	stallTimer := r.startStallTimer(a, r.attempts)
	defer stallTimer.Stop()
	for first := true; ; first = false {
		stallTimer.Reset(r.eventTimeout(a, first))
		one, err := reader.Next()
		var unfinished *event.UnfinishedError
		if errors.As(err, &unfinished) {
			r.unfinishedBytes = len(unfinished.Part)
			if !isEventStream(a.response) {
				one, err = event.Event{Bytes: unfinished.Part}, nil
			}
		}
		if errors.Is(err, io.EOF) && first && a.response.Framing == upstream.ByConnection && isEventStream(a.response) {
			return errors.Wrap(io.ErrUnexpectedEOF, "the connection ended before the first event")
		}
		if errors.Is(err, io.EOF) {
			if !out.headSent {
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
		r.relay.Reachability.Reached(now)
		if r.events > 0 {
			r.maxGap = max(r.maxGap, now.Sub(r.progress))
		}
		r.progress = now
		if first {
			a.begunAt = now
			r.countRunning()
			a.observation.firstResponse()
			r.relay.Routes.FirstToken(now, a.id, 0)
		} else {
			r.relay.Routes.Token(now, a.id)
		}
		if err := r.write(a, out, one); err != nil {
			return err
		}
	}
}

// isEventStream reports whether a response consists of events. Servers may leave out the media
// type of a stream.
func isEventStream(response *upstream.Response) bool {
	value := response.Header.Get("Content-Type")
	mediaType, _, _ := strings.Cut(value, ";")
	return value == "" || strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}

// eventTimeout returns how long the next event may take before the stream is retried on another
// backend server.
func (r *requestState) eventTimeout(a *attempt, first bool) time.Duration {
	if first {
		return r.responseTimeout(a.choice)
	}
	return max(eventTimeoutFactor*r.route.TargetGap, minEventTimeout)
}

func (r *requestState) beginStream(a *attempt, out *stream) {
	header := out.w.Header()
	for name, values := range a.answer.Header {
		header[name] = values
	}
	r.status, r.firstByte = a.response.Status, time.Since(r.received)
	r.finishShedding()
	out.headSent = true
	out.w.WriteHeader(a.response.Status)
}

func (r *requestState) write(a *attempt, out *stream, one event.Event) error {
	if !out.headSent {
		r.beginStream(a, out)
	}
	if _, err := out.w.Write(one.Bytes); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	if err := out.flush(); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	switch {
	case one.ID != "":
		out.lastEventID, out.notResumable = one.ID, false
	case !one.IsComment():
		out.notResumable = true
	}
	r.events++
	return nil
}
