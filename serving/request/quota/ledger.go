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

	// unpaid is what was earned until earnedAt and not paid yet.
	unpaid   float64
	earnedAt time.Time
	// credit is what the whole fleet pays at its start, until this instance has paid its part.
	credit float64

	// level is what the pool holds, below zero behind a large request.
	level float64
	// paid is the sum of payments, weighted by age, as of paidAt.
	paid   float64
	paidAt time.Time
}

func newLedger(now time.Time) ledger { return ledger{earnedAt: now, paidAt: now} }

func (l *ledger) limited() bool { return l.rate > 0 }

// configure changes the terms. What was earned before was earned by the old ones.
func (l *ledger) configure(now time.Time, entries int, to terms) {
	l.earn(now, entries)
	l.settle(now, entries)
	l.terms = to
	l.earn(now, entries)
	l.settle(now, entries)
}

// earn adds this instance's even part for the time since the last call.
func (l *ledger) earn(now time.Time, entries int) {
	elapsed := now.Sub(l.earnedAt).Seconds()
	l.earnedAt = now
	if entries <= 0 {
		return
	}
	part := l.rate / float64(entries)
	l.unpaid = min(l.unpaid+part*elapsed, part*unpaidTime(entries))
}

// unpaidTime returns the time's worth of its part that an instance keeps, in seconds.
func unpaidTime(entries int) float64 { return unpaidPeriods * PayPeriod(entries).Seconds() }

// spend takes out what was earned.
func (l *ledger) spend(now time.Time, entries int) float64 {
	l.earn(now, entries)
	amount := l.unpaid
	l.unpaid = 0
	if entries > 0 {
		amount += l.credit / float64(entries)
		l.credit = 0
	}
	return amount
}

// share returns the part of the limit that is paid into this pool.
func (l *ledger) share() float64 {
	if l.rate <= 0 {
		return 0
	}
	return min(l.paid/(l.rate*shareTime.Seconds()), 1)
}

// size returns how much a pool with the whole limit may hold. What the instances have not
// paid yet is a part of the burst.
func (l *ledger) size(entries int) float64 {
	return max(l.burst-l.rate*unpaidTime(entries), l.rate*smallestPool.Seconds())
}

// settle lets payments age, and cuts the level to what the pool may hold.
func (l *ledger) settle(now time.Time, entries int) {
	l.paid *= math.Exp(-now.Sub(l.paidAt).Seconds() / shareTime.Seconds())
	l.paidAt = now
	l.level = min(l.level, l.size(entries)*l.share())
}

func (l *ledger) pay(now time.Time, entries int, amount float64) {
	if !l.limited() || amount <= 0 {
		return
	}
	l.settle(now, entries)
	l.paid += amount
	l.level = min(l.level+amount, l.size(entries)*l.share())
}

// decide tells whether the pool grants an amount and keeps a share of its size for others.
func (l *ledger) decide(now time.Time, entries int, amount, reserved float64) Decision {
	if !l.limited() {
		return Decision{Granted: true}
	}
	l.settle(now, entries)
	share := l.share()
	need := max(min(amount, passing), amount-l.debt*share)
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
	wait = min(max(wait, shortestRetryAfter.Seconds()), longestRetryAfter.Seconds())
	return Decision{RetryAfter: time.Duration(wait * float64(time.Second)), Share: share, Level: l.level}
}
