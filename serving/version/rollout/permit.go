package rollout

import "time"

const (
	// permitLife is how long the holder's word lasts.
	permitLife = 2 * time.Second
	// permitSteady is the longest time between two permits that follow each other, two rounds
	// of the holder and some delay. After a longer pause the instance may have been frozen and
	// find old permits in its sockets, so a permit counts only with another one to confirm it.
	// Pooling (0.8 s), deciding (0.5 s), a permit read this late and permitLife take 4.5 s
	// together, which is below the usual Limits.Rollback of 5 s.
	permitSteady = 1200 * time.Millisecond
	// permitGap is the least time between a permit and the one that confirms it. Old permits
	// are read from a socket at once; the holder's rounds are 500 ms apart.
	permitGap = 250 * time.Millisecond
)

// lease is what an instance holds of the permits for a service's order.
type lease struct {
	order uint64
	// at is when the last permit that counts came, and seen when the last one came at all.
	at, seen time.Time
	// first is when the first permit after a pause came.
	first time.Time
}

// renew takes in a permit. One for an earlier order than the last is ignored.
func (l *lease) renew(now time.Time, order uint64) {
	switch {
	case order < l.order || order == l.order && now.Before(l.seen):
		return
	case order > l.order:
		*l = lease{order: order, at: now, seen: now}
		return
	}
	if now.Sub(l.seen) > permitSteady {
		l.first = now
	}
	l.seen = now
	if now.Sub(l.first) >= permitGap {
		l.at = now
	}
}

func (l *lease) fresh(now time.Time) bool {
	age := now.Sub(l.at)
	return age >= 0 && age <= permitLife
}
