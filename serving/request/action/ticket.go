package action

import (
	"time"

	"github.com/pkg/errors"
)

// ErrClaimEnded is returned if a ticket's claim already has an outcome, so that the request must
// not be sent.
var ErrClaimEnded = errors.New("claim already has an outcome")

// Ticket is the result of a successful claim.
type Ticket struct {
	// Run is set if the caller holds the key and has the exclusive right to send the request.
	Run bool
	// Answer is the recorded answer of the first run, nil if Run is set.
	Answer *Answer

	keeper *Keeper
	nonce  uint64
}

// BeforeSend must be called before the first byte of the request is sent. If it returns an error,
// the request must not be sent.
func (t *Ticket) BeforeSend() error {
	t.keeper.mu.Lock()
	defer t.keeper.mu.Unlock()
	if !t.Run || !t.keeper.table.MaySend(t.nonce) {
		return ErrClaimEnded
	}
	return nil
}

// Finish records the outcome of the request: Done with its answer, or Unknown. Only the first
// outcome of a ticket counts.
func (t *Ticket) Finish(outcome Outcome, answer *Answer) {
	if !t.Run {
		return
	}
	t.keeper.update(func(now time.Time, table *Table) []Order {
		return table.Finish(now, t.nonce, outcome, answer)
	})
}

// NotRun records that the request did not run and never will under this ticket, so that a
// repeat may run.
func (t *Ticket) NotRun() { t.Finish(NotRun, nil) }
