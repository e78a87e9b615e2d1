// Package caller sends requests to entry instances like users' programs do: sequentially over
// keep-alive connections, each with a unique id. It records the responses.
//
// # Usage
//
//	c := caller.New()
//	answer := c.Ask(ctx, caller.Request{...})
package caller

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"papayaport.dev/standin/fakeplatform"
)

// Names of the configuration that the soak publishes.
const (
	Host    = "soak.example"
	Key     = "key-soak"
	Account = "soak"
	// FreeKey belongs to an account without a limit.
	FreeKey     = "key-free"
	FreeAccount = "free"
	// FreePrefix is the prefix of request ids of that account. It identifies the account of a
	// run at a backend server before the response arrives.
	FreePrefix = "free-"
	// PlainTokens is the charge for each request in tokens.
	PlainTokens = 100
)

// Deadline is the time limit that callers send with a request.
const Deadline = 3 * time.Second

// responseSlack is how long after the deadline callers still wait for a response.
const responseSlack = 2 * time.Second

// Kind states how the requests of a route may be retried.
type Kind string

// Kinds of requests, which are also the names of the routes.
const (
	Safe   Kind = "safe"
	Unsafe Kind = "unsafe"
	Stream Kind = "stream"
	Resume Kind = "resume"
)

// Kinds lists all kinds.
var Kinds = []Kind{Safe, Unsafe, Stream, Resume}

// Request is one request.
type Request struct {
	ID string
	// Entry is the number of the entry instance, and Address its address.
	Entry   int
	Address string
	Kind    Kind
	// Path defaults to "/KIND/".
	Path string
	// Key defaults to the API key of the limited account.
	Key string
}

// Answer is the response to a request.
type Answer struct {
	Request
	Sent, End time.Time
	// Status is 0 if no response header was received.
	Status int
	Body   string
	// Seal is the signature of the backend server that sent the response.
	Seal string
	// RetryAfter is true if the response has a Retry-After header.
	RetryAfter bool
	// Err is the error if the response is incomplete.
	Err error
}

// Caller simulates one user's program.
type Caller struct{ client *http.Client }

// New returns a caller with a connection pool of its own.
func New() *Caller {
	return &Caller{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}}}
}

// Send sends one request and reads the whole response.
func (c *Caller) Send(ctx context.Context, request Request) Answer {
	answer := Answer{Request: request, Sent: time.Now()}
	answer.Err = c.send(ctx, &answer)
	answer.End = time.Now()
	return answer
}

func (c *Caller) send(ctx context.Context, answer *Answer) error {
	ctx, cancel := context.WithTimeout(ctx, Deadline+responseSlack)
	defer cancel()
	path := answer.Path
	if path == "" {
		path = fmt.Sprintf("/%s/", answer.Kind)
	}
	method, body := http.MethodPost, io.Reader(strings.NewReader("body of "+answer.ID))
	if answer.Kind == Safe {
		method, body = http.MethodGet, nil
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+answer.Address+path, body)
	if err != nil {
		return err
	}
	request.Host = Host
	fakeplatform.SetRequestHeaders(request, answer.ID, cmp.Or(answer.Key, Key), Deadline)
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer.Status, answer.Seal = response.StatusCode, fakeplatform.SealFrom(response.Header)
	answer.RetryAfter = response.Header.Get("Retry-After") != ""
	data, err := io.ReadAll(response.Body)
	answer.Body = string(data)
	return err
}

// Close closes the caller's idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }
