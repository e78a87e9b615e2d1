package publication

import (
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/process/platform/store"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/version/service"
)

// Request is a request to publish a new version.
type Request struct {
	// ID identifies the attempt and the requested version; the base is the version before.
	ID       ID     `json:"publication"`
	Operator string `json:"operator"`
	Note     string `json:"note,omitempty"`
	// Files holds service files by file name. They replace the files of the same services.
	Files map[string][]byte `json:"files,omitempty"`
	// Remove lists the services to remove.
	Remove []string `json:"remove,omitempty"`
	// Replace removes all services that are not in Files.
	Replace bool `json:"replace,omitempty"`
	// RollbackOf is an older version whose files are published again, instead of Files; 0 for
	// none.
	RollbackOf uint64 `json:"rollback_of,omitempty"`
}

// Result is the result of a publication.
type Result struct {
	// Head is the version that contains the request's files.
	Head Head `json:"head"`
	// Unchanged is set if the base already had these files and no version was published.
	Unchanged bool `json:"unchanged,omitempty"`
	// Faults lists the faults of the files.
	Faults []service.Fault `json:"faults,omitempty"`
}

// OperationKind is the kind of an operation.
type OperationKind string

// Kinds of operation.
const (
	// Read reads the value of Key.
	Read OperationKind = "read"
	// Write sets Key unconditionally.
	Write OperationKind = "write"
	// Swap sets Key if its revision is Revision.
	Swap OperationKind = "swap"
	// Finish ends the attempt with Result and Err.
	Finish OperationKind = "finish"
)

// Operation is the next operation of an attempt. It is executed after Wait and answered by one
// Reply.
type Operation struct {
	Kind     OperationKind
	Key      string
	Value    []byte
	Revision uint64
	Wait     time.Duration
	Result   Result
	Err      *problem.Error
}

// Reply is the store's reply to an operation. Err is nil, a *store.Conflict, or matches an error
// of package store with errors.Is.
type Reply struct {
	Entry platform.Entry
	Err   error
}

const (
	firstRetryWait = 50 * time.Millisecond
	maxRetryWait   = time.Second
)

// Attempt publishes one request. It is a state machine without I/O, with one outstanding
// operation at a time.
type Attempt struct {
	request  Request
	version  uint64
	deadline time.Time
	// handle handles the reply to the outstanding operation.
	handle      func(now time.Time, reply Reply) Operation
	outstanding Operation
	retryWait   time.Duration

	base         Head
	baseBytes    []byte
	baseRevision uint64
	baseManifest Manifest
	previous     *Version

	contents      Contents
	manifest      Manifest
	manifestBytes []byte
	pendingChunks []Hash
	writes        []Operation
	head          Head
	// maybeSwapped is set if a swap was sent whose effect is unknown.
	maybeSwapped bool
}

// NewAttempt returns an attempt and its first operation. Previous is the version in force in
// this process, whose unchanged chunks are reused; it may be nil.
func NewAttempt(deadline time.Time, request Request, previous *Version) (*Attempt, Operation) {
	a := &Attempt{request: request, deadline: deadline, previous: previous, contents: Contents{}, retryWait: firstRetryWait}
	version, err := request.ID.Version()
	if err != nil {
		return a, finishWithError(problem.New(problem.BadRequest, "%v", err))
	}
	a.version = version
	if request.RollbackOf >= version {
		return a, finishWithError(problem.New(problem.BadRequest, "cannot roll back to version %d, it must be lower than the requested version %d", request.RollbackOf, version))
	}
	return a, a.issue(Operation{Kind: Read, Key: HeadKey}, a.handleHead)
}

// Handle handles the reply to the outstanding operation and returns the next one.
func (a *Attempt) Handle(now time.Time, reply Reply) Operation { return a.handle(now, reply) }

// Resume returns the outstanding operation of an attempt that ended as not known yet.
func (a *Attempt) Resume(deadline time.Time) Operation {
	a.deadline = deadline
	a.retryWait = firstRetryWait
	return a.outstanding
}

func (a *Attempt) issue(op Operation, handle func(time.Time, Reply) Operation) Operation {
	a.outstanding = op
	a.handle = handle
	return op
}

// retry repeats the outstanding operation with exponential back-off until the deadline.
func (a *Attempt) retry(now time.Time, cause error) Operation {
	wait := a.retryWait
	a.retryWait = min(2*a.retryWait, maxRetryWait)
	if now.Add(wait).Before(a.deadline) {
		op := a.outstanding
		op.Wait = wait
		return op
	}
	if a.maybeSwapped {
		return finishWithError(problem.New(problem.NotKnownYet,
			"whether version %d was published is not known yet (%v), ask again: papayactl status --publication %s", a.version, cause, a.request.ID))
	}
	return finishWithError(problem.New(problem.StoreUnavailable, "version %d was not published: %v", a.version, cause))
}

func finishWithError(err *problem.Error) Operation { return Operation{Kind: Finish, Err: err} }

func (a *Attempt) fail(err error) Operation {
	refusal := problem.New(problem.Internal, "publishing version %d: %v", a.version, err)
	if !a.maybeSwapped {
		refusal.Outcome = problem.NotRun
	}
	return finishWithError(refusal)
}

func (a *Attempt) handleHead(now time.Time, reply Reply) Operation {
	if errors.Is(reply.Err, store.ErrNotFound) {
		reply = Reply{}
	}
	if reply.Err != nil {
		return a.retry(now, reply.Err)
	}
	if reply.Entry.Revision > 0 {
		head, err := DecodeHead(reply.Entry.Value)
		if err != nil {
			return a.fail(err)
		}
		a.base = head
	}
	a.baseBytes = reply.Entry.Value
	a.baseRevision = reply.Entry.Revision
	switch {
	case a.base.Version >= a.version:
		a.maybeSwapped = true // this request may have been sent before
		return a.resolve(a.base)
	case a.base.Version+1 < a.version:
		return a.retry(now, errors.Errorf("the key-value service has version %d, the base asked for is %d", a.base.Version, a.version-1))
	case a.base.Version == 0:
		return a.plan(now)
	}
	return a.issue(Operation{Kind: Read, Key: ManifestPrefix + string(a.base.Manifest)}, a.handleBaseManifest)
}

func (a *Attempt) handleBaseManifest(now time.Time, reply Reply) Operation {
	if reply.Err != nil {
		return a.retry(now, reply.Err)
	}
	manifest, err := DecodeManifest(a.base.Manifest, reply.Entry.Value)
	if err != nil {
		return a.fail(err)
	}
	a.baseManifest = manifest
	return a.plan(now)
}
