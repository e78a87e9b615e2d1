// Package store is the client of the platform's key-value service: reads, compare-and-swap writes,
// leases and watches. It never repeats a write, and distinguishes a write that was certainly not
// executed from one whose response was lost.
//
// # Usage
//
//	client := store.New(httpClient, "http://10.0.0.9:2379", "tenant/")
//	entry, err := client.Put(ctx, "config/head", value, base.Revision)
//	var conflict *store.Conflict
//	switch {
//	case errors.As(err, &conflict):
//		// conflict.Entry is the current entry
//	case errors.Is(err, store.ErrUnavailable):
//		// not executed
//	case errors.Is(err, store.ErrUnknown):
//		// may have taken effect: read the key to find out
//	}
//
// Keys are passed and returned without the client's prefix. Lease names have the same prefix.
package store

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/process/platform/exchange"
)

// AnyRevision makes a write unconditional.
const AnyRevision uint64 = math.MaxUint64

const (
	// CallTimeout bounds every call except a watch.
	CallTimeout = 3 * time.Second
	// watchSlack is added to the wait time of a watch to get the timeout of its call.
	watchSlack = 2 * time.Second
)

// Errors of calls. All are found by errors.Is.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrUnavailable means that the call was certainly not executed.
	ErrUnavailable = errors.New("key-value service unavailable")
	// ErrUnknown means that a write was sent and its response is missing: it may have taken effect.
	ErrUnknown = errors.New("effect of the write unknown")
)

// Conflict is the error of a write or lease call that lost against another one.
type Conflict struct {
	// Entry is the current entry of the key, with revision 0 if there is none.
	Entry platform.Entry
	// Lease is the current state of the lease, for calls on leases.
	Lease *platform.Lease
}

// Error implements error.
func (c *Conflict) Error() string {
	if c.Lease != nil {
		return fmt.Sprintf("lease %s is held by %q with fencing token %d", c.Lease.Name, c.Lease.Holder, c.Lease.Fencing)
	}
	return fmt.Sprintf("key %s has revision %d", c.Entry.Key, c.Entry.Revision)
}

// Client is a client of the key-value service. It is safe for concurrent use.
type Client struct {
	http    *http.Client
	address string
	prefix  string
	calls   calls
}

// New returns a client of the service at address, such as "http://127.0.0.1:2379", for the keys
// with the given prefix.
func New(httpClient *http.Client, address, prefix string) *Client {
	return &Client{http: httpClient, address: strings.TrimSuffix(address, "/"), prefix: prefix}
}

// Calls returns the number of calls made so far by kind: get, list, watch, put, delete, lease.
func (c *Client) Calls() map[string]uint64 { return c.calls.snapshot() }

// Get reads one key.
func (c *Client) Get(ctx context.Context, key string) (platform.Entry, error) {
	c.calls.get.Add(1)
	var entry platform.Entry
	err := c.read(ctx, c.keyURL(key), CallTimeout, &entry)
	return c.trim(entry), err
}

// List reads all keys with the given prefix.
func (c *Client) List(ctx context.Context, prefix string) (platform.Entries, error) {
	c.calls.list.Add(1)
	query := url.Values{"prefix": {c.prefix + prefix}}
	var entries platform.Entries
	err := c.read(ctx, c.address+platform.KeysPath+"?"+query.Encode(), CallTimeout, &entries)
	return c.trimAll(entries), err
}

// Watch waits until a key with the given prefix changes after a revision, or until the wait time
// has passed; then the entries are empty. Deleted keys are returned with Deleted set.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (platform.Entries, error) {
	c.calls.watch.Add(1)
	query := url.Values{
		"prefix":  {c.prefix + prefix},
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var entries platform.Entries
	err := c.read(ctx, c.address+platform.WatchPath+"?"+query.Encode(), wait+watchSlack, &entries)
	return c.trimAll(entries), err
}

// Put writes a key if its current revision is ifRevision: 0 for a new key, AnyRevision for an
// unconditional write. It returns the entry with its new revision.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifRevision uint64) (platform.Entry, error) {
	c.calls.put.Add(1)
	if len(value) > platform.MaxValueBytes {
		return platform.Entry{}, errors.Errorf("value of %s has %d bytes, allowed are %d", key, len(value), platform.MaxValueBytes)
	}
	var entry platform.Entry
	target := c.keyURL(key) + condition(ifRevision)
	status, err := c.write(ctx, http.MethodPut, target, platform.Value{Value: value}, &entry)
	if err != nil {
		return platform.Entry{}, errors.Wrapf(err, "writing %s", key)
	}
	if status == http.StatusConflict {
		return platform.Entry{}, &Conflict{Entry: c.trim(entry)}
	}
	return c.trim(entry), nil
}

// Delete deletes a key under the same condition as Put.
func (c *Client) Delete(ctx context.Context, key string, ifRevision uint64) error {
	c.calls.del.Add(1)
	var entry platform.Entry
	status, err := c.write(ctx, http.MethodDelete, c.keyURL(key)+condition(ifRevision), nil, &entry)
	if err != nil {
		return errors.Wrapf(err, "deleting %s", key)
	}
	if status == http.StatusConflict {
		return &Conflict{Entry: c.trim(entry)}
	}
	return nil
}

func condition(ifRevision uint64) string {
	if ifRevision == AnyRevision {
		return ""
	}
	return "?if_revision=" + strconv.FormatUint(ifRevision, 10)
}

func (c *Client) keyURL(key string) string {
	return c.address + platform.KeysPath + "/" + url.PathEscape(c.prefix+key)
}

func (c *Client) read(ctx context.Context, target string, timeout time.Duration, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := exchange.Do(ctx, c.http, http.MethodGet, target, nil, out)
	switch {
	case err != nil:
		return errors.Wrap(ErrUnavailable, err.Error())
	case answer.Status == http.StatusNotFound:
		return ErrNotFound
	case answer.Status/100 != 2:
		return refusal(answer.Status)
	}
	return nil
}

// write executes a write and returns its status, which is 2xx or 409.
func (c *Client) write(ctx context.Context, method, target string, in, out any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	answer, err := exchange.Do(ctx, c.http, method, target, in, out)
	switch {
	case err != nil && answer.Sent:
		return 0, errors.Wrap(ErrUnknown, err.Error())
	case err != nil:
		return 0, errors.Wrap(ErrUnavailable, err.Error())
	case answer.Status == http.StatusConflict, answer.Status/100 == 2:
		return answer.Status, nil
	}
	return 0, refusal(answer.Status)
}

func refusal(status int) error {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return errors.Wrapf(ErrUnavailable, "status %d", status)
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
		return errors.Wrapf(ErrUnknown, "status %d", status)
	}
	return errors.Errorf("key-value service answered status %d", status)
}

func (c *Client) trim(entry platform.Entry) platform.Entry {
	entry.Key = strings.TrimPrefix(entry.Key, c.prefix)
	return entry
}

func (c *Client) trimAll(entries platform.Entries) platform.Entries {
	for i := range entries.Entries {
		entries.Entries[i] = c.trim(entries.Entries[i])
	}
	return entries
}
