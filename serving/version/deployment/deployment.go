// Package deployment holds an operator's configuration of a whole site: routes by host and
// path, the services that serve them, and client accounts with their keys and limits.
//
// A Version is immutable, so that each request can use the same version from start to end.
//
// # Usage
//
//	version := deployment.New(deployment.Deployment{...})
//	route, found := version.Match("app.example", "/bookings/7")
//	account, found := version.Account(key)
package deployment

import (
	"slices"
	"strings"
	"time"
)

// Kind is the kind of a route. It determines how often a request may run.
type Kind string

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non_idempotent"
	// Streaming requests are answered by a stream of events, and run at most once unless the
	// route is resumable.
	Streaming Kind = "streaming"
)

// Deployment is one configuration of a site.
type Deployment struct {
	// Version increases with every configuration.
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Route is a set of rules for the paths of a host under a prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable streams may continue at another backend server after the last event received.
	Resumable bool
	// Anonymous requests need no key.
	Anonymous bool
	// Timeout is the maximum time until a request is answered.
	Timeout time.Duration
	// Target is the latency target: the time to the answer, or to a stream's first event, within
	// which a request counts in full.
	Target time.Duration
	// TargetGap is the latency target for the pause between two events.
	TargetGap time.Duration
	// MaxAttempts is the maximum number of backend servers that one request is sent to.
	MaxAttempts int
	// Priority is the priority of the route; 0 is the most urgent.
	Priority int
	Targets  []Target
}

// MayRepeat reports whether a request that may have run can be sent again.
func (r *Route) MayRepeat() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Target is a service with its weight in a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Service is a group of equivalent backend servers.
type Service struct {
	Name string
	// MaxConnections is the maximum number of connections to one backend server from all entry
	// instances together; 0 means no limit.
	MaxConnections int
	// HealthPath is the path that backend servers answer without running a request.
	HealthPath string
	// Engine is set for model services.
	Engine *Engine
	// Sizing is set if this system scales the number of backend servers.
	Sizing *Sizing
}

// Engine describes the backend servers of a model service.
type Engine struct {
	// Slots is the number of requests that one engine runs concurrently.
	Slots int
	// CacheTokens is the size of an engine's key-value cache in tokens.
	CacheTokens int
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
}

// Sizing bounds the number of backend servers of a service in each failure domain.
type Sizing struct {
	Min, Max int
	// Boot is the time from ordering a backend server to its first request.
	Boot time.Duration
	// ReclaimablePrice is the price of a reclaimable backend server relative to an on-demand
	// one; 0 means that none are offered.
	ReclaimablePrice float64
	// DomainPrices holds the relative price of an on-demand backend server by failure domain.
	DomainPrices map[string]float64
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority overrides the route's priority if set; 0 is the most urgent.
	Priority *int
	// TokensPerSecond limits the account over all entry instances; 0 means no limit.
	TokensPerSecond float64
	// TokenBurst is the capacity of the account's token bucket.
	TokenBurst float64
	// RequestsPerSecond limits the account over all entry instances; 0 means no limit.
	RequestsPerSecond float64
	// PlainTokens is the number of tokens charged for a request without a token count.
	PlainTokens int
}

// Limits bounds what callers may send; 0 means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Version is a Deployment indexed for look-ups.
type Version struct {
	Deployment
	hosts    map[string][]*Route
	accounts map[string]*Account
	services map[string]*Service
}

// New indexes a deployment for look-ups. The caller must not modify it afterwards.
func New(d Deployment) *Version {
	v := &Version{
		Deployment: d, hosts: map[string][]*Route{},
		accounts: map[string]*Account{}, services: map[string]*Service{},
	}
	for i := range v.Routes {
		route := &v.Routes[i]
		v.hosts[route.Host] = append(v.hosts[route.Host], route)
	}
	for _, routes := range v.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range v.Accounts {
		for _, key := range v.Accounts[i].Keys {
			v.accounts[key] = &v.Accounts[i]
		}
	}
	for i := range v.Services {
		v.services[v.Services[i].Name] = &v.Services[i]
	}
	return v
}

// Match returns the route of a host with the longest prefix of the path.
func (v *Version) Match(host, path string) (*Route, bool) {
	for _, route := range v.hosts[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Account returns the client account with the given key.
func (v *Version) Account(key string) (*Account, bool) {
	account, found := v.accounts[key]
	return account, found
}

// Service returns the service with the given name.
func (v *Version) Service(name string) (*Service, bool) {
	s, found := v.services[name]
	return s, found
}

// Pick returns the service for a request, at random by weight. Draw is a random number in [0,
// 1).
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, target := range r.Targets {
		total += max(target.Weight, 0)
	}
	left := draw * float64(total)
	for _, target := range r.Targets {
		left -= float64(max(target.Weight, 0))
		if left < 0 {
			return target.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
