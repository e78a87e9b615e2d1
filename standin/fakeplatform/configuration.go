package fakeplatform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Route types in configurations.
const (
	SafeKind      = "safe"
	UnsafeKind    = "unsafe"
	StreamingKind = "streaming"
)

// Route maps requests for a host and path prefix to a service.
type Route struct {
	Name, Host, Prefix string
	Kind               string
	Resumable          bool
	Service            string
	Attempts           int
	// Timeout is the timeout of a request, TargetLatency the target latency to the start of its answer.
	Timeout, TargetLatency time.Duration
}

// Service is a service of a configuration. Slots and CacheTokens describe its engines; both are
// 0 for a plain service.
type Service struct {
	Name               string
	Connections        int
	Slots, CacheTokens int
}

// Account is a client account; without TokensPerSecond it has no rate limit.
type Account struct {
	Name, Key string
	// TokensPerSecond and Burst are the rate and depth of the token bucket, and PlainTokens the
	// number of tokens that a request without a prompt costs.
	TokensPerSecond, Burst, PlainTokens int
}

// Limits bounds the sizes of callers' requests and the time they may take or stay idle.
type Limits struct {
	BodyBytes, HeaderBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Configuration is a configuration as operators publish it.
type Configuration struct {
	Version  int
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Publish writes a configuration to the store as operators do.
func (s *Store) Publish(c Configuration) error {
	out := map[string]any{"version": c.Version, "limits": map[string]any{
		"max_body_bytes": c.Limits.BodyBytes, "max_header_bytes": c.Limits.HeaderBytes,
		"header_timeout_ms": c.Limits.HeaderTimeout.Milliseconds(), "idle_timeout_ms": c.Limits.IdleTimeout.Milliseconds(),
	}}
	var routes, services, accounts []map[string]any
	for _, r := range c.Routes {
		routes = append(routes, map[string]any{
			"name": r.Name, "host": r.Host, "prefix": r.Prefix, "route_type": r.Kind, "resumable": r.Resumable,
			"service": r.Service, "max_attempts": r.Attempts, "priority": 1,
			"timeout_ms": r.Timeout.Milliseconds(), "target_latency_ms": r.TargetLatency.Milliseconds(),
		})
	}
	for _, one := range c.Services {
		row := map[string]any{"name": one.Name, "max_connections": one.Connections}
		if one.Slots > 0 {
			row["engine"] = map[string]any{"slots": one.Slots, "kv_capacity_tokens": one.CacheTokens, "stride": 2}
		}
		services = append(services, row)
	}
	for _, a := range c.Accounts {
		row := map[string]any{"name": a.Name, "api_keys": []string{a.Key}}
		if a.TokensPerSecond > 0 {
			row["unit"], row["uncached_tokens"] = "tokens", a.PlainTokens
			row["rate_per_s"], row["burst"] = a.TokensPerSecond, a.Burst
		}
		accounts = append(accounts, row)
	}
	out["routes"], out["services"], out["tenants"] = routes, services, accounts
	data, err := json.Marshal(out)
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	s.Put("op/config", data)
	return nil
}

// SetRequestHeaders sets the request's id, its deadline after wait and the caller's account key.
func SetRequestHeaders(request *http.Request, id, key string, wait time.Duration) {
	request.Header.Set("X-Papayaport-Attempt-Id", id)
	request.Header.Set("X-Papayaport-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	request.Header.Set("X-Api-Key", key)
}

// SealFrom returns the signature of the backend server that produced an answer.
func SealFrom(answer http.Header) string { return answer.Get("X-Papayaport-Server-Seal") }
