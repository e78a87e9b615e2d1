package quarantine

import "time"

// history holds when ids were answered last, in two generations, so that old entries are dropped
// together.
type history struct {
	current, before map[uint64]time.Time
	since           time.Time
}

// has reports whether an id was answered recently.
func (h *history) has(now time.Time, id uint64) bool {
	last, found := h.current[id]
	if !found {
		last, found = h.before[id]
	}
	return found && now.Sub(last) < historyPeriod
}

func (h *history) add(now time.Time, ids ...uint64) {
	if h.current == nil || len(h.current) >= maxHistory/2 || now.Sub(h.since) >= historyPeriod {
		h.current, h.before, h.since = map[uint64]time.Time{}, h.current, now
	}
	for _, id := range ids {
		h.current[id] = now
	}
}
