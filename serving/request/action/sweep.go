package action

import "time"

// purgeInterval is the time between two looks for expired claims.
const purgeInterval = 10 * time.Second

// sweep is the state of the removal of what expired.
type sweep struct {
	// next is the number of the next page to be sealed, counted over all buckets.
	next     int64
	purgedAt time.Time
}

func (s *sweep) purgeDue(now time.Time) bool {
	if now.Sub(s.purgedAt) < purgeInterval {
		return false
	}
	s.purgedAt = now
	return true
}

// sweepPages seals expired pages one at a time, evenly over the length of a bucket, and
// removes them another retention later. An entry instance whose clock is slow finds the
// seal in place of a page that seems new.
func (t *Table) sweepPages(now time.Time) {
	age := now.Add(-t.settings.Retention - t.settings.Grace).UnixMilli()
	last := age*PagesPerBucket/BucketLength.Milliseconds() - PagesPerBucket
	if t.sweep.next == 0 {
		t.sweep.next = last + 1
	}
	if t.sweep.next > last {
		return
	}
	sealed := pageNumber(t.sweep.next)
	if t.members.sweeper(sealed+"seal") == t.members.self {
		t.order(Seal{Page: sealed})
	}
	removed := pageNumber(t.sweep.next - int64(t.settings.Retention*PagesPerBucket/BucketLength))
	if t.members.sweeper(removed+"remove") == t.members.self {
		t.order(Delete{Page: removed})
	}
	t.sweep.next++
}

// pageNumber returns the name of a page by its number, counted over all buckets.
func pageNumber(number int64) PageName {
	return pageName(number/PagesPerBucket, int(number%PagesPerBucket))
}
