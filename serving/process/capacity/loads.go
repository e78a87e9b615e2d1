package capacity

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// firstSpacing is the time between two loads after the weight store refused one; it
	// doubles with every refusal up to lastSpacing and halves with every success.
	firstSpacing = time.Second
	lastSpacing  = time.Minute
	// parallelLoads bounds the loads under way.
	parallelLoads = 4
)

// Loads queues the orders that fetch from the weight store, the most valuable for their
// bytes first, and slows down while the weight store refuses.
type Loads struct {
	random  *rand.Rand
	waiting []OrderEngine
	running int
	spacing time.Duration
	next    time.Time
}

// NewLoads returns an empty queue.
func NewLoads(random *rand.Rand) *Loads { return &Loads{random: random} }

// Offer queues an order. A newer order for the same server replaces the older one.
func (l *Loads) Offer(order OrderEngine) {
	l.waiting = slices.DeleteFunc(l.waiting, func(w OrderEngine) bool { return w.Instance == order.Instance })
	l.waiting = append(l.waiting, order)
}

// Next returns the order that is due, if any. Each must be ended by Ended.
func (l *Loads) Next(now time.Time) (OrderEngine, bool) {
	if len(l.waiting) == 0 || l.running >= parallelLoads || now.Before(l.next) {
		return OrderEngine{}, false
	}
	best := 0
	for i := range l.waiting {
		if worth(l.waiting[i]) > worth(l.waiting[best]) {
			best = i
		}
	}
	order := l.waiting[best]
	l.waiting = slices.Delete(l.waiting, best, best+1)
	l.running++
	l.next = now.Add(l.spacing)
	return order, true
}

func worth(order OrderEngine) float64 { return order.Value / float64(max(order.Bytes, 1)) }

// Ended tells whether the weight store refused an order for its rate.
func (l *Loads) Ended(now time.Time, overRate bool) {
	l.running--
	if !overRate {
		l.spacing /= 2
		if l.spacing < firstSpacing/2 {
			l.spacing = 0
		}
		return
	}
	l.spacing = min(max(2*l.spacing, firstSpacing), lastSpacing)
	l.next = now.Add(l.spacing/2 + time.Duration(l.random.Int64N(int64(l.spacing))))
}
