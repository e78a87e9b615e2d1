package relay

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/serving/connection/event"
	"papayaport.dev/serving/connection/room"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/request/route"
)

// maxAnswerBytes bounds an answer that is read whole before the caller gets any of it.
const maxAnswerBytes = 8 << 20

var (
	errNotRun  = errors.New("the backend server did not run the request")
	errInvalid = errors.New("the backend server's answer is invalid")
)

// servePlain passes one whole answer through. Nothing reaches the caller before the
// answer is whole, so that a broken one can be asked for again.
func (r *run) servePlain(ctx context.Context, w http.ResponseWriter) error {
	r.relay.Budget.Request(time.Now(), r.service)
	for {
		answer, body, err := r.plainAttempt(ctx)
		failed := err == nil && answer.status >= http.StatusInternalServerError
		if err == nil && !failed {
			r.writePlain(w, answer, body)
			return nil
		}
		if r.again(ctx, err) {
			continue
		}
		if failed {
			r.writePlain(w, answer, body)
			return nil
		}
		return r.givenUp(ctx, err, answer.RetryAfter)
	}
}

// plainAnswer is an answer's head with its status.
type plainAnswer struct {
	Answer
	status int
}

func (r *run) plainAttempt(ctx context.Context) (plainAnswer, []byte, error) {
	a, err := r.send(ctx, "")
	if err != nil {
		return plainAnswer{}, nil, err
	}
	answer := plainAnswer{a.answer, a.response.Status}
	if err := r.refusal(a); err != nil {
		return answer, nil, err
	}
	body, err := r.share.ReadAll(ctx, a.response.Body, a.response.Length, maxAnswerBytes)
	if err != nil {
		r.settle(a, brokenResult(err))
		r.relay.Meters.noteEndless(r.service, err)
		r.excluded = append(r.excluded, a.choice.Backend.ID)
		return answer, nil, errors.Wrap(err, "read answer")
	}
	result := route.OK
	if answer.status >= http.StatusInternalServerError {
		result = route.Failed
		r.excluded = append(r.excluded, a.choice.Backend.ID)
	}
	r.settle(a, result)
	return answer, body, nil
}

// brokenResult tells what an answer that could not be read to its end says of its server. One
// that found no memory left says nothing.
func brokenResult(err error) route.Result {
	switch {
	case errors.Is(err, room.ErrTooLarge), errors.Is(err, event.ErrTooLarge):
		return route.Wrong
	case errors.Is(err, room.ErrFull), errors.Is(err, event.ErrNoRoom):
		return route.Cancelled
	}
	return route.Failed
}

// refusal settles an attempt that was not run, or whose answer can't be a server's.
func (r *run) refusal(a *attempt) error {
	switch {
	case a.answer.NotRun:
		r.settle(a, route.Refused)
		r.excluded = append(r.excluded, a.choice.Backend.ID)
		return errors.Wrapf(errNotRun, "status %d of %s", a.response.Status, a.choice.Backend.ID)
	case !a.answer.Valid:
		r.settle(a, route.Wrong)
		r.excluded = append(r.excluded, a.choice.Backend.ID)
		return errors.Wrapf(errInvalid, "status %d of %s", a.response.Status, a.choice.Backend.ID)
	}
	return nil
}

func (r *run) writePlain(w http.ResponseWriter, answer plainAnswer, body []byte) {
	header := w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	r.status, r.firstByte = answer.status, time.Since(r.received)
	w.WriteHeader(answer.status)
	if _, err := w.Write(body); err != nil {
		r.kind, r.detail = problem.AnswerLost, "write to the caller: "+err.Error()
	}
}
