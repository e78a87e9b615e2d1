// Package relay is a reverse proxy for requests and responses with opaque bodies: it matches
// the route by host and path, checks the API key and the rate limits, sends the request to a
// backend server of the route's service and returns the server's response unchanged.
//
// The dialect is the set of headers that a platform's callers and backend servers use; the
// Codec translates it. A non-idempotent request is retried only when the previous attempt
// certainly did not run. A stream is forwarded event by event; a resumable stream continues on
// another backend server after the last complete event.
//
// # Usage
//
//	handler := relay.New(relay.Dependencies{...})
//	server := &http.Server{Handler: handler}
//	handler.Drain(settled, end)
//
// # Locks
//
// No lock is held while another package is called, except that an AttemptObserver is called
// under the lock of the attempt's observation and that log lines may be written under a lock.
package relay

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/connection/inbound"
	"papayaport.dev/serving/connection/memorybudget"
	"papayaport.dev/serving/connection/upstream"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/request/backpressure"
	"papayaport.dev/serving/request/budget"
	"papayaport.dev/serving/request/quarantine"
	"papayaport.dev/serving/request/route"
	"papayaport.dev/serving/version/deployment"
	"papayaport.dev/serving/version/rollout"
)

// Codec translates between the dialect of callers and backend servers and this package.
type Codec interface {
	// Receive decodes the head of a caller's request. An error is returned to the caller as
	// a bad request.
	Receive(r *http.Request) (Call, error)
	// Attempt returns the header of the request for one attempt at a backend server.
	Attempt(call *Call, attempt Attempt) http.Header
	// Answer decodes the head of a backend server's response.
	Answer(status int, header http.Header) Answer
	// Refuse writes the error response to a caller when no backend server's response is
	// passed on.
	Refuse(w http.ResponseWriter, call *Call, failure *problem.Error)
}

// Call is a caller's decoded request.
type Call struct {
	// ID is the request id that the caller set.
	ID     string
	Method string
	// Target is the path and query as received.
	Target string
	Host   string
	Path   string
	// APIKey is the API key of the client account, empty when none was sent.
	APIKey string
	// Timeout is the caller's timeout for the response, 0 when it names none.
	Timeout time.Duration
	// Prompt is set for requests to model services.
	Prompt *Prompt
	// LastEventID is the id of the last event of the stream that the caller received.
	LastEventID string
	// Header is the header to forward to the backend server, without hop-by-hop fields.
	Header http.Header
	Body   []byte

	received time.Time
}

// Prompt describes the size and the parts of a request's prompt to a model service.
type Prompt struct {
	PromptTokens int
	AnswerTokens int
	// Dependencies are the pieces of the prompt in order. Requests may share a prefix of them.
	Parts []Part
}

// Part is a piece of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// Attempt describes one attempt at a request.
type Attempt struct {
	// Server is the id of the backend server that the attempt is meant for.
	Server string
	// Remaining is the time left until the deadline of the request.
	Remaining time.Duration
	// Account is the client account's name, empty on anonymous routes.
	Account string
	// Priority is the priority of the request, 0 for the most urgent.
	Priority int
	// LastEventID is the id of the event after which a resumed stream continues.
	LastEventID string
}

// Load is the load that a backend server reports with a response, in requests.
type Load struct{ Running, Queued, Slots int }

// Answer is the decoded head of a backend server's response.
type Answer struct {
	// NotRun is set when the server did not run the request and will not run it.
	NotRun bool
	// Misdirected is set when another server than the chosen one uses the address.
	Misdirected bool
	// Valid is set when the response comes from a backend server and is well-formed. An
	// invalid response is not passed on.
	Valid bool
	// RetryAfter is the delay before a retry that the server asks for, 0 for none.
	RetryAfter time.Duration
	// Load is nil when the server does not report it.
	Load *Load
	// ObserveBackpressure holds the backpressure signals of the response.
	Backpressure backpressure.Signal
	// UnknownFields lists the header fields that the dialect does not define, MalformedFields those with
	// a malformed value, as NAME=VALUE.
	UnknownFields, MalformedFields []string
	// Header is the header to forward to the caller, without hop-by-hop fields.
	Header http.Header
}

// Versions returns the configuration in force.
type Versions interface {
	// Current returns the version in force, nil before the first one.
	Current() *deployment.Version
}

// Usage counts the requests that started to run.
type Usage interface {
	Started(account string)
}

// BackpressureObserver receives the backpressure signals of backend servers.
type BackpressureObserver interface {
	// ObserveBackpressure applies the signals of a response to a request that was sent at sentAt.
	ObserveBackpressure(sentAt time.Time, server route.Backend, asked backpressure.Signal)
}

