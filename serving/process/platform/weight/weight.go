// Package weight is the client of the platform's weight store, which is rate-limited.
//
// # Usage
//
//	client := weight.New(httpClient, "http://10.0.0.9:8700")
//	err := client.Fetch(ctx, "farewell-7b", 14<<30)
//	if errors.Is(err, weight.ErrBusy) {
//		// over the rate limit: retry later
//	}
package weight

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/process/platform/exchange"
)

// ErrBusy means that the store's rate limit is exceeded.
var ErrBusy = errors.New("weight store rate limit exceeded")

// Client fetches weights. It is safe for concurrent use.
type Client struct {
	http    *http.Client
	address string
}

// New returns a client of the store at address, such as "http://127.0.0.1:8700".
func New(httpClient *http.Client, address string) *Client {
	return &Client{http: httpClient, address: strings.TrimSuffix(address, "/")}
}

// Fetch downloads the weights of a model, and returns when all bytes were received. The argument
// bytes is their size; with 0 the store determines it.
func (c *Client) Fetch(ctx context.Context, model string, bytes int64) error {
	target := c.address + platform.WeightsPath + "/" + url.PathEscape(model)
	if bytes > 0 {
		target += "?bytes=" + strconv.FormatInt(bytes, 10)
	}
	answer, err := exchange.Do(ctx, c.http, http.MethodPost, target, nil, nil)
	switch {
	case err != nil:
		return errors.Wrapf(err, "fetching the weights of %s", model)
	case answer.Status == http.StatusTooManyRequests:
		return errors.Wrapf(ErrBusy, "fetching the weights of %s", model)
	case answer.Status != http.StatusOK:
		return errors.Errorf("weight store answered status %d for %s", answer.Status, model)
	}
	return nil
}
