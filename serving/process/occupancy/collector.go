package occupancy

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// sum is the work at one server. Parts refer to it by its place.
type sum struct {
	server   uint32
	requests int
	units    int
	// parts is the number of parts that refer to the sum; the place is free without any.
	parts int
}

// share is what one part adds to a sum.
type share struct {
	place    int32
	requests int32
	units    int32
}

// held is the newest part of an instance.
type held struct {
	instance    uint64
	incarnation uint64
	serial      uint64
	// heard is when a collector heard the part from the instance.
	heard time.Time
	// direct tells that this collector did.
	direct bool
	// counted tells that the shares are in the sums. Expired parts are kept without.
	counted bool
	shares  []share
	packed  []byte
}

// Collector keeps the newest part of every instance and their sums.
type Collector struct {
	mu     sync.Mutex
	sums   []sum
	places map[uint32]int32
	free   []int32
	parts  []*held
	byName map[uint64]*held
	// works is reused by take.
	works []Work
}

// NewCollector returns a collector that has heard of nobody.
func NewCollector() *Collector {
	return &Collector{places: map[uint32]int32{}, byName: map[uint64]*held{}}
}

// Report takes in the part of an instance that reports here.
func (c *Collector) Report(now time.Time, part Part) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	part.AgeMS = 0
	return c.take(now, &part, true)
}

// Passed takes in the parts of instances that report to another collector. The error is that
// of the first part that can't be read; the others are taken all the same.
func (c *Collector) Passed(now time.Time, parts []Part) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(parts) > maxParts {
		return errors.Errorf("more than %d parts", maxParts)
	}
	var first error
	for i := range parts {
		if err := c.take(now, &parts[i], false); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// take replaces the part of an instance by a newer one.
func (c *Collector) take(now time.Time, part *Part, direct bool) error {
	heard := now.Add(-time.Duration(part.AgeMS) * time.Millisecond)
	known := c.byName[part.Instance]
	if known != nil && !part.newer(known.incarnation, known.serial) || now.Sub(heard) >= Life {
		return nil
	}
	works, err := unpack(c.works[:0], part.Works)
	c.works = works[:0]
	if err != nil {
		return err
	}
	if known == nil {
		if len(c.parts) >= maxParts {
			return errors.Errorf("more than %d instances", maxParts)
		}
		known = &held{instance: part.Instance}
		c.byName[part.Instance], c.parts = known, append(c.parts, known)
	}
	c.uncount(known)
	known.incarnation, known.serial = part.Incarnation, part.Serial
	known.heard, known.direct, known.counted = heard, direct, true
	known.packed = append(known.packed[:0], part.Works...)
	for _, w := range works {
		c.count(known, w)
	}
	return nil
}

// count adds the work at one server to a part.
func (c *Collector) count(h *held, w Work) {
	place, found := c.places[w.Server]
	if !found {
		place = c.place()
		c.sums[place] = sum{server: w.Server}
		c.places[w.Server] = place
	}
	s := &c.sums[place]
	s.parts++
	s.requests += w.Requests
	s.units += w.Tokens
	h.shares = append(h.shares, share{place, int32(w.Requests), int32(w.Tokens)})
}

// place returns a free place.
func (c *Collector) place() int32 {
	if last := len(c.free) - 1; last >= 0 {
		place := c.free[last]
		c.free = c.free[:last]
		return place
	}
	c.sums = append(c.sums, sum{})
	return int32(len(c.sums) - 1)
}

// uncount takes a part out of the sums.
func (c *Collector) uncount(h *held) {
	for _, one := range h.shares {
		s := &c.sums[one.place]
		s.requests -= int(one.requests)
		s.units -= int(one.units)
		s.parts--
		if s.parts == 0 {
			delete(c.places, s.server)
			c.free = append(c.free, one.place)
		}
	}
	h.shares, h.counted = h.shares[:0], false
}

// expire takes expired parts out of the sums, and forgets those that expired long ago.
func (c *Collector) expire(now time.Time) {
	kept := c.parts[:0]
	for _, h := range c.parts {
		age := now.Sub(h.heard)
		if h.counted && age >= Life {
			c.uncount(h)
		}
		if age >= memory {
			delete(c.byName, h.instance)
			continue
		}
		kept = append(kept, h)
	}
	clear(c.parts[len(kept):])
	c.parts = kept
}

// Reply answers the instance that reported a part with the sums of all instances.
func (c *Collector) Reply(now time.Time, asked Part) Reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	reply := Reply{Sums: make([]byte, 0, (leastWorkBytes+1)*len(c.places))}
	if known := c.byName[asked.Instance]; known != nil && known.counted && known.incarnation == asked.Incarnation {
		reply.Serial = known.serial
	}
	reply.OldestMS, reply.MeanMS = c.ages(now)
	for i := range c.sums {
		if s := &c.sums[i]; s.parts > 0 {
			reply.Sums = appendWork(reply.Sums, s.server, s.requests, s.units)
		}
	}
	return reply
}

// ages returns the age of the oldest part and the mean age in milliseconds.
func (c *Collector) ages(now time.Time) (oldest, mean uint32) {
	total, counted := time.Duration(0), 0
	longest := time.Duration(0)
	for _, h := range c.parts {
		if h.counted {
			age := max(now.Sub(h.heard), 0)
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

// Direct returns the parts of the instances that report here, for other collectors. They are
// copies.
func (c *Collector) Direct(now time.Time) []Part {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	var parts []Part
	for _, h := range c.parts {
		if !h.direct || !h.counted || len(parts) >= maxParts {
			continue
		}
		parts = append(parts, Part{
			Instance: h.instance, Incarnation: h.incarnation, Serial: h.serial,
			AgeMS: uint32(max(now.Sub(h.heard), 0).Milliseconds()), Works: append([]byte{}, h.packed...),
		})
	}
	return parts
}

// Instances returns the number of instances in the sums.
func (c *Collector) Instances(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	counted := 0
	for _, h := range c.parts {
		if h.counted {
			counted++
		}
	}
	return counted
}
