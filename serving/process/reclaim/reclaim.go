// Package reclaim decides what happens to the work of backend servers that are leaving:
// which requests finish where they are, which move and in what order, to which receivers,
// and which cached prefixes are saved in the time given.
//
// Plan is pure: it looks at one moment and returns orders. It is called again whenever a
// notice arrives or an ordered move ended, and then leaves out what is on its way.
//
// # Usage
//
//	orders := reclaim.Plan(now, reclaim.Input{Leaving: leaving, Work: work, Receivers: receivers})
//	for _, order := range orders {
//		// carry out in this order, as many at a time as the links allow
//	}
package reclaim

import (
	"time"

	"papayaport.dev/serving/request/prefix"
)

// Leaving is a backend server that goes.
type Leaving struct {
	Backend       string
	FailureDomain string
	// Deadline is when the server is gone.
	Deadline time.Time
	// Exports tells that the server can export KV cache.
	Exports bool
	// BytesPerSecond is the rate at which KV cache leaves the server.
	BytesPerSecond float64
	// BytesPerToken is the size of the KV cache of one token.
	BytesPerToken float64
	// DecodePerToken is the time between two tokens on this server.
	DecodePerToken time.Duration
}

// Work is one request in flight on a leaving backend server.
type Work struct {
	RequestID string
	Backend   string
	Service   string
	Priority  int
	// Deadline is when the answer must be whole; zero means none.
	Deadline time.Time
	// PromptTokens and GeneratedTokens are what a move by resuming computes anew.
	PromptTokens    int
	GeneratedTokens int
	// RemainingTokens is the expected number of tokens still to come.
	RemainingTokens int
	// Idempotent tells whether the request may run again. Work that may not be run again
	// is left to finish.
	Idempotent bool
	// Moving tells that a move was ordered already.
	Moving bool
}

// Cached is a prefix in the cache of a leaving backend server.
type Cached struct {
	Backend string
	Service string
	Block   prefix.Block
	Tokens  int
	// HitsPerSecond is the recent rate of requests that used the prefix.
	HitsPerSecond float64
	// Elsewhere tells that a server that stays holds the prefix as well.
	Elsewhere bool
	// Home is the server at which later requests will look for the prefix, if known.
	Home string
}

// Receiver is a backend server that stays.
type Receiver struct {
	Backend       string
	Service       string
	FailureDomain string
	// FreeSlots is the number of requests that can start at once.
	FreeSlots int
	// FreeCacheTokens is the room in the cache for what is imported.
	FreeCacheTokens int
	Imports         bool
	// PricePerHour is the price of the instance in dollars per hour.
	PricePerHour float64
}

// Input is the state that a plan starts from.
type Input struct {
	Leaving   []Leaving
	Work      []Work
	Cached    []Cached
	Receivers []Receiver
}

// Kind names what an order asks for.
type Kind int

// Kinds of order.
const (
	// Finish leaves a request where it is until it ends.
	Finish Kind = iota
	// Transfer moves a request with its KV cache.
	Transfer
	// Resume moves a request without KV cache: prompt and generated tokens are computed anew.
	Resume
	// Wait leaves a request where it is until a receiver has room.
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
	// Tokens is the KV cache that is moved, or what is computed anew by Resume.
	Tokens int
	// StartBy is the latest time at which the step still makes sense.
	StartBy time.Time
}
