package route

import (
	"math"
	"time"

	"papayaport.dev/serving/request/prefix"
	"papayaport.dev/serving/version/service"
)

const (
	// defaultAnswerTokens is the assumed answer length of a request that specifies none.
	defaultAnswerTokens = 64

	// Round-trip times to backend servers by distance.
	sameDomainRTT  = 300 * time.Microsecond
	sameRegionRTT  = time.Millisecond
	otherRegionRTT = 40 * time.Millisecond

	// maxReportAge is the age after which a load report is ignored.
	maxReportAge = 5 * time.Second

	// staleCacheShare is the share of expected cached tokens that counts while cache events are
	// missing.
	staleCacheShare = 0.5
	// absoluteDeviation converts a mean absolute deviation into a standard deviation.
	absoluteDeviation = 1.2533
)

// pendingWork is the estimated work of a server before the first token of a request.
type pendingWork struct {
	// tokens is the number of prompt tokens to compute, including those of the request.
	tokens int
	// slot reports whether the request has to wait for a free slot.
	slot bool
}

// estimateInput holds the values that the estimates of one request share.
type estimateInput struct {
	now     monotime
	request *Request
	// home is the block that determines the prompt's home when the request has blocks.
	home      prefix.Block
	hasBlocks bool
	// depths holds the number of cached blocks by column; nil means none.
	depths       []int32
	answerTokens int
	// margin is the safety margin added to estimates at the target's quantile.
	margin time.Duration
}

// reportFresh reports whether the last load report still describes the server's load.
func (b *backend) reportFresh(now monotime) bool {
	return b.reported && now.since(b.reportedAt) < maxReportAge && !b.outdated()
}

// estimatedInFlight returns the number of requests at the server: the maximum of the requests
// counted by all entry instances and the reported ones plus those sent since.
func (b *backend) estimatedInFlight(fresh bool, p features) int {
	if !p.unsettled {
		return b.reportedInFlight
	}
	counted := b.ownLoad.inFlight + b.peerLoad.inFlight
	if !fresh {
		return counted
	}
	return max(b.reportedInFlight+b.unsettled.inFlight(), counted)
}

// estimatedPrefill returns the prompt tokens queued at the server, less those computed since they
// were reported.
func (b *backend) estimatedPrefill(now monotime, fresh bool, p features) int {
	if !p.unsettled {
		return b.reportedPrefill
	}
	counted := b.ownLoad.prefill
	if b.peerLoad.prefill > 0 {
		counted += max(b.peerLoad.prefill-b.speed.computable(now.since(b.peerLoadAt)), 0)
	}
	reported := b.reportedPrefill + b.unsettled.tokens
	if !fresh || reported <= counted {
		return counted
	}
	return max(reported-b.speed.computable(now.since(b.reportedAt)), counted)
}

// betweenTokens returns the estimated time between two tokens of an answer.
func (b *backend) betweenTokens() time.Duration {
	return max(b.observedLatency.between, b.speed.between)
}

// cachedTokens converts a number of cached blocks into the tokens that count as cached. When the
// index holds more blocks than fit into the server's cache, some of them must have been evicted,
// and the result is scaled down accordingly.
func (b *backend) cachedTokens(depth int32) int {
	tokens := int(depth) * prefix.BlockTokens
	if b.stale {
		tokens = int(float64(tokens) * staleCacheShare)
	}
	if held := b.group.cache.counts[b.column]; b.speed.cacheBlocks > 0 && held > b.speed.cacheBlocks {
		tokens = tokens * b.speed.cacheBlocks / held
	}
	return tokens
}

// rtt returns the round-trip time from the entry instance to the server.
func (s Self) rtt(b *Backend) time.Duration {
	switch {
	case s.FailureDomain == b.FailureDomain && s.Region == b.Region:
		return sameDomainRTT
	case s.Region == b.Region:
		return sameRegionRTT
	default:
		return otherRegionRTT
	}
}

// estimate sets all fields of a candidate that depend on its server and the request.
func (t *Table) estimate(c *Candidate, in *estimateInput) {
	b := c.backend
	if in.hasBlocks {
		c.Rank = rank(in.home, b.hash)
	}
	if in.depths != nil && in.depths[b.column] > 0 {
		c.CachedTokens = min(b.cachedTokens(in.depths[b.column]), in.request.PromptTokens)
	}
	fresh := b.reportFresh(in.now)
	c.InFlight = b.estimatedInFlight(fresh, t.features)
	c.BetweenTokens = b.betweenTokens()
	uncached := max(in.request.PromptTokens-c.CachedTokens, 0)
	decode := time.Duration(in.answerTokens) * c.BetweenTokens
	waiting := b.estimatedPrefill(in.now, fresh, t.features)
	c.Utilization = b.utilization.total()
	c.mean = b.speed.prefillTime(waiting+uncached) + c.BetweenTokens + b.rtt
	slot := slotWait(c.InFlight, b.speed.slots, max(decode, b.ownAnswerTime(c.BetweenTokens)))
	c.mean += slot
	c.pendingWork = pendingWork{tokens: waiting + uncached, slot: slot > 0}
	c.FirstToken = c.mean
	if t.features.health {
		c.FirstToken = max(c.mean+b.observedLatency.lateness(in.now)+in.margin, c.mean/2) + b.stall(in.now)
	}
	sharers := min(c.InFlight+1, b.speed.slots)
	c.Cost = b.speed.prefillCost(uncached) + float64(decode)/float64(sharers)*b.speed.price
}

// baseline returns the mean estimate with the time between tokens that the server reports or is
// configured with, instead of the observed one.
func (t *Table) baseline(now monotime, c *Candidate) time.Duration {
	b := c.backend
	answerTokens := t.request.AnswerTokens
	if answerTokens <= 0 {
		answerTokens = defaultAnswerTokens
	}
	waiting := b.estimatedPrefill(now, b.reportFresh(now), t.features)
	uncached := max(t.request.PromptTokens-c.CachedTokens, 0)
	length := max(time.Duration(answerTokens)*b.speed.between, b.ownAnswerTime(b.speed.between))
	return b.speed.prefillTime(waiting+uncached) + b.speed.between + b.rtt + slotWait(c.InFlight, b.speed.slots, length)
}

// ownAnswerTime returns the mean remaining time of this entry instance's answers at the server.
func (b *backend) ownAnswerTime(between time.Duration) time.Duration {
	if b.ownLoad.inFlight == 0 {
		return 0
	}
	return time.Duration(b.ownAnswerTokens) * between / time.Duration(b.ownLoad.inFlight)
}

// slotWait returns the wait for a free slot when all slots are taken by requests of the given
// duration.
func slotWait(inFlight, slots int, length time.Duration) time.Duration {
	ahead := inFlight - slots + 1
	if ahead <= 0 {
		return 0
	}
	return time.Duration(float64(length) * float64(ahead) / float64(slots))
}

// deviationsAbove returns the number of standard deviations by which the target's quantile lies
// above the mean of a normal distribution.
func deviationsAbove(target service.LatencyTarget) float64 {
	if target.Quantile <= 0.5 || target.Quantile >= 1 {
		return 0
	}
	return math.Sqrt2 * math.Erfinv(2*target.Quantile-1)
}
