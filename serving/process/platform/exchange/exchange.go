// Package exchange sends one JSON request to a service of the platform and reports whether a
// request without a response may have been executed.
//
// # Usage
//
//	answer, err := exchange.Do(ctx, httpClient, http.MethodPut, url, in, &out)
//	if err != nil && answer.Sent {
//		// the request may have taken effect
//	}
package exchange

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"
)

// MaxAnswerBytes is the maximum number of bytes read from a response.
const MaxAnswerBytes = 64 << 20

// Answer is the result of a request.
type Answer struct {
	// Status is the HTTP status, 0 without a response.
	Status int
	// Sent reports that a connection was available, so that bytes of the request may have been
	// sent.
	Sent bool
}

// Do sends in as JSON, or no body if in is nil, and decodes a 2xx or 409 response into out. A
// response with any other status is not an error.
func Do(ctx context.Context, client *http.Client, method, url string, in, out any) (Answer, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := request(httptrace.WithClientTrace(ctx, trace), method, url, in)
	if err != nil {
		return Answer{}, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return Answer{Sent: sent.Load()}, errors.Wrapf(err, "calling %s", req.URL.Path)
	}
	defer drain(resp.Body)
	answer := Answer{Status: resp.StatusCode, Sent: true}
	if !hasBody(resp.StatusCode) || out == nil {
		return answer, nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, MaxAnswerBytes)).Decode(out); err != nil {
		return Answer{Sent: true}, errors.Wrapf(err, "reading the answer of %s", req.URL.Path)
	}
	return answer, nil
}

func request(ctx context.Context, method, url string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, errors.Wrap(err, "encoding a request")
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, errors.Wrap(err, "building a request")
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

func hasBody(status int) bool {
	return status == http.StatusConflict || status/100 == 2 && status != http.StatusNoContent
}

const drainBytes = 64 << 10

func drain(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, drainBytes)
	_ = body.Close()
}
