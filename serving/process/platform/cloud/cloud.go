// Package cloud is the client of the platform's cloud API: prices, starting and stopping instances,
// and reclaim notices.
//
// # Usage
//
//	client := cloud.New(httpClient, "http://10.0.0.9:8600")
//	started, err := client.Start(ctx, platform.Start{RequestID: id, ...})
//	if errors.Is(err, cloud.ErrRefused) {
//		// nothing was started; try another class later
//	}
package cloud

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/process/platform/exchange"
)

const (
	// callTimeout bounds every call except a wait for notices.
	callTimeout = 5 * time.Second
	// waitSlack is added to the wait time for notices to get the timeout of the call.
	waitSlack = 2 * time.Second
)

// Errors of calls. All are found by errors.Is.
var (
	// ErrRefused means that the platform has no capacity for such an instance at present.
	ErrRefused = errors.New("start refused")
	// ErrUnknown means that a start or stop was sent and its response is missing. The same request
	// may be sent again: at most one instance is started for a request id.
	ErrUnknown = errors.New("effect of the call unknown")
	// ErrUnavailable means that the call was certainly not executed.
	ErrUnavailable = errors.New("cloud API unavailable")
)

// Client is a client of the cloud API. It is safe for concurrent use.
type Client struct {
	http    *http.Client
	address string
}

// New returns a client of the API at address, such as "http://127.0.0.1:8600".
func New(httpClient *http.Client, address string) *Client {
	return &Client{http: httpClient, address: strings.TrimSuffix(address, "/")}
}

// Prices returns the current prices.
func (c *Client) Prices(ctx context.Context) (platform.Prices, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var prices platform.Prices
	_, err := c.call(ctx, http.MethodGet, platform.PricesPath, nil, &prices)
	return prices, err
}

// Start starts an instance.
func (c *Client) Start(ctx context.Context, start platform.Start) (platform.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var started platform.Instance
	status, err := c.call(ctx, http.MethodPost, platform.InstancesPath, start, &started)
	if status == http.StatusServiceUnavailable {
		return platform.Instance{}, errors.Wrapf(ErrRefused, "class %s in %s", start.Class, start.FailureDomain)
	}
	return started, err
}

// Stop stops an instance. It succeeds if the instance no longer exists.
func (c *Client) Stop(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, err := c.call(ctx, http.MethodDelete, platform.InstancesPath+"/"+url.PathEscape(id), nil, nil)
	if status == http.StatusNotFound {
		return nil
	}
	return err
}

// Notices returns the notices after the given sequence number. It waits for the first one for at
// most wait.
func (c *Client) Notices(ctx context.Context, after uint64, wait time.Duration) (platform.Notices, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+waitSlack)
	defer cancel()
	query := url.Values{
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var notices platform.Notices
	_, err := c.call(ctx, http.MethodGet, platform.NoticesPath+"?"+query.Encode(), nil, &notices)
	return notices, err
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) (int, error) {
	answer, err := exchange.Do(ctx, c.http, method, c.address+path, in, out)
	switch {
	case err != nil && answer.Sent:
		return 0, errors.Wrap(ErrUnknown, err.Error())
	case err != nil:
		return 0, errors.Wrap(ErrUnavailable, err.Error())
	case answer.Status/100 != 2:
		return answer.Status, errors.Wrapf(ErrUnavailable, "status %d", answer.Status)
	}
	return answer.Status, nil
}
