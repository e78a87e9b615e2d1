package store

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/serving/process/platform"
)

// Acquire acquires a free or expired lease. A holder that still has it gets it again with the same
// fencing token. The error is a *Conflict when another holder has it.
func (c *Client) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (platform.Lease, error) {
	return c.lease(ctx, name, "acquire", platform.LeaseRequest{Holder: holder, TTLMS: ttl.Milliseconds()})
}

// Renew extends a held lease to ttl from now. The error is a *Conflict when the lease has expired
// or has another holder or fencing token.
func (c *Client) Renew(ctx context.Context, name, holder string, fencing uint64, ttl time.Duration) (platform.Lease, error) {
	return c.lease(ctx, name, "renew", platform.LeaseRequest{Holder: holder, Fencing: fencing, TTLMS: ttl.Milliseconds()})
}

// Release releases a held lease.
func (c *Client) Release(ctx context.Context, name, holder string, fencing uint64) error {
	_, err := c.lease(ctx, name, "release", platform.LeaseRequest{Holder: holder, Fencing: fencing})
	return err
}

func (c *Client) lease(ctx context.Context, name, verb string, in platform.LeaseRequest) (platform.Lease, error) {
	c.calls.lease.Add(1)
	target := c.address + platform.LeasesPath + "/" + url.PathEscape(c.prefix+name) + "/" + verb
	var lease platform.Lease
	status, err := c.write(ctx, http.MethodPost, target, in, &lease)
	if err != nil {
		return platform.Lease{}, errors.Wrapf(err, "%s of lease %s", verb, name)
	}
	lease.Name = strings.TrimPrefix(lease.Name, c.prefix)
	if status == http.StatusConflict {
		return platform.Lease{}, &Conflict{Lease: &lease}
	}
	return lease, nil
}
