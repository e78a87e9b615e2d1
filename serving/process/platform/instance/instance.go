// Package instance is the client of the platform's instance list.
//
// # Usage
//
//	client := instance.New(httpClient, "http://10.0.0.9:8500")
//	list, err := client.List(ctx)
package instance

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/process/platform/exchange"
)

// callTimeout bounds one call.
const callTimeout = 3 * time.Second

// Client reads the instance list. It is safe for concurrent use.
type Client struct {
	http    *http.Client
	address string
}

// New returns a client of the instance list at address, such as "http://127.0.0.1:8500".
func New(httpClient *http.Client, address string) *Client {
	return &Client{http: httpClient, address: strings.TrimSuffix(address, "/")}
}

// List returns all instances in the instance list, which may lag behind the platform.
func (c *Client) List(ctx context.Context) (platform.Instances, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var list platform.Instances
	answer, err := exchange.Do(ctx, c.http, http.MethodGet, c.address+platform.InstancesPath, nil, &list)
	if err != nil {
		return platform.Instances{}, errors.Wrap(err, "reading the instance list")
	}
	if answer.Status != http.StatusOK {
		return platform.Instances{}, errors.Errorf("instance list answered status %d", answer.Status)
	}
	return list, nil
}
