package administration

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/version/publication"
)

// maxAnswerBytes is the maximum size of an answer in bytes.
const maxAnswerBytes = 64 << 20

// Client calls the administration API of entry instances. It tries the instances in order. A
// read fails over to the next instance on errors; a change does so only if it was certainly
// not executed.
type Client struct {
	http      *http.Client
	addresses []string
	token     string
}

// NewClient returns a client of the instances at the given base URLs.
func NewClient(httpClient *http.Client, addresses []string, token string) *Client {
	return &Client{http: httpClient, addresses: addresses, token: token}
}

// Publish sends a publication. The error is a *Refusal, of kind NotKnownYet if the answer was
// lost, or another error if no instance could be reached.
func (c *Client) Publish(ctx context.Context, request publication.Request) (publication.Result, error) {
	var result publication.Result
	err := c.call(ctx, http.MethodPost, PublicationsPath, request, &result)
	var refused *Refusal
	if err == nil || errors.As(err, &refused) || neverSent(err) || len(c.addresses) == 0 {
		return result, err
	}
	lost := problem.New(problem.NotKnownYet, "%v, ask again: papayactl status --publication %s", err, request.ID)
	return result, &Refusal{Document: lost.Document("")}
}

// Publication returns the result of a publication.
func (c *Client) Publication(ctx context.Context, id publication.ID) (publication.Result, error) {
	var result publication.Result
	err := c.call(ctx, http.MethodGet, PublicationsPath+"/"+url.PathEscape(string(id)), nil, &result)
	return result, err
}

// History returns the audit trail below a version, latest first; before 0 starts at the latest.
func (c *Client) History(ctx context.Context, before uint64, limit int) (History, error) {
	query := url.Values{"before": {strconv.FormatUint(before, 10)}, "limit": {strconv.Itoa(limit)}}
	var history History
	err := c.call(ctx, http.MethodGet, VersionsPath+"?"+query.Encode(), nil, &history)
	return history, err
}

// Current returns the version in force.
func (c *Client) Current(ctx context.Context) (Current, error) {
	var current Current
	err := c.call(ctx, http.MethodGet, CurrentPath, nil, &current)
	return current, err
}

// Status returns the status of the instance.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.call(ctx, http.MethodGet, StatusPath, nil, &status)
	return status, err
}

// Services returns the services in force.
func (c *Client) Services(ctx context.Context) (Services, error) {
	var services Services
	err := c.call(ctx, http.MethodGet, ServicesPath, nil, &services)
	return services, err
}

// Accounts returns the client accounts and their use.
func (c *Client) Accounts(ctx context.Context) (Accounts, error) {
	var accounts Accounts
	err := c.call(ctx, http.MethodGet, AccountsPath, nil, &accounts)
	return accounts, err
}

// Instances returns the instances that the called instance has listed.
func (c *Client) Instances(ctx context.Context) (Instances, error) {
	var instances Instances
	err := c.call(ctx, http.MethodGet, InstancesPath, nil, &instances)
	return instances, err
}

// Drain stops new work for an instance; empty for the one that is called.
func (c *Client) Drain(ctx context.Context, instance string) (Status, error) {
	var status Status
	err := c.call(ctx, http.MethodPost, DrainPath, Target{instance}, &status)
	return status, err
}

// Undrain reverts the drain of an instance; empty for the one that is called.
func (c *Client) Undrain(ctx context.Context, instance string) (Status, error) {
	var status Status
	err := c.call(ctx, http.MethodPost, UndrainPath, Target{instance}, &status)
	return status, err
}

// call tries the instances in order until one succeeds or failing over is not allowed.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	err := errors.New("no address of an entry instance is given")
	for _, address := range c.addresses {
		err = c.callInstance(ctx, address, method, path, in, out)
		if err == nil || !mayFailOver(method, err) || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// mayFailOver reports whether a failed call may be sent to the next instance without the risk
// of executing a change twice.
func mayFailOver(method string, err error) bool {
	var refused *Refusal
	if errors.As(err, &refused) {
		return refused.Outcome == problem.NotRun && refused.RetryAfterMS > 0
	}
	return method == http.MethodGet || neverSent(err)
}

// neverSent reports whether a request failed before any byte of it was sent.
func neverSent(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial"
}

func (c *Client) callInstance(ctx context.Context, address, method, path string, in, out any) error {
	body, err := encode(in)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(address, "/")+path, body)
	if err != nil {
		return errors.Wrapf(err, "asking %s", address)
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrapf(err, "asking %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrapf(err, "reading the answer of %s", address)
	}
	return decode(address, response, data, out)
}

func encode(in any) (io.Reader, error) {
	if in == nil {
		return http.NoBody, nil
	}
	data, err := json.Marshal(in)
	return bytes.NewReader(data), errors.Wrap(err, "encoding request")
}

func decode(address string, response *http.Response, data []byte, out any) error {
	media, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if media == problem.MediaType {
		var refused Refusal
		if err := json.Unmarshal(data, &refused); err != nil {
			return errors.Wrapf(err, "reading the answer of %s", address)
		}
		return &refused
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s answered status %d", address, response.StatusCode)
	}
	return errors.Wrapf(json.Unmarshal(data, out), "reading the answer of %s", address)
}
