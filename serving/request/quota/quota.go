// Package quota enforces the limits of client accounts over a large fleet, in which an entry
// instance's even share of a limit can be less than a single request.
//
// Every instance accrues its even share of each limit over time and deposits it into the
// pool of one instance. That pool grants requests from the deposits. Amounts are moved and
// never created twice, so all pools together grant at most the limit, whichever pool each
// instance uses: also when two instances hold a pool for the same account during a network
// partition, when one of them restarts, and when responses are lost. A new pool is empty.
// Deposits that are lost in transit reduce what the account gets; they never raise the total
// above the limit.
//
// The capacity of a pool, and how far a large request may take it below zero, are
// proportional to its share: the fraction of the limit that was recently deposited.
//
// # Usage
//
//	table := quota.New()
//	table.SetLimits(now, version, limits)
//	table.SetEntries(now, 61)
//	// at each instance, every DepositPeriod and with every request:
//	amount := table.Withdraw(now, "desk")
//	// at the instance that holds the pool:
//	table.Deposit(now, "desk", amount)
//	decision := table.Charge(now, "desk", quota.Amount{Requests: 1, Tokens: 17020})
//
// # Locks
//
// The table has one mutex and calls no code outside the package while holding it.
package quota

import (
	"sync"
	"time"
)

// Amount is a number of requests and of tokens.
type Amount struct {
	Requests float64 `cbor:"1,keyasint,omitempty"`
	Tokens   float64 `cbor:"2,keyasint,omitempty"`
}

// Limit is the limit of a client account over all entry instances.
type Limit struct {
	Account string
	// PerSecond holds the rates; 0 means no limit.
	PerSecond Amount
	// Burst is the amount that may be used at once.
	Burst Amount
	// MaxDebt is how far below zero large requests may take all pools together.
	MaxDebt Amount
	// StartCredit is the initial deposit of a whole fleet that starts together. Without it the pools,
	// which start empty, would refuse requests of accounts below their limit.
	StartCredit Amount
	// RemainderCredit is deposited in addition if the pools of the account were full when the
	// fleet ended, and a share of it if they were less full.
	RemainderCredit Amount
}

// Decision is a pool's decision on a request.
type Decision struct {
	Granted bool
	// RetryAfter is the estimated time until a refused request would be granted.
	RetryAfter time.Duration
	// Share is the fraction of the limit that is deposited into this pool, 0 to 1.
	Share float64
	// Level is the pool's level in the unit that decided, requests or tokens.
	Level float64
}

