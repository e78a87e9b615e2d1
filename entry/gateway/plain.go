package gateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/connection/plain"
	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/request/action"
	"papayaport.dev/serving/request/admission"
	"papayaport.dev/serving/request/retry"
	"papayaport.dev/serving/request/route"
	"papayaport.dev/serving/version/service"
)

// errNotRun means that an attempt was certainly not executed: the backend server refused
// it or it was never sent.
var errNotRun = errors.New("the attempt did not run")

// plainRequest is one plain request with its attempts.
type plainRequest struct {
	call     *call
	path     string
	route    *service.Route
	key      string
	attempts int
	excluded []string
	// mayHaveRun is set once an attempt was sent and not refused.
	mayHaveRun bool
	// beforeSend is called once, before the first attempt is sent.
	beforeSend func() error
}

func (g *Gateway) servePlain(w http.ResponseWriter, c *call) {
	p, err := g.newPlainRequest(c)
	if err != nil {
		g.refuse(w, c, err)
		return
	}
	ctx, cancel := context.WithDeadlineCause(c.http.Context(), c.deadline, errDeadline)
	defer cancel()
	if !p.route.Idempotent {
		// A non-idempotent request is completed even if its caller disconnects.
		ctx, cancel = context.WithDeadlineCause(context.WithoutCancel(c.http.Context()), c.deadline, errDeadline)
		defer cancel()
	}
	answer, err := g.runPlain(ctx, p)
	if err != nil {
		g.refuse(w, c, err)
		return
	}
	g.Metrics.countRequest(c.file.Name, "ok")
	g.setWriteDeadline(w)
	writePlain(w, answer)
}

