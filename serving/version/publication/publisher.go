package publication

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/process/platform/store"
	"papayaport.dev/serving/process/problem"
)

// Store is the subset of the key-value service that a publisher and a keeper use. The client of
// package store implements it.
type Store interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	Put(ctx context.Context, key string, value []byte, ifRevision uint64) (platform.Entry, error)
	Delete(ctx context.Context, key string, ifRevision uint64) error
	List(ctx context.Context, prefix string) (platform.Entries, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (platform.Entries, error)
}

// Configuration provides the version in force in this process. A Keeper implements it.
type Configuration interface {
	Current() *Version
	// HandleHead handles a head that the store accepted.
	HandleHead(head Head)
}

const (
	// PublishTimeout is how long a publication is tried before it fails or ends as not known
	// yet.
	PublishTimeout = 10 * time.Second
	// inquiryTimeout is how long an inquiry about a publication is tried.
	inquiryTimeout = 4 * time.Second
	// maxPending bounds the publications kept whose result is not known yet.
	maxPending = 64
	// MaxHistory is the maximum number of versions that History returns.
	MaxHistory = 200
)

// Publisher publishes versions and reads the audit trail.
type Publisher struct {
	store         Store
	configuration Configuration
	log           logrus.FieldLogger

	// mu guards pending: an attempt is removed while it is in use.
	mu      sync.Mutex
	pending *lru.Cache[ID, *Attempt]
}

// NewPublisher returns a publisher.
func NewPublisher(store Store, configuration Configuration, log logrus.FieldLogger) *Publisher {
	pending, err := lru.New[ID, *Attempt](maxPending)
	if err != nil {
		panic(err) // the size is a constant above zero
	}
	return &Publisher{store: store, configuration: configuration, log: log, pending: pending}
}

// Publish publishes a new version. A request is sent once; afterwards Publication returns the
// result for its id. The error is a *problem.Error: InvalidFile with the faults in the result,
// VersionConflict with the winning version as the result's head, StoreUnavailable if nothing was
// published, and NotKnownYet if that is not known.
func (p *Publisher) Publish(ctx context.Context, request Request) (Result, error) {
	attempt, op := NewAttempt(time.Now().Add(PublishTimeout), request, p.configuration.Current())
	return p.run(ctx, request.ID, attempt, op)
}

// Publication returns the result of a publication, with the errors of Publish.
func (p *Publisher) Publication(ctx context.Context, id ID) (Result, error) {
	deadline := time.Now().Add(inquiryTimeout)
	if attempt := p.takePending(id); attempt != nil {
		return p.run(ctx, id, attempt, attempt.Resume(deadline))
	}
	attempt, op := NewInquiry(deadline, id)
	return p.drive(ctx, attempt, op)
}

func (p *Publisher) takePending(id ID) *Attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	attempt, _ := p.pending.Get(id)
	p.pending.Remove(id)
	return attempt
}

// run drives an attempt and keeps it if its result is not known yet.
func (p *Publisher) run(ctx context.Context, id ID, attempt *Attempt, op Operation) (Result, error) {
	result, err := p.drive(ctx, attempt, op)
	if err != nil && problem.From(err).Kind == problem.NotKnownYet {
		p.mu.Lock()
		p.pending.Add(id, attempt)
		p.mu.Unlock()
	}
	p.logResult(id, result, err)
	return result, err
}

func (p *Publisher) logResult(id ID, result Result, err error) {
	log := p.log.WithField("publication", id)
	switch {
	case err != nil:
		log.WithError(err).Warn("publication: not published")
	case result.Unchanged:
		log.WithField("version", result.Head.Version).Info("publication: nothing changed")
	default:
		log.WithFields(logrus.Fields{"version": result.Head.Version, "operator": result.Head.Operator}).Info("publication: version published")
	}
}

// drive executes operations until the attempt finishes. It continues when the caller cancels, so
// that every attempt gets a result.
func (p *Publisher) drive(ctx context.Context, attempt *Attempt, op Operation) (Result, error) {
	ctx = context.WithoutCancel(ctx)
	for op.Kind != Finish {
		time.Sleep(jitter(op.Wait))
		reply := p.execute(ctx, op)
		op = attempt.Handle(time.Now(), reply)
	}
	if op.Err != nil {
		return op.Result, op.Err
	}
	p.configuration.HandleHead(op.Result.Head)
	return op.Result, nil
}

func (p *Publisher) execute(ctx context.Context, op Operation) Reply {
	var reply Reply
	switch op.Kind {
	case Read:
		reply.Entry, reply.Err = p.store.Get(ctx, op.Key)
	case Write:
		reply.Entry, reply.Err = p.store.Put(ctx, op.Key, op.Value, store.AnyRevision)
	case Swap:
		reply.Entry, reply.Err = p.store.Put(ctx, op.Key, op.Value, op.Revision)
	}
	return reply
}

// jitter returns a random duration between half and all of a wait.
func jitter(wait time.Duration) time.Duration {
	if wait <= 0 {
		return 0
	}
	return wait/2 + rand.N(wait/2+1)
}

// History returns up to limit accepted versions below before, latest first; with before 0 it
// starts at the latest. It verifies each record against the hash in its successor.
func (p *Publisher) History(ctx context.Context, before uint64, limit int) ([]Head, error) {
	limit = min(max(limit, 1), MaxHistory)
	entry, err := p.store.Get(ctx, HeadKey)
	if errors.Is(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, problem.New(problem.StoreUnavailable, "reading the audit trail: %v", err)
	}
	head, err := DecodeHead(entry.Value)
	if err != nil {
		return nil, err
	}
	if before > 0 && before <= head.Version {
		return p.appendRecords(ctx, nil, before-1, "", limit)
	}
	return p.appendRecords(ctx, []Head{head}, head.Version-1, head.Previous, limit)
}

// appendRecords appends the records from a version downwards. Hash is the hash of the first
// record's bytes, empty if unknown.
func (p *Publisher) appendRecords(ctx context.Context, heads []Head, version uint64, hash Hash, limit int) ([]Head, error) {
	for ; version > 0 && len(heads) < limit; version-- {
		entry, err := p.store.Get(ctx, auditKey(version))
		if err != nil {
			return heads, problem.New(problem.StoreUnavailable, "reading the audit record of version %d: %v", version, err)
		}
		if hash != "" && HashOf(entry.Value) != hash {
			return heads, errors.Errorf("audit record of version %d does not match the hash in version %d", version, version+1)
		}
		head, err := DecodeHead(entry.Value)
		if err != nil {
			return heads, err
		}
		heads = append(heads, head)
		hash = head.Previous
	}
	return heads, nil
}
