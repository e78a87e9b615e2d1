// Package quota keeps the limits of client accounts over a large fleet, in which one entry
// instance's even part of a limit is less than a single request.
//
// Every instance earns its even part of each limit as time passes. It pays what it earned
// into the pool of one instance of its choice, and that pool grants requests out of what
// was paid in. Earnings move and are never made twice, so that the pools together grant the
// limit at most, whichever instances pay where: two instances may both hold a pool for an
// account behind a cut, one of them may start again, and answers may be lost. A pool that
// starts is empty. What is lost on the way is lost to the account and not to the limit.
//
// How much a pool may hold, and how far a large request may take it below zero, follow its
// share: the part of the limit that was paid in of late.
//
// # Usage
//
//	table := quota.New()
//	table.SetLimits(now, version, limits)
//	table.SetEntries(now, 61)
//	// at an instance, each PayPeriod and with each request:
//	amount := table.Earned(now, "desk")
//	// at the instance that is paid:
//	table.Pay(now, "desk", amount)
//	decision := table.Ask(now, "desk", quota.Amount{Requests: 1, Tokens: 17020})
//
// # Locks
//
// The table has one mutex and calls nothing outside the package while it is locked.
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
	// PerSecond holds the rates; 0 stands for no limit.
	PerSecond Amount
	// Burst is what may be used at once.
	Burst Amount
	// Debt is how far all pools together may be below zero behind large requests.
	Debt Amount
	// Start is what the instances of a whole fleet that starts together pay at first, so that
	// pools don't refuse an account below its limit while they fill.
	Start Amount
}

// Decision is the answer to a request that asks a pool.
type Decision struct {
	Granted bool
	// RetryAfter is when the request is likely to be granted, when it was not.
	RetryAfter time.Duration
	// Share is the part of the limit that is paid into this pool, 0 to 1.
	Share float64
	// Level is what the pool holds of the unit that decided.
	Level float64
}

const (
	// minDepositPeriod is the shortest time between two payments of an instance.
	minDepositPeriod = 300 * time.Millisecond
	// depositPeriodPerEntry bounds the payments that a pool's instance takes to 400 a second.
	depositPeriodPerEntry = 2500 * time.Microsecond
	// undepositedPeriods is the number of periods whose earnings an instance keeps; a payment
	// that is late by half a period loses nothing.
	undepositedPeriods = 1.5
	// shareTimeConstant is the time constant of a pool's share: a few payments of each instance.
	shareTimeConstant = time.Second
	// minPoolTime is the least time's worth of a limit that a whole pool may hold.
	minPoolTime = 250 * time.Millisecond
	// passLevel is the level from which a request of any size may pass, within the debt.
	passLevel = 1
	// wholeShare is the share from which on no other pool can have as much. A request larger
	// than such a pool passes when the pool is full; nobody else could grant it.
	wholeShare = 0.5

	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter  = 30 * time.Second
)

// UsualPooledFrom is the number of entry instances from which on limits are kept in pools: in
// any fleet. What peers tell of their demand for parts of a limit comes too late for an
// account whose requests are uneven.
const UsualPooledFrom = 2

// PayPeriod returns the time between two payments of an instance in a fleet.
func PayPeriod(entries int) time.Duration {
	return max(minDepositPeriod, time.Duration(entries)*depositPeriodPerEntry)
}

// Table holds what this instance earned, and its pools.
type Table struct {
	mu      sync.Mutex
	version uint64
	entries int
	// startCreditEnabled tells that Begin was called.
	startCreditEnabled    bool
	accounts map[string]*account
}

// account is a client account here: one ledger a unit.
type account struct {
	requests, tokens ledger
	reserve          reserve
}

// New returns a table without accounts.
func New() *Table { return &Table{accounts: map[string]*account{}} }

// SetLimits puts the limits of a configuration version into force. Older versions are
// ignored. What was earned and paid stays.
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
		a.requests.configure(now, t.entries, terms{limit.PerSecond.Requests, limit.Burst.Requests, limit.Debt.Requests, limit.Start.Requests})
		a.tokens.configure(now, t.entries, terms{limit.PerSecond.Tokens, limit.Burst.Tokens, limit.Debt.Tokens, limit.Start.Tokens})
		kept[limit.Account] = a
	}
	t.accounts = kept
	if first && t.startCreditEnabled {
		t.grantStartCredit()
	}
}

// Begin tells that this process may pay its part of what a fleet pays at its start: no
// process of this instance began so within the window of a limit. It is called once.
func (t *Table) Begin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startCreditEnabled = true
	if t.version > 0 {
		t.grantStartCredit()
	}
}

// grantStartCredit gives the accounts of the first limits what is paid at the start; an account that
// comes later must not get it anew whenever it is put back.
func (t *Table) grantStartCredit() {
	for _, a := range t.accounts {
		a.requests.startCredit, a.tokens.startCredit = a.requests.start, a.tokens.start
	}
}

// SetEntries sets the number of entry instances, this one included. Before the first call
// this instance earns nothing.
func (t *Table) SetEntries(now time.Time, count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.accounts {
		a.requests.accrue(now, t.entries)
		a.tokens.accrue(now, t.entries)
	}
	t.entries = count
}

// Accounts returns the names of the accounts with a limit.
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

// Earned takes out what this instance earned of an account's limit since the last call. It
// has to be paid to one pool or dropped.
func (t *Table) Earned(now time.Time, name string) Amount {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.accounts[name]
	if a == nil {
		return Amount{}
	}
	return Amount{Requests: a.requests.withdraw(now, t.entries), Tokens: a.tokens.withdraw(now, t.entries)}
}

// Pay puts earnings into this instance's pool of an account.
func (t *Table) Pay(now time.Time, name string, amount Amount) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.accounts[name]; a != nil {
		a.requests.deposit(now, t.entries, amount.Requests)
		a.tokens.deposit(now, t.entries, amount.Tokens)
		a.reserve.deposit(amount.Tokens, a.tokens.rate)
	}
}

// Ask charges a request without a rank to this instance's pool of an account. The second
// result is false when the account has no limit here that is known.
func (t *Table) Ask(now time.Time, name string, cost Amount) (Decision, bool) {
	return t.AskRanked(now, name, cost, Unranked)
}

// AskRanked charges a request of a rank, 0 the most urgent. While an account asks for more
// than its limit in tokens, each rank leaves a part of the pool to the more urgent ones.
func (t *Table) AskRanked(now time.Time, name string, cost Amount, rank int) (Decision, bool) {
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
	} else if !tokens.Granted {
		a.reserve.refusedAt = now
	}
	return decision, true
}