// RequestGuard keeps requests away from backend servers that crash them.
type RequestGuard interface {
	// CheckRequest returns why a request is refused, quarantine.None if it is not, and for how much
	// longer.
	CheckRequest(content quarantine.Content) (quarantine.Cause, time.Duration)
	// RequestLost reports a request whose server closed the connection.
	RequestLost(loss quarantine.Loss)
	// RequestServed reports a complete answer of a server.
	RequestServed(answer quarantine.Answer)
	// RequestEnded reports the end of a request that was lost at least once, and whether a server
	// answered it in the end.
	RequestEnded(request string, answered bool)
}

// AdmissionObserver measures the admitted work.
type AdmissionObserver interface {
	Admitted(at time.Time, service string, tokens int)
}

// VersionPicker selects the versions of a service's backend servers that attempts may use during
// a roll-out. The candidate is the version that is being rolled out.
type VersionPicker interface {
	// Pick returns the versions that the next attempt may use. Repeat is set when the request
	// failed on the candidate, or when no server of the picked version accepts it.
	Pick(service, route string, repeat bool) rollout.Pick
	// Sent counts an attempt that is sent to a server. Attempts that reach no server are not
	// counted: the exposure to a version is a share of the requests that servers receive.
	Sent(service, route string, candidate bool)
	// IsCandidate reports whether a version is the candidate of a service.
	IsCandidate(service, version string) bool
}

// AttemptObserver receives the course of attempts, identified by the number that Started
// returns. The number is 0 for a service without a roll-out; such an attempt is not reported
// further.
type AttemptObserver interface {
	Started(attempt rollout.Attempt) uint64
	FirstResponse(attempt uint64)
	Dropped(attempt uint64)
	// Finished reports the end of an attempt; kind is the kind of failure, empty for none.
	Finished(answer rollout.Answer, kind string)
}

// Limiter enforces the rate limits of client accounts over all entry instances.
type Limiter interface {
	// Admit charges a request to its account, or returns a *problem.Error. DecidedBy names
	// what decided, for the log. Rank is quota.Unranked for a request without a prompt.
	Admit(ctx context.Context, id, account string, tokens, rank int) (decidedBy string, err error)
}

// Dependencies holds the components that a relay uses.
type Dependencies struct {
	Versions          Versions
	Routes            *route.Table
	Limiter           Limiter
	AdmissionObserver AdmissionObserver
	// RequestGuard may be nil: no request is refused then.
	RequestGuard         RequestGuard
	BackpressureObserver BackpressureObserver
	Budget               *budget.Table
	Pool                 *upstream.Pool
	// Room bounds the memory of buffered responses and of the events of streams.
	Room *memorybudget.Budget
	// BodyRoom bounds the memory of request bodies; nil means that it is not bounded.
	BodyRoom *memorybudget.Budget
	Usage    Usage
	Codec    Codec
	Metrics  *Metrics
	// VersionPicker and AttemptObserver may be nil: all versions are used alike then.
	VersionPicker   VersionPicker
	AttemptObserver AttemptObserver
	// LoadShedder decides on requests to model services before the first attempt, while
	// LoadKnown reports that the load of all entry instances is known here. If either is nil,
	// no request is shed.
	LoadShedder LoadShedder
	LoadKnown   func(now time.Time) bool
	// Started is closed once the configuration and the backend servers are known for the first
	// time. Requests wait for it for a moment after New; nil means that none waits.
	Started <-chan struct{}
	// Forwarder passes requests on while Reachability reports that this instance reaches no backend
	// server. Both may be nil: all requests are served here then.
	Forwarder    Forwarder
	Reachability Reachability
	// Entries returns the number of entry instances.
	Entries func() int
	// Draw returns random numbers in [0, 1).
	Draw func() float64
	Log  *logrus.Entry
}

// Relay is the HTTP handler for callers of an entry instance.
type Relay struct {
	Dependencies
	leaving       atomic.Pointer[leaving]
	inFlight      atomic.Int64
	serial        atomic.Uint64
	invalidFields invalidFields
	// startWaitEnds is when requests stop waiting for Dependencies.Started.
	startWaitEnds time.Time
}

const (
	// defaultTimeout applies when the caller names no timeout.
	defaultTimeout = 30 * time.Second
	// maxStartWait bounds how long requests wait for the start of the instance. Callers whose
	// instances all ended reconnect as soon as the port is open, which is before the first view of
	// the store has arrived; without the wait they would be rejected and return a second later.
	maxStartWait = time.Second
	// connectionShare is the share of a server's connections that all entry instances use
	// together; the rest is left for health checks and new instances.
	connectionShare = 0.9
)

