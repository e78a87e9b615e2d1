// Package contact records when a service of the platform last responded and whether it has failed
// since, so that an instance can report how stale data from the service may be.
//
// # Usage
//
//	contact := contact.New(transport)
//	client := store.New(&http.Client{Transport: contact}, address, prefix)
//	lastResponse, lost := contact.State()
package contact

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Contact is an http.RoundTripper for one service.
type Contact struct {
	next http.RoundTripper

	mu           sync.Mutex
	lastResponse time.Time
	lost         bool
}

// New returns a transport that forwards requests to next.
func New(next http.RoundTripper) *Contact { return &Contact{next: next} }

// RoundTrip implements http.RoundTripper.
func (c *Contact) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := c.next.RoundTrip(request)
	if errors.Is(err, context.Canceled) {
		return response, err // the caller cancelled, which is no failure of the service
	}
	c.record(err == nil && response.StatusCode < http.StatusInternalServerError)
	return response, err
}

func (c *Contact) record(answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = !answered
	if answered {
		c.lastResponse = time.Now()
	}
}

// State returns when the service last responded, zero for never, and whether a request failed since
// then. Responses with 4xx statuses count as responses, server errors do not.
func (c *Contact) State() (lastResponse time.Time, lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastResponse, c.lost
}
