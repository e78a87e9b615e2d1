// Package relay answers callers whose requests and answers are opaque: it finds the
// route by host and path, checks key and limits, sends the request to a backend server
// of the route's service, and gives the server's answer back unchanged.
//
// How a caller's request and a backend server's answer say what they are is the
// platform's dialect, and behind the Codec. A request that may run once is sent again
// only when the one before certainly did not run. A stream is forwarded event by event;
// a resumable one goes on at another backend server behind the last whole event.
//
// # Usage
//
//	handler := relay.New(relay.Parts{...})
//	server := &http.Server{Handler: handler}
//	handler.Drain()
//
// No lock is held while another package is called.
package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/connection/room"
	"papayaport.dev/serving/connection/upstream"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/request/backpressure"
	"papayaport.dev/serving/request/budget"
	"papayaport.dev/serving/request/route"
	"papayaport.dev/serving/version/deployment"
	"papayaport.dev/serving/version/rollout"
)

// Codec translates between a dialect of callers and backend servers and the product.
type Codec interface {
	// Receive decodes what a caller's request says of itself. The error is answered as a
	// bad request.
	Receive(r *http.Request) (Call, error)
	// Attempt returns the header of a request to a backend server.
	Attempt(call *Call, attempt Attempt) http.Header
	// Answer decodes the head of a backend server's answer.
	Answer(status int, header http.Header) Answer
	// Refuse answers a caller that gets no answer of a backend server.
	Refuse(w http.ResponseWriter, call *Call, failure *problem.Error)
}

// Call is a caller's request, decoded.
type Call struct {
	// ID is the caller's id for this request.
	ID     string
	Method string
	// Target is the path and query as they arrived.
	Target string
	Host   string
	Path   string
	// Key names the client account; empty when none was sent.
	Key string
	// Wait is how long the caller waits for its answer, 0 when it doesn't tell.
	Wait time.Duration
	// Prompt is set for requests to model services.
	Prompt *Prompt
	// LastEvent is the id of the last event that the caller has of a stream.
	LastEvent string
	// Header is what goes on to the backend server, hop-by-hop fields left out.
	Header http.Header
	Body   []byte

	received time.Time
}

// Prompt describes the work of a request to a model service.
type Prompt struct {
	PromptTokens int
	AnswerTokens int
	// Parts are the pieces of the prompt in order; requests share the first ones.
	Parts []Part
}

// Part is a piece of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// Attempt is one send of a request.
type Attempt struct {
	// Server is the id of the backend server that must run it.
	Server string
	// Left is the time left for the answer.
	Left time.Duration
	// Account is the client account's name, empty on anonymous routes.
	Account string
	// Priority is the rank of the request, 0 the most urgent.
	Priority int
	// LastEvent is the id of the event that a resumed stream goes on behind.
	LastEvent string
}

// Load is what a backend server tells of its load with an answer.
type Load struct{ Running, Waiting, Slots int }

// Answer is the head of a backend server's answer.
type Answer struct {
	// NotRun tells that the server did not run the request and won't.
	NotRun bool
	// Elsewhere tells that another server has the address.
	Elsewhere bool
	// Valid tells that the answer is one that a server gives; an invalid one is not
	// passed on.
	Valid bool
	// RetryAfter is the wait that the server asks for, 0 for none.
	RetryAfter time.Duration
	// Load is nil when the server doesn't tell it.
	Load *Load
	// Asked is what the server asks for.
	Asked backpressure.Asked
	// Unknown names the fields of the head that the dialect doesn't know, Unreadable those
	// whose value can't be read, as NAME=VALUE.
	Unknown, Unreadable []string
	// Header is what goes to the caller, hop-by-hop fields left out.
	Header http.Header
}

// Versions gives the configuration in force.
type Versions interface {
	// Current returns the version in force, nil before the first one.
	Current() *deployment.Version
}

// Usage counts the requests that began to run.
type Usage interface {
	Began(account string)
}

// Servers is told what backend servers ask for.
type Servers interface {
	// Asked takes in what a server asked for in an answer to a request that was sent at a moment.
	Asked(sentAt time.Time, server route.Backend, asked backpressure.Asked)
}

// Intake measures the work that is taken in.
type Intake interface {
	Admitted(at time.Time, service string, tokens int)
}

// Picks decides which versions of a service's backend servers attempts may use, while the
// service moves to another version.
type Picks interface {
	// Pick returns the versions that the next attempt may use. Repeat tells that the request
	// failed at the candidate, or that no server of the pick's version takes it.
	Pick(service, route string, repeat bool) rollout.Pick
	// Sent counts an attempt that goes out to a server. Those that reach none don't count: the
	// exposure to a version is a share of the requests that servers get.
	Sent(service, route string, candidate bool)
	// IsCandidate tells whether a version is the one that a service moves to.
	IsCandidate(service, version string) bool
}

// Outcomes is told how attempts ended, by the number that Began returned. It is 0 for a
// service without a roll-out, and nothing more is told of that attempt.
type Outcomes interface {
	Began(attempt rollout.Attempt) uint64
	First(attempt uint64)
	Dropped(attempt uint64)
	// Answered tells the end of an attempt; kind names a failure.
	Answered(answer rollout.Answer, kind string)
}

// Limiter keeps the limits of client accounts over all entry instances.
type Limiter interface {
	// Admit charges a request to its account, or returns a *problem.Error. It tells who
	// decided, for the log. Rank is quota.Unranked for a request without a prompt.
	Admit(ctx context.Context, id, account string, tokens, rank int) (decidedBy string, err error)
}

