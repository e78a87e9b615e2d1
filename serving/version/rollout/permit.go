package rollout

import "time"

const (
	// permitLife is how long the holder's word lasts.
	permitLife = 2 * time.Second
	// awakeSteady is the longest time between two calls of a gate that follow each other: two
	// rounds of the holder and some delay, where there are no requests. After a longer pause
	// the instance may have been frozen and find old permits in its sockets. Pooling (0.8 s),
	// deciding (0.5 s), a permit read this late and permitLife take 4.5 s together, which is
	// below the usual Limits.Rollback of 5 s.
	awakeSteady = 1200 * time.Millisecond
	// awakeGap is how long after such a pause permits don't count. Old ones are read from a
	// socket at once; the holder's rounds are 500 ms apart.
	awakeGap = 250 * time.Millisecond
)

// lease is what an instance holds of the permits for a service's order.
type lease struct {
	order uint64
	at    time.Time // of the last permit
}

// renew takes in a permit. One for an earlier order than the last is ignored.
func (l *lease) renew(now time.Time, order uint64) {
	if order < l.order || order == l.order && now.Before(l.at) {
		return
	}
	l.order, l.at = order, now
}

func (l *lease) fresh(now time.Time) bool {
	age := now.Sub(l.at)
	return age >= 0 && age <= permitLife
}

// wakefulness tells pauses of the process by the time between calls.
type wakefulness struct {
	last, resumed time.Time
}

// call notes a call of the gate.
func (w *wakefulness) call(now time.Time) {
	if !w.last.IsZero() && now.Sub(w.last) > awakeSteady {
		w.resumed = now
	}
	if now.After(w.last) {
		w.last = now
	}
}

// settled tells whether the last pause is long enough ago for permits to count.
func (w *wakefulness) settled(now time.Time) bool {
	return w.resumed.IsZero() || now.Sub(w.resumed) >= awakeGap
}
