package admission

import "time"

// fleet tells how many entry instances there are and how many of them are heard.
type fleet struct {
	// listed is the number of entry instances, this one included.
	listed int
	// heard is the number of entry instances whose use is known, this one included.
	heard int
}

// reservedShare is the share of every limit that is divided evenly, so that an entry
// instance without demand so far can serve its first requests.
const reservedShare = 0.1

// share returns the part of a limit that this entry instance may use.
//
// own is the smallest demand seen here within knowledgeAge, and peers the demand that the
// heard entry instances reported last. Entry instances that are not heard keep an even
// part for themselves. As long as reports are younger than knowledgeAge, every reported
// demand is at least the smallest one that its sender uses for itself, and so the shares
// of all entry instances add up to the limit at most, however demand moves. With the
// buckets, all entry instances together admit at most the limit times a window, one
// burstTime's worth or the account's burst more, and one request for each of them. After a cut, entry instances
// that notice it at different times may exceed this by the share of the one that notices
// it last, for as long as the difference.
func (f fleet) share(limit, own, peers float64) float64 {
	even := limit / float64(max(f.listed, f.heard))
	limit = even * float64(f.heard)
	reserved := reservedShare * limit
	limit -= reserved
	share := reserved / float64(f.heard)
	if own+peers <= limit {
		return share + own + (limit-own-peers)/float64(f.heard)
	}
	return share + limit*own/(own+peers)
}

// limiter divides one limit of one account.
type limiter struct {
	demand demand
	bucket bucket
	// rate is the part of the limit that may be used here, as of the last update.
	rate float64
}

// update computes the rate that the limit allows here, and fills the bucket by it. Burst
// is what may be used at once over all entry instances; it is divided like the limit.
func (l *limiter) update(now time.Time, f fleet, limit, peers, burst float64) {
	steps := lowSteps
	if burst > 0 {
		// The tolerance in the burst covers peers that hear of a jump a little later; the
		// smallest demand of a longer time would leave more of the limit unused.
		steps = toleratedSteps
	}
	l.rate = f.share(limit, l.demand.lowest(now, steps), peers)
	size := max(l.rate*burstTime.Seconds(), passing)
	start := size
	if burst > 0 {
		// A process that starts does not know whether the burst was used before it.
		size, start = max(size, burst*l.rate/limit), passing
	}
	l.bucket.refill(now, l.rate, size, start)
}

// missing returns how long it takes until an amount may be taken, after update.
func (l *limiter) missing(amount float64) time.Duration {
	return l.bucket.missing(amount, l.rate)
}

// fraction returns the part of an indivisible limit, such as a number of requests in
// flight, that this entry instance may use. It adds up to 1 at most like share.
func (f fleet) fraction(own, peers float64) float64 {
	part := 1 / float64(f.heard)
	if own+peers > 0 {
		part = reservedShare*part + (1-reservedShare)*own/(own+peers)
	}
	return part * float64(f.heard) / float64(max(f.listed, f.heard))
}

// bucket is a token bucket that may go into debt by one request, so that requests larger
// than what is left pass at the right rate.
type bucket struct {
	level float64
	at    time.Time
}

// burstTime is the time's worth of a limit that may be used at once.
const burstTime = time.Second

// refill adds what the rate gave since the last call, up to the bucket's size. The first
// call fills it to start.
func (b *bucket) refill(now time.Time, rate, size, start float64) {
	if b.at.IsZero() {
		b.level, b.at = start, now
	}
	b.level = min(b.level+rate*now.Sub(b.at).Seconds(), size)
	b.at = now
}

// passing is the level from which a request of any size may pass.
const passing = 1

// missing returns how long it takes until an amount may be taken, after refill.
func (b *bucket) missing(amount, rate float64) time.Duration {
	lack := min(amount, passing) - b.level
	if lack <= 0 {
		return 0
	}
	if rate <= 0 {
		return longestRetryAfter
	}
	return time.Duration(lack / rate * float64(time.Second))
}
