package occupancy

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Reporter numbers the reports of an instance, and subtracts the instance's own load from the
// totals in the replies.
type Reporter struct {
	mu          sync.Mutex
	instance    uint64
	incarnation uint64
	serial      uint64
	// sent holds the loads of the last report, sorted by server, with Tokens in units.
	sent []ServerLoad
	// others holds the totals without the own load, with Tokens in tokens.
	others []ServerLoad
	// receivedAt is when the last totals arrived, zero before the first. meanTime is the mean time of
	// their reports, and oldestTime the time of the oldest.
	receivedAt, meanTime, oldestTime time.Time
}

// NewReporter returns the reporter of one incarnation of an instance.
func NewReporter(instance string, incarnation uint64) *Reporter {
	return &Reporter{instance: xxhash.Sum64String(instance), incarnation: incarnation}
}

// NextReport returns the next report, with the instance's own load per server.
func (r *Reporter) NextReport(own []ServerLoad) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serial++
	own = own[:min(len(own), maxServers)]
	packed := encodeLoads(make([]byte, 0, (minLoadBytes+1)*len(own)), own)
	r.sent = append(r.sent[:0], own...)
	for i := range r.sent {
		r.sent[i].Tokens = toUnits(r.sent[i].Tokens)
	}
	slices.SortFunc(r.sent, byServer)
	return Report{Instance: r.instance, Incarnation: r.incarnation, Serial: r.serial, Works: packed}
}

// ApplyReply stores the totals of the reply to the last report. It returns false if the totals don't
// include that report, as in a delayed reply: the own load can't be subtracted then.
func (r *Reporter) ApplyReply(now time.Time, reply Reply) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reply.Serial == 0 || reply.Serial != r.serial {
		return false, nil
	}
	sums, err := decodeLoads(make([]ServerLoad, 0, len(reply.Sums)/minLoadBytes), reply.Sums)
	if err != nil {
		return false, err
	}
	others := sums[:0]
	for _, w := range sums {
		if index, found := slices.BinarySearchFunc(r.sent, w, byServer); found {
			w.Requests -= r.sent[index].Requests
			w.Tokens -= r.sent[index].Tokens
		}
		if w.Requests > 0 || w.Tokens > 0 {
			w.Tokens = max(w.Tokens, 0) * tokensPerUnit
			others = append(others, w)
		}
	}
	r.others, r.receivedAt = others, now
	r.meanTime = now.Add(-time.Duration(reply.MeanMS) * time.Millisecond)
	r.oldestTime = now.Add(-time.Duration(reply.OldestMS) * time.Millisecond)
	return true, nil
}

func byServer(a, b ServerLoad) int {
	switch {
	case a.Server < b.Server:
		return -1
	case a.Server > b.Server:
		return 1
	}
	return 0
}

// Others returns the total load of all other instances per server, without servers at zero,
// and the mean time of their reports. The slice is not modified later.
func (r *Reporter) Others() (loads []ServerLoad, meanTime time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.others, r.meanTime
}

// Fresh reports whether the last totals are still within their time to live.
func (r *Reporter) Fresh(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.receivedAt.IsZero() && now.Sub(r.receivedAt) < TTL
}

// Age returns the age of the oldest report in the last totals, 0 before the first.
func (r *Reporter) Age(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.receivedAt.IsZero() {
		return 0
	}
	return now.Sub(r.oldestTime)
}
