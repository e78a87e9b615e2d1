package action

import (
	"strconv"
	"time"
)

const (
	// purgeInterval is the time between two looks for expired claims.
	purgeInterval = 10 * time.Second
	// secondSweep is how many buckets later a bucket's pages are removed once more, in
	// case the first member to do it failed.
	secondSweep = 30
)

// sweep is the state of the removal of what expired.
type sweep struct {
	// bucket is the next bucket whose pages are to be removed.
	bucket   int64
	purgedAt time.Time
}

func (s *sweep) purgeDue(now time.Time) bool {
	if now.Sub(s.purgedAt) < purgeInterval {
		return false
	}
	s.purgedAt = now
	return true
}

// sweepPages removes the pages of the next expired bucket. Every bucket is removed
// twice, each time by the member with the highest hash.
func (t *Table) sweepPages(now time.Time) {
	expired := now.Add(-t.settings.Retention-t.settings.Grace).UnixMilli()/BucketLength.Milliseconds() - 1
	if t.sweep.bucket == 0 {
		t.sweep.bucket = expired
	}
	if t.sweep.bucket > expired {
		return
	}
	t.sweepBucket(t.sweep.bucket, "first")
	t.sweepBucket(t.sweep.bucket-secondSweep, "second")
	t.sweep.bucket++
}

func (t *Table) sweepBucket(bucket int64, turn string) {
	role := PageName("sweep/" + turn + "/" + strconv.FormatInt(bucket, 10))
	if t.members.writer(time.Time{}, role) != t.members.self {
		return
	}
	for index := range PagesPerBucket {
		t.order(Delete{Page: pageName(bucket, index)})
	}
}
