package admission

import "time"

// fleet holds the number of entry instances and of those with a recent usage report.
type fleet struct {
	// listed is the number of entry instances, including this one.
	listed int
	// reporting is the number of entry instances whose usage is known, including this one.
	reporting int
}

// reservedShare is the fraction of every limit that is divided evenly, so that an entry
// instance without any demand so far can admit its first requests.
const reservedShare = 0.1

// share returns the part of a limit that this entry instance may use.
//
// own is the smallest local demand within maxReportAge, and peers the demand in the last
// reports of the other entry instances. Each entry instance without a recent report keeps an
// even part. As long as reports are younger than maxReportAge, every reported demand is at
// least the minimum that its sender uses for itself, so the shares of all entry instances
// add up to at most the limit, however demand moves. Including the buckets, all entry
// instances together admit at most the limit times the window, plus one burstTime of the
// limit or the account's burst, plus one request per instance. After a network partition,
// instances that detect it at different times may exceed this bound by the share of the one
// that detects it last, for the time between the first and the last detection.
func (f fleet) share(limit, own, peers float64) float64 {
	even := limit / float64(max(f.listed, f.reporting))
	limit = even * float64(f.reporting)
	reserved := reservedShare * limit
	limit -= reserved
	share := reserved / float64(f.reporting)
	if own+peers <= limit {
		return share + own + (limit-own-peers)/float64(f.reporting)
	}
	return share + limit*own/(own+peers)
}

// limiter enforces this entry instance's share of one limit of one account.
type limiter struct {
	demand demand
	bucket bucket
	// rate is this instance's share of the limit per second, as of the last update.
	rate float64
}

// update recomputes this instance's share of the limit and refills the bucket at that rate.
// burst is the amount that may be used at once across all entry instances; it is divided in
// the same proportion as the limit.
func (l *limiter) update(now time.Time, f fleet, limit, peers, burst float64) {
	steps := minimumSteps
	if burst > 0 {
		// The tolerance in the burst covers peers that receive a sudden increase late. The
		// minimum over a longer time would leave more of the limit unused.
		steps = toleratedSteps
	}
	l.rate = f.share(limit, l.demand.minimum(now, steps), peers)
	size := max(l.rate*burstTime.Seconds(), passLevel)
	start := size
	if burst > 0 {
		// Start without the burst: an earlier process may have used it already.
		size, start = max(size, burst*l.rate/limit), passLevel
	}
	l.bucket.refill(now, l.rate, size, start)
}

// delay returns the time until an amount may be taken. Call update first.
func (l *limiter) delay(amount float64) time.Duration {
	return l.bucket.delay(amount, l.rate)
}

// fraction returns the fraction of a limit, such as a number of requests in flight, that
// this entry instance may use. Like the results of share, the fractions of all entry
// instances add up to at most 1.
func (f fleet) fraction(own, peers float64) float64 {
	part := 1 / float64(f.reporting)
	if own+peers > 0 {
		part = reservedShare*part + (1-reservedShare)*own/(own+peers)
	}
	return part * float64(f.reporting) / float64(max(f.listed, f.reporting))
}

// bucket is a token bucket whose level may become negative by one request, so that requests
// larger than the level are admitted at the right average rate.
type bucket struct {
	level float64
	at    time.Time
}

// burstTime is the default bucket size, as the time in which the rate fills the bucket.
const burstTime = time.Second

// refill adds the tokens accrued since the last call, up to the bucket's size. The first call
// sets the level to start.
func (b *bucket) refill(now time.Time, rate, size, start float64) {
	if b.at.IsZero() {
		b.level, b.at = start, now
	}
	b.level = min(b.level+rate*now.Sub(b.at).Seconds(), size)
	b.at = now
}

// passLevel is the bucket level from which a request of any size is admitted.
const passLevel = 1

// delay returns the time until an amount may be taken. Call refill first.
func (b *bucket) delay(amount, rate float64) time.Duration {
	missing := min(amount, passLevel) - b.level
	if missing <= 0 {
		return 0
	}
	if rate <= 0 {
		return maxRetryAfter
	}
	return time.Duration(missing / rate * float64(time.Second))
}
