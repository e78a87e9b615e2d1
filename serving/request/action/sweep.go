package action

import "time"

const (
	// purgeInterval is the time between two looks for expired claims.
	purgeInterval = 10 * time.Second
	// secondSweep is how many buckets later a bucket's pages are removed once more, in
	// case the first member to do it failed.
	secondSweep = 30
)

// sweep is the state of the removal of what expired.
type sweep struct {
	// next is the number of the next page to be removed, counted over all buckets.
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

// sweepPages removes expired pages one at a time, evenly over the length of a bucket.
// Every page is removed twice, each time by the member with the highest hash.
func (t *Table) sweepPages(now time.Time) {
	age := now.Add(-t.settings.Retention - t.settings.Grace).UnixMilli()
	last := age*PagesPerBucket/BucketLength.Milliseconds() - PagesPerBucket
	if t.sweep.next == 0 {
		t.sweep.next = last + 1
	}
	if t.sweep.next > last {
		return
	}
	t.sweepPage(t.sweep.next, "first")
	t.sweepPage(t.sweep.next-secondSweep*PagesPerBucket, "second")
	t.sweep.next++
}

func (t *Table) sweepPage(number int64, turn string) {
	page := pageName(number/PagesPerBucket, int(number%PagesPerBucket))
	if t.members.writer(time.Time{}, page+PageName(turn)) == t.members.self {
		t.order(Delete{Page: page})
	}
}
