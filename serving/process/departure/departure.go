// Package departure detects entry instances that are permanently gone, so that resources that a
// fleet shares equally are divided among the remaining instances.
//
// Every instance rewrites its record periodically. One instance watches the records and removes
// those that have not changed for GoneAfter. An instance that cannot write its record gives up its
// share earlier than that, measured by a clock that includes time spent suspended. A network
// partition or a suspended machine therefore never makes an instance keep a share that others have
// taken over: it may be without a share for a while, but no share is counted twice.
//
// # Usage
//
//	own := departure.NewShare(clock.Boot())
//	own.RecordWrite(sentAt)              // after each accepted write of the record
//	if own.Usable(clock.Boot()) { // before the share of anything is used
//	}
//	// at the instance that removes records, with each listing:
//	for _, gone := range watch.Scan(clock.Boot(), records) {
//		// remove it, if its revision is still gone.Revision
//	}
package departure

import (
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// RefreshPeriod is the longest time between two writes of a record.
	RefreshPeriod = 15 * time.Second
	// validityPeriod is how long after its last write an instance may use its share.
	validityPeriod = 40 * time.Second
	// GoneAfter is how long a record must be unchanged before it is removed. The difference to
	// validityPeriod covers clocks of different rates and late listings.
	GoneAfter = time.Minute
	// maxScanGap is the longest time between two consecutive listings. After a longer gap, such as
	// an outage of the store, all observations start anew.
	maxScanGap = 10 * time.Second
	// propagationTime is the time in which a change of the records reaches every connected
	// instance: two transfers.
	propagationTime = 10 * time.Second
	// reacquireDelay is how long an instance that had given up its share waits after the next write
	// of its record: by then the others count it again or have given up their own shares.
	reacquireDelay = validityPeriod + propagationTime
)

// Share determines whether this instance may use its share. It is safe for concurrent use.
type Share struct {
	mu sync.Mutex
	// lastWrite is when the last accepted write was sent, validFrom is when the share may be used
	// again.
	lastWrite, validFrom time.Time
}

// NewShare returns the state of an instance that starts. All times are those of clock.Boot.
func NewShare(start time.Time) *Share { return &Share{lastWrite: start, validFrom: start} }

// RecordWrite records that a write of the record sent at sentAt was accepted.
func (o *Share) RecordWrite(sentAt time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if sentAt.Sub(o.lastWrite) > validityPeriod {
		o.validFrom = sentAt.Add(reacquireDelay)
	}
	o.lastWrite = sentAt
}

// Usable reports whether this instance may use its share now.
func (o *Share) Usable(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return now.Sub(o.lastWrite) <= validityPeriod && !now.Before(o.validFrom)
}

// Record is the record of an entry instance in a listing of the store.
type Record struct {
	Instance string
	// Revision changes with each write of the record.
	Revision uint64
	// Live reports whether peers receive heartbeats of the instance.
	Live bool
}

// Watch observes the records of all entry instances. The zero value has no observations. It is not
// safe for concurrent use.
type Watch struct {
	lastScan     time.Time
	observations map[string]observation
}

type observation struct {
	revision uint64
	since    time.Time
}

// Scan records a listing of the store and returns the records of instances that are gone, sorted by
// instance.
func (w *Watch) Scan(now time.Time, records []Record) []Record {
	if now.Sub(w.lastScan) > maxScanGap {
		w.observations = nil
	}
	w.lastScan = now
	observations := make(map[string]observation, len(records))
	var gone []Record
	for _, r := range records {
		before, known := w.observations[r.Instance]
		if !known || before.revision != r.Revision || r.Live {
			before = observation{r.Revision, now}
		}
		observations[r.Instance] = before
		if now.Sub(before.since) >= GoneAfter {
			gone = append(gone, r)
		}
	}
	w.observations = observations
	slices.SortFunc(gone, func(a, b Record) int { return strings.Compare(a.Instance, b.Instance) })
	return gone
}