const (
	// minDepositPeriod is the shortest time between two deposits of an instance.
	minDepositPeriod = 300 * time.Millisecond
	// depositPeriodPerEntry limits the deposits that one pool receives to 400 per second.
	depositPeriodPerEntry = 2500 * time.Microsecond
	// undepositedPeriods is the number of deposit periods for which an instance accrues; a
	// deposit that is late by half a period loses nothing.
	undepositedPeriods = 1.5
	// shareTimeConstant is the time constant of a pool's share: a few deposits per instance.
	shareTimeConstant = time.Second
	// minPoolTime sets the minimum capacity of a pool, as the time in which the rate fills it.
	minPoolTime = 250 * time.Millisecond
	// passLevel is the level from which a request within the debt is granted.
	passLevel = 1
	// wholeShare is the share from which no other pool can have a larger one. A request larger
	// than such a pool is granted when the pool is full, because no other pool could grant it.
	wholeShare = 0.5

	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// DefaultPooledFrom is the default number of entry instances from which limits are enforced in
// pools: any fleet of more than one. Dividing a limit by the demand that peers report reacts
// too late for accounts with uneven requests.
const DefaultPooledFrom = 2

// DepositPeriod returns the time between two deposits of an instance in a fleet of the given size.
func DepositPeriod(entries int) time.Duration {
	return max(minDepositPeriod, time.Duration(entries)*depositPeriodPerEntry)
}

// Table holds this instance's undeposited shares, and its pools.
type Table struct {
	mu      sync.Mutex
	version uint64
	entries int
	// remaining is set by EnableStartCredit, nil before.
	remaining func(account string) float64
	accounts  map[string]*account
}

// account holds the state of a client account: one ledger per unit.
type account struct {
	requests, tokens ledger
	reserve          reserve
	// deficit is the highest deficit of the pool since the last call of TakeDeficits.
	deficit float64
}

// New returns a table without accounts.
func New() *Table { return &Table{accounts: map[string]*account{}} }

// SetLimits applies the limits of a configuration version. Older versions are ignored.
// Accrued and deposited amounts are kept.
func (t *Table) SetLimits(now time.Time, version uint64, limits []Limit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version < t.version {
		return
	}
	first := t.version == 0
	t.version = version
	kept := make(map[string]*account, len(limits))
	for _, limit := range limits {
		a := t.accounts[limit.Account]
		if a == nil {
			a = &account{requests: newLedger(now), tokens: newLedger(now)}
		}
		a.requests.configure(now, t.entries, terms{limit.PerSecond.Requests, limit.Burst.Requests, limit.MaxDebt.Requests, limit.StartCredit.Requests, limit.RemainderCredit.Requests})
		a.tokens.configure(now, t.entries, terms{limit.PerSecond.Tokens, limit.Burst.Tokens, limit.MaxDebt.Tokens, limit.StartCredit.Tokens, limit.RemainderCredit.Tokens})
		kept[limit.Account] = a
	}
	t.accounts = kept
	if first && t.remaining != nil {
		t.grantStartCredit()
	}
}

// EnableStartCredit grants this process its part of the start credit. Remaining returns the share of
// an account's limit that was left when the fleet ended, see RemainingShares. Call it once, and only
// if no earlier process of this instance did so within the window of a limit.
func (t *Table) EnableStartCredit(remaining func(account string) float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remaining = remaining
	if t.version > 0 {
		t.grantStartCredit()
	}
}

// grantStartCredit sets the start credit of the accounts in the first configuration version.
// Accounts added later get none, since removing and adding an account would grant it again.
func (t *Table) grantStartCredit() {
	for name, a := range t.accounts {
		share := t.remaining(name)
		a.requests.startCredit = a.requests.start + share*a.requests.remainder
		a.tokens.startCredit = a.tokens.start + share*a.tokens.remainder
	}
}

// TakeDeficits returns the highest deficit of each account's pool at this instance since the last
// call. Accounts whose pool granted nothing are left out.
func (t *Table) TakeDeficits() Deficits {
	t.mu.Lock()
	defer t.mu.Unlock()
	highest := Deficits{}
	for name, a := range t.accounts {
		if a.deficit > 0 {
			highest[name] = a.deficit
		}
		a.deficit = 0
	}
	return highest
}

// SetEntries sets the number of entry instances, including this one. Before the first call
// this instance accrues nothing.
func (t *Table) SetEntries(now time.Time, count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.accounts {
		a.requests.accrue(now, t.entries)
		a.tokens.accrue(now, t.entries)
	}
	t.entries = count
}

// Accounts returns the names of the accounts with a limit, in no particular order.
func (t *Table) Accounts() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for name, a := range t.accounts {
		if a.requests.limited() || a.tokens.limited() {
			names = append(names, name)
		}
	}
	return names
}

// Withdraw withdraws the amount that this instance accrued of an account's limit since the last
// call. The caller has to deposit it into one pool or drop it.
func (t *Table) Withdraw(now time.Time, name string) Amount {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.accounts[name]
	if a == nil {
		return Amount{}
	}
	return Amount{Requests: a.requests.withdraw(now, t.entries), Tokens: a.tokens.withdraw(now, t.entries)}
}

// Deposit deposits an amount into this instance's pool of an account.
func (t *Table) Deposit(now time.Time, name string, amount Amount) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.accounts[name]; a != nil {
		a.requests.deposit(now, t.entries, amount.Requests)
		a.tokens.deposit(now, t.entries, amount.Tokens)
		a.reserve.deposit(amount.Tokens, a.tokens.rate)
	}
}

// Charge charges a request without a rank to this instance's pool of an account. The second
// result is false if the account is not configured.
func (t *Table) Charge(now time.Time, name string, cost Amount) (Decision, bool) {
	return t.ChargeRanked(now, name, cost, Unranked)
}

// ChargeRanked charges a request of the given rank; rank 0 is the most urgent. While an account
// exceeds its token limit, each rank leaves a part of the pool to more urgent ranks.
func (t *Table) ChargeRanked(now time.Time, name string, cost Amount, rank int) (Decision, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.accounts[name]
	if a == nil {
		return Decision{}, false
	}
	a.reserve.recordRequest(now, rank)
	requests, tokens := a.requests.decide(now, t.entries, cost.Requests, 0), a.tokens.decide(now, t.entries, cost.Tokens, 0)
	if share := a.reserve.share(now, rank); share > 0 && requests.Granted && tokens.Granted {
		reserved := a.tokens.decide(now, t.entries, cost.Tokens, share)
		if !reserved.Granted && !a.reserve.useFloor(cost.Tokens) {
			tokens = reserved
		}
	}
	decision := tokens
	if !a.tokens.limited() || requests.RetryAfter > tokens.RetryAfter {
		decision = requests
	}
	decision.Granted = requests.Granted && tokens.Granted
	if decision.Granted {
		a.requests.level -= cost.Requests
		a.tokens.level -= cost.Tokens
		a.deficit = max(a.deficit, a.requests.deficit(t.entries), a.tokens.deficit(t.entries))
	} else if !tokens.Granted {
		a.reserve.refusedAt = now
	}
	return decision, true
}
