package usage

import (
	"maps"
	"sync"
)

// FixedSums holds the sums of windows that were fixed for reports, as far as this process has read or
// written them. The store may lose a sum that has been reported, and no other sum of its window may
// be reported then. It is safe for concurrent use.
type FixedSums struct {
	kept int64

	mu   sync.Mutex
	sums map[int64]Counts
}

// NewFixedSums returns an object without sums that keeps those of the newest windows.
func NewFixedSums(kept int64) *FixedSums {
	return &FixedSums{kept: kept, sums: map[int64]Counts{}}
}

// Add adds sums and returns the windows for which another one is known. The known one stays.
func (f *FixedSums) Add(sums map[int64]Counts) (conflicts []int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	newest := int64(0)
	for number, counts := range sums {
		known, found := f.sums[number]
		if !found {
			f.sums[number] = counts
		} else if !maps.Equal(known, counts) {
			conflicts = append(conflicts, number)
		}
	}
	for number := range f.sums {
		newest = max(newest, number)
	}
	maps.DeleteFunc(f.sums, func(number int64, _ Counts) bool { return number <= newest-f.kept })
	return conflicts
}

// Sum returns the fixed sum of a window, and whether it is known.
func (f *FixedSums) Sum(number int64) (Counts, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts, found := f.sums[number]
	return counts, found
}

// All returns all known sums by window.
func (f *FixedSums) All() map[int64]Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.sums)
}
