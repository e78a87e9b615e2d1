// Package deployment holds what an operator has put into force for a whole site: routes
// by host and path, the services behind them, client accounts with their keys and limits.
//
// A Version is immutable once made, so that a request is answered by one version from
// its first byte to its last.
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

// Kind tells how often a request may run.
type Kind string

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non_idempotent"
	// Streaming requests are answered by a series of events, and run at most once unless
	// the route is resumable.
	Streaming Kind = "streaming"
)

// Deployment is one configuration of a site.
type Deployment struct {
	// Version grows with every configuration.
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Route is a part of a host's paths with one set of rules.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable streams may go on at another backend server behind a known event.
	Resumable bool
	// Anonymous requests need no key.
	Anonymous bool
	// Timeout is the longest time that a request may stay unanswered.
	Timeout time.Duration
	// Target is the time to the answer, or to a stream's first event, that earns full credit.
	Target time.Duration
	// TargetGap is the longest pause between two events that is still on time.
	TargetGap time.Duration
	// MaxAttempts is the number of backend servers that one request may be sent to.
	MaxAttempts int
	// Priority is the rank of the route, 0 the most urgent.
	Priority int
	Targets  []Target
}

// MayRepeat tells whether a request that may have run can be sent again.
func (r *Route) MayRepeat() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Target is a service that gets a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Service is a group of alike backend servers.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one backend server takes from all
	// entry instances together; 0 means no limit.
	MaxConnections int
	// Engine is set for model services.
	Engine *Engine
	// Sizing is set when the number of backend servers is ordered by this system.
	Sizing *Sizing
}

// Engine describes the backend servers of a model service.
type Engine struct {
	// Slots is the number of requests that one engine runs at a time.
	Slots int
	// CacheTokens is the size of an engine's memory in tokens.
	CacheTokens int
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
}

// Sizing bounds the backend servers of a service in each failure domain.
type Sizing struct {
	Min, Max int
	// Boot is the time from an order to the first request.
	Boot time.Duration
	// ReclaimablePrice is the price of a reclaimable backend server as a share of that of
	// an on-demand one; 0 means that none are offered.
	ReclaimablePrice float64
	// DomainPrices holds the relative price of an on-demand backend server by failure domain.
	DomainPrices map[string]float64
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority replaces the route's when it is set; 0 is the most urgent.
	Priority *int
	// TokensPerSecond limits the account over all entry instances; 0 means no limit.
	TokensPerSecond float64
	// TokenBurst is the number of tokens that may be used at once.
	TokenBurst float64
	// RequestsPerSecond limits the account over all entry instances; 0 means no limit.
	RequestsPerSecond float64
	// PlainTokens is what a request without token counts counts as.
	PlainTokens int
}

// Limits bounds what callers may send; 0 means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Version is a Deployment made ready for look-ups.
type Version struct {
	Deployment
	hosts    map[string][]*Route
	accounts map[string]*Account
	services map[string]*Service
}

// New makes a deployment ready for look-ups.
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

// Match returns the route of a host with the longest prefix that begins the path.
func (v *Version) Match(host, path string) (*Route, bool) {
	for _, route := range v.hosts[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Account returns the client account that holds a key.
func (v *Version) Account(key string) (*Account, bool) {
	account, found := v.accounts[key]
	return account, found
}

// Service returns a service by its name.
func (v *Version) Service(name string) (*Service, bool) {
	s, found := v.services[name]
	return s, found
}

// Pick returns the service that a request goes to. Draw is a random number in [0, 1).
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
