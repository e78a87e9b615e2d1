package quota

import (
	"math"
	"time"
)

// terms are the parameters of a limit in one unit, requests or tokens.
type terms struct{ rate, burst, debt, start, remainder float64 }

// ledger holds this instance's undeposited share of one limit, and its pool for that limit.
type ledger struct {
	terms

	// undeposited is the amount accrued up to accruedAt and not withdrawn yet.
	undeposited float64
	accruedAt   time.Time
	// startCredit is the amount that the whole fleet deposits at its start; 0 once this instance
	// has withdrawn its part.
	startCredit float64

	// level is the amount in the pool. It may be negative after a large request.
	level float64
	// recentDeposits is the exponentially decayed sum of deposits as of depositsAt.
	recentDeposits float64
	depositsAt     time.Time
}

func newLedger(now time.Time) ledger { return ledger{accruedAt: now, depositsAt: now} }

func (l *ledger) limited() bool { return l.rate > 0 }

// configure changes the terms. Amounts up to now are accrued at the old rate.
func (l *ledger) configure(now time.Time, entries int, to terms) {
	l.accrue(now, entries)
	l.decay(now, entries)
	l.terms = to
	l.accrue(now, entries)
	l.decay(now, entries)
}

// accrue adds this instance's even share of the rate for the time since the last call.
func (l *ledger) accrue(now time.Time, entries int) {
	elapsed := now.Sub(l.accruedAt).Seconds()
	l.accruedAt = now
	if entries <= 0 {
		return
	}
	part := l.rate / float64(entries)
	l.undeposited = min(l.undeposited+part*elapsed, part*undepositedTime(entries))
}

// undepositedTime returns the longest time, in seconds, for which an instance accrues without
// a withdrawal.
func undepositedTime(entries int) float64 {
	return undepositedPeriods * DepositPeriod(entries).Seconds()
}

// withdraw removes and returns the accrued amount and the unused part of the start credit.
func (l *ledger) withdraw(now time.Time, entries int) float64 {
	l.accrue(now, entries)
	amount := l.undeposited
	l.undeposited = 0
	if entries > 0 {
		amount += l.startCredit / float64(entries)
		l.startCredit = 0
	}
	return amount
}

// share returns the fraction of the limit that was recently deposited into this pool, 0 to 1.
func (l *ledger) share() float64 {
	if l.rate <= 0 {
		return 0
	}
	return min(l.recentDeposits/(l.rate*shareTimeConstant.Seconds()), 1)
}

// size returns the capacity of a pool that receives the whole limit. Undeposited amounts at
// the instances count towards the burst.
func (l *ledger) size(entries int) float64 {
	return max(l.burst-l.rate*undepositedTime(entries), l.rate*minPoolTime.Seconds())
}

// deficit returns what the pool lacks of its capacity, as a fraction of the capacity that a pool
// for the whole limit has; 0 for an unlimited unit.
func (l *ledger) deficit(entries int) float64 {
	if !l.limited() {
		return 0
	}
	return max(l.share()-l.level/l.size(entries), 0)
}

// decay ages the recent deposits and caps the level at the pool's capacity.
func (l *ledger) decay(now time.Time, entries int) {
	l.recentDeposits *= math.Exp(-now.Sub(l.depositsAt).Seconds() / shareTimeConstant.Seconds())
	l.depositsAt = now
	l.level = min(l.level, l.size(entries)*l.share())
}

func (l *ledger) deposit(now time.Time, entries int, amount float64) {
	if !l.limited() || amount <= 0 {
		return
	}
	l.decay(now, entries)
	l.recentDeposits += amount
	l.level = min(l.level+amount, l.size(entries)*l.share())
}

// decide returns whether the pool grants an amount while keeping the fraction reserved of its
// capacity. It takes nothing out of the pool.
func (l *ledger) decide(now time.Time, entries int, amount, reserved float64) Decision {
	if !l.limited() {
		return Decision{Granted: true}
	}
	l.decay(now, entries)
	share := l.share()
	need := max(min(amount, passLevel), amount-l.debt*share)
	if share >= wholeShare {
		need = min(need, l.size(entries)*share)
	}
	if reserved > 0 {
		full := l.size(entries) * share
		need = min(need+reserved*full, max(need, full))
	}
	missing := need - l.level
	if missing <= 0 {
		return Decision{Granted: true, Share: share, Level: l.level}
	}
	// A pool that instances switch to receives deposits of all of them within one period.
	wait := (1-share)*DepositPeriod(entries).Seconds() + missing/l.rate
	wait = min(max(wait, minRetryAfter.Seconds()), maxRetryAfter.Seconds())
	return Decision{RetryAfter: time.Duration(wait * float64(time.Second)), Share: share, Level: l.level}
}
