// Package route selects the backend server that runs a request. It holds one table of backend
// servers with their load, cache contents, health and price, and estimates for every candidate the
// time to the first token and the cost of the instance time that the request takes.
//
// The table does no I/O and reads no clock: the caller passes the time, load reports, cache events
// and the result of every attempt, and the table returns a choice.
//
// Terms: the home of a prompt is the first backend server in the rendezvous order of its prefix.
// Attempts that were sent or finished after the time that a server's last load report describes are
// unsettled: the estimates add them to the report.
//
// # Usage
//
//	table, err := route.New(route.Self{Region: "tx-central", FailureDomain: "tx-a"}, route.Papayaport, random)
//	table.SetBackends(now, backends)
//	choice, err := table.Choose(now, request)
//	if !table.Admit(now, choice) { // immediately before the request is sent
//		// choose again
//	}
//	table.Sent(now, attemptID, choice, request)
//	table.FirstToken(now, attemptID, cachedTokens)
//	table.Token(now, attemptID)
//	table.Done(now, attemptID, route.OK, computedTokens)
//
// # Locks
//
// The table has one mutex and calls nothing outside the package while it holds it, so its methods
// may be called with any other lock held.
package route

import (
	"time"

	"papayaport.dev/serving/request/prefix"
	"papayaport.dev/serving/version/service"
)

// Self identifies the entry instance that holds the table, and its location.
type Self struct {
	Instance      string
	Region        string
	FailureDomain string
}

// Backend is one backend server as listed in the instance list.
type Backend struct {
	ID string
	// Incarnation increases every time the server restarts under the same id.
	Incarnation uint64
	Service     string
	Address     string
	// Version is the version of the server's software, empty when the server does not report it.
	Version       string
	Region        string
	FailureDomain string
	Class         string
	Reclaimable   bool
	// PricePerHour is the price of the instance in dollars per hour.
	PricePerHour float64
	// Slots is the number of requests that the server runs concurrently; 0 means unknown.
	Slots int
	// PrefillPerSec, DecodeMS and CacheTokens are used for a server that does not report them:
	// prompt tokens computed per second, the time between two tokens in milliseconds, and the size
	// of the cache in tokens. 0 means unknown.
	PrefillPerSec float64
	DecodeMS      float64
	CacheTokens   int
}

// Request holds the properties of a request that the choice of a backend server depends on.
type Request struct {
	Service string
	// Blocks identifies the prompt's prefixes, shortest first. Requests to plain services have
	// none.
	Blocks       []prefix.Block
	PromptTokens int
	// AnswerTokens is the expected length of the answer in tokens.
	AnswerTokens int
	Priority     int
	Deadline     time.Time
	Target       service.LatencyTarget
	// Exclude holds the ids of backend servers that were already tried.
	Exclude []string
	// Versions restricts the versions of the servers that may run the request.
	Versions Versions
}

// Choice is the selected backend server with its estimates.
type Choice struct {
	Backend Backend
	// CachedTokens is the number of prompt tokens expected in the server's cache.
	CachedTokens int
	// FirstToken is the estimated time to the first token at the target's quantile.
	FirstToken time.Duration
	// Cost is the price of the instance time that the request takes, in dollars.
	Cost float64
	// mean is the estimated mean time to the first token.
	mean time.Duration
	// pendingWork is the work that precedes the first token.
	pendingWork pendingWork
	// baseline is the mean time to the first token by the server's reports and configuration alone.
	baseline time.Duration
	// limitCounted reports whether the request was already counted against the server's rate limit.
	limitCounted bool
}

// Baseline returns the estimated mean time to the first token without what was learned from the
// server's own answers. Latency ratios are computed against it: an estimate that has adapted to a
// slow server hides that the server is slow, and makes a new server look slow by comparison.
func (c Choice) Baseline() time.Duration { return c.baseline }

// Result is the outcome of an attempt.
type Result int

// Results of an attempt.
const (
	// OK means that the complete answer was received.
	OK Result = iota
	// Failed means that the connection broke or the server returned an error.
	Failed
	// Silent means that the server stopped sending without closing the connection.
	Silent
	// Wrong means that the answer was invalid or belonged to another attempt.
	Wrong
	// Refused means that the server did not accept the request.
	Refused
	// Cancelled means that the entry instance cancelled the attempt.
	Cancelled
)
