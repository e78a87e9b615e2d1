package publication

import (
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/process/platform/store"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/version/service"
)

// Request asks for a new version.
type Request struct {
	// ID names the attempt and the version it asks for; the base is the version before.
	ID       ID     `json:"publication"`
	Operator string `json:"operator"`
	Note     string `json:"note,omitempty"`
	// Files holds service files by file name. They replace those of the same services.
	Files map[string][]byte `json:"files,omitempty"`
	// Remove lists services that leave the configuration.
	Remove []string `json:"remove,omitempty"`
	// Replace removes all services that are not in Files.
	Replace bool `json:"replace,omitempty"`
	// RollbackOf puts the files of an older version into force again, instead of Files.
	RollbackOf uint64 `json:"rollback_of,omitempty"`
}

// Result is how a publication ended.
type Result struct {
	// Head is the version that holds the request's files.
	Head Head `json:"head"`
	// Unchanged tells that the base had these files already and no version was made.
	Unchanged bool `json:"unchanged,omitempty"`
	// Faults tells what is wrong in the files.
	Faults []service.Fault `json:"faults,omitempty"`
}

// OrderKind names what a publication wants done next.
type OrderKind string

// Kinds of order.
const (
	// Read asks for the value of Key.
	Read OrderKind = "read"
	// Write sets Key whatever stands there.
	Write OrderKind = "write"
	// Swap sets Key if its revision is Revision.
	Swap OrderKind = "swap"
	// Finish ends the attempt with Result and Err.
	Finish OrderKind = "finish"
)

// Order is one step that an attempt asks for. After Wait it is carried out and
// answered by one Reply.
type Order struct {
	Kind     OrderKind
	Key      string
	Value    []byte
	Revision uint64
	Wait     time.Duration
	Result   Result
	Err      *problem.Error
}

// Reply answers an order with what the store said. Err is nil, a *store.Conflict, or
// one that errors.Is finds as an error of package store.
type Reply struct {
	Entry platform.Entry
	Err   error
}

const (
	firstRetryWait = 50 * time.Millisecond
	maxRetryWait   = time.Second
)

// Attempt publishes one request: a state machine without I/O, with one order
// outstanding at a time.
type Attempt struct {
	request  Request
	version  uint64
	deadline time.Time
	// handle takes the reply to the outstanding order.
	handle      func(now time.Time, reply Reply) Order
	outstanding Order
	retryWait   time.Duration

	base         Head
	baseBytes    []byte
	baseRevision uint64
	baseManifest Manifest
	previous     *Version

	contents Contents
	manifest Manifest
	raw      []byte
	wanted   []Hash
	writes   []Order
	head     Head
	// maybeSwapped tells that a swap was sent whose effect is still open.
	maybeSwapped bool
}

// NewAttempt returns an attempt and its first order. Previous is the version in force
// here, from which unchanged contents are taken; it may be nil.
func NewAttempt(deadline time.Time, request Request, previous *Version) (*Attempt, Order) {
	a := &Attempt{request: request, deadline: deadline, previous: previous, contents: Contents{}, retryWait: firstRetryWait}
	version, err := request.ID.Version()
	if err != nil {
		return a, refuse(problem.New(problem.BadRequest, "%v", err))
	}
	a.version = version
	if request.RollbackOf >= version {
		return a, refuse(problem.New(problem.BadRequest, "version %d can't be rolled back to, the version asked for is %d", request.RollbackOf, version))
	}
	return a, a.order(Order{Kind: Read, Key: HeadKey}, a.headRead)
}

// Handle takes the reply to the outstanding order and returns the next one.
func (a *Attempt) Handle(now time.Time, reply Reply) Order { return a.handle(now, reply) }

// Resume returns the outstanding order of an attempt that ended as not known yet.
func (a *Attempt) Resume(deadline time.Time) Order {
	a.deadline = deadline
	a.retryWait = firstRetryWait
	return a.outstanding
}

func (a *Attempt) order(order Order, handle func(time.Time, Reply) Order) Order {
	a.outstanding = order
	a.handle = handle
	return order
}

// retry repeats the outstanding order after a growing wait, or gives up at the deadline.
func (a *Attempt) retry(now time.Time, cause error) Order {
	wait := a.retryWait
	a.retryWait = min(2*a.retryWait, maxRetryWait)
	if now.Add(wait).Before(a.deadline) {
		order := a.outstanding
		order.Wait = wait
		return order
	}
	if a.maybeSwapped {
		return refuse(problem.New(problem.NotKnownYet,
			"whether version %d was published is not known yet (%v), ask again: papayactl status --publication %s", a.version, cause, a.request.ID))
	}
	return refuse(problem.New(problem.StoreUnavailable, "version %d was not published: %v", a.version, cause))
}

func refuse(err *problem.Error) Order { return Order{Kind: Finish, Err: err} }

func (a *Attempt) broken(err error) Order {
	refusal := problem.New(problem.Internal, "publishing version %d: %v", a.version, err)
	if !a.maybeSwapped {
		refusal.Outcome = problem.NotRun
	}
	return refuse(refusal)
}

func (a *Attempt) headRead(now time.Time, reply Reply) Order {
	if errors.Is(reply.Err, store.ErrNotFound) {
		reply = Reply{}
	}
	if reply.Err != nil {
		return a.retry(now, reply.Err)
	}
	if reply.Entry.Revision > 0 {
		head, err := DecodeHead(reply.Entry.Value)
		if err != nil {
			return a.broken(err)
		}
		a.base = head
	}
	a.baseBytes = reply.Entry.Value
	a.baseRevision = reply.Entry.Revision
	switch {
	case a.base.Version >= a.version:
		a.maybeSwapped = true // the same request may have been sent before
		return a.settle(a.base)
	case a.base.Version+1 < a.version:
		return a.retry(now, errors.Errorf("the key-value service has version %d, the base asked for is %d", a.base.Version, a.version-1))
	case a.base.Version == 0:
		return a.plan(now)
	}
	return a.order(Order{Kind: Read, Key: ManifestPrefix + string(a.base.Manifest)}, a.baseManifestRead)
}

func (a *Attempt) baseManifestRead(now time.Time, reply Reply) Order {
	if reply.Err != nil {
		return a.retry(now, reply.Err)
	}
	manifest, err := DecodeManifest(a.base.Manifest, reply.Entry.Value)
	if err != nil {
		return a.broken(err)
	}
	a.baseManifest = manifest
	return a.plan(now)
}
