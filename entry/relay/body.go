package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/serving/connection/memorybudget"
	"papayaport.dev/serving/process/problem"
)

const (
	// BodyTimeout bounds the time for reading a request body.
	BodyTimeout = 10 * time.Second
	// defaultMaxBodyBytes bounds a request body when the configuration does not.
	defaultMaxBodyBytes = 8 << 20
	// bodyRoomTimeout bounds the wait of a body for memory that other requests hold.
	bodyRoomTimeout = 200 * time.Millisecond
	// refusedBodyTimeout bounds the time in which the rest of a refused body is read, so that the caller
	// can read the refusal before its own bytes cause a reset.
	refusedBodyTimeout = 500 * time.Millisecond
)

// headBytes returns the approximate size of a request's head in HTTP/1.1.
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

func (r *Relay) readBody(w http.ResponseWriter, request *http.Request, state *requestState, limit int64) error {
	if request.Body == nil || request.ContentLength == 0 {
		return nil
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(BodyTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return problem.New(problem.SlowSender, "set the read deadline of the body: %v", err)
	}
	body, err := state.readBoundedBody(request, http.MaxBytesReader(w, request.Body, limit), limit)
	if err != nil {
		closeAfterAnswer(w, request)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge), errors.Is(err, memorybudget.ErrTooLarge):
		return problem.New(problem.BodyTooLarge, "the body is over %d bytes", limit)
	case errors.Is(err, memorybudget.ErrNoMemory):
		return problem.New(problem.QueueFull, "other requests hold the memory for bodies")
	case err != nil:
		return problem.New(problem.SlowSender, "read body: %v", err)
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return problem.New(problem.SlowSender, "clear the read deadline of the body: %v", err)
	}
	state.call.Body = body
	return nil
}

// closeAfterAnswer has the connection closed after the answer if the request has a body that is not read.
// Otherwise net/http waits for a part of it, also before it sends the answer.
func closeAfterAnswer(w http.ResponseWriter, request *http.Request) {
	if request.ContentLength == 0 {
		return
	}
	w.Header().Set("Connection", "close")
	// It fails only if the connection is closed, or has no deadlines.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusedBodyTimeout))
}

// readBoundedBody reads a request body within the memory for bodies.
func (r *requestState) readBoundedBody(request *http.Request, body io.Reader, limit int64) ([]byte, error) {
	if r.relay.BodyRoom == nil {
		return io.ReadAll(body)
	}
	r.bodyMemory = r.relay.BodyRoom.Share()
	if request.ContentLength < 0 {
		return r.bodyMemory.ReadUnknown(request.Context(), body, int(limit), bodyRoomTimeout)
	}
	ctx, cancel := context.WithTimeout(request.Context(), bodyRoomTimeout)
	defer cancel()
	return r.bodyMemory.ReadAll(ctx, body, request.ContentLength, int(limit))
}

// releaseBody releases the memory of the request's body.
func (r *requestState) releaseBody() {
	if r.bodyMemory != nil {
		r.bodyMemory.Close()
	}
}

// resizeBody reserves memory for copies of the request's body, and reports whether there is any.
func (r *requestState) resizeBody(copies int) bool {
	return r.bodyMemory == nil || r.bodyMemory.Resize(copies*len(r.call.Body))
}
