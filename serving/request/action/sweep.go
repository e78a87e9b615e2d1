package action

import "time"

// purgeInterval is the time between two scans for expired claims in memory.
const purgeInterval = 10 * time.Second

// sweep is the progress of the removal of expired pages and claims.
type sweep struct {
	// nextPage is the number of the next page to be sealed, counted over all buckets.
	nextPage int64
	purgedAt time.Time
}

func (s *sweep) purgeDue(now time.Time) bool {
	if now.Sub(s.purgedAt) < purgeInterval {
		return false
	}
	s.purgedAt = now
	return true
}

// sweepPages seals expired pages one at a time, spread evenly over the length of a bucket,
// and deletes them after another retention period. Until then, an instance whose clock is
// behind finds the sealed page instead of a missing one, which it would take for a new page.
func (t *Table) sweepPages(now time.Time) {
	age := now.Add(-t.settings.Retention - t.settings.Grace).UnixMilli()
	last := age*PagesPerBucket/BucketLength.Milliseconds() - PagesPerBucket
	if t.sweep.nextPage == 0 {
		t.sweep.nextPage = last + 1
	}
	if t.sweep.nextPage > last {
		return
	}
	sealed := pageByNumber(t.sweep.nextPage)
	if t.members.sweeper(sealed+"seal") == t.members.self {
		t.addOrder(Seal{Page: sealed})
	}
	removed := pageByNumber(t.sweep.nextPage - int64(t.settings.Retention*PagesPerBucket/BucketLength))
	if t.members.sweeper(removed+"remove") == t.members.self {
		t.addOrder(Delete{Page: removed})
	}
	t.sweep.nextPage++
}

// pageByNumber returns the name of a page by its number, counted over all buckets.
func pageByNumber(number int64) PageName {
	return pageName(number/PagesPerBucket, int(number%PagesPerBucket))
}
