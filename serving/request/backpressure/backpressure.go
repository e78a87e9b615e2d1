// Package backpressure keeps what a backend server asked for in its answers: that nothing
// comes for a while, or no more than a number of requests a second from all entry instances
// together.
//
// # Usage
//
//	asked := backpressure.Asked{Limited: true, PerSecond: 1.5}
package backpressure

import "time"

// Asked is what a backend server asks for in one answer.
type Asked struct {
	// Leaving tells that the server leaves and wants no new request.
	Leaving bool
	// Closed is how long the server wants no request from this instance, 0 when it doesn't say.
	Closed time.Duration
	// Limited tells that the server named a limit, and PerSecond which one, in requests a
	// second from all entry instances together.
	Limited   bool
	PerSecond float64
}
