package publication

import (
	"time"

	"github.com/pkg/errors"
	"papayaport.dev/serving/process/platform/store"
	"papayaport.dev/serving/process/problem"
)

func (a *Attempt) write() Order {
	if len(a.writes) == 0 {
		return a.swap()
	}
	return a.order(a.writes[0], a.written)
}

func (a *Attempt) written(now time.Time, reply Reply) Order {
	var conflict *store.Conflict
	switch {
	case errors.As(reply.Err, &conflict):
		if HashOf(conflict.Entry.Value) != HashOf(a.writes[0].Value) {
			return a.broken(errors.Errorf("%s holds another record", a.writes[0].Key))
		}
	case reply.Err != nil:
		return a.retry(now, reply.Err)
	}
	a.writes = a.writes[1:]
	return a.write()
}

func (a *Attempt) swap() Order {
	return a.order(Order{Kind: Swap, Key: HeadKey, Value: a.head.Encode(), Revision: a.baseRevision}, a.swapped)
}

// swapped takes the answer to the swap. A swap whose answer is missing is repeated with
// the same revision: it takes effect at most once, and a conflict shows what did.
func (a *Attempt) swapped(now time.Time, reply Reply) Order {
	var conflict *store.Conflict
	switch {
	case reply.Err == nil:
		return Order{Kind: Finish, Result: Result{Head: a.head}}
	case errors.As(reply.Err, &conflict):
		return a.conflicted(conflict)
	case errors.Is(reply.Err, store.ErrUnavailable):
		return a.retry(now, reply.Err)
	}
	a.maybeSwapped = true
	return a.retry(now, reply.Err)
}

func (a *Attempt) conflicted(conflict *store.Conflict) Order {
	head, err := DecodeHead(conflict.Entry.Value)
	if err != nil {
		return a.broken(err)
	}
	if head.Version < a.version && head.Publication == a.base.Publication {
		// A collection wrote the base again and may have deleted what was written here:
		// swaps with the old revision are void, and the contents are written once more.
		a.maybeSwapped = false
		a.baseRevision = conflict.Entry.Revision
		a.planWrites()
		return a.write()
	}
	if head.Version < a.version {
		return a.broken(errors.Errorf("the head went back to version %d", head.Version))
	}
	return a.settle(head)
}

// NewInquiry returns an attempt that only finds out how the publication with the given
// id ended, and its first order. It finishes without an error if the publication
// landed, with VersionConflict if it never will, and with NotKnownYet otherwise.
func NewInquiry(deadline time.Time, id ID) (*Attempt, Order) {
	a := &Attempt{request: Request{ID: id}, deadline: deadline, retryWait: firstRetryWait, maybeSwapped: true}
	version, err := id.Version()
	if err != nil {
		return a, refuse(problem.New(problem.BadRequest, "%v", err))
	}
	a.version = version
	return a, a.order(Order{Kind: Read, Key: HeadKey}, a.inquired)
}

func (a *Attempt) inquired(now time.Time, reply Reply) Order {
	if errors.Is(reply.Err, store.ErrNotFound) {
		return a.open(0)
	}
	if reply.Err != nil {
		return a.retry(now, reply.Err)
	}
	head, err := DecodeHead(reply.Entry.Value)
	if err != nil {
		return a.broken(err)
	}
	if head.Version < a.version {
		return a.open(head.Version)
	}
	return a.settle(head)
}

// open says that the version asked for does not exist as far as the store tells.
func (a *Attempt) open(latest uint64) Order {
	return refuse(problem.New(problem.NotKnownYet,
		"the latest version is %d and version %d may still come, ask again: papayactl status --publication %s; publishing again settles it", latest, a.version, a.request.ID))
}

// settle tells from a head at or above the version asked for whose that version is.
func (a *Attempt) settle(head Head) Order {
	if head.Version == a.version {
		return a.verdict(head)
	}
	return a.order(Order{Kind: Read, Key: auditKey(a.version)}, a.winnerRead)
}

func (a *Attempt) winnerRead(now time.Time, reply Reply) Order {
	if reply.Err != nil {
		return a.retry(now, reply.Err)
	}
	record, err := DecodeHead(reply.Entry.Value)
	if err != nil {
		return a.broken(err)
	}
	return a.verdict(record)
}

func (a *Attempt) verdict(record Head) Order {
	if record.Publication == a.request.ID {
		return Order{Kind: Finish, Result: Result{Head: record}}
	}
	return Order{Kind: Finish, Result: Result{Head: record}, Err: lostTo(record)}
}

func lostTo(winner Head) *problem.Error {
	return problem.New(problem.VersionConflict, "version %d was published first by %s at %s", winner.Version, winner.Operator, winner.Time.Format(time.RFC3339))
}
