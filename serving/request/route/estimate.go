package route

import (
	"math"
	"time"

	"papayaport.dev/serving/request/prefix"
	"papayaport.dev/serving/version/service"
)

const (
	// usualPrefillPerSec stands for a server that reported no prefill rate, in tokens.
	usualPrefillPerSec = 8000
	// usualDecode stands for a server that reported no time between tokens.
	usualDecode = 20 * time.Millisecond
	// usualSlots stands for a server whose number of slots is not known.
	usualSlots = 8
	// usualAnswerTokens stands for a request that names no answer length.
	usualAnswerTokens = 64
	// usualPrice stands for an instance without a price, in dollars per hour.
	usualPrice = 1.0

	// Round trips to backend servers by distance.
	sameDomainTrip  = 300 * time.Microsecond
	sameRegionTrip  = time.Millisecond
	otherRegionTrip = 40 * time.Millisecond

	// reportLife is the age beyond which a load report counts no more.
	reportLife = 5 * time.Second

	// staleTrust is the share of expected cached tokens that counts while events are missing.
	staleTrust = 0.5
	// absoluteDeviation turns a mean absolute deviation into a standard deviation.
	absoluteDeviation = 1.2533
)

// sent is one request sent since the last report.
type sent struct {
	at     time.Time
	tokens int
}

// unsettled holds what was sent after the moment that the last report describes.
type unsettled struct {
	sends  []sent
	tokens int
	// finished is the number of attempts that ended since that moment.
	finished []time.Time
}

// maxUnsettled bounds the sends remembered for a server that stopped reporting.
const maxUnsettled = 256

// add notes a send.
func (u *unsettled) add(now time.Time, tokens int) {
	if len(u.sends) >= maxUnsettled {
		u.settle(u.sends[0].at)
	}
	u.sends = append(u.sends, sent{now, tokens})
	u.tokens += tokens
}

// finish notes the end of an attempt.
func (u *unsettled) finish(now time.Time) {
	if len(u.finished) >= maxUnsettled {
		u.finished = append(u.finished[:0], u.finished[1:]...)
	}
	u.finished = append(u.finished, now)
}

// settle forgets what a report of the given moment already counts.
func (u *unsettled) settle(moment time.Time) {
	settled := 0
	for settled < len(u.sends) && !u.sends[settled].at.After(moment) {
		u.tokens -= u.sends[settled].tokens
		settled++
	}
	u.sends = append(u.sends[:0], u.sends[settled:]...)
	settled = 0
	for settled < len(u.finished) && !u.finished[settled].After(moment) {
		settled++
	}
	u.finished = append(u.finished[:0], u.finished[settled:]...)
}

// prefillRate returns the server's prefill rate in tokens a second.
func (b *backend) prefillRate() float64 {
	if b.load.PrefillPerSec > 0 {
		return b.load.PrefillPerSec
	}
	return usualPrefillPerSec
}

// prefillTime returns the time to compute a number of prompt tokens.
func (b *backend) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / b.prefillRate() * float64(time.Second))
}

// prefillCost returns the price of computing a number of prompt tokens, in dollars.
func (b *backend) prefillCost(tokens int) float64 {
	return float64(tokens) / b.prefillRate() * b.pricePerSecond()
}

// pricePerSecond returns the instance's price in dollars a second.
func (b *backend) pricePerSecond() float64 {
	price := b.PricePerHour
	if price <= 0 {
		price = usualPrice
	}
	return price / time.Hour.Seconds()
}

// slots returns the number of requests that the server runs at a time.
func (b *backend) slots() int {
	if b.load.Slots > 0 {
		return b.load.Slots
	}
	if b.Slots > 0 {
		return b.Slots
	}
	return usualSlots
}

// betweenTokens returns the estimated time between two tokens of an answer.
func (b *backend) betweenTokens() time.Duration {
	reported := time.Duration(b.load.DecodeMS * float64(time.Millisecond))
	if b.observed.between > reported {
		return b.observed.between
	}
	if reported > 0 {
		return reported
	}
	return usualDecode
}

