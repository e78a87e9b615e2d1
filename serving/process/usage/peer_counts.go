package usage

import (
	"maps"
	"sync"
)

// PeerCounts holds the counts that the processes of entry instances reported to peers while they ran. It
// replaces counts that an instance could not write, because it was partitioned from the store or
// was killed within a window. It is safe for concurrent use.
type PeerCounts struct {
	mu sync.Mutex
	// reports holds the last report of each process, by instance and incarnation.
	reports map[string]map[uint64]map[int64]Counts
}

// NewPeerCounts returns an object without reports.
func NewPeerCounts() *PeerCounts {
	return &PeerCounts{reports: map[string]map[uint64]map[int64]Counts{}}
}

// Record records the counts reported by the process of an incarnation.
func (h *PeerCounts) Record(instance string, incarnation uint64, reports map[int64]Counts) {
	h.mu.Lock()
	defer h.mu.Unlock()
	byIncarnation := h.reports[instance]
	if byIncarnation == nil {
		byIncarnation = map[uint64]map[int64]Counts{}
		h.reports[instance] = byIncarnation
	}
	kept := map[int64]Counts{}
	newest := int64(0)
	for number := range reports {
		newest = max(newest, number)
	}
	for number, counts := range byIncarnation[incarnation] {
		if number > newest-KeptWindows {
			kept[number] = counts
		}
	}
	for number, counts := range reports {
		kept[number] = counts
	}
	byIncarnation[incarnation] = kept
	maps.DeleteFunc(byIncarnation, func(_ uint64, windows map[int64]Counts) bool {
		for number := range windows {
			if number > newest-KeptWindows {
				return false
			}
		}
		return newest > 0
	})
}

// Forget deletes the reports of an instance that is permanently gone.
func (h *PeerCounts) Forget(instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.reports, instance)
}

// Counts returns the counts of an instance in a window: for each account the maximum of the written
// count and the sum over the reports of the instance's processes.
func (h *PeerCounts) Counts(instance string, number int64, written Counts) Counts {
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

// Instances returns the instances with reports.
func (h *PeerCounts) Instances() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var instances []string
	for instance := range h.reports {
		instances = append(instances, instance)
	}
	return instances
}
