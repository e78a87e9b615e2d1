// Package service defines service files: JSON files in which operators describe a service,
// and which are published together as one configuration. A file lists the client accounts,
// routes, limits and capacity of its service.
//
// # Usage
//
//	file, faults := service.Parse("farewell-llm.json", data)
//	if len(faults) > 0 {
//		// Each fault holds the file, the field, the value and the allowed values.
//	}
package service

import "time"

// Kind is the kind of a service, which determines its protocol.
type Kind string

// Kinds of service.
const (
	// ModelKind is a language model served as chat completions.
	ModelKind Kind = "model"
	// PlainKind is an HTTP service whose requests are passed through.
	PlainKind Kind = "plain"
)

// File is a service file.
type File struct {
	Name          string        `json:"name"`
	Kind          Kind          `json:"kind"`
	Model         *Model        `json:"model,omitempty"`
	Routes        []Route       `json:"routes,omitempty"`
	Accounts      []Account     `json:"accounts"`
	LatencyTarget LatencyTarget `json:"latency_target"`
	Retry         Retry         `json:"retry"`
	Queue         Queue         `json:"queue"`
	Capacity      Capacity      `json:"capacity"`
	// DeadlineMS is the deadline of requests without one of their own, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
	// OrdersFenced is set if the backend servers reject orders with an outdated fencing token.
	OrdersFenced bool `json:"orders_fenced"`
}

// Model describes the model that the backend servers of a model service load.
type Model struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	// WeightBytes is the size of the weights in the weight store, in bytes.
	WeightBytes int64 `json:"weight_bytes"`
	// MaxTokens is the maximum answer of one request, in tokens.
	MaxTokens int `json:"max_tokens"`
	// ContextTokens is the maximum total of prompt and answer, in tokens.
	ContextTokens int `json:"context_tokens"`
}

// Route is a set of rules for a plain service's paths under a prefix. The longest matching
// prefix wins.
type Route struct {
	// Path is the path prefix, without the leading "/<service>".
	Path string `json:"path"`
	// Methods holds the methods of this route; empty means all.
	Methods []string `json:"methods,omitempty"`
	// Idempotent is set if a request may be sent again after a failure.
	Idempotent bool `json:"idempotent"`
	// KeyRequired rejects non-idempotent requests without an Idempotency-Key.
	KeyRequired bool `json:"key_required,omitempty"`
	// NotRunStatus lists the status codes with which a backend server reports that it did not
	// run the request.
	NotRunStatus []int `json:"not_run_status,omitempty"`
}

// Account is a client account's access to one service. An account that uses two services is
// listed in both files.
type Account struct {
	Name string `json:"name"`
	// KeySHA256 is the SHA-256 of the account's key in lower-case hexadecimal.
	KeySHA256 string `json:"key_sha256"`
	// Priority is the priority of the account's requests, 0 (lowest) to 9.
	Priority int `json:"priority"`
	// RequestsPerSecond limits the account over all entry instances; 0 means no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// TokensPerSecond limits prompt and answer tokens over all entry instances; 0 means no limit.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty"`
	// TokenBurst is the number of tokens that may be used at once over all entry instances, if
	// it is more than TokensPerSecond allows in one second.
	TokenBurst float64 `json:"token_burst,omitempty"`
	// Concurrency limits requests in flight over all entry instances; 0 means no limit.
	Concurrency int `json:"concurrency,omitempty"`
}

// LatencyTarget is the target for the latency of answers at a quantile.
type LatencyTarget struct {
	FirstTokenMS    float64 `json:"first_token_ms"`
	BetweenTokensMS float64 `json:"between_tokens_ms,omitempty"`
	// Quantile is the share of requests that should meet the target, such as 0.95.
	Quantile float64 `json:"quantile"`
}

// Retry limits retries.
type Retry struct {
	// MaxAttempts is the maximum number of attempts for one request, including the first.
	MaxAttempts int `json:"max_attempts"`
	// Budget is the retry budget: the ratio of retries to successful requests, such as 0.1.
	Budget float64 `json:"budget"`
	// WindowMS is how long a non-idempotent request may be repeated under the same
	// Idempotency-Key, in milliseconds.
	WindowMS int64 `json:"window_ms"`
}

// Queue bounds the requests queued in one entry instance.
type Queue struct {
	MaxRequests int `json:"max_requests"`
	// AgeingMS is the waiting time after which a request's priority rises by one, in
	// milliseconds.
	AgeingMS int64 `json:"ageing_ms"`
}

// Capacity bounds the backend servers in each failure domain and names their machine classes.
type Capacity struct {
	MinPerDomain int `json:"min_per_domain"`
	MaxPerDomain int `json:"max_per_domain"`
	// SlotsPerServer is the number of requests that one backend server runs concurrently.
	SlotsPerServer int `json:"slots_per_server"`
	// Classes holds the machine classes that the service runs on, in order of preference.
	Classes []string `json:"classes,omitempty"`
	// OnDemand allows on-demand instances if no reclaimable one is available.
	OnDemand bool `json:"on_demand,omitempty"`
}

// Deadline returns the default deadline of a request.
func (f *File) Deadline() time.Duration { return time.Duration(f.DeadlineMS) * time.Millisecond }

// RetryWindow returns how long a non-idempotent request may be repeated under the same
// Idempotency-Key.
func (f *File) RetryWindow() time.Duration { return time.Duration(f.Retry.WindowMS) * time.Millisecond }
