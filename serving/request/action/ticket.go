package action

import (
	"time"

	"github.com/pkg/errors"
)

// ErrUsedUp tells that a ticket's claim has an outcome, so that nothing may be sent.
var ErrUsedUp = errors.New("the claim has an outcome already")

// Ticket is the result of a successful claim.
type Ticket struct {
	// Run tells that the caller holds the key and is the only one who may send the request.
	Run bool
	// Answer is the recorded answer of the first run, nil if Run is set.
	Answer *Answer

	keeper *Keeper
	nonce  uint64
}

// Sent is called before the first byte of an attempt may leave. After an error nothing
// may be sent.
func (t *Ticket) Sent() error {
	t.keeper.mu.Lock()
	defer t.keeper.mu.Unlock()
	if !t.Run || !t.keeper.table.MaySend(t.nonce) {
		return ErrUsedUp
	}
	return nil
}

// Finish records what became of the request: Done with its answer, or Unknown. Only
// the first outcome of a ticket counts.
func (t *Ticket) Finish(outcome Outcome, answer *Answer) {
	if !t.Run {
		return
	}
	t.keeper.update(func(now time.Time, table *Table) []Order {
		return table.Finish(now, t.nonce, outcome, answer)
	})
}

// NotRun records that the request certainly did not run and won't under this ticket,
// so that a repeat may run.
func (t *Ticket) NotRun() { t.Finish(NotRun, nil) }
