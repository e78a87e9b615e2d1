package outside

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Kinds of routes, as configurations name them.
const (
	SafeKind      = "safe"
	UnsafeKind    = "unsafe"
	StreamingKind = "streaming"
)

// Route leads requests of a host and path to a service.
type Route struct {
	Name, Host, Prefix string
	Kind               string
	Resumable          bool
	Service            string
	Attempts           int
	// Wait bounds a request, Target is the time in which its answer should begin.
	Wait, Target time.Duration
}

// Service is a service of a configuration; Slots and CacheTokens are those of an engine,
// both 0 for a plain service.
type Service struct {
	Name               string
	Connections        int
	Slots, CacheTokens int
}

// Account is a client account; one without a rate has no limit.
type Account struct {
	Name, Key string
	// TokensPerSecond is the limit, Burst what may be used at once beyond it, and
	// PlainTokens what a request without a prompt counts as.
	TokensPerSecond, Burst, PlainTokens int
}

// Limits bounds what callers send and how long they stay idle.
type Limits struct {
	BodyBytes, HeaderBytes int
	HeaderTime, IdleTime   time.Duration
}

// Configuration is what operators publish.
type Configuration struct {
	Version  int
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Publish writes a configuration as operators do.
func (s *Store) Publish(c Configuration) error {
	out := map[string]any{"version": c.Version, "limits": map[string]any{
		"max_body_bytes": c.Limits.BodyBytes, "max_header_bytes": c.Limits.HeaderBytes,
		"header_timeout_ms": c.Limits.HeaderTime.Milliseconds(), "idle_timeout_ms": c.Limits.IdleTime.Milliseconds(),
	}}
	var routes, services, accounts []map[string]any
	for _, r := range c.Routes {
		routes = append(routes, map[string]any{
			"name": r.Name, "host": r.Host, "prefix": r.Prefix, "route_type": r.Kind, "resumable": r.Resumable,
			"service": r.Service, "max_attempts": r.Attempts, "priority": 1,
			"timeout_ms": r.Wait.Milliseconds(), "target_latency_ms": r.Target.Milliseconds(),
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

// Mark makes a request one of a caller with an account key, that waits so long.
func Mark(request *http.Request, id, key string, wait time.Duration) {
	request.Header.Set("X-Papayaport-Attempt-Id", id)
	request.Header.Set("X-Papayaport-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	request.Header.Set("X-Api-Key", key)
}

// SealOf returns the signature of the backend server that gave an answer.
func SealOf(answer http.Header) string { return answer.Get("X-Papayaport-Server-Seal") }
