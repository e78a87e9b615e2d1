package publication

import (
	"time"

	"github.com/pkg/errors"
	"papayaport.dev/serving/process/platform/store"
	"papayaport.dev/serving/process/problem"
)

func (a *Attempt) write() Operation {
	if len(a.writes) == 0 {
		return a.swap()
	}
	return a.issue(a.writes[0], a.handleWrite)
}

func (a *Attempt) handleWrite(now time.Time, reply Reply) Operation {
	var conflict *store.Conflict
	switch {
	case errors.As(reply.Err, &conflict):
		if HashOf(conflict.Entry.Value) != HashOf(a.writes[0].Value) {
			return a.fail(errors.Errorf("%s holds another record", a.writes[0].Key))
		}
	case reply.Err != nil:
		return a.retry(now, reply.Err)
	}
	a.writes = a.writes[1:]
	return a.write()
}

func (a *Attempt) swap() Operation {
	return a.issue(Operation{Kind: Swap, Key: HeadKey, Value: a.head.Encode(), Revision: a.baseRevision}, a.handleSwap)
}

// handleSwap handles the reply to the swap. A swap without a reply is repeated with the same
// revision: it takes effect at most once, and a conflict shows which head won.
func (a *Attempt) handleSwap(now time.Time, reply Reply) Operation {
	var conflict *store.Conflict
	switch {
	case reply.Err == nil:
		return Operation{Kind: Finish, Result: Result{Head: a.head}}
	case errors.As(reply.Err, &conflict):
		return a.handleConflict(conflict)
	case errors.Is(reply.Err, store.ErrUnavailable):
		return a.retry(now, reply.Err)
	}
	a.maybeSwapped = true
	return a.retry(now, reply.Err)
}

func (a *Attempt) handleConflict(conflict *store.Conflict) Operation {
	head, err := DecodeHead(conflict.Entry.Value)
	if err != nil {
		return a.fail(err)
	}
	if head.Version < a.version && head.Publication == a.base.Publication {
		// A collection wrote the base again and may have deleted the chunks written here: swaps
		// with the old revision can no longer succeed, and the chunks are written once more.
		a.maybeSwapped = false
		a.baseRevision = conflict.Entry.Revision
		a.planWrites()
		return a.write()
	}
	if head.Version < a.version {
		return a.fail(errors.Errorf("the head went back to version %d", head.Version))
	}
	return a.resolve(head)
}

// NewInquiry returns an attempt that only determines how the publication with the given id
// ended, and its first operation. It finishes without an error if the version was published by
// it, with VersionConflict if it never will be, and with NotKnownYet otherwise.
func NewInquiry(deadline time.Time, id ID) (*Attempt, Operation) {
	a := &Attempt{request: Request{ID: id}, deadline: deadline, retryWait: firstRetryWait, maybeSwapped: true}
	version, err := id.Version()
	if err != nil {
		return a, finishWithError(problem.New(problem.BadRequest, "%v", err))
	}
	a.version = version
	return a, a.issue(Operation{Kind: Read, Key: HeadKey}, a.handleInquiry)
}

func (a *Attempt) handleInquiry(now time.Time, reply Reply) Operation {
	if errors.Is(reply.Err, store.ErrNotFound) {
		return a.notKnownYet(0)
	}
	if reply.Err != nil {
		return a.retry(now, reply.Err)
	}
	head, err := DecodeHead(reply.Entry.Value)
	if err != nil {
		return a.fail(err)
	}
	if head.Version < a.version {
		return a.notKnownYet(head.Version)
	}
	return a.resolve(head)
}

// notKnownYet reports that the store does not hold the requested version yet.
func (a *Attempt) notKnownYet(latest uint64) Operation {
	return finishWithError(problem.New(problem.NotKnownYet,
		"the latest version is %d and version %d may still come, ask again: papayactl status --publication %s; publishing again settles it", latest, a.version, a.request.ID))
}

// resolve determines, from a head at or above the requested version, which publication that
// version came from.
func (a *Attempt) resolve(head Head) Operation {
	if head.Version == a.version {
		return a.outcome(head)
	}
	return a.issue(Operation{Kind: Read, Key: auditKey(a.version)}, a.handleWinner)
}

func (a *Attempt) handleWinner(now time.Time, reply Reply) Operation {
	if reply.Err != nil {
		return a.retry(now, reply.Err)
	}
	record, err := DecodeHead(reply.Entry.Value)
	if err != nil {
		return a.fail(err)
	}
	return a.outcome(record)
}

func (a *Attempt) outcome(record Head) Operation {
	if record.Publication == a.request.ID {
		return Operation{Kind: Finish, Result: Result{Head: record}}
	}
	return Operation{Kind: Finish, Result: Result{Head: record}, Err: versionConflict(record)}
}

func versionConflict(winner Head) *problem.Error {
	return problem.New(problem.VersionConflict, "version %d was published first by %s at %s", winner.Version, winner.Operator, winner.Time.Format(time.RFC3339))
}
