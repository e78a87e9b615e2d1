// Package administration is the operators' side of an entry instance: JSON over HTTP on
// its own listener, with operator tokens as bearers, and the client that papayactl uses.
//
// # Usage
//
//	tokens, err := administration.ParseTokens("operators.txt", data)
//	handler := administration.New(node, tokens, administration.Hooks{Metrics: writeMetrics}, log)
//
//	client := administration.NewClient(http.DefaultClient, []string{"http://10.0.0.1:7070"}, token)
//	status, err := client.Status(ctx)
//
// Errors are problem documents. A refused publication names its faults or the version
// that came first.
package administration

import (
	"context"
	"io"
	"time"

	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/version/publication"
	"papayaport.dev/serving/version/service"
)

// Paths of the administration listener. LivePath, ReadyPath and MetricsPath need no token.
const (
	PublicationsPath = "/v1/publications" // POST publication.Request; answers publication.Result
	VersionsPath     = "/v1/versions"     // GET ?before=VERSION&limit=N; answers History
	CurrentPath      = "/v1/current"      // GET; answers Current
	StatusPath       = "/v1/status"       // GET; answers Status
	ServicesPath     = "/v1/services"     // GET; answers Services
	AccountsPath     = "/v1/accounts"     // GET; answers Accounts
	InstancesPath    = "/v1/instances"    // GET; answers Instances
	DrainPath        = "/v1/drain"        // POST Target; answers Status
	UndrainPath      = "/v1/undrain"      // POST Target; answers Status
	MetricsPath      = "/metrics"
	LivePath         = "/livez"
	ReadyPath        = "/readyz"
	DebugPath        = "/debug/pprof/"
)

// Node is the entry instance that is administered.
type Node interface {
	// Publish and Publication answer as those of a publication.Publisher.
	Publish(ctx context.Context, request publication.Request) (publication.Result, error)
	Publication(ctx context.Context, id publication.ID) (publication.Result, error)
	// History returns versions below before, latest first; before 0 begins with the latest.
	History(ctx context.Context, before uint64, limit int) ([]publication.Head, error)
	// Current returns the version in force, nil before the first one.
	Current() *publication.Version
	Status() Status
	// Drain stops new work for an instance: this one if the id is empty, or a backend server.
	Drain(ctx context.Context, instance string) error
	// Undrain takes a drain back.
	Undrain(ctx context.Context, instance string) error
	Services() []Service
	Accounts() []Account
	Instances() []Instance
}

// Hooks are what the daemon adds to the listener.
type Hooks struct {
	// Metrics writes all metrics in the Prometheus text format.
	Metrics func(w io.Writer)
	// Live returns why the process should be restarted, nil if it should not.
	Live func() error
	// Ready returns why the instance takes no requests, nil if it does.
	Ready func() error
}

// Target names the instance of a drain; empty for the one that is asked.
type Target struct {
	Instance string `json:"instance,omitempty"`
}

// History is a part of the audit trail, latest version first.
type History struct {
	Versions []publication.Head `json:"versions"`
}

// Current is the version in force with its service files.
type Current struct {
	Head publication.Head `json:"head"`
	// Files holds the files as they were published, by service.
	Files map[string][]byte `json:"files"`
}

// Status tells how an entry instance is.
type Status struct {
	Instance      string `json:"instance"`
	Incarnation   uint64 `json:"incarnation"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Ready         bool   `json:"ready"`
	// Reason tells why the instance is not ready.
	Reason   string `json:"reason,omitempty"`
	Draining bool   `json:"draining"`
	UptimeMS int64  `json:"uptime_ms"`
	// Version is 0 before the first version is in force.
	Version     uint64         `json:"version"`
	Publication publication.ID `json:"publication,omitempty"`
	Operator    string         `json:"operator,omitempty"`
	// PublishedAt is when the version was published.
	PublishedAt time.Time `json:"published_at,omitzero"`
	// VersionAgeMS is how long the version is in force here, in milliseconds.
	VersionAgeMS int64     `json:"version_age_ms"`
	InFlight     int       `json:"in_flight"`
	Queued       int       `json:"queued"`
	Sources      []Source  `json:"sources"`
	Leaving      []Leaving `json:"leaving"`
	Leases       []Lease   `json:"leases"`
}

// Source is something that the instance hears from: the key-value service, the instance
// list, a peer, a model engine.
type Source struct {
	// Kind is "store", "instance_list", "peer" or "backend".
	Kind string `json:"kind"`
	// Name is the id or address, empty where the kind has one only.
	Name string `json:"name,omitempty"`
	// AgeMS is the age of what is known from it in milliseconds, -1 if nothing was heard.
	AgeMS int64 `json:"age_ms"`
	// Stale tells that the age is above what is usual.
	Stale bool `json:"stale"`
}

// Leaving is one incarnation that gets no new work.
type Leaving struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	// LeaveInMS is the time left in milliseconds, negative when it has passed.
	LeaveInMS int64 `json:"leave_in_ms"`
}

// Lease is a lease that the instance holds.
type Lease struct {
	Name    string `json:"name"`
	Fencing uint64 `json:"fencing"`
}

// Service is a service in force with its use through this instance.
type Service struct {
	Name     string       `json:"name"`
	Kind     service.Kind `json:"kind"`
	Model    string       `json:"model,omitempty"`
	Accounts int          `json:"accounts"`
	// Backends is the number of live backend servers known here, and Leaving of those that leave.
	Backends int `json:"backends"`
	Leaving  int `json:"leaving"`
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
}

// Account is a client account's access to a service with its use.
type Account struct {
	Service           string  `json:"service"`
	Name              string  `json:"name"`
	Priority          int     `json:"priority"`
	RequestsPerSecond float64 `json:"requests_per_second"`
	TokensPerSecond   float64 `json:"tokens_per_second"`
	Concurrency       int     `json:"concurrency"`
	// UsedRequestsPerSecond, UsedTokensPerSecond and InFlight are over all entry
	// instances heard of lately.
	UsedRequestsPerSecond float64 `json:"used_requests_per_second"`
	UsedTokensPerSecond   float64 `json:"used_tokens_per_second"`
	InFlight              int     `json:"in_flight"`
}

// Instance is an instance as this one knows it.
type Instance struct {
	ID            string  `json:"id"`
	Incarnation   uint64  `json:"incarnation"`
	Role          string  `json:"role"`
	Service       string  `json:"service,omitempty"`
	Address       string  `json:"address"`
	Region        string  `json:"region,omitempty"`
	FailureDomain string  `json:"failure_domain"`
	Class         string  `json:"class,omitempty"`
	PricePerHour  float64 `json:"price_per_hour,omitempty"`
	Leaving       bool    `json:"leaving"`
	// InFlight is the work sent from here.
	InFlight int `json:"in_flight"`
}

// Services, Accounts and Instances are the answers to lists.
type (
	// Services answers ServicesPath.
	Services struct {
		Services []Service `json:"services"`
	}
	// Accounts answers AccountsPath.
	Accounts struct {
		Accounts []Account `json:"accounts"`
	}
	// Instances answers InstancesPath.
	Instances struct {
		Instances []Instance `json:"instances"`
	}
)

// Refusal is the problem document of the administration API.
type Refusal struct {
	problem.Document
	// Faults tells what is wrong in service files.
	Faults []service.Fault `json:"faults,omitempty"`
	// Winner is the version that was published first.
	Winner *publication.Head `json:"winner,omitempty"`
}

// Error implements error.
func (r *Refusal) Error() string { return string(r.Kind) + ": " + r.Detail }