// estimatedInFlight returns the requests at the server: the larger of what this and the
// other entry instances count and what the server reported together with later sends.
func (b *backend) estimatedInFlight(now time.Time, p parts) int {
	reported := b.load.Running + b.load.Queued
	if !p.unsettled {
		return reported
	}
	counted := b.inFlight + b.peers.InFlight
	if !b.reportFresh(now) {
		return counted
	}
	return max(reported+len(b.unsettled.sends)-len(b.unsettled.finished), counted)
}

// reportFresh tells whether the last report still says something about the load.
func (b *backend) reportFresh(now time.Time) bool {
	return b.reported && now.Sub(b.reportedAt) < reportLife
}

// estimatedPrefill returns the prompt tokens that wait at the server, less what it has
// computed since the report.
func (b *backend) estimatedPrefill(now time.Time, p parts) int {
	reported := b.load.PrefillTokens
	if !p.unsettled {
		return reported
	}
	counted := b.prefillTokens + max(b.peers.PrefillTokens-b.computable(now, b.peersAt), 0)
	if !b.reportFresh(now) {
		return counted
	}
	return max(reported+b.unsettled.tokens-b.computable(now, b.reportedAt), counted)
}

// computable returns the prompt tokens that the server can compute between two moments.
func (b *backend) computable(now, since time.Time) int {
	return int(now.Sub(since).Seconds() * b.prefillRate())
}

// cachedTokens turns a depth of known blocks into the tokens that count as cached.
func (b *backend) cachedTokens(depth int32) int {
	tokens := float64(int(depth) * prefix.BlockTokens)
	if b.stale {
		tokens *= staleTrust
	}
	if held := b.group.known.counts[b.column] * prefix.BlockTokens; b.load.CacheCapacity > 0 && held > b.load.CacheCapacity {
		tokens *= float64(b.load.CacheCapacity) / float64(held)
	}
	return int(tokens)
}

// trip returns the round trip from the entry instance to the server.
func (s Self) trip(b *Backend) time.Duration {
	switch {
	case s.FailureDomain == b.FailureDomain && s.Region == b.Region:
		return sameDomainTrip
	case s.Region == b.Region:
		return sameRegionTrip
	default:
		return otherRegionTrip
	}
}

// estimate fills a candidate with everything that depends on its server and the request.
func (t *Table) estimate(now time.Time, c *Candidate, request *Request, spread float64) {
	b := c.backend
	c.OwnInFlight = b.inFlight
	c.InFlight = b.estimatedInFlight(now, t.parts)
	c.BetweenTokens = b.betweenTokens()
	answer := request.AnswerTokens
	if answer <= 0 {
		answer = usualAnswerTokens
	}
	uncached := max(request.PromptTokens-c.CachedTokens, 0)
	decode := time.Duration(answer) * c.BetweenTokens
	first := b.prefillTime(b.estimatedPrefill(now, t.parts)+uncached) + c.BetweenTokens
	first += slotWait(c.InFlight, b.slots(), decode) + t.self.trip(&b.Backend)
	c.mean, c.FirstToken = first, first
	if t.parts.health {
		c.FirstToken = b.observed.adjust(first, spread) + b.stall(now)
	}
	sharers := min(c.InFlight+1, b.slots())
	c.Cost = b.prefillCost(uncached) + decode.Seconds()/float64(sharers)*b.pricePerSecond()
}

// slotWait returns the wait for a free slot when all are taken by requests of the given
// length.
func slotWait(inFlight, slots int, length time.Duration) time.Duration {
	ahead := inFlight - slots + 1
	if ahead <= 0 {
		return 0
	}
	return time.Duration(float64(length) * float64(ahead) / float64(slots))
}

// spread returns the number of standard deviations that the target's quantile lies above
// the mean of a normal distribution.
func spread(target service.LatencyTarget) float64 {
	if target.Quantile <= 0.5 || target.Quantile >= 1 {
		return 0
	}
	return math.Sqrt2 * math.Erfinv(2*target.Quantile-1)
}
