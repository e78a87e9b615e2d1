package usage

import (
	"maps"
	"sync"
)

// Heard holds what processes of entry instances told of their counts while they lived. It
// stands in for what an instance did not get to write: one that was cut off from the
// store, or that was killed in the middle of a window. It is safe for several goroutines.
type Heard struct {
	mu sync.Mutex
	// told holds the last word of each process, by instance.
	reports map[string]map[uint64]map[int64]Counts
}

// NewHeard returns a Heard that knows nothing.
func NewHeard() *Heard { return &Heard{reports: map[string]map[uint64]map[int64]Counts{}} }

// Tell takes in what the process of an incarnation counted.
func (h *Heard) Tell(instance string, incarnation uint64, reports map[int64]Counts) {
	h.mu.Lock()
	defer h.mu.Unlock()
	lives := h.reports[instance]
	if lives == nil {
		lives = map[uint64]map[int64]Counts{}
		h.reports[instance] = lives
	}
	kept := map[int64]Counts{}
	newest := int64(0)
	for number := range reports {
		newest = max(newest, number)
	}
	for number, counts := range lives[incarnation] {
		if number > newest-Kept {
			kept[number] = counts
		}
	}
	for number, counts := range reports {
		kept[number] = counts
	}
	lives[incarnation] = kept
	maps.DeleteFunc(lives, func(_ uint64, windows map[int64]Counts) bool {
		for number := range windows {
			if number > newest-Kept {
				return false
			}
		}
		return newest > 0
	})
}

// Forget drops what an instance told that is gone for good.
func (h *Heard) Forget(instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.reports, instance)
}

// Counts returns the counts of an instance in a window: what it wrote, or what its
// processes told when that is more.
func (h *Heard) Counts(instance string, number int64, written Counts) Counts {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []Counts
	for _, windows := range h.reports[instance] {
		all = append(all, windows[number])
	}
	counts := Sum(all)
	for account, count := range written {
		counts[account] = max(counts[account], count)
	}
	return counts
}

// Instances returns the instances that told something.
func (h *Heard) Instances() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var instances []string
	for instance := range h.reports {
		instances = append(instances, instance)
	}
	return instances
}
