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

// Store is what a publisher and a keeper need of the key-value service. The client of
// package store is one.
type Store interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	Put(ctx context.Context, key string, value []byte, ifRevision uint64) (platform.Entry, error)
	Delete(ctx context.Context, key string, ifRevision uint64) error
	List(ctx context.Context, prefix string) (platform.Entries, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (platform.Entries, error)
}

// Configuration is the version in force here. A Keeper is one.
type Configuration interface {
	Current() *Version
	// Learn takes a head that the store accepted.
	Learn(head Head)
}

const (
	// PublishTimeout is how long a publication tries before it gives up or says not known yet.
	PublishTimeout = 10 * time.Second
	// inquiryTimeout is how long a question about a publication tries to find the answer.
	inquiryTimeout = 4 * time.Second
	// heldPending bounds the publications whose end is not known yet.
	heldPending = 64
	// MaxHistory is the largest number of versions in one answer of History.
	MaxHistory = 200
)

// Publisher publishes versions and reads the audit trail.
type Publisher struct {
	store         Store
	configuration Configuration
	log           logrus.FieldLogger

	// mu guards the use of pending attempts.
	mu      sync.Mutex
	pending *lru.Cache[ID, *Attempt]
}

// NewPublisher returns a publisher.
func NewPublisher(store Store, configuration Configuration, log logrus.FieldLogger) *Publisher {
	pending, err := lru.New[ID, *Attempt](heldPending)
	if err != nil {
		panic(err) // the size is a constant above zero
	}
	return &Publisher{store: store, configuration: configuration, log: log, pending: pending}
}

// Publish makes a new version. A request is sent once; afterwards its id is asked for
// with Publication. The error is a *problem.Error: InvalidFile with the faults in the
// result, VersionConflict with the winner as the result's head, StoreUnavailable when
// nothing was published, NotKnownYet when that can't be told.
func (p *Publisher) Publish(ctx context.Context, request Request) (Result, error) {
	attempt, order := NewAttempt(time.Now().Add(PublishTimeout), request, p.configuration.Current())
	return p.run(ctx, request.ID, attempt, order)
}

// Publication tells how a publication ended, with the errors of Publish.
func (p *Publisher) Publication(ctx context.Context, id ID) (Result, error) {
	deadline := time.Now().Add(inquiryTimeout)
	if attempt := p.take(id); attempt != nil {
		return p.run(ctx, id, attempt, attempt.Resume(deadline))
	}
	attempt, order := NewInquiry(deadline, id)
	return p.drive(ctx, attempt, order)
}

func (p *Publisher) take(id ID) *Attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	attempt, _ := p.pending.Get(id)
	p.pending.Remove(id)
	return attempt
}

// run drives an attempt and keeps it if its end is not known yet.
func (p *Publisher) run(ctx context.Context, id ID, attempt *Attempt, order Order) (Result, error) {
	result, err := p.drive(ctx, attempt, order)
	if err != nil && problem.From(err).Kind == problem.NotKnownYet {
		p.mu.Lock()
		p.pending.Add(id, attempt)
		p.mu.Unlock()
	}
	p.report(id, result, err)
	return result, err
}

func (p *Publisher) report(id ID, result Result, err error) {
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

// drive carries out orders until the attempt finishes. It goes on without the caller
// that asked, so that an end is always found.
func (p *Publisher) drive(ctx context.Context, attempt *Attempt, order Order) (Result, error) {
	ctx = context.WithoutCancel(ctx)
	for order.Kind != Finish {
		time.Sleep(jitter(order.Wait))
		reply := p.carryOut(ctx, order)
		order = attempt.Handle(time.Now(), reply)
	}
	if order.Err != nil {
		return order.Result, order.Err
	}
	p.configuration.Learn(order.Result.Head)
	return order.Result, nil
}

func (p *Publisher) carryOut(ctx context.Context, order Order) Reply {
	var reply Reply
	switch order.Kind {
	case Read:
		reply.Entry, reply.Err = p.store.Get(ctx, order.Key)
	case Write:
		reply.Entry, reply.Err = p.store.Put(ctx, order.Key, order.Value, store.AnyRevision)
	case Swap:
		reply.Entry, reply.Err = p.store.Put(ctx, order.Key, order.Value, order.Revision)
	}
	return reply
}

// jitter returns between half and all of a wait.
func jitter(wait time.Duration) time.Duration {
	if wait <= 0 {
		return 0
	}
	return wait/2 + rand.N(wait/2+1)
}

// History returns accepted versions, latest first, from before down; before 0 begins
// with the latest. It verifies that every record is the one its successor names.
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
		return p.walk(ctx, nil, before-1, "", limit)
	}
	return p.walk(ctx, []Head{head}, head.Version-1, head.Previous, limit)
}

// walk appends records from a version down. Hash is that of its bytes, empty if unknown.
func (p *Publisher) walk(ctx context.Context, heads []Head, version uint64, hash Hash, limit int) ([]Head, error) {
	for ; version > 0 && len(heads) < limit; version-- {
		entry, err := p.store.Get(ctx, auditKey(version))
		if err != nil {
			return heads, problem.New(problem.StoreUnavailable, "reading the record of version %d: %v", version, err)
		}
		if hash != "" && HashOf(entry.Value) != hash {
			return heads, errors.Errorf("the record of version %d is not the one that version %d names", version, version+1)
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
