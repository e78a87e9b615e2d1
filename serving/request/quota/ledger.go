package quota

import (
	"math"
	"time"
)

// terms are the figures of a limit in one unit.
type terms struct{ rate, burst, debt, start float64 }

// ledger is what this instance earned of one limit, and its pool.
type ledger struct {
	terms

	// undeposited is what was earned until earnedAt and not paid yet.
	undeposited   float64
	accruedAt time.Time
	// startCredit is what the whole fleet pays at its start, until this instance has paid its part.
	startCredit float64

	// level is what the pool holds, below zero behind a large request.
	level float64
	// recentDeposits is the sum of payments, weighted by age, as of paidAt.
	recentDeposits   float64
	depositsAt time.Time
}

func newLedger(now time.Time) ledger { return ledger{accruedAt: now, depositsAt: now} }

func (l *ledger) limited() bool { return l.rate > 0 }

// configure changes the terms. What was earned before was earned by the old ones.
func (l *ledger) configure(now time.Time, entries int, to terms) {
	l.accrue(now, entries)
	l.decay(now, entries)
	l.terms = to
	l.accrue(now, entries)
	l.decay(now, entries)
}

// accrue adds this instance's even part for the time since the last call.
func (l *ledger) accrue(now time.Time, entries int) {
	elapsed := now.Sub(l.accruedAt).Seconds()
	l.accruedAt = now
	if entries <= 0 {
		return
	}
	part := l.rate / float64(entries)
	l.undeposited = min(l.undeposited+part*elapsed, part*undepositedTime(entries))
}

// undepositedTime returns the time's worth of its part that an instance keeps, in seconds.
func undepositedTime(entries int) float64 { return undepositedPeriods * PayPeriod(entries).Seconds() }

// withdraw takes out what was earned.
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

// share returns the part of the limit that is paid into this pool.
func (l *ledger) share() float64 {
	if l.rate <= 0 {
		return 0
	}
	return min(l.recentDeposits/(l.rate*shareTimeConstant.Seconds()), 1)
}

// size returns how much a pool with the whole limit may hold. What the instances have not
// paid yet is a part of the burst.
func (l *ledger) size(entries int) float64 {
	return max(l.burst-l.rate*undepositedTime(entries), l.rate*minPoolTime.Seconds())
}

// decay lets payments age, and cuts the level to what the pool may hold.
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

// decide tells whether the pool grants an amount and keeps a share of its size for others.
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
	lack := need - l.level
	if lack <= 0 {
		return Decision{Granted: true, Share: share, Level: l.level}
	}
	// A pool that is being turned to is paid by all instances within a period.
	wait := (1-share)*PayPeriod(entries).Seconds() + lack/l.rate
	wait = min(max(wait, minRetryAfter.Seconds()), maxRetryAfter.Seconds())
	return Decision{RetryAfter: time.Duration(wait * float64(time.Second)), Share: share, Level: l.level}
}
