// Package administration is the administration API of an entry instance: JSON over HTTP on a
// separate listener, authenticated by operator tokens as bearer tokens. It also contains the
// client that papayactl uses.
//
// # Usage
//
//	tokens, err := administration.ParseTokens("operators.txt", data)
//	handler := administration.New(node, tokens, administration.Hooks{Metrics: writeMetrics}, log)
//
//	client := administration.NewClient(http.DefaultClient, []string{"http://10.0.0.1:7070"}, token)
//	status, err := client.Status(ctx)
//
// Errors are problem documents. The document of a refused publication contains its faults or
// the version that was published first.
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

// Node is the entry instance that the API administers.
type Node interface {
	// Publish and Publication behave like those of publication.Publisher.
	Publish(ctx context.Context, request publication.Request) (publication.Result, error)
	Publication(ctx context.Context, id publication.ID) (publication.Result, error)
	// History returns versions below before, latest first; before 0 starts at the latest.
	History(ctx context.Context, before uint64, limit int) ([]publication.Head, error)
	// Current returns the version in force, nil before the first one.
	Current() *publication.Version
	Status() Status
	// Drain stops new work for an instance: this one if the id is empty, or a backend server.
	Drain(ctx context.Context, instance string) error
	// Undrain reverts the drain of an instance.
	Undrain(ctx context.Context, instance string) error
	Services() []Service
	Accounts() []Account
	Instances() []Instance
}

// Hooks provide the data of the metrics and health endpoints. A nil hook is skipped.
type Hooks struct {
	// Metrics writes all metrics in the Prometheus text format.
	Metrics func(w io.Writer)
	// Live returns why the process should be restarted, nil if it should not.
	Live func() error
	// Ready returns why the instance takes no requests, nil if it does.
	Ready func() error
}

// Target is the instance to drain or undrain; empty for the one that is called.
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

// Status is the status of an entry instance.
type Status struct {
	Instance      string `json:"instance"`
	Incarnation   uint64 `json:"incarnation"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Ready         bool   `json:"ready"`
	// Reason is why the instance is not ready.
	Reason   string `json:"reason,omitempty"`
	Draining bool   `json:"draining"`
	UptimeMS int64  `json:"uptime_ms"`
	// Version is 0 before the first version is in force.
	Version     uint64         `json:"version"`
	Publication publication.ID `json:"publication,omitempty"`
	Operator    string         `json:"operator,omitempty"`
	// PublishedAt is when the version was published.
	PublishedAt time.Time `json:"published_at,omitzero"`
	// VersionAgeMS is how long the version has been in force on this instance, in milliseconds.
	VersionAgeMS int64     `json:"version_age_ms"`
	InFlight     int       `json:"in_flight"`
	Queued       int       `json:"queued"`
	Sources      []Source  `json:"sources"`
	Leaving      []Leaving `json:"leaving"`
	Leases       []Lease   `json:"leases"`
}

// Source is a source of the instance's data: the key-value service, the instance list, a peer
// or a model engine.
type Source struct {
	// Kind is "store", "instance_list", "peer" or "backend".
	Kind string `json:"kind"`
	// Name is the id or address, empty if there is only one source of the kind.
	Name string `json:"name,omitempty"`
	// AgeMS is the age of the data in milliseconds, -1 if none was received.
	AgeMS int64 `json:"age_ms"`
	// Stale is set if the data is older than usual.
	Stale bool `json:"stale"`
}

// Leaving is an incarnation of an instance that is leaving and gets no new work.
type Leaving struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	// LeaveInMS is the time until the deadline in milliseconds, negative once it has passed.
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
	// Backends is the number of listed backend servers that are not leaving, and Leaving the
	// number of those that are.
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
	// UsedRequestsPerSecond, UsedTokensPerSecond and InFlight are sums over all entry
	// instances with recent data.
	UsedRequestsPerSecond float64 `json:"used_requests_per_second"`
	UsedTokensPerSecond   float64 `json:"used_tokens_per_second"`
	InFlight              int     `json:"in_flight"`
}

// Instance is an instance in the instance list of the called instance.
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
	// InFlight is the number of requests in flight from the called instance.
	InFlight int `json:"in_flight"`
}

// Answers of the list endpoints.
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

// Refusal is the problem document of the administration API, with details of a refused
// publication.
type Refusal struct {
	problem.Document
	// Faults are the faults of the service files.
	Faults []service.Fault `json:"faults,omitempty"`
	// Winner is the version that was published first.
	Winner *publication.Head `json:"winner,omitempty"`
}

// Error implements error.
func (r *Refusal) Error() string { return string(r.Kind) + ": " + r.Detail }