// New returns a relay that serves callers at once. It takes no-ops for a nil VersionPicker, a nil
// AttemptObserver, a nil RequestGuard and a nil Reachability.
func New(dependencies Dependencies) *Relay {
	if dependencies.VersionPicker == nil {
		dependencies.VersionPicker = anyVersion{}
	}
	if dependencies.AttemptObserver == nil {
		dependencies.AttemptObserver = noObserver{}
	}
	if dependencies.RequestGuard == nil {
		dependencies.RequestGuard = noGuard{}
	}
	if dependencies.Reachability == nil {
		dependencies.Reachability = alwaysReachable{}
	}
	return &Relay{Dependencies: dependencies, startWaitEnds: time.Now().Add(maxStartWait)}
}

// leaving holds the times of a graceful shutdown: from settled on no streams are accepted, and
// by end all requests are answered.
type leaving struct{ settled, end time.Time }

// Drain closes callers' connections after the current response. Requests that still arrive are
// served, but from settled on streams are rejected, since they may outlast the instance. All
// others are answered before end, or rejected shortly before it.
func (r *Relay) Drain(settled, end time.Time) { r.leaving.Store(&leaving{settled, end}) }

// Draining reports whether Drain was called.
func (r *Relay) Draining() bool { return r.leaving.Load() != nil }

// InFlight returns the number of callers' requests without a complete response.
func (r *Relay) InFlight() int { return int(r.inFlight.Load()) }

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	if r.Draining() {
		w.Header().Set("Connection", "close")
	}
	now := time.Now()
	state := &requestState{relay: r, received: now, progress: now, memory: r.Room.Share()}
	defer state.memory.Close()
	defer state.releaseBody()
	defer state.log()
	if err := r.receive(w, request, state); err != nil {
		state.reject(w, problem.From(err))
		return
	}
	if r.Reachability.Isolated() && state.passOn(request.Context(), w, false) {
		return
	}
	state.admitAndServe(request.Context(), w)
	if state.status < http.StatusBadRequest {
		inbound.Served(request.Context())
	}
}

// admitAndServe checks whether a request is admitted, and serves it.
func (r *requestState) admitAndServe(ctx context.Context, w http.ResponseWriter) {
	if err := r.checkQuarantine(); err != nil {
		r.reject(w, problem.From(err))
		return
	}
	if err := r.checkQuota(ctx); err != nil {
		r.reject(w, problem.From(err))
		return
	}
	if err := r.checkLoad(time.Now()); err != nil {
		r.reject(w, problem.From(err))
		return
	}
	defer r.finishShedding()
	defer r.finishQuarantine()
	r.serve(ctx, w)
}

// awaitStart waits until the configuration and the backend servers are known for the first time,
// the instance has been running for maxStartWait, or the caller is gone.
func (r *Relay) awaitStart(ctx context.Context) {
	left := time.Until(r.startWaitEnds)
	if r.Started == nil || left <= 0 {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-r.Started:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// receive decodes a request, reads its body and matches its route. The body is read even when
// the request is rejected, so that the caller's connection stays usable.
func (r *Relay) receive(w http.ResponseWriter, request *http.Request, state *requestState) error {
	call, err := r.Codec.Receive(request)
	call.received = state.received
	state.call = &call
	r.awaitStart(request.Context())
	version := r.Versions.Current()
	if version != nil && version.Limits.HeaderBytes > 0 && headBytes(request) > version.Limits.HeaderBytes {
		closeAfterAnswer(w, request)
		return problem.New(problem.HeaderTooLarge, "the head is over %d bytes", version.Limits.HeaderBytes)
	}
	limit := int64(defaultMaxBodyBytes)
	if version != nil && version.Limits.BodyBytes > 0 {
		limit = version.Limits.BodyBytes
	}
	if bodyErr := r.readBody(w, request, state, limit); bodyErr != nil {
		return bodyErr
	}
	if err != nil {
		return problem.New(problem.BadRequest, "%v", err)
	}
	if version == nil {
		return problem.New(problem.NotReady, "no configuration yet")
	}
	return state.match(version)
}

// attemptID returns an id for an attempt that is unique in this process, since callers may
// reuse request ids.
func (r *Relay) attemptID(call *Call) string {
	return call.ID + "/" + strconv.FormatUint(r.serial.Add(1), 10)
}

func (r *Relay) server(version *deployment.Version, b route.Backend) upstream.Server {
	server := upstream.Server{ID: b.ID, Incarnation: b.Incarnation, Address: b.Address}
	if s, found := version.Service(b.Service); found && s.MaxConnections > 0 {
		share := connectionShare * float64(s.MaxConnections) / float64(max(r.Entries(), 1))
		server.MaxConnections = max(int(share), 1)
	}
	return server
}

// Causes with which the context of a request is cancelled.
var (
	errDeadline = errors.New("the time for the answer is over")
	errStalled  = errors.New("the backend server made no progress")
)

func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadlineCause(ctx, deadline, errDeadline)
}
