package occupancy

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// serverTotal is the total load at one server. Reports refer to it by its index.
type serverTotal struct {
	server   uint32
	requests int
	units    int
	// reports is the number of reports that refer to the total; the index is free at zero.
	reports int
}

// contribution is what one report adds to the total of one server.
type contribution struct {
	index    int32
	requests int32
	units    int32
}

// storedReport is the newest report of an instance.
type storedReport struct {
	instance    uint64
	incarnation uint64
	serial      uint64
	// receivedAt is when a collector received the report from the instance.
	receivedAt time.Time
	// direct is set if this collector received it from the instance.
	direct bool
	// counted is set while the contributions are in the totals. Expired reports are kept
	// uncounted for their serial number.
	counted       bool
	contributions []contribution
	encoded       []byte
}

// Collector stores the newest report of every instance and the totals per server.
type Collector struct {
	mu          sync.Mutex
	totals      []serverTotal
	indexes     map[uint32]int32
	freeIndexes []int32
	reports     []*storedReport
	byInstance  map[uint64]*storedReport
	// decodeBuffer is reused by store.
	decodeBuffer []ServerLoad
}

// NewCollector returns a collector without reports.
func NewCollector() *Collector {
	return &Collector{indexes: map[uint32]int32{}, byInstance: map[uint64]*storedReport{}}
}

// AddReport stores a report received directly from an instance.
func (c *Collector) AddReport(now time.Time, part Report) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	part.AgeMS = 0
	return c.store(now, &part, true)
}

// AddRelayed stores reports relayed by another collector. It returns the error of the first report
// that cannot be stored; the remaining ones are stored nevertheless.
func (c *Collector) AddRelayed(now time.Time, parts []Report) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(parts) > maxReports {
		return errors.Errorf("more than %d parts", maxReports)
	}
	var first error
	for i := range parts {
		if err := c.store(now, &parts[i], false); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// store replaces the stored report of an instance. Outdated and expired reports are ignored.
func (c *Collector) store(now time.Time, part *Report, direct bool) error {
	receivedAt := now.Add(-time.Duration(part.AgeMS) * time.Millisecond)
	stored := c.byInstance[part.Instance]
	if stored != nil && !part.supersedes(stored.incarnation, stored.serial) || now.Sub(receivedAt) >= TTL {
		return nil
	}
	loads, err := decodeLoads(c.decodeBuffer[:0], part.Works)
	c.decodeBuffer = loads[:0]
	if err != nil {
		return err
	}
	if stored == nil {
		if len(c.reports) >= maxReports {
			return errors.Errorf("more than %d instances", maxReports)
		}
		stored = &storedReport{instance: part.Instance}
		c.byInstance[part.Instance], c.reports = stored, append(c.reports, stored)
	}
	c.removeLoads(stored)
	stored.incarnation, stored.serial = part.Incarnation, part.Serial
	stored.receivedAt, stored.direct, stored.counted = receivedAt, direct, true
	stored.encoded = append(stored.encoded[:0], part.Works...)
	for _, w := range loads {
		c.addLoad(stored, w)
	}
	return nil
}

// addLoad adds a report's load at one server to the totals.
func (c *Collector) addLoad(report *storedReport, w ServerLoad) {
	index, found := c.indexes[w.Server]
	if !found {
		index = c.allocateIndex()
		c.totals[index] = serverTotal{server: w.Server}
		c.indexes[w.Server] = index
	}
	s := &c.totals[index]
	s.reports++
	s.requests += w.Requests
	s.units += w.Tokens
	report.contributions = append(report.contributions, contribution{index, int32(w.Requests), int32(w.Tokens)})
}

// allocateIndex returns a free index in the totals.
func (c *Collector) allocateIndex() int32 {
	if last := len(c.freeIndexes) - 1; last >= 0 {
		index := c.freeIndexes[last]
		c.freeIndexes = c.freeIndexes[:last]
		return index
	}
	c.totals = append(c.totals, serverTotal{})
	return int32(len(c.totals) - 1)
}

// removeLoads removes a report's contributions from the totals.
func (c *Collector) removeLoads(report *storedReport) {
	for _, contributed := range report.contributions {
		s := &c.totals[contributed.index]
		s.requests -= int(contributed.requests)
		s.units -= int(contributed.units)
		s.reports--
		if s.reports == 0 {
			delete(c.indexes, s.server)
			c.freeIndexes = append(c.freeIndexes, contributed.index)
		}
	}
	report.contributions, report.counted = report.contributions[:0], false
}

// expire removes expired reports from the totals, and deletes them after serialRetention.
func (c *Collector) expire(now time.Time) {
	kept := c.reports[:0]
	for _, report := range c.reports {
		age := now.Sub(report.receivedAt)
		if report.counted && age >= TTL {
			c.removeLoads(report)
		}
		if age >= serialRetention {
			delete(c.byInstance, report.instance)
			continue
		}
		kept = append(kept, report)
	}
	clear(c.reports[len(kept):])
	c.reports = kept
}

// Reply returns the totals over all instances as the answer to the instance's report.
func (c *Collector) Reply(now time.Time, part Report) Reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	reply := Reply{Sums: make([]byte, 0, (minLoadBytes+1)*len(c.indexes))}
	if stored := c.byInstance[part.Instance]; stored != nil && stored.counted && stored.incarnation == part.Incarnation {
		reply.Serial = stored.serial
	}
	reply.OldestMS, reply.MeanMS = c.reportAges(now)
	for i := range c.totals {
		if s := &c.totals[i]; s.reports > 0 {
			reply.Sums = appendLoad(reply.Sums, s.server, s.requests, s.units)
		}
	}
	return reply
}

// reportAges returns the age of the oldest counted report and the mean age, in milliseconds.
func (c *Collector) reportAges(now time.Time) (oldest, mean uint32) {
	total, counted := time.Duration(0), 0
	longest := time.Duration(0)
	for _, report := range c.reports {
		if report.counted {
			age := max(now.Sub(report.receivedAt), 0)
			total += age
			longest = max(longest, age)
			counted++
		}
	}
	if counted == 0 {
		return 0, 0
	}
	return uint32(longest.Milliseconds()), uint32((total / time.Duration(counted)).Milliseconds())
}

// DirectReports returns copies of the reports received directly from instances, to relay to other
// collectors.
func (c *Collector) DirectReports(now time.Time) []Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	var parts []Report
	for _, report := range c.reports {
		if !report.direct || !report.counted || len(parts) >= maxReports {
			continue
		}
		parts = append(parts, Report{
			Instance: report.instance, Incarnation: report.incarnation, Serial: report.serial,
			AgeMS: uint32(max(now.Sub(report.receivedAt), 0).Milliseconds()), Works: append([]byte{}, report.encoded...),
		})
	}
	return parts
}

// InstanceCount returns the number of instances in the totals.
func (c *Collector) InstanceCount(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	counted := 0
	for _, report := range c.reports {
		if report.counted {
			counted++
		}
	}
	return counted
}
