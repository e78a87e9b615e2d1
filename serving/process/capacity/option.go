package capacity

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"papayaport.dev/serving/process/platform"
)

const (
	// minBackoff is the back-off after the first refused start. It doubles up to maxBackoff.
	minBackoff = 2 * time.Second
	maxBackoff = 5 * time.Minute
)

// option is a machine class, reclaimable or on demand, in the planner's failure domain, with
// the back-off of starts on it.
type option struct {
	class       string
	reclaimable bool
	index       int // position in the service file
	price       float64

	backoff   time.Duration
	retryAt   time.Time
	refusedAt time.Time
	attempts  int // in flight
}

// newOptions returns the options for starting a server, all without a price.
func newOptions(classes []string, onDemand bool) []*option {
	var all []*option
	for i, class := range classes {
		all = append(all, &option{class: class, reclaimable: true, index: i, price: math.Inf(1)})
		if onDemand {
			all = append(all, &option{class: class, index: i, price: math.Inf(1)})
		}
	}
	return all
}

// sortOptions sorts reclaimable options before on-demand ones, then by price. Options without a
// price come last in their group.
func sortOptions(all []*option) {
	slices.SortFunc(all, func(a, b *option) int {
		if a.reclaimable != b.reclaimable {
			if a.reclaimable {
				return -1
			}
			return 1
		}
		if c := cmp.Compare(a.price, b.price); c != 0 {
			return c
		}
		return a.index - b.index
	})
}

func (o *option) setPrice(domain string, prices []platform.Price) {
	o.price = math.Inf(1)
	for _, p := range prices {
		if p.Class == o.class && p.Reclaimable == o.reclaimable && p.FailureDomain == domain {
			o.price = p.PricePerHour
		}
	}
}

// available reports whether a start may be attempted. After a refusal, an option is probed with
// one attempt at a time.
func (o *option) available(now time.Time) bool {
	if now.Before(o.retryAt) {
		return false
	}
	return o.backoff == 0 || o.attempts == 0
}

// onRefused doubles the back-off, once for attempts that were in flight at the same time.
func (o *option) onRefused(now, sent time.Time, random *rand.Rand) {
	if !o.refusedAt.IsZero() && sent.Before(o.refusedAt) {
		return
	}
	o.refusedAt = now
	o.backoff = min(max(2*o.backoff, minBackoff), maxBackoff)
	o.retryAt = now.Add(o.backoff/2 + time.Duration(random.Int64N(int64(o.backoff))))
}

func (o *option) onStarted() {
	o.backoff = 0
	o.retryAt = time.Time{}
}
