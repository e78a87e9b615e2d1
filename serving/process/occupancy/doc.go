// Package occupancy adds up the work of all entry instances at each backend server: the
// requests in flight and the prompt tokens that are not read yet.
//
// Each instance reports its own absolute figures as a Part to one collector. Collectors pass
// the parts of the instances that report to them on to each other, so that each collector has
// the newest part of every instance, and answer a report with the sums. Parts are passed on
// one by one and not as their sum, because an instance that changes its collector would
// otherwise be counted at both until the older part expires; the size is about the same, as
// an instance has work at few servers at a time.
//
// The package is pure: the caller passes the time and the messages. The caller must use one
// clock for all calls of one value.
//
// # Usage
//
//	reporter := occupancy.NewReporter("entry-1", incarnation)
//	part := reporter.Next(own)                  // each Period, to a collector
//	if reporter.Take(now, reply) {
//		use(reporter.Others())              // fresh until reporter.Fresh(now) is false
//	}
//
//	collector := occupancy.NewCollector()
//	collector.Report(now, part)                 // of an instance
//	reply := collector.Reply(now, part)         // to that instance
//	collector.Passed(now, parts)                // of another collector
//	parts = collector.Direct(now)               // to another collector
//
// # Locks
//
// A Collector and a Reporter each have one mutex and call nothing while it is locked.
package occupancy

import "time"

const (
	// Period is the time between two reports of an instance, and between two exchanges of
	// two collectors. With it a sum is 0.6 s old at most.
	Period = 200 * time.Millisecond
	// Life is how long a part counts after the collector heard it, and how long sums count
	// at the instance that got them: five periods, so that single losses change nothing.
	Life = time.Second
	// memory is how long the serial number of an expired part is kept, so that a message that
	// arrives late does not count again: longer than an instance is frozen in most cases.
	memory = 10 * time.Second
)
