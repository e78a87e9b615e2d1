// Package reclaim plans the evacuation of backend servers that are leaving: which requests finish
// in place, which move, in what order and to which receivers, and which cached prefixes are copied
// in the remaining time.
//
// Plan has no state and reads no clock. It is called again whenever a notice arrives or a move has
// ended, and then skips requests that are already moving.
//
// # Usage
//
//	orders := reclaim.Plan(now, reclaim.Input{Leaving: leaving, Requests: work, Receivers: receivers})
//	for _, order := range orders {
//		// carry out in this order, as many concurrently as the links allow
//	}
package reclaim

import (
	"time"

	"papayaport.dev/serving/request/prefix"
)

// Leaving is a backend server that is about to stop.
type Leaving struct {
	Backend       string
	FailureDomain string
	// Deadline is when the server stops.
	Deadline time.Time
	// Exports reports whether the server can export KV cache.
	Exports bool
	// BytesPerSecond is the bandwidth for exporting KV cache.
	BytesPerSecond float64
	// BytesPerToken is the size of the KV cache of one token, in bytes.
	BytesPerToken float64
	// DecodePerToken is the time between two tokens at this server.
	DecodePerToken time.Duration
}

// Request is a request in flight at a leaving backend server.
type Request struct {
	RequestID string
	Backend   string
	Service   string
	Priority  int
	// Deadline is when the complete answer is due; zero means none.
	Deadline time.Time
	// PromptTokens and GeneratedTokens are computed again when the request moves without its KV
	// cache.
	PromptTokens    int
	GeneratedTokens int
	// RemainingTokens is the expected number of tokens still to be generated.
	RemainingTokens int
	// Idempotent reports whether the request may run again. Other requests are left to finish in
	// place.
	Idempotent bool
	// Moving reports whether a move was already ordered.
	Moving bool
}

// Cached is a prefix in the cache of a leaving backend server.
type Cached struct {
	Backend string
	Service string
	Block   prefix.Block
	Tokens  int
	// HitsPerSecond is the recent rate of requests that use the prefix.
	HitsPerSecond float64
	// CachedElsewhere reports whether a server that is not leaving has the prefix cached as well.
	CachedElsewhere bool
	// Home is the server to which later requests with the prefix will be routed, if known.
	Home string
}

// Receiver is a backend server that is not leaving.
type Receiver struct {
	Backend       string
	Service       string
	FailureDomain string
	// FreeSlots is the number of requests that can start immediately.
	FreeSlots int
	// FreeCacheTokens is the free cache capacity in tokens.
	FreeCacheTokens int
	Imports         bool
	// PricePerHour is the price of the instance in dollars per hour.
	PricePerHour float64
}

// Input is the state for which a plan is made.
type Input struct {
	Leaving   []Leaving
	Requests  []Request
	Cached    []Cached
	Receivers []Receiver
}

// Kind is the kind of an order.
type Kind int

// Kinds of order.
const (
	// Finish leaves a request in place until it ends.
	Finish Kind = iota
	// Transfer moves a request with its KV cache.
	Transfer
	// Resume moves a request without its KV cache: prompt and generated tokens are computed again.
	Resume
	// Wait leaves a request in place until a receiver has room.
	Wait
	// Save copies the KV cache of a prefix.
	Save
)

// Order is one step of a plan.
type Order struct {
	Kind Kind
	// RequestID is empty for Save.
	RequestID string
	// Block is set for Save.
	Block prefix.Block
	From  string
	// To is the receiver; it is empty for Finish and Wait.
	To string
	// Tokens is the number of tokens whose KV cache is moved, or that Resume computes again.
	Tokens int
	// StartBy is the latest useful time to start the step.
	StartBy time.Time
}
