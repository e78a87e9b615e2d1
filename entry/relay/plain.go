package relay

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/serving/connection/event"
	"papayaport.dev/serving/connection/memorybudget"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/request/route"
)

// maxResponseBytes bounds a response that is buffered before it is sent to the caller.
const maxResponseBytes = 8 << 20

var (
	errNotRun          = errors.New("the backend server did not run the request")
	errInvalidResponse = errors.New("the response of the backend server is invalid")
)

// servePlain buffers a response and passes it on. Nothing is sent to the caller before the
// response is complete, so that the request can be retried when the response breaks off.
func (r *requestState) servePlain(ctx context.Context, w http.ResponseWriter) error {
	if !r.admitted {
		r.relay.Budget.Request(time.Now(), r.service)
	}
	for {
		answer, body, err := r.plainAttempt(ctx)
		failed := err == nil && answer.status >= http.StatusInternalServerError
		if err == nil && !failed {
			r.writePlain(w, answer, body)
			return nil
		}
		if r.claimRetry(ctx, err) {
			continue
		}
		if failed {
			r.writePlain(w, answer, body)
			return nil
		}
		return r.finalError(ctx, err, answer.RetryAfter)
	}
}

// plainResponse is the head of a response with its status.
type plainResponse struct {
	Answer
	status int
}

func (r *requestState) plainAttempt(ctx context.Context) (plainResponse, []byte, error) {
	a, err := r.send(ctx, "")
	if err != nil {
		return plainResponse{}, nil, err
	}
	answer := plainResponse{a.answer, a.response.Status}
	if err := r.checkRun(a); err != nil {
		return answer, nil, err
	}
	body, err := r.memory.ReadAll(ctx, a.response.Body, a.response.Length, maxResponseBytes)
	if err != nil {
		result := readErrorResult(err)
		if result == route.Failed && ctx.Err() == nil {
			r.recordLoss(a)
		}
		r.settle(a, result)
		r.relay.Metrics.responseOverLimit(r.service, err)
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

// readErrorResult returns the result of an attempt whose response could not be read completely.
// A lack of memory on this side is no failure of the server.
func readErrorResult(err error) route.Result {
	switch {
	case errors.Is(err, memorybudget.ErrTooLarge), errors.Is(err, event.ErrTooLarge):
		return route.Wrong
	case errors.Is(err, memorybudget.ErrNoMemory), errors.Is(err, event.ErrNoMemory):
		return route.Cancelled
	}
	return route.Failed
}

// checkRun settles an attempt that was not run or whose response is invalid, and returns the
// error. It returns nil for any other attempt.
func (r *requestState) checkRun(a *attempt) error {
	switch {
	case a.answer.NotRun:
		r.settle(a, route.Refused)
		r.excluded = append(r.excluded, a.choice.Backend.ID)
		return errors.Wrapf(errNotRun, "status %d of %s", a.response.Status, a.choice.Backend.ID)
	case !a.answer.Valid:
		r.settle(a, route.Wrong)
		r.excluded = append(r.excluded, a.choice.Backend.ID)
		return errors.Wrapf(errInvalidResponse, "status %d of %s", a.response.Status, a.choice.Backend.ID)
	}
	return nil
}

func (r *requestState) writePlain(w http.ResponseWriter, answer plainResponse, body []byte) {
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
