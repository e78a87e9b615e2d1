package capacity

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minSpacing is the interval between two loads after the weight store refused one. It
	// doubles with every refusal up to maxSpacing and halves with every success.
	minSpacing = time.Second
	maxSpacing = time.Minute
	// parallelLoads limits the loads in flight.
	parallelLoads = 4
)

// LoadQueue queues the engine orders that fetch from the weight store, those with the largest
// value per byte first, and reduces their rate while the weight store refuses requests.
type LoadQueue struct {
	random  *rand.Rand
	queued  []OrderEngine
	running int
	spacing time.Duration
	nextAt  time.Time
}

// NewLoadQueue returns an empty queue.
func NewLoadQueue(random *rand.Rand) *LoadQueue { return &LoadQueue{random: random} }

// Enqueue queues an order. It replaces a queued order for the same server.
func (l *LoadQueue) Enqueue(order OrderEngine) {
	l.queued = slices.DeleteFunc(l.queued, func(w OrderEngine) bool { return w.Instance == order.Instance })
	l.queued = append(l.queued, order)
}

// Next returns the next order that is due, if any. The caller calls Finish when it has ended.
func (l *LoadQueue) Next(now time.Time) (OrderEngine, bool) {
	if len(l.queued) == 0 || l.running >= parallelLoads || now.Before(l.nextAt) {
		return OrderEngine{}, false
	}
	best := 0
	for i := range l.queued {
		if valuePerByte(l.queued[i]) > valuePerByte(l.queued[best]) {
			best = i
		}
	}
	order := l.queued[best]
	l.queued = slices.Delete(l.queued, best, best+1)
	l.running++
	l.nextAt = now.Add(l.spacing)
	return order, true
}

func valuePerByte(order OrderEngine) float64 { return order.Value / float64(max(order.Bytes, 1)) }

// Finish records the end of an order, and whether the weight store rejected it because of its
// rate limit.
func (l *LoadQueue) Finish(now time.Time, overRate bool) {
	l.running--
	if !overRate {
		l.spacing /= 2
		if l.spacing < minSpacing/2 {
			l.spacing = 0
		}
		return
	}
	l.spacing = min(max(2*l.spacing, minSpacing), maxSpacing)
	l.nextAt = now.Add(l.spacing/2 + time.Duration(l.random.Int64N(int64(l.spacing))))
}
