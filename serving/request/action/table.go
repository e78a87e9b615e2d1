package action

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"papayaport.dev/serving/process/problem"
)

// Table is the state machine for the claims, pages and peer queries of one entry instance.
// It does no I/O: each event is passed in with the current time and returns the orders to
// carry out. It is not safe for concurrent use.
type Table struct {
	self     Self
	settings Settings
	rng      *rand.Rand
	started  time.Time
	orders   []Order

	members       members
	pages         map[PageName]*pageState
	pending       map[uint64]*pending
	pendingPerKey map[Hash]int
	granted       map[uint64]*grantedClaim
	latestNonce   map[Hash]uint64
	answers       *answerCache
	waiters       map[uint64][]waiter
	queries       map[uint64]time.Time
	calls         map[uint64]call
	nextID        uint64
	sweep         sweep
	// draining is set during shutdown, when this process writes all changes itself.
	draining bool
}

// NewTable returns an empty table that draws nonces and jitter from rng.
func NewTable(now time.Time, self Self, settings Settings, rng *rand.Rand) *Table {
	return &Table{
		self:          self,
		settings:      settings,
		rng:           rng,
		started:       now,
		members:       members{self: self.Member(), avoided: map[Member]time.Time{}},
		pages:         map[PageName]*pageState{},
		pending:       map[uint64]*pending{},
		pendingPerKey: map[Hash]int{},
		granted:       map[uint64]*grantedClaim{},
		latestNonce:   map[Hash]uint64{},
		answers:       newAnswerCache(settings.AnswerCacheBytes),
		waiters:       map[uint64][]waiter{},
		queries:       map[uint64]time.Time{},
		calls:         map[uint64]call{},
	}
}

// takeOrders returns and clears the orders created by an event.
func (t *Table) takeOrders() []Order {
	orders := t.orders
	t.orders = nil
	return orders
}

func (t *Table) addOrder(o Order) { t.orders = append(t.orders, o) }

// Busy reports whether there are claims, queries or changes that need further calls of Tick.
func (t *Table) Busy() bool {
	if len(t.pending)+len(t.queries) > 0 {
		return true
	}
	for _, state := range t.pages {
		if len(state.changes) > 0 || state.inFlight != nil {
			return true
		}
	}
	return false
}

// Unwritten returns the number of outcomes of this process that aren't in the store yet.
func (t *Table) Unwritten() int {
	count := 0
	for _, h := range t.granted {
		if h.record.Outcome != Claimed && !h.durable {
			count++
		}
	}
	return count
}

// Drain makes all delayed changes due. From then on nothing is forwarded to another writer,
// because the preferred writers may already have exited if all processes stop together.
func (t *Table) Drain(now time.Time) []Order {
	t.draining = true
	for _, name := range slices.Sorted(maps.Keys(t.pages)) {
		state := t.pages[name]
		for _, c := range state.changes {
			c.due = now
		}
		t.flush(now, state)
	}
	return t.takeOrders()
}

// Tick handles deadlines, retries, flushes and the removal of expired state. live lists the
// live entry instances and may omit this one.
func (t *Table) Tick(now time.Time, live []Member) []Order {
	t.members.update(now, live)
	t.expireQueries(now)
	t.tickPending(now)
	t.tickPages(now)
	t.purgeGranted(now)
	t.sweepPages(now)
	return t.takeOrders()
}

// expireQueries answers peers' queries that have timed out with InProgress.
func (t *Table) expireQueries(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(t.queries)) {
		if now.Before(t.queries[id]) {
			continue
		}
		t.dropQueryChange(id)
		t.respond(id, Reply{State: InProgress})
	}
}

func (t *Table) tickPending(now time.Time) {
	for _, nonce := range slices.Sorted(maps.Keys(t.pending)) {
		p, found := t.pending[nonce]
		switch {
		case !found:
		case !now.Before(p.deadline):
			t.end(now, p, nil, t.deadlineError(p))
		case p.state == awaiting && !p.retryAt.IsZero() && !now.Before(p.retryAt):
			t.await(now, p, p.target)
		case p.state == writing && !p.polling && !now.Before(p.pollAt):
			t.poll(p)
		}
	}
}

// deadlineError returns the error of a claim whose deadline has passed.
func (t *Table) deadlineError(p *pending) error {
	if p.state != writing {
		return problem.New(problem.KeyInProgress, "the first request with this key is not answered yet")
	}
	err := problem.New(problem.StoreUnavailable, "the key could not be claimed in time; this request was not sent")
	if t.mayHaveRun(p) {
		err.Detail += ", but an earlier one with this key may have run"
		return err.WithOutcome(problem.Unknown)
	}
	return err
}

func (t *Table) newNonce() uint64 {
	for {
		nonce := t.rng.Uint64()
		if nonce != 0 && t.pending[nonce] == nil && t.granted[nonce] == nil {
			return nonce
		}
	}
}

// jitter returns a random duration between 0.5 and 1.5 times mean.
func (t *Table) jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(t.rng.Int64N(int64(mean)+1))
}
