// Package departure decides which entry instances are gone for good, so that what a fleet
// shares evenly is shared by those that are left.
//
// Every instance writes its record again and again. Whoever removes the records of the gone
// watches them, and removes one that has not changed for long. An instance that could not
// write for a shorter time gives its part up by itself before, by a clock that runs on while
// the machine is suspended. So no cut and no freeze can make an instance keep a part that
// others have taken over: it may be without one for a while, and is never counted twice.
//
// # Usage
//
//	own := departure.NewOwn(clock.Boot())
//	own.Wrote(sentAt)              // after each write of the record that was accepted
//	if own.HasPart(clock.Boot()) { // before a part of anything is used
//	}
//	// at the instance that removes records, with each look at them:
//	for _, gone := range watch.Look(clock.Boot(), records) {
//		// remove it, if it still has gone.Revision
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
	// trustedFor is how long behind its last write an instance uses its part.
	validityPeriod = 40 * time.Second
	// GoneAfter is how long a record must not have changed before it is removed. What it is
	// longer than trustedFor covers clocks of different rates and looks that come late.
	GoneAfter = time.Minute
	// lookGap is the longest time between two looks that still belong together. Behind a
	// longer one, as in an outage of the store, all times begin anew.
	maxScanGap = 10 * time.Second
	// transferTime is the time in which a change of the records reaches every instance that
	// is in touch: two transfers.
	propagationTime = 10 * time.Second
	// knownAfter is how long behind the write of its record an instance that had given its
	// part up waits: by then the others count it again or have given up their own.
	reacquireDelay = validityPeriod + propagationTime
)

// Own tells whether this instance has a part of what the fleet shares. It is safe for
// several goroutines.
type Own struct {
	mu sync.Mutex
	// written is when the last accepted write was sent, from is when the part is back.
	lastWrite, validFrom time.Time
}

// NewOwn returns the part of an instance that starts. Times are those of clock.Boot.
func NewOwn(start time.Time) *Own { return &Own{lastWrite: start, validFrom: start} }

// Wrote tells that a write of the record that was sent at a time was accepted.
func (o *Own) Wrote(sentAt time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if sentAt.Sub(o.lastWrite) > validityPeriod {
		o.validFrom = sentAt.Add(reacquireDelay)
	}
	o.lastWrite = sentAt
}

// HasPart tells whether this instance may use its part now.
func (o *Own) HasPart(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return now.Sub(o.lastWrite) <= validityPeriod && !now.Before(o.validFrom)
}

// Record is the record of an entry instance as a look at the store showed it.
type Record struct {
	Instance string
	// Revision changes with each write of the record.
	Revision uint64
	// Live tells that the instance gives signs of life to peers.
	Live bool
}

// Watch follows the records of all entry instances. The zero value has seen none. It is not
// safe for several goroutines.
type Watch struct {
	lastScan     time.Time
	observations map[string]observation
}

type observation struct {
	revision uint64
	since    time.Time
}

// Look takes in the records that the store holds and returns those of instances that are
// gone, sorted by instance.
func (w *Watch) Look(now time.Time, records []Record) []Record {
	if now.Sub(w.lastScan) > maxScanGap {
		w.observations = nil
	}
	w.lastScan = now
	seen := make(map[string]observation, len(records))
	var gone []Record
	for _, r := range records {
		before, known := w.observations[r.Instance]
		if !known || before.revision != r.Revision || r.Live {
			before = observation{r.Revision, now}
		}
		seen[r.Instance] = before
		if now.Sub(before.since) >= GoneAfter {
			gone = append(gone, r)
		}
	}
	w.observations = seen
	slices.SortFunc(gone, func(a, b Record) int { return strings.Compare(a.Instance, b.Instance) })
	return gone
}
