// Package exchange sends and receives the membership (gossip) messages of an entry instance and
// applies the changes that they contain.
//
// # Usage
//
//	e := exchange.New(exchange.Parts{Members: members, Peers: client, Update: tell, Apply: apply, Log: log})
//	go e.Run(ctx)
//	e.Notice(now, leaving)              // notifies peers immediately
//	reply := e.Receive(now, message)    // replies to a peer's message
//
// An Exchange is safe for concurrent use. No lock is held while a peer is called or Apply runs.
package exchange

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/process/membership"
)

const (
	// updatePeriod is the time between two updates of this instance's own state: a fifth of the
	// second within which limits have to follow demand.
	updatePeriod = 200 * time.Millisecond
	// callTimeout bounds one exchange with a peer: a round trip and one lost packet.
	callTimeout = time.Second
)

// Peers sends a message to the entry instance at an address and returns its reply.
type Peers interface {
	Exchange(ctx context.Context, address string, message membership.Message) (membership.Message, error)
}

// Parts holds the dependencies of an Exchange.
type Parts struct {
	Members *membership.Table
	Peers   Peers
	// Update updates the state that this instance publishes and processes the state received from
	// peers.
	Update func(now time.Time)
	// Apply processes one received change.
	Apply func(change membership.Change)
	Log   *logrus.Entry
}

// Exchange is the message exchange of one entry instance with its peers.
type Exchange struct{ Parts }

// New returns an exchange with the given dependencies.
func New(parts Parts) *Exchange { return &Exchange{parts} }

// Run exchanges messages until ctx is done, and returns its cause.
func (e *Exchange) Run(ctx context.Context) error {
	updated := time.Time{}
	return clock.Every(ctx, membership.TickPeriod, func(_ context.Context, now time.Time) {
		if now.Sub(updated) >= updatePeriod {
			updated = now
			e.Update(now)
		}
		e.send(e.Members.Tick(now))
		e.Deliver()
	})
}

// PublishNow updates the state that this instance publishes and sends it without waiting for the next
// period.
func (e *Exchange) PublishNow(now time.Time) {
	e.Update(now)
	e.send(e.Members.Tick(now))
}

// Notice records that an instance is leaving and notifies peers immediately.
func (e *Exchange) Notice(now time.Time, leaving membership.Leaving) {
	e.send(e.Members.AnnounceLeaving(now, leaving))
}

// NoticeLimit records the rate limit of a backend server and notifies peers of a change
// immediately.
func (e *Exchange) NoticeLimit(now time.Time, limit membership.ServerLimit) {
	e.send(e.Members.AnnounceLimit(now, limit))
}

// Receive processes a peer's message and returns the reply.
func (e *Exchange) Receive(now time.Time, message membership.Message) membership.Message {
	reply := e.Members.Receive(now, message)
	e.Deliver()
	return reply
}

// Deliver applies the changes received since the last call.
func (e *Exchange) Deliver() {
	for _, change := range e.Members.TakeChanges() {
		e.Apply(change)
	}
}

// send sends each message in its own goroutine, so that an unresponsive peer delays no other.
func (e *Exchange) send(exchanges []membership.Exchange) {
	for _, one := range exchanges {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			reply, err := e.Peers.Exchange(ctx, one.Address, one.Message)
			if err != nil {
				e.Log.WithError(err).Debug("exchange: call to peer failed")
				e.Members.MarkFailed(time.Now(), one.Address)
				return
			}
			e.Receive(time.Now(), reply)
		}()
	}
}
