package rollout

import "time"

const (
	// permitTTL is how long a permit is valid.
	permitTTL = 2 * time.Second
	// maxCallGap is the longest time between two calls of a gate in normal operation: without
	// requests, two rounds of the holder and some delay. After a longer gap the instance may
	// have been frozen and may read old permits from its sockets. Pooling (0.8 s), deciding (0.5
	// s), a permit read this late and permitTTL take 4.5 s together, which is below the default
	// Limits.Rollback of 5 s.
	maxCallGap = 1200 * time.Millisecond
	// resumeHoldOff is how long permits are ignored after such a gap. Old ones are read from a
	// socket at once; the holder's rounds are 500 ms apart.
	resumeHoldOff = 250 * time.Millisecond
)

// permitLease is the lease that permits grant an instance for a service's order.
type permitLease struct {
	order     uint64
	renewedAt time.Time // of the last permit
}

// renew applies a permit. One for an earlier order than the last is ignored.
func (l *permitLease) renew(now time.Time, order uint64) {
	if order < l.order || order == l.order && now.Before(l.renewedAt) {
		return
	}
	l.order, l.renewedAt = order, now
}

func (l *permitLease) fresh(now time.Time) bool {
	age := now.Sub(l.renewedAt)
	return age >= 0 && age <= permitTTL
}

// pauseDetector detects pauses of the process by the time between calls.
type pauseDetector struct {
	lastCall, resumedAt time.Time
}

// observe records a call of the gate.
func (w *pauseDetector) observe(now time.Time) {
	if !w.lastCall.IsZero() && now.Sub(w.lastCall) > maxCallGap {
		w.resumedAt = now
	}
	if now.After(w.lastCall) {
		w.lastCall = now
	}
}

// permitsValid reports whether the last pause is long enough ago for permits to count.
func (w *pauseDetector) permitsValid(now time.Time) bool {
	return w.resumedAt.IsZero() || now.Sub(w.resumedAt) >= resumeHoldOff
}
