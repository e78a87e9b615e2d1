package route

import (
	"time"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/request/prefix"
)

const (
	// usualPrefillPerSec stands for a server that reported no prefill rate, in tokens.
	usualPrefillPerSec = 8000
	// usualDecode stands for a server that reported no time between tokens.
	usualDecode = 20 * time.Millisecond
	// usualSlots stands for a server whose number of slots is not known.
	usualSlots = 8
	// usualPrice stands for an instance without a price, in dollars per hour.
	usualPrice = 1.0
)

// speed holds what follows from a server's instance and its last report, in the units of
// the estimates.
type speed struct {
	// prefill is the time to compute one prompt token, in nanoseconds.
	prefill float64
	// between is the time between tokens by the server's own report.
	between time.Duration
	slots   int
	// price is the price of the instance in dollars per nanosecond.
	price float64
	// cacheBlocks is the size of the cache in blocks, 0 when not known.
	cacheBlocks int
}

// newSpeed derives a server's speed.
func newSpeed(b *Backend, load *engine.Load, learned *rates) speed {
	s := speed{
		between:     time.Duration(load.DecodeMS * float64(time.Millisecond)),
		slots:       load.Slots,
		cacheBlocks: load.CacheCapacity / prefix.BlockTokens,
	}
	rate := load.PrefillPerSec
	if rate <= 0 {
		rate = learned.of(b.configuredRate())
	}
	s.prefill = float64(time.Second) / rate
	if s.between <= 0 {
		s.between = time.Duration(b.DecodeMS * float64(time.Millisecond))
	}
	if s.between <= 0 {
		s.between = usualDecode
	}
	if s.cacheBlocks <= 0 {
		s.cacheBlocks = b.CacheTokens / prefix.BlockTokens
	}
	if s.slots <= 0 {
		s.slots = b.Slots
	}
	if s.slots <= 0 {
		s.slots = usualSlots
	}
	price := b.PricePerHour
	if price <= 0 {
		price = usualPrice
	}
	s.price = price / float64(time.Hour)
	return s
}

// configuredRate returns the prompt tokens a second of a server that was not measured.
func (b *Backend) configuredRate() float64 {
	if b.PrefillPerSec > 0 {
		return b.PrefillPerSec
	}
	return usualPrefillPerSec
}

// prefillTime returns the time to compute a number of prompt tokens.
func (s *speed) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) * s.prefill)
}

// prefillCost returns the price of computing a number of prompt tokens, in dollars.
func (s *speed) prefillCost(tokens int) float64 {
	return float64(tokens) * s.prefill * s.price
}

// computable returns the prompt tokens that the server computes in a time.
func (s *speed) computable(passed time.Duration) int {
	return int(float64(passed) / s.prefill)
}
