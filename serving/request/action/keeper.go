package action

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

const (
	// storeWorkers is the maximum number of concurrent calls to the store.
	storeWorkers = 32
	// writeWorkers is the maximum number of concurrent write queries and polls.
	writeWorkers = 64
	// answerWorkers is the maximum number of concurrent queries that wait for an answer.
	answerWorkers = 256
	// The intervals between ticks of the table, with and without pending work.
	busyTickInterval = 5 * time.Millisecond
	idleTickInterval = 250 * time.Millisecond
	// drainTimeout is the maximum time that Run spends on writing outcomes during shutdown.
	drainTimeout = 2 * time.Second
	// defaultClaimTimeout is the timeout of a claim whose context has no deadline.
	defaultClaimTimeout = 30 * time.Second
)

// Peers sends queries to other entry instances. An error means that the query may or may not
// have been handled.
type Peers interface {
	Answer(ctx context.Context, to Member, query Query) (Reply, error)
}

// Keeper executes the orders of a Table.
type Keeper struct {
	store Store
	peers Peers
	live  func() []Member
	log   *logrus.Entry

	storeCalls  *workers
	writeCalls  *workers
	answerCalls *workers
	wake        chan struct{}

	mu      sync.Mutex
	table   *Table
	claims  map[uint64]chan Resolve
	queries map[uint64]chan Reply
	nextID  uint64
}

// New returns a Keeper, which is started by Run. live returns the live entry instances and
// may omit this one.
func New(store Store, peers Peers, self Self, live func() []Member, settings Settings, rng *rand.Rand, log *logrus.Entry) *Keeper {
	return &Keeper{
		store:       store,
		peers:       peers,
		live:        live,
		log:         log,
		storeCalls:  newWorkers(),
		writeCalls:  newWorkers(),
		answerCalls: newWorkers(),
		wake:        make(chan struct{}, 1),
		table:       NewTable(time.Now(), self, settings, rng),
		claims:      map[uint64]chan Resolve{},
		queries:     map[uint64]chan Reply{},
	}
}

// Run executes orders until ctx is done. It then writes the remaining outcomes for a limited
// time.
func (k *Keeper) Run(ctx context.Context) error {
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	k.storeCalls.start(working, storeWorkers, k.callStore)
	k.writeCalls.start(working, writeWorkers, k.callPeer)
	k.answerCalls.start(working, answerWorkers, k.callPeer)
	for ctx.Err() == nil {
		k.tick()
		k.pause(ctx)
	}
	k.drain()
	stop()
	return k.stopWorkers()
}

func (k *Keeper) stopWorkers() error {
	for _, w := range []*workers{k.storeCalls, k.writeCalls, k.answerCalls} {
		if err := w.stop(); err != nil {
			return err
		}
	}
	return nil
}

func (k *Keeper) tick() {
	live := k.live()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dispatch(k.table.Tick(time.Now(), live))
}

func (k *Keeper) pause(ctx context.Context) {
	k.mu.Lock()
	busy := k.table.Busy()
	k.mu.Unlock()
	if busy {
		sleep(ctx, busyTickInterval, nil)
		return
	}
	sleep(ctx, idleTickInterval, k.wake)
}

// sleep returns after wait, when ctx is done or when wake receives a value.
func sleep(ctx context.Context, wait time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-wake:
	}
}

func (k *Keeper) drain() {
	k.update(func(now time.Time, table *Table) []Order { return table.Drain(now) })
	end := time.Now().Add(drainTimeout)
	for time.Now().Before(end) && k.unwritten() > 0 {
		sleep(context.Background(), busyTickInterval, nil)
		k.tick()
	}
	if left := k.unwritten(); left > 0 {
		k.log.WithField("outcomes", left).Warn("actions: shutdown with outcomes not written to the store")
	}
}

func (k *Keeper) unwritten() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Unwritten()
}

// update passes an event to the table, executes the resulting orders and ends the pause
// between two ticks.
func (k *Keeper) update(decide func(time.Time, *Table) []Order) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dispatch(decide(time.Now(), k.table))
	k.endPause()
}

func (k *Keeper) endPause() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *Keeper) dispatch(orders []Order) {
	for _, order := range orders {
		switch o := order.(type) {
		case Resolve:
			k.resolve(o)
		case Respond:
			k.respond(o)
		case Call:
			k.pushCall(o)
		default:
			k.storeCalls.push(o)
		}
	}
}

func (k *Keeper) pushCall(call Call) {
	if call.Query.Kind == AnswerQuery {
		k.answerCalls.push(call)
		return
	}
	k.writeCalls.push(call)
}

func (k *Keeper) resolve(order Resolve) {
	if waiting, found := k.claims[order.Claim]; found {
		delete(k.claims, order.Claim)
		waiting <- order
	}
}

func (k *Keeper) respond(order Respond) {
	if waiting, found := k.queries[order.Query]; found {
		delete(k.queries, order.Query)
		waiting <- order.Reply
	}
}

// Claim claims the exclusive right to run a keyed request. If the key is already claimed, it
// waits for the answer of the first run, at most until ctx is done. Errors are *problem.Error
// of the kinds KeyInvalid, KeyExpired, KeyConflict, KeyInProgress, StoreUnavailable,
// AnswerLost and QueueFull.
func (k *Keeper) Claim(ctx context.Context, c Claim) (*Ticket, error) {
	deadline, limited := ctx.Deadline()
	if !limited {
		deadline = time.Now().Add(defaultClaimTimeout)
	}
	nonce, result := k.beginClaim(c, deadline)
	var end Resolve
	select {
	case end = <-result:
	case <-ctx.Done():
		k.update(func(now time.Time, table *Table) []Order { return table.Cancel(now, nonce) })
		end = <-result
	}
	countClaim(end)
	if end.Err != nil {
		return nil, end.Err
	}
	return &Ticket{Run: end.Answer == nil, Answer: end.Answer, keeper: k, nonce: nonce}, nil
}

func (k *Keeper) beginClaim(c Claim, deadline time.Time) (uint64, chan Resolve) {
	k.mu.Lock()
	defer k.mu.Unlock()
	result := make(chan Resolve, 1)
	nonce, orders := k.table.Claim(time.Now(), c, deadline)
	k.claims[nonce] = result
	k.dispatch(orders)
	k.endPause()
	return nonce, result
}

// Serve answers a query of another entry instance.
func (k *Keeper) Serve(ctx context.Context, query Query) (Reply, error) {
	id, result := k.beginQuery(query)
	select {
	case reply := <-result:
		return reply, nil
	case <-ctx.Done():
		k.endQuery(id)
		return Reply{}, errors.Wrap(ctx.Err(), "answer query")
	}
}

func (k *Keeper) beginQuery(query Query) (uint64, chan Reply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.nextID++
	result := make(chan Reply, 1)
	k.queries[k.nextID] = result
	k.dispatch(k.table.Query(time.Now(), k.nextID, query))
	k.endPause()
	return k.nextID, result
}

func (k *Keeper) endQuery(id uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.queries, id)
	k.table.CancelQuery(id)
}

func (k *Keeper) callPeer(ctx context.Context, order Order) {
	call := order.(Call)
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	reply, err := k.peers.Answer(ctx, call.To, call.Query)
	k.update(func(now time.Time, table *Table) []Order { return table.CallDone(now, call.ID, reply, err) })
}
