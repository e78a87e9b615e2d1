package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/serving/connection/upstream"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/version/deployment"
)

// ErrNotForwarded means that no other instance serves a request and that none ever will.
var ErrNotForwarded = errors.New("no other instance serves the request")

// errBrokenOff means that the answer to a forwarded request was broken off after its beginning.
var errBrokenOff = errors.New("the answer was broken off")

// Forwarded is a request that another instance serves in place of this one.
type Forwarded struct {
	// Call has the time that is left as its Timeout.
	Call Call
	// Version is the configuration in force where the request was received. An instance with an older
	// one does not serve the request.
	Version uint64
	// Admitted is set if the request was already charged to its account and counted for the retry
	// budget.
	Admitted bool
}

// Forwarder passes requests on to instances that reach backend servers.
type Forwarder interface {
	// Forward has a request served by another instance and writes the answer to w. It returns
	// ErrNotForwarded if none serves it. After another error the request may have run.
	Forward(ctx context.Context, request Forwarded, w http.ResponseWriter) error
}

// Reachability observes whether backend servers can be reached.
type Reachability interface {
	// Started and Ended enclose each attempt. Reached reports bytes of a server, and Unreached an
	// attempt that failed without a response.
	Started(now time.Time)
	Ended()
	Reached(now time.Time)
	Unreached(now time.Time, server string)
	// Isolated reports that no server can be reached, and Suspected that this may be so or was so a
	// moment ago.
	Isolated() bool
	Suspected(now time.Time) bool
}

// alwaysReachable is the Reachability of a relay without a Forwarder.
type alwaysReachable struct{}

func (alwaysReachable) Started(time.Time)           {}
func (alwaysReachable) Ended()                      {}
func (alwaysReachable) Reached(time.Time)           {}
func (alwaysReachable) Unreached(time.Time, string) {}
func (alwaysReachable) Isolated() bool              { return false }
func (alwaysReachable) Suspected(time.Time) bool    { return false }

// showsPartition reports whether a partition from the server is a possible reason of an attempt's
// failure. Limits and decisions on this side are none.
func showsPartition(err error) bool {
	return !errors.Is(err, context.Canceled) && !errors.Is(err, errDeadline) && !errors.Is(err, upstream.ErrNoFreeConnection) &&
		!errors.Is(err, upstream.ErrWithheld) && !errors.Is(err, upstream.ErrForeignAnswer) && !errors.Is(err, upstream.ErrHeadTooLarge)
}

// passOn has another instance serve the request, and reports whether the request needs nothing more
// here. A request that was sent to a server is not passed on.
func (r *requestState) passOn(ctx context.Context, w http.ResponseWriter, admitted bool) (done bool) {
	relay := r.relay
	left := time.Until(r.deadline)
	if relay.Forwarder == nil || r.forwarded || r.attempts > 0 || r.mayHaveRun || ctx.Err() != nil || left <= 0 {
		return false
	}
	if r.route.Kind == deployment.NonIdempotent {
		// The other instance lets the request run to completion if the caller disconnects.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := withDeadline(ctx, r.deadline)
	defer cancel()
	if !r.resizeBody(forwardedCopies) {
		return false
	}
	defer r.resizeBody(1)
	request := Forwarded{Call: *r.call, Version: r.version.Version, Admitted: admitted}
	request.Call.Timeout = left
	out := &forwardedResponse{ResponseWriter: w, request: r}
	err := relay.Forwarder.Forward(ctx, request, out)
	switch {
	case errors.Is(err, ErrNotForwarded):
		return false
	case err == nil:
		r.passedOn = true
		return true
	case out.begun:
		r.passedOn, r.kind, r.detail = true, problem.AnswerLost, "broken off: "+err.Error()
		panic(http.ErrAbortHandler) // net/http closes the connection without a final chunk
	}
	r.passedOn, r.mayHaveRun = true, true
	r.reject(w, problem.From(r.finalError(ctx, err, 0)))
	return true
}

// forwardedCopies is the number of copies of a body that exist while it is passed from one instance to
// another: the body, the encoded request and the message that holds it.
const forwardedCopies = 3

// forwardedResponse writes the answer of another instance to the caller.
type forwardedResponse struct {
	http.ResponseWriter
	request *requestState
	begun   bool
}

// WriteHeader implements http.ResponseWriter.
func (f *forwardedResponse) WriteHeader(status int) {
	f.begun, f.request.status, f.request.firstByte = true, status, time.Since(f.request.received)
	if f.request.relay.Draining() {
		f.Header().Set("Connection", "close")
	}
	f.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the caller's writer, for http.ResponseController.
func (f *forwardedResponse) Unwrap() http.ResponseWriter { return f.ResponseWriter }

// ServeForwarded serves a request for another instance. It returns ErrNotForwarded if this instance is
// in no position to serve it, and another error if the answer was broken off.
func (r *Relay) ServeForwarded(ctx context.Context, request Forwarded, w http.ResponseWriter) (err error) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	version := r.Versions.Current()
	if version == nil || version.Version < request.Version || r.Draining() || r.Reachability.Isolated() {
		return ErrNotForwarded
	}
	defer func() {
		if failure := recover(); failure == http.ErrAbortHandler { //nolint:errorlint // compared as net/http does
			err = errBrokenOff
		} else if failure != nil {
			panic(failure)
		}
	}()
	now := time.Now()
	state := &requestState{relay: r, received: now, progress: now, memory: r.Room.Share(), call: &request.Call, forwarded: true, admitted: request.Admitted}
	state.call.received = now
	if r.BodyRoom != nil {
		state.bodyMemory = r.BodyRoom.Share()
		if !state.resizeBody(forwardedCopies) {
			return ErrNotForwarded
		}
	}
	defer state.memory.Close()
	defer state.releaseBody()
	defer state.log()
	if err := state.match(version); err != nil {
		state.reject(w, problem.From(err))
		return nil
	}
	state.admitAndServe(ctx, w)
	return nil
}
