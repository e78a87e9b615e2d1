// Package service defines service files: the short JSON files that operators keep
// beside a service's code and publish together as one configuration.
//
// # Usage
//
//	file, faults := service.Parse("farewell-llm.json", data)
//	if len(faults) > 0 {
//		// every fault names file, field, value and what is allowed
//	}
package service

import "time"

// Kind tells what the backend servers of a service speak.
type Kind string

// Kinds of service.
const (
	// ModelKind is a language model served as chat completions.
	ModelKind Kind = "model"
	// PlainKind is an HTTP service whose requests are passed through.
	PlainKind Kind = "plain"
)

// File is one service as its operators wrote it.
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
	// DeadlineMS is the time a request may take when its caller names none, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
	// OrdersFenced tells whether the backend servers refuse orders with an old fencing number.
	OrdersFenced bool `json:"orders_fenced"`
}

// Model describes what the runners of a model service load.
type Model struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	// WeightBytes is the size of the weights in the weight store, in bytes.
	WeightBytes int64 `json:"weight_bytes"`
	// MaxTokens is the largest answer of one request, in tokens.
	MaxTokens int `json:"max_tokens"`
	// ContextTokens is the largest prompt and answer together, in tokens.
	ContextTokens int `json:"context_tokens"`
}

// Route is a part of a plain service's paths with one set of rules. The longest
// matching path prefix wins.
type Route struct {
	// Path is the prefix of the path behind "/<service>".
	Path string `json:"path"`
	// Methods are the methods of this route; empty means all.
	Methods []string `json:"methods,omitempty"`
	// Idempotent tells whether a request may be sent again after a failure.
	Idempotent bool `json:"idempotent"`
	// KeyRequired refuses non-idempotent requests without an Idempotency-Key.
	KeyRequired bool `json:"key_required,omitempty"`
	// NotRunStatus lists the answers by which a backend server says that it did not run the request.
	NotRunStatus []int `json:"not_run_status,omitempty"`
}

// Account is a client account's access to one service. An account that uses two
// services stands in both files.
type Account struct {
	Name string `json:"name"`
	// KeySHA256 is the SHA-256 of the account's key in lower-case hexadecimal.
	KeySHA256 string `json:"key_sha256"`
	// Priority orders accounts, 0 (lowest) to 9.
	Priority int `json:"priority"`
	// RequestsPerSecond limits the account over all entry instances; 0 means no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// TokensPerSecond limits prompt and answer tokens over all entry instances; 0 means no limit.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty"`
	// TokenBurst is the number of tokens that may be used at once over all entry
	// instances, when it is more than a second's worth of TokensPerSecond.
	TokenBurst float64 `json:"token_burst,omitempty"`
	// Concurrency limits requests in flight over all entry instances; 0 means no limit.
	Concurrency int `json:"concurrency,omitempty"`
}

// LatencyTarget is the time that answers should keep at a quantile.
type LatencyTarget struct {
	FirstTokenMS    float64 `json:"first_token_ms"`
	BetweenTokensMS float64 `json:"between_tokens_ms,omitempty"`
	// Quantile is the share of requests that should keep the target, such as 0.95.
	Quantile float64 `json:"quantile"`
}

// Retry limits how requests are sent again.
type Retry struct {
	// MaxAttempts is the largest number of sends of one request.
	MaxAttempts int `json:"max_attempts"`
	// Budget is the share of successes that may be spent on retries, such as 0.1.
	Budget float64 `json:"budget"`
	// WindowMS is how long callers may repeat a non-idempotent request with its key, in milliseconds.
	WindowMS int64 `json:"window_ms"`
}

// Queue bounds the requests that wait in one entry instance.
type Queue struct {
	MaxRequests int `json:"max_requests"`
	// AgeingMS is the wait that raises a request by one priority, in milliseconds.
	AgeingMS int64 `json:"ageing_ms"`
}

// Capacity tells how many backend servers a failure domain should run, and on what.
type Capacity struct {
	MinPerDomain int `json:"min_per_domain"`
	MaxPerDomain int `json:"max_per_domain"`
	// SlotsPerServer is the number of requests that one backend server runs at a time.
	SlotsPerServer int `json:"slots_per_server"`
	// Classes are the machine classes that the service runs on, best first.
	Classes []string `json:"classes,omitempty"`
	// OnDemand allows on-demand instances when no reclaimable one can be had.
	OnDemand bool `json:"on_demand,omitempty"`
}

// Deadline returns the usual time that a request may take.
func (f *File) Deadline() time.Duration { return time.Duration(f.DeadlineMS) * time.Millisecond }

// RetryWindow returns how long a caller may repeat a non-idempotent request with its key.
func (f *File) RetryWindow() time.Duration { return time.Duration(f.Retry.WindowMS) * time.Millisecond }
