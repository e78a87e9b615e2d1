package site

import (
	"sync"
	"time"

	"papayaport.dev/serving/request/quota"
)

// startMargin covers adjustments of the machine's clock between two processes.
const startMargin = 2 * time.Second

// needsStartPayment reports whether no earlier process of this instance can have made its start
// payment into pools within the window of the limits. A process that ended before it wrote a
// record has paid nothing. Without a complete record it is not known.
func (s *Site) needsStartPayment() bool {
	if s.record.incomplete {
		return false
	}
	if s.record.previous == 0 {
		return true
	}
	lived := time.Duration(int64(s.incarnation())-int64(s.record.previous)) * time.Millisecond
	return lived > seconds(s.settings.Quota.WindowS)+startMargin
}

// maxDeficitAge is the age from which on the stored deficits of an instance count as unknown: a record is
// written at least once in each usage window.
const maxDeficitAge = 10 * time.Second

// startCredit is the state of this process's part of the start credit.
type startCredit struct {
	mu           sync.Mutex
	due, granted bool
}

// setDue records that the process may pay the start credit, since its record was written.
func (c *startCredit) setDue() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.due = true
}

// claim reports whether the credit has to be granted now. It returns true once.
func (c *startCredit) claim() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	claimed := c.due && !c.granted
	c.granted = c.granted || claimed
	return claimed
}

// grantStartCredit grants the start credit once the process may pay it and the records of the other
// instances, which hold the deficits of their pools, are known.
func (s *Site) grantStartCredit() {
	s.mu.Lock()
	var stored []quota.StoredDeficits
	for _, r := range s.records {
		stored = append(stored, quota.StoredDeficits{Deficits: r.PoolDeficits, StoredAt: time.UnixMilli(r.StoredAtMS)})
	}
	s.mu.Unlock()
	if len(stored) == 0 || !s.startCredit.claim() {
		return
	}
	s.quota.EnableStartCredit(quota.RemainingShares(s.calendar.Now(), maxDeficitAge, stored))
}
