// Package caller sends requests to entry instances the way that users' programs do: over
// kept connections, one after the other, each with an id of its own, and writes down what
// came back.
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

	"papayaport.dev/standin/outside"
)

// Names of the configuration that the soak publishes.
const (
	Host    = "soak.example"
	Key     = "key-soak"
	Account = "soak"
	// FreeKey belongs to an account without a limit.
	FreeKey     = "key-free"
	FreeAccount = "free"
	// FreePrefix begins the ids of requests of that account, so that a run tells whose it is
	// before its answer is there.
	FreePrefix = "free-"
	// PlainTokens is what each request counts as.
	PlainTokens = 100
)

// Wait is how long callers wait for an answer.
const Wait = 3 * time.Second

// waitSlack is the time after the deadline in which an answer still has to arrive.
const waitSlack = 2 * time.Second

// Kind is how a route's requests may be repeated.
type Kind string

// Kinds, which also are the routes' names.
const (
	Safe   Kind = "safe"
	Unsafe Kind = "unsafe"
	Stream Kind = "stream"
	Resume Kind = "resume"
)

// Kinds are all kinds.
var Kinds = []Kind{Safe, Unsafe, Stream, Resume}

// Request is one request.
type Request struct {
	ID string
	// Entry is the number of the entry instance, and Address where it is reached.
	Entry   int
	Address string
	Kind    Kind
	// Path is "/KIND/" when empty.
	Path string
	// Key is the account key of the limited account when empty.
	Key string
}

// Answer is what came back for a request.
type Answer struct {
	Request
	Sent, Ended time.Time
	// Status is 0 when no head of an answer came.
	Status int
	Body   string
	// Seal is the signature of the backend server that gave the answer.
	Seal string
	// RetryAfter tells that the answer says when to come back.
	RetryAfter bool
	// Err tells that the connection broke before the answer was whole.
	Err error
}

// Caller is one user's program.
type Caller struct{ client *http.Client }

// New returns a caller without connections.
func New() *Caller {
	return &Caller{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}}}
}

// Ask sends one request and reads the whole answer.
func (c *Caller) Ask(ctx context.Context, request Request) Answer {
	answer := Answer{Request: request, Sent: time.Now()}
	answer.Err = c.ask(ctx, &answer)
	answer.Ended = time.Now()
	return answer
}

func (c *Caller) ask(ctx context.Context, answer *Answer) error {
	ctx, cancel := context.WithTimeout(ctx, Wait+waitSlack)
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
	outside.Mark(request, answer.ID, cmp.Or(answer.Key, Key), Wait)
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer.Status, answer.Seal = response.StatusCode, outside.SealOf(response.Header)
	answer.RetryAfter = response.Header.Get("Retry-After") != ""
	data, err := io.ReadAll(response.Body)
	answer.Body = string(data)
	return err
}

// Close closes the caller's unused connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }
