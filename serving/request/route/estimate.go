package route

import (
	"math"
	"time"

	"papayaport.dev/serving/request/prefix"
	"papayaport.dev/serving/version/service"
)

const (
	// usualAnswerTokens stands for a request that names no answer length.
	usualAnswerTokens = 64

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

// question is what the estimates of one request have in common.
type question struct {
	now     moment
	request *Request
	// home names the prompt's home when the request has blocks.
	home      prefix.Block
	hasBlocks bool
	// depths holds the known blocks by column; nil means none.
	depths       []int32
	answerTokens int
	// margin is what estimates need on top at the target's quantile.
	margin time.Duration
}

// reportFresh tells whether the last report still says something about the load.
func (b *backend) reportFresh(now moment) bool {
	return b.reported && now.since(b.reportedAt) < reportLife
}

// estimatedInFlight returns the requests at the server: the larger of what this and the
// other entry instances count and what the server reported together with later sends.
func (b *backend) estimatedInFlight(fresh bool, p parts) int {
	if !p.unsettled {
		return b.reportedInFlight
	}
	counted := b.own.inFlight + b.peers.inFlight
	if !fresh {
		return counted
	}
	return max(b.reportedInFlight+b.unsettled.inFlight(), counted)
}

// estimatedPrefill returns the prompt tokens that wait at the server, less what it has
// computed since they were reported.
func (b *backend) estimatedPrefill(now moment, fresh bool, p parts) int {
	if !p.unsettled {
		return b.reportedPrefill
	}
	counted := b.own.prefill
	if b.peers.prefill > 0 {
		counted += max(b.peers.prefill-b.speed.computable(now.since(b.peersAt)), 0)
	}
	reported := b.reportedPrefill + b.unsettled.tokens
	if !fresh || reported <= counted {
		return counted
	}
	return max(reported-b.speed.computable(now.since(b.reportedAt)), counted)
}

// betweenTokens returns the estimated time between two tokens of an answer.
func (b *backend) betweenTokens() time.Duration {
	return max(b.observed.between, b.speed.between)
}

// cachedTokens turns a depth of known blocks into the tokens that count as cached. When
// more is known than fits into the server's cache, a part of it must be gone.
func (b *backend) cachedTokens(depth int32) int {
	tokens := int(depth) * prefix.BlockTokens
	if b.stale {
		tokens = int(float64(tokens) * staleTrust)
	}
	if held := b.group.known.counts[b.column]; b.speed.cacheBlocks > 0 && held > b.speed.cacheBlocks {
		tokens = tokens * b.speed.cacheBlocks / held
	}
	return tokens
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
func (t *Table) estimate(c *Candidate, q *question) {
	b := c.backend
	if q.hasBlocks {
		c.Rank = rank(q.home, b.hash)
	}
	if q.depths != nil && q.depths[b.column] > 0 {
		c.CachedTokens = min(b.cachedTokens(q.depths[b.column]), q.request.PromptTokens)
	}
	fresh := b.reportFresh(q.now)
	c.InFlight = b.estimatedInFlight(fresh, t.parts)
	c.BetweenTokens = b.betweenTokens()
	uncached := max(q.request.PromptTokens-c.CachedTokens, 0)
	decode := time.Duration(q.answerTokens) * c.BetweenTokens
	waiting := b.estimatedPrefill(q.now, fresh, t.parts)
	c.Work = b.work.total()
	c.mean = b.speed.prefillTime(waiting+uncached) + c.BetweenTokens + b.trip
	c.mean += slotWait(c.InFlight, b.speed.slots, max(decode, b.ownLength(c.BetweenTokens)))
	c.FirstToken = c.mean
	if t.parts.health {
		c.FirstToken = max(c.mean+b.observed.lateness(q.now)+q.margin, c.mean/2) + b.stall(q.now)
	}
	sharers := min(c.InFlight+1, b.speed.slots)
	c.Cost = b.speed.prefillCost(uncached) + float64(decode)/float64(sharers)*b.speed.price
}

// basis returns the mean of an estimate with the time between tokens that the server reports
// or is configured with, in place of the one that was observed.
func (t *Table) basis(now moment, c *Candidate) time.Duration {
	b := c.backend
	answerTokens := t.request.AnswerTokens
	if answerTokens <= 0 {
		answerTokens = usualAnswerTokens
	}
	waiting := b.estimatedPrefill(now, b.reportFresh(now), t.parts)
	uncached := max(t.request.PromptTokens-c.CachedTokens, 0)
	length := max(time.Duration(answerTokens)*b.speed.between, b.ownLength(b.speed.between))
	return b.speed.prefillTime(waiting+uncached) + b.speed.between + b.trip + slotWait(c.InFlight, b.speed.slots, length)
}

// ownLength returns the mean time that this entry instance's answers at the server may
// still take.
func (b *backend) ownLength(between time.Duration) time.Duration {
	if b.own.inFlight == 0 {
		return 0
	}
	return time.Duration(b.ownAnswer) * between / time.Duration(b.own.inFlight)
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
