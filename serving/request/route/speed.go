package route

import (
	"time"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/request/prefix"
)

const (
	// defaultPrefillPerSec is the prefill rate assumed for a server that reports none, in tokens
	// per second.
	defaultPrefillPerSec = 8000
	// defaultDecode is the time between tokens assumed for a server that reports none.
	defaultDecode = 20 * time.Millisecond
	// defaultSlots is the number of slots assumed for a server that reports none.
	defaultSlots = 8
	// defaultPrice is the price assumed for an instance without a price, in dollars per hour.
	defaultPrice = 1.0
)

// speed holds values derived from a server's instance and its last load report, in the units of the
// estimates.
type speed struct {
	// prefill is the time to compute one prompt token, in nanoseconds.
	prefill float64
	// between is the time between tokens as reported by the server or configured.
	between time.Duration
	slots   int
	// price is the price of the instance in dollars per nanosecond.
	price float64
	// cacheBlocks is the size of the cache in blocks, 0 when unknown.
	cacheBlocks int
}

// newSpeed derives a server's speed. Reported values take precedence over configured ones, and
// those over the defaults.
func newSpeed(b *Backend, load *engine.Load, learned *prefillRates) speed {
	s := speed{
		between:     time.Duration(load.DecodeMS * float64(time.Millisecond)),
		slots:       load.Slots,
		cacheBlocks: load.CacheCapacity / prefix.BlockTokens,
	}
	rate := load.PrefillPerSec
	if rate <= 0 {
		rate = learned.rateFor(b.configuredRate())
	}
	s.prefill = float64(time.Second) / rate
	if s.between <= 0 {
		s.between = time.Duration(b.DecodeMS * float64(time.Millisecond))
	}
	if s.between <= 0 {
		s.between = defaultDecode
	}
	if s.cacheBlocks <= 0 {
		s.cacheBlocks = b.CacheTokens / prefix.BlockTokens
	}
	if s.slots <= 0 {
		s.slots = b.Slots
	}
	if s.slots <= 0 {
		s.slots = defaultSlots
	}
	price := b.PricePerHour
	if price <= 0 {
		price = defaultPrice
	}
	s.price = price / float64(time.Hour)
	return s
}

// configuredRate returns the configured prefill rate or the default, in tokens per second.
func (b *Backend) configuredRate() float64 {
	if b.PrefillPerSec > 0 {
		return b.PrefillPerSec
	}
	return defaultPrefillPerSec
}

// prefillTime returns the time to compute a number of prompt tokens.
func (s *speed) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) * s.prefill)
}

// prefillCost returns the price of computing a number of prompt tokens, in dollars.
func (s *speed) prefillCost(tokens int) float64 {
	return float64(tokens) * s.prefill * s.price
}

// computable returns the number of prompt tokens that the server computes in a duration.
func (s *speed) computable(passed time.Duration) int {
	return int(float64(passed) / s.prefill)
}
