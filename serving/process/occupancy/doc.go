// Package occupancy aggregates the load of all entry instances at each backend server: the
// requests in flight and the prompt tokens that are still to be prefilled.
//
// Each instance sends a report of its own absolute load to one collector. Collectors relay the
// reports that they received directly to each other, so that each collector stores the newest
// report of every instance, and answer a report with the totals per server. Reports are relayed
// individually instead of as a total, because an instance that changes its collector would
// otherwise be counted at both until the older report expires; the size is about the same, as
// an instance has requests at few servers at a time.
//
// The package does no I/O and reads no clock: the caller passes the time and the messages. All
// calls on one value must use the same clock.
//
// # Usage
//
//	reporter := occupancy.NewReporter("entry-1", incarnation)
//	part := reporter.NextReport(own)                  // each ReportInterval, send to a collector
//	if taken, err := reporter.ApplyReply(now, reply); err == nil && taken {
//		use(reporter.Others())              // valid while reporter.Fresh(now)
//	}
//
//	collector := occupancy.NewCollector()
//	collector.AddReport(now, part)              // received from an instance
//	reply := collector.Reply(now, part)         // send to that instance
//	collector.AddRelayed(now, parts)             // received from another collector
//	parts = collector.DirectReports(now)               // send to another collector
//
// # Locks
//
// A Collector and a Reporter each have one mutex. They make no calls outside of the package while
// they hold it.
package occupancy

import "time"

const (
	// ReportInterval is the interval between the reports of an instance, and between the exchanges of
	// two collectors. It limits the age of the totals to 0.6 s.
	ReportInterval = 200 * time.Millisecond
	// TTL is the time to live of a report after a collector received it, and of totals
	// after the instance received them: five intervals, so that the loss of single messages
	// has no effect.
	TTL = time.Second
	// serialRetention is how long the serial number of an expired report is kept, so that a delayed
	// message is not counted again. It is longer than most pauses of an instance.
	serialRetention = 10 * time.Second
)
