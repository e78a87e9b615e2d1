package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"papayaport.dev/serving/connection/memorybudget"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/version/service"
)

// Headers that callers may send, and their limits.
const (
	requestHeader     = "X-Request-Id"
	priorityHeader    = "X-Priority"
	deadlineHeader    = "X-Deadline-Ms"
	keyHeader         = "Idempotency-Key"
	lastEventHeader   = "Last-Event-ID"
	maxRequestID      = 64
	maxIdempotencyKey = 64
	maxDeadlineMS     = int64(24 * time.Hour / time.Millisecond)
)

// call is one request of a caller.
type call struct {
	http *http.Request
	id   string
	body []byte
	// memory is the reservation for the body, nil for none.
	memory *memorybudget.Share
	// idGiven is set if the caller chose the request id.
	idGiven  bool
	file     *service.File
	account  *service.Account
	priority int
	deadline time.Time
	received time.Time
}

func (c *call) service() string {
	if c.file == nil {
		return ""
	}
	return c.file.Name
}

// newCall reads the id and the body of a request. It returns a call even with an error.
func (g *Gateway) newCall(w http.ResponseWriter, r *http.Request) (*call, error) {
	c := &call{http: r, received: g.Clock()}
	c.id = r.Header.Get(requestHeader)
	c.idGiven = c.id != ""
	if !c.idGiven {
		c.id = uuid.NewString()
	}
	if !validID(c.id) {
		c.id = ""
		return c, problem.New(problem.BadRequest, "%s must be 1 to %d letters, digits, '-', '_' or '.'", requestHeader, maxRequestID)
	}
	if !g.Configuration.Ready() {
		return c, problem.New(problem.NotReady, "no configuration yet")
	}
	body, err := g.readBody(w, r, c)
	c.body = body
	return c, err
}

func validID(id string) bool {
	if id == "" || len(id) > maxRequestID {
		return false
	}
	for i := range len(id) {
		if !isIDByte(id[i]) {
			return false
		}
	}
	return true
}

func isIDByte(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	}
	return b == '-' || b == '_' || b == '.'
}

// bodyWait bounds the wait of a body for memory that other requests hold.
const bodyWait = 200 * time.Millisecond

func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, c *call) ([]byte, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(g.Limits.BodyTimeout()))
	body, err := g.readBounded(r, http.MaxBytesReader(w, r.Body, g.Limits.BodyBytes), c)
	if err != nil {
		w.Header().Set("Connection", "close") // the rest of the body is not read
		return nil, bodyProblem(err, g.Limits.BodyBytes)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// readBounded reads a body within the memory for bodies.
func (g *Gateway) readBounded(r *http.Request, body io.Reader, c *call) ([]byte, error) {
	if g.Bodies == nil {
		return io.ReadAll(body)
	}
	c.memory = g.Bodies.Share()
	if r.ContentLength < 0 {
		return c.memory.ReadUnknown(r.Context(), body, int(g.Limits.BodyBytes), bodyWait)
	}
	ctx, cancel := context.WithTimeout(r.Context(), bodyWait)
	defer cancel()
	return c.memory.ReadAll(ctx, body, r.ContentLength, int(g.Limits.BodyBytes))
}

// releaseBody releases the memory of the body.
func (c *call) releaseBody() {
	if c.memory != nil {
		c.memory.Close()
	}
}

func bodyProblem(err error, limit int64) error {
	var tooLarge *http.MaxBytesError
	if errors.Is(err, memorybudget.ErrNoMemory) {
		return problem.New(problem.QueueFull, "other requests hold the memory for bodies")
	}
	if errors.As(err, &tooLarge) || errors.Is(err, memorybudget.ErrTooLarge) {
		return problem.New(problem.BodyTooLarge, "the body is over %d bytes", limit)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return problem.New(problem.SlowSender, "timed out while reading the body")
	}
	return problem.New(problem.BadRequest, "the body is incomplete")
}

// identify looks up the service, authenticates the client account, and reads the call's
// priority and deadline.
func (g *Gateway) identify(c *call, name string, kind service.Kind) error {
	file, found := g.Configuration.Service(name)
	if !found || file.Kind != kind {
		return problem.New(problem.UnknownService, "no %s service %q", kind, name)
	}
	key, found := strings.CutPrefix(c.http.Header.Get("Authorization"), "Bearer ")
	if !found {
		return problem.New(problem.Unauthenticated, "Authorization must be \"Bearer KEY\"")
	}
	account, found := file.Authenticate(strings.TrimSpace(key))
	if !found {
		return problem.New(problem.Unauthenticated, "the key belongs to no client account of %s", name)
	}
	c.file, c.account = file, account
	return c.readLimits()
}

func (c *call) readLimits() error {
	c.priority = c.account.Priority
	if text := c.http.Header.Get(priorityHeader); text != "" {
		priority, err := strconv.Atoi(text)
		if err != nil || priority < 0 || priority > 9 {
			return problem.New(problem.BadRequest, "%s must be 0 to 9", priorityHeader)
		}
		c.priority = min(c.priority, priority)
	}
	c.deadline = c.received.Add(c.file.Deadline())
	if text := c.http.Header.Get(deadlineHeader); text != "" {
		limit, err := strconv.ParseInt(text, 10, 64)
		if err != nil || limit < 1 || limit > maxDeadlineMS {
			return problem.New(problem.BadRequest, "%s must be 1 to %d", deadlineHeader, maxDeadlineMS)
		}
		c.deadline = c.received.Add(time.Duration(limit) * time.Millisecond)
	}
	return nil
}
