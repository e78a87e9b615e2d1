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
	// firstBackoff is the wait after the first refused start; it doubles up to lastBackoff.
	firstBackoff = 2 * time.Second
	lastBackoff  = 5 * time.Minute
)

// option is a machine class, reclaimable or on demand, in the planner's failure domain.
type option struct {
	class       string
	reclaimable bool
	place       int // in the service file
	price       float64

	backoff  time.Duration
	until    time.Time
	refused  time.Time
	attempts int // under way
}

// options returns the ways to start a server. Reclaimable ones stand before on-demand
// ones, the cheaper before the dearer, and those of unknown price last.
func options(classes []string, onDemand bool) []*option {
	var all []*option
	for i, class := range classes {
		all = append(all, &option{class: class, reclaimable: true, place: i, price: math.Inf(1)})
		if onDemand {
			all = append(all, &option{class: class, place: i, price: math.Inf(1)})
		}
	}
	return all
}

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
		return a.place - b.place
	})
}

func (o *option) takePrice(domain string, prices []platform.Price) {
	o.price = math.Inf(1)
	for _, p := range prices {
		if p.Class == o.class && p.Reclaimable == o.reclaimable && p.FailureDomain == domain {
			o.price = p.PricePerHour
		}
	}
}

// free tells whether an attempt may go out. An option that was refused last is probed by
// one attempt at a time.
func (o *option) free(now time.Time) bool {
	if now.Before(o.until) {
		return false
	}
	return o.backoff == 0 || o.attempts == 0
}

// refuse doubles the wait, once for attempts that were under way together.
func (o *option) refuse(now, sent time.Time, random *rand.Rand) {
	if !o.refused.IsZero() && sent.Before(o.refused) {
		return
	}
	o.refused = now
	o.backoff = min(max(2*o.backoff, firstBackoff), lastBackoff)
	o.until = now.Add(o.backoff/2 + time.Duration(random.Int64N(int64(o.backoff))))
}

func (o *option) succeed() {
	o.backoff = 0
	o.until = time.Time{}
}
