// Package route decides which backend server runs a request. It keeps one table of
// backend servers with what is known of their load, cache, health and price, and
// estimates for every candidate the time to the first token and the cost of the
// instance time that the request takes.
//
// The table is pure: the caller passes the time, reports, cache events and the outcome
// of every attempt, and the table answers with a choice. It does no I/O.
//
// # Usage
//
//	table, err := route.New(route.Self{Region: "tx-central", FailureDomain: "tx-a"}, route.Papayaport, random)
//	table.SetBackends(now, backends)
//	choice, err := table.Choose(now, request)
//	if !table.MayGo(now, choice) { // right before the request goes out
//		// choose again
//	}
//	table.Sent(now, attemptID, choice, request)
//	table.FirstToken(now, attemptID, cachedTokens)
//	table.Token(now, attemptID)
//	table.Done(now, attemptID, route.OK, computedTokens)
//
// # Locks
//
// The table has one mutex and calls nothing outside the package while it is locked,
// so it may be called with any other lock held.
package route

import (
	"time"

	"papayaport.dev/serving/request/prefix"
	"papayaport.dev/serving/version/service"
)

// Self tells where the entry instance runs that holds the table.
type Self struct {
	Instance      string
	Region        string
	FailureDomain string
}

// Backend is one backend server as the instance list tells it.
type Backend struct {
	ID string
	// Incarnation grows every time the server starts anew under the same id.
	Incarnation uint64
	Service     string
	Address     string
	// Version is the version of the server's software, empty when it doesn't tell.
	Version       string
	Region        string
	FailureDomain string
	Class         string
	Reclaimable   bool
	// PricePerHour is the price of the instance in dollars per hour.
	PricePerHour float64
	// Slots is the number of requests that the server runs at a time; 0 means unknown.
	Slots int
	// PrefillPerSec, DecodeMS and CacheTokens stand for what the server does not report
	// itself: prompt tokens read in a second, the time between two tokens, and the size of
	// the cache. 0 means unknown.
	PrefillPerSec float64
	DecodeMS      float64
	CacheTokens   int
}

// Request is what the choice of a backend server depends on.
type Request struct {
	Service string
	// Blocks names the prompt's prefixes, shortest first. Plain services have none.
	Blocks       []prefix.Block
	PromptTokens int
	// AnswerTokens is the expected length of the answer in tokens.
	AnswerTokens int
	Priority     int
	Deadline     time.Time
	Target       service.LatencyTarget
	// Exclude holds the ids of backend servers that were tried already.
	Exclude []string
	// Versions bounds the versions of the servers that may take the request.
	Versions Versions
}

// Choice is a backend server with the estimates that spoke for it.
type Choice struct {
	Backend Backend
	// CachedTokens is the number of prompt tokens expected in the server's cache.
	CachedTokens int
	// FirstToken is the estimated time to the first token, at the wanted quantile.
	FirstToken time.Duration
	// Cost is the price of the instance time that the request takes, in dollars.
	Cost float64
	// mean is the estimated mean time to the first token.
	mean time.Duration
	// basis is that of the server's reports and configuration alone.
	basis time.Duration
	// counted tells that the request has a place in the limit that the server named.
	counted bool
}

// Basis returns the estimated mean time to the first token without what was learned from the
// server's own answers. Ratios of times are taken against it: an estimate that had adapted to a
// slow server would hide that it is slow, and a new server would look slow beside one that the
// estimate knows.
func (c Choice) Basis() time.Duration { return c.basis }

// Result tells how an attempt ended.
type Result int

// Results of an attempt.
const (
	// OK means that the whole answer arrived.
	OK Result = iota
	// Failed means that the connection broke or the server answered with an error.
	Failed
	// Silent means that the server stopped sending without closing.
	Silent
	// Wrong means that the answer was invalid or belonged to another attempt.
	Wrong
	// Refused means that the server did not take the request.
	Refused
	// Cancelled means that the entry instance ended the attempt.
	Cancelled
)