// Parts is what a relay works with.
type Parts struct {
	Versions Versions
	Routes   *route.Table
	Limiter  Limiter
	Intake   Intake
	Servers  Servers
	Budget   *budget.Table
	Pool     *upstream.Pool
	// Room holds answers that are read whole, and the events of streams.
	Room   *room.Room
	Usage  Usage
	Codec  Codec
	Meters *Meters
	// Picks and Outcomes may be nil: all versions are used alike then.
	Picks    Picks
	Outcomes Outcomes
	// Scarcity is asked before the first send of requests to model services while Known says
	// that the work of all entry instances is known here. Without either nothing is refused.
	Scarcity Scarcity
	Known    func(now time.Time) bool
	// Entries returns the number of entry instances.
	Entries func() int
	// Draw returns random numbers in [0, 1).
	Draw func() float64
	Log  *logrus.Entry
}

// Relay is the callers' side of an entry instance.
type Relay struct {
	Parts
	leaving  atomic.Pointer[leaving]
	inFlight atomic.Int64
	serial   atomic.Uint64
	odd      oddFields
}

const (
	// bodyTimeout bounds the time in which a caller sends its body.
	bodyTimeout = 10 * time.Second
	// usualWait stands for a caller that doesn't tell how long it waits.
	usualWait = 30 * time.Second
	// usualBodyBytes bounds a body when the configuration doesn't.
	usualBodyBytes = 8 << 20
	// connectionShare is the share of a server's connections that the entry instances
	// use together; the rest is for health checks and instances that come.
	connectionShare = 0.9
)

// New returns a relay.
func New(parts Parts) *Relay {
	if parts.Picks == nil {
		parts.Picks = anyVersion{}
	}
	if parts.Outcomes == nil {
		parts.Outcomes = noOutcomes{}
	}
	return &Relay{Parts: parts}
}

// leaving is a planned stop: from settled on no streams are taken, and at the end all
// requests are answered.
type leaving struct{ settled, end time.Time }

// Drain closes callers' connections behind their present answer. Requests that still
// arrive are served, but from settled on streams are refused, since they may last longer
// than the instance; all others are answered before the end, or refused shortly before.
func (r *Relay) Drain(settled, end time.Time) { r.leaving.Store(&leaving{settled, end}) }

// Draining tells whether Drain was called.
func (r *Relay) Draining() bool { return r.leaving.Load() != nil }

// InFlight returns the number of callers' requests without a whole answer.
func (r *Relay) InFlight() int { return int(r.inFlight.Load()) }

// ServeHTTP answers one caller's request.
func (r *Relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	if r.Draining() {
		w.Header().Set("Connection", "close")
	}
	now := time.Now()
	run := &run{relay: r, received: now, progress: now, share: r.Room.Share()}
	defer run.share.Close()
	defer run.log()
	if err := r.receive(w, request, run); err != nil {
		run.refuse(w, problem.From(err))
		return
	}
	if err := run.admit(request.Context()); err != nil {
		run.refuse(w, problem.From(err))
		return
	}
	if err := run.compete(time.Now()); err != nil {
		run.refuse(w, problem.From(err))
		return
	}
	defer run.endCompetition()
	run.serve(request.Context(), w)
}

// receive decodes a request and reads its body. The body of a request that is refused
// is read as well, so that the caller's connection stays usable.
func (r *Relay) receive(w http.ResponseWriter, request *http.Request, run *run) error {
	call, err := r.Codec.Receive(request)
	call.received = run.received
	run.call = &call
	version := r.Versions.Current()
	if version != nil && version.Limits.HeaderBytes > 0 && headBytes(request) > version.Limits.HeaderBytes {
		return problem.New(problem.HeaderTooLarge, "the head is over %d bytes", version.Limits.HeaderBytes)
	}
	limit := int64(usualBodyBytes)
	if version != nil && version.Limits.BodyBytes > 0 {
		limit = version.Limits.BodyBytes
	}
	if bodyErr := r.readBody(w, request, run, limit); bodyErr != nil {
		return bodyErr
	}
	if err != nil {
		return problem.New(problem.BadRequest, "%v", err)
	}
	if version == nil {
		return problem.New(problem.NotReady, "no configuration yet")
	}
	return run.match(version)
}

// headBytes returns the size of a request's head as it is sent in HTTP/1.1, within a few
// bytes.
func headBytes(request *http.Request) int {
	const separators = len(": \r\n")
	size := len(request.Method) + len(request.RequestURI) + len(request.Proto) + separators +
		len("Host") + len(request.Host) + separators
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

func (r *Relay) readBody(w http.ResponseWriter, request *http.Request, run *run, limit int64) error {
	if request.Body == nil || request.ContentLength == 0 {
		return nil
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return problem.New(problem.SlowSender, "set the time limit of the body: %v", err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return problem.New(problem.BodyTooLarge, "the body is over %d bytes", limit)
	}
	if err != nil {
		return problem.New(problem.SlowSender, "read body: %v", err)
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return problem.New(problem.SlowSender, "lift the time limit of the body: %v", err)
	}
	run.call.Body = body
	return nil
}

// attemptID names an attempt in the tables; callers' ids may repeat.
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

// causes of ends that the context of a request carries.
var (
	errDeadline = errors.New("the time for the answer is over")
	errSilent   = errors.New("the backend server made no progress")
)

func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadlineCause(ctx, deadline, errDeadline)
}
