package occupancy

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Reporter is the side of an instance: it numbers the parts, and takes the own one out of the
// sums that come back.
type Reporter struct {
	mu          sync.Mutex
	instance    uint64
	incarnation uint64
	serial      uint64
	// sent holds the last part in the units of messages, by server.
	sent []Work
	// others holds the sums without the own part, in tokens.
	others []Work
	// taken is when the sums came, zero before the first. made is the moment that they describe
	// in the mean, and oldest that of their oldest part.
	taken, made, oldest time.Time
}

// NewReporter returns the reporter of one incarnation of an instance.
func NewReporter(instance string, incarnation uint64) *Reporter {
	return &Reporter{instance: xxhash.Sum64String(instance), incarnation: incarnation}
}

// Next returns the part to report for the instance's own works.
func (r *Reporter) Next(own []Work) Part {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serial++
	own = own[:min(len(own), maxWorks)]
	packed := pack(make([]byte, 0, (leastWorkBytes+1)*len(own)), own)
	r.sent = append(r.sent[:0], own...)
	for i := range r.sent {
		r.sent[i].Tokens = units(r.sent[i].Tokens)
	}
	slices.SortFunc(r.sent, byServer)
	return Part{Instance: r.instance, Incarnation: r.incarnation, Serial: r.serial, Works: packed}
}

// Take takes in the answer to the last part. It returns false when the sums lack that part,
// as those of a delayed answer do: the own work can't be told from others' then.
func (r *Reporter) Take(now time.Time, reply Reply) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reply.Serial == 0 || reply.Serial != r.serial {
		return false, nil
	}
	sums, err := unpack(make([]Work, 0, len(reply.Sums)/leastWorkBytes), reply.Sums)
	if err != nil {
		return false, err
	}
	others := sums[:0]
	for _, w := range sums {
		if place, found := slices.BinarySearchFunc(r.sent, w, byServer); found {
			w.Requests -= r.sent[place].Requests
			w.Tokens -= r.sent[place].Tokens
		}
		if w.Requests > 0 || w.Tokens > 0 {
			w.Tokens = max(w.Tokens, 0) * tokenUnit
			others = append(others, w)
		}
	}
	r.others, r.taken = others, now
	r.made = now.Add(-time.Duration(reply.MeanMS) * time.Millisecond)
	r.oldest = now.Add(-time.Duration(reply.OldestMS) * time.Millisecond)
	return true, nil
}

func byServer(a, b Work) int {
	switch {
	case a.Server < b.Server:
		return -1
	case a.Server > b.Server:
		return 1
	}
	return 0
}

// Others returns the work of all other instances at the servers where they have any, and the
// moment that it describes in the mean. The slice is not changed later.
func (r *Reporter) Others() (works []Work, made time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.others, r.made
}

// Fresh tells whether the sums count.
func (r *Reporter) Fresh(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.taken.IsZero() && now.Sub(r.taken) < Life
}

// Age returns the age of the oldest part of the last sums, 0 before the first.
func (r *Reporter) Age(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.taken.IsZero() {
		return 0
	}
	return now.Sub(r.oldest)
}