func writePlain(w http.ResponseWriter, answer plain.Answer) {
	header := w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

func (g *Gateway) newPlainRequest(c *call) (*plainRequest, error) {
	name, rest := splitServicePath(c.http.URL.Path)
	if err := g.identify(c, name, service.PlainKind); err != nil {
		return nil, err
	}
	matched, found := c.file.Match(c.http.Method, rest)
	if !found {
		return nil, problem.New(problem.UnknownRoute, "%s has no route for %s %s", name, c.http.Method, rest)
	}
	_, escaped := splitServicePath(c.http.URL.EscapedPath())
	p := &plainRequest{call: c, path: escaped, route: matched, key: c.http.Header.Get(keyHeader)}
	if matched.Idempotent {
		p.key = ""
	}
	return p, p.validateKey()
}

func (p *plainRequest) validateKey() error {
	if len(p.key) > maxIdempotencyKey {
		return problem.New(problem.KeyInvalid, "%s is over %d bytes", keyHeader, maxIdempotencyKey)
	}
	if p.key == "" && p.route.KeyRequired {
		return problem.New(problem.KeyInvalid, "%s is required here: a UUIDv7", keyHeader)
	}
	return nil
}

func (g *Gateway) runPlain(ctx context.Context, p *plainRequest) (plain.Answer, error) {
	if p.key != "" {
		return g.runKeyed(ctx, p)
	}
	return g.admitPlain(ctx, p)
}

// admitPlain waits until the request is admitted and then sends it.
func (g *Gateway) admitPlain(ctx context.Context, p *plainRequest) (plain.Answer, error) {
	id := p.call.file.Name + "/" + p.call.account.Name + "/" + p.call.id + "/" + fmt.Sprint(p.call.received.UnixNano())
	err := g.admitter.admit(ctx, admission.Ask{
		RequestID: id, Service: p.call.file.Name, Account: p.call.account.Name,
		Priority: p.call.priority, Deadline: p.call.deadline,
	})
	if err != nil {
		return plain.Answer{}, err
	}
	defer g.admitter.release(id, 0)
	return g.sendPlain(ctx, p)
}

// runKeyed claims the request's idempotency key, so that the request is executed at most
// once across all entry instances. The key is claimed before admission, so that claims
// occupy none of the service's slots while the key-value service is slow.
func (g *Gateway) runKeyed(ctx context.Context, p *plainRequest) (plain.Answer, error) {
	c := p.call
	ticket, err := g.Actions.Claim(ctx, action.Claim{
		Service: c.file.Name, Account: c.account.Name, Key: p.key,
		Fingerprint: action.FingerprintOf(c.http.Method, p.path+"?"+c.http.URL.RawQuery, c.body),
		Window:      c.file.RetryWindow(),
	})
	if err != nil {
		return plain.Answer{}, err
	}
	if ticket.Answer != nil {
		return plain.Answer{Status: ticket.Answer.Status, Header: ticket.Answer.Header, Body: ticket.Answer.Body}, nil
	}
	defer ticket.Finish(action.Unknown, nil) // no effect after finishTicket; covers a panic before it
	p.beforeSend = ticket.BeforeSend
	answer, err := g.admitPlain(ctx, p)
	finishTicket(ticket, answer, err)
	return answer, err
}

func finishTicket(ticket *action.Ticket, answer plain.Answer, err error) {
	if err == nil {
		ticket.Finish(action.Done, &action.Answer{Status: answer.Status, Header: answer.Header, Body: answer.Body})
		return
	}
	if outcomeOf(err) == problem.NotRun {
		ticket.NotRun()
		return
	}
	ticket.Finish(action.Unknown, nil)
}

func outcomeOf(err error) problem.Outcome { return problem.From(err).Document("").Outcome }

// sendPlain makes attempts until one is answered or no further attempt is allowed.
func (g *Gateway) sendPlain(ctx context.Context, p *plainRequest) (plain.Answer, error) {
	for {
		choice, err := g.Routes.Choose(g.Clock(), p.routeRequest())
		if err != nil {
			return plain.Answer{}, p.withOutcome(err)
		}
		answer, err := g.attemptPlain(ctx, p, choice)
		if err == nil {
			g.Retries.Success(p.call.file.Name)
			return answer, nil
		}
		if err := g.waitForPlainRetry(ctx, p, choice, err); err != nil {
			return plain.Answer{}, err
		}
	}
}

func (p *plainRequest) routeRequest() route.Request {
	return route.Request{
		Service: p.call.file.Name, AnswerTokens: 1, Priority: p.call.priority,
		Deadline: p.call.deadline, Target: p.call.file.LatencyTarget, Exclude: p.excluded,
	}
}

func (g *Gateway) attemptPlain(ctx context.Context, p *plainRequest, choice route.Choice) (plain.Answer, error) {
	p.attempts++
	if p.attempts == 1 && p.beforeSend != nil {
		if err := p.beforeSend(); err != nil {
			return plain.Answer{}, problem.New(problem.AnswerLost, "the claim on the idempotency key has expired")
		}
	}
	id := fmt.Sprintf("%s.%d", p.call.id, p.attempts)
	g.Metrics.countAttempt(p.call.file.Name)
	g.Routes.Sent(g.Clock(), id, choice, p.routeRequest())
	limited, cancel := context.WithTimeoutCause(ctx, g.plainAttemptTimeout(p), errNoProgress)
	defer cancel()
	sentAt := g.Clock()
	answer, sent, err := g.Sender.Send(limited, p.newAttempt(id, choice))
	if err == nil && slices.Contains(p.route.NotRunStatus, answer.Status) {
		g.recordRetryAfter(sentAt, choice, answer.Status, answer.Header.Get("Retry-After"))
	}
	err = p.attemptError(answer, sent, err)
	g.Routes.Done(g.Clock(), id, plainAttemptResult(err, context.Cause(limited)), 0)
	return answer, err
}

var errNoProgress = errors.New("the backend server made no progress")

// plainAttemptTimeout returns the timeout of one attempt. An attempt of an idempotent request gets
// at most a third of the remaining time, but no less than minPlainTimeout, so that time
// remains for a retry.
func (g *Gateway) plainAttemptTimeout(p *plainRequest) time.Duration {
	left := p.call.deadline.Sub(g.Clock())
	if !p.route.Idempotent {
		return left
	}
	return min(left, max(minPlainTimeout, left/3))
}

// minPlainTimeout is the minimum timeout of an attempt of an idempotent plain request.
const minPlainTimeout = 2 * time.Second

func (p *plainRequest) newAttempt(id string, choice route.Choice) plain.Attempt {
	c := p.call
	return plain.Attempt{
		ID: id, Backend: choice.Backend.ID, Incarnation: choice.Backend.Incarnation, Address: choice.Backend.Address,
		Method: c.http.Method, Path: p.path, Query: c.http.URL.RawQuery,
		Header: c.http.Header, Body: c.body, Idempotent: p.route.Idempotent,
	}
}

// attemptError returns nil if the attempt was answered, an error that wraps errNotRun if it was
// not executed, and the attempt's error otherwise.
func (p *plainRequest) attemptError(answer plain.Answer, sent bool, err error) error {
	if err != nil && !sent {
		return errors.Wrap(errNotRun, err.Error())
	}
	if err != nil {
		return err
	}
	if slices.Contains(p.route.NotRunStatus, answer.Status) {
		return errors.Wrapf(errNotRun, "the backend server answered %d", answer.Status)
	}
	return nil
}

func plainAttemptResult(err, cause error) route.Result {
	switch {
	case err == nil:
		return route.OK
	case errors.Is(cause, errNoProgress):
		return route.Silent
	case errors.Is(err, errNotRun):
		return route.Refused
	case errors.Is(err, plain.ErrForeign), errors.Is(err, plain.ErrTooLarge):
		return route.Wrong
	}
	return route.Failed
}

// waitForPlainRetry waits for the back-off before the next attempt. It returns the problem to
// report if no further attempt is allowed.
func (g *Gateway) waitForPlainRetry(ctx context.Context, p *plainRequest, choice route.Choice, cause error) error {
	notRun := errors.Is(cause, errNotRun)
	g.Log.WithFields(logrus.Fields{"request_id": p.call.id, "backend": choice.Backend.ID}).
		Warn("gateway: attempt failed: " + cause.Error())
	if !p.route.Idempotent && !notRun {
		return problem.New(problem.AnswerLost, "the request was sent and its answer was lost: %v", cause)
	}
	p.mayHaveRun = p.mayHaveRun || !notRun
	p.excluded = append(p.excluded, choice.Backend.ID)
	wait, err := g.Retries.Next(g.Clock(), retry.Failure{
		Service: p.call.file.Name, Attempts: p.attempts, Idempotent: p.route.Idempotent, NotRun: notRun,
		Deadline: p.call.deadline,
	})
	if err != nil {
		return p.withOutcome(err)
	}
	g.Metrics.countRetry(p.call.file.Name)
	if err := clock.Sleep(ctx, wait); err != nil {
		return p.withOutcome(err)
	}
	return nil
}

// withOutcome sets the outcome of a request that gets no further attempt: unknown if an
// attempt may have been executed, not run otherwise.
func (p *plainRequest) withOutcome(err error) error {
	failure := *problem.From(err)
	if p.mayHaveRun {
		return failure.WithOutcome(problem.Unknown)
	}
	return failure.WithOutcome(problem.NotRun)
}
