// Package exchange carries membership messages between entry instances and hands what
// they bring to whoever acts on it.
//
// # Usage
//
//	e := exchange.New(exchange.Parts{Members: members, Peers: client, Tell: tell, Apply: apply, Log: log})
//	go e.Run(ctx)
//	e.Notice(now, leaving)              // tells peers at once
//	reply := e.Receive(now, message)    // answers a peer's message
//
// An Exchange is safe for several goroutines. No lock is held while a peer is called or
// Apply runs.
package exchange

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/process/membership"
)

const (
	// tellPeriod is the time between two updates of what this instance tells of itself: a
	// fifth of the second within which limits have to follow demand.
	updatePeriod = 200 * time.Millisecond
	// timeout bounds one exchange with a peer, a round trip and a lost packet.
	callTimeout = time.Second
)

// Peers sends a message to the entry instance at an address and returns its reply.
type Peers interface {
	Exchange(ctx context.Context, address string, message membership.Message) (membership.Message, error)
}

// Parts is what an exchange works with.
type Parts struct {
	Members *membership.Table
	Peers   Peers
	// Tell updates what this instance tells of itself and takes in what peers told.
	Tell func(now time.Time)
	// Apply acts on one change that was heard.
	Apply func(change membership.Change)
	Log   *logrus.Entry
}

// Exchange is the exchange of one entry instance with its peers.
type Exchange struct{ Parts }

// New returns an exchange.
func New(parts Parts) *Exchange { return &Exchange{parts} }

// Run exchanges messages until ctx ends, and returns its cause.
func (e *Exchange) Run(ctx context.Context) error {
	told := time.Time{}
	return clock.Every(ctx, membership.TickPeriod, func(_ context.Context, now time.Time) {
		if now.Sub(told) >= updatePeriod {
			told = now
			e.Tell(now)
		}
		e.send(e.Members.Tick(now))
		e.Deliver()
	})
}

// TellNow updates what this instance tells of itself and sends it without waiting for the
// next period.
func (e *Exchange) TellNow(now time.Time) {
	e.Tell(now)
	e.send(e.Members.Tick(now))
}

// Notice takes in that an instance leaves, and tells peers at once.
func (e *Exchange) Notice(now time.Time, leaving membership.Leaving) {
	e.send(e.Members.Notice(now, leaving))
}

// NoticeLimit takes in a limit that a backend server named, and tells peers of a change at once.
func (e *Exchange) NoticeLimit(now time.Time, limit membership.ServerLimit) {
	e.send(e.Members.NoticeLimit(now, limit))
}

// Receive takes in a peer's message and returns the reply.
func (e *Exchange) Receive(now time.Time, message membership.Message) membership.Message {
	reply := e.Members.Receive(now, message)
	e.Deliver()
	return reply
}

// Deliver hands over the changes that were heard since the last time.
func (e *Exchange) Deliver() {
	for _, change := range e.Members.Changes() {
		e.Apply(change)
	}
}

// send carries messages out, each by itself, so that a silent peer holds up no other.
func (e *Exchange) send(exchanges []membership.Exchange) {
	for _, one := range exchanges {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			reply, err := e.Peers.Exchange(ctx, one.Address, one.Message)
			if err != nil {
				e.Log.WithError(err).Debug("exchange: peer not reached")
				e.Members.Failed(time.Now(), one.Address)
				return
			}
			e.Receive(time.Now(), reply)
		}()
	}
}
