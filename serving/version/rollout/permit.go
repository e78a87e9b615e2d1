package rollout

import "time"

const (
	// permitLife is how long the holder's word lasts. With the time to pool and to decide it
	// must stay below Limits.Rollback.
	permitLife = 2 * time.Second
	// permitGap is the least time between two permits that make an expired one fresh again.
	// An instance that was frozen may find old permits in its sockets, which it reads at once;
	// the holder's rounds are 500 ms apart.
	permitGap = 250 * time.Millisecond
)

// lease is what an instance holds of the permits for a service's order.
type lease struct {
	order uint64
	at    time.Time // last permit
	// first is when the first permit after an expiry came, and armed tells that the lease
	// counts.
	first time.Time
	armed bool
}

// renew takes in a permit. One for an earlier order than the last is ignored.
func (l *lease) renew(now time.Time, order uint64) {
	switch {
	case order < l.order || order == l.order && now.Before(l.at):
		return
	case order > l.order:
		*l = lease{order: order, at: now, armed: true}
		return
	}
	if now.Sub(l.at) > permitLife {
		l.armed, l.first = false, now
	}
	l.at = now
	if !l.armed {
		l.armed = now.Sub(l.first) >= permitGap
	}
}

func (l *lease) fresh(now time.Time) bool {
	age := now.Sub(l.at)
	return l.armed && age >= 0 && age <= permitLife
}
