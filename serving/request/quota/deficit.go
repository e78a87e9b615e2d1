package quota

import (
	"math"
	"time"
)

const (
	// deficitSteps is the number of steps that deficits are rounded up to. Each rise by a step has
	// to be stored, so more steps cost more writes.
	deficitSteps = 8
	// inheritTime is how long a process keeps the deficits of its predecessor, so that instances
	// which start later after a common loss still find them.
	inheritTime = 10 * time.Second
)

// Deficits maps client accounts to upper bounds of what their pools at one instance lack, as
// fractions of the capacity that one pool for the whole limit would have. An account without an
// entry has a full pool, or none.
//
// What an account was granted before its pools were lost is at most what it accrued meanwhile and
// the sum of the deficits. So instances that start after all have ended can pay the rest of the
// capacity again without exceeding the limit in any window.
type Deficits map[string]float64

// raise applies the higher deficit of each account.
func (d Deficits) raise(others Deficits) {
	for account, deficit := range others {
		d[account] = max(d[account], deficit)
	}
}

// DeficitLog determines the deficits that an instance stores. It is not safe for concurrent use.
type DeficitLog struct {
	// stored are the deficits in the store, and pending the highest ones since they were written.
	stored, pending Deficits
	// inherited are the deficits of the previous process, kept until inheritedUntil.
	inherited      Deficits
	inheritedUntil time.Time
}

// NewDeficitLog returns the log of a process without a predecessor.
func NewDeficitLog() *DeficitLog { return &DeficitLog{stored: Deficits{}, pending: Deficits{}} }

// Inherit takes over the deficits that the previous process of the instance stored.
func (l *DeficitLog) Inherit(now time.Time, deficits Deficits) {
	l.inherited, l.inheritedUntil = deficits, now.Add(inheritTime)
}

// Observe applies the highest deficits since the last call, as returned by Table.TakeDeficits. It
// returns true if one exceeds what is stored, so that the deficits have to be stored again.
func (l *DeficitLog) Observe(highest Deficits) (exceeded bool) {
	for account, deficit := range highest {
		rounded := math.Ceil(deficit*deficitSteps) / deficitSteps
		if rounded > 0 {
			l.pending[account] = max(l.pending[account], rounded)
			exceeded = exceeded || rounded > l.stored[account]
		}
	}
	return exceeded
}

// Due returns the deficits to store. The caller reports with Stored that it has stored them.
func (l *DeficitLog) Due(now time.Time) Deficits {
	due := Deficits{}
	due.raise(l.pending)
	if now.Before(l.inheritedUntil) {
		due.raise(l.inherited)
	}
	return due
}

// Stored records that the deficits returned by Due are stored. Observe must not be called between
// the two.
func (l *DeficitLog) Stored(deficits Deficits) { l.stored, l.pending = deficits, Deficits{} }

// Lost records that the store may have lost the deficits in it.
func (l *DeficitLog) Lost() {
	l.pending.raise(l.stored)
	l.stored = Deficits{}
}

// StoredDeficits are the deficits that one instance stored.
type StoredDeficits struct {
	Deficits Deficits
	// StoredAt is when they were stored.
	StoredAt time.Time
}

// RemainingShares returns a function that estimates, for each account, the share of its pools'
// capacity that was left when the fleet ended: the whole less the stored deficits, reduced by the
// fraction of instances that have stored nothing within maxAge, whose deficits may be higher.
func RemainingShares(now time.Time, maxAge time.Duration, stored []StoredDeficits) func(account string) float64 {
	sums := Deficits{}
	recent := 0
	for _, s := range stored {
		if now.Sub(s.StoredAt) <= maxAge {
			recent++
		}
		for account, deficit := range s.Deficits {
			sums[account] += deficit
		}
	}
	return func(account string) float64 {
		if len(stored) == 0 {
			return 0
		}
		return max(1-sums[account], 0) * float64(recent) / float64(len(stored))
	}
}
