package engine

import (
	"time"

	"github.com/pkg/errors"
)

// Config describes one engine.
type Config struct {
	// Instance is the instance id.
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	// Slots is the number of requests that run concurrently.
	Slots int `json:"slots"`
	// PrefillPerSecond is the prefill rate in prompt tokens per second.
	PrefillPerSecond float64 `json:"prefill_per_second"`
	// DecodeMS is the duration of a step with one running request, in milliseconds.
	DecodeMS float64 `json:"decode_ms"`
	// BatchShare is the fraction of DecodeMS that each further running request adds to a step.
	BatchShare float64 `json:"batch_share"`
	// CacheTokens is the size of the prefix cache in tokens.
	CacheTokens int `json:"cache_tokens"`
	// Models are the models that are loaded at the start.
	Models []string `json:"models"`
	// Fenced makes the engine refuse orders whose fencing token is lower than an earlier one.
	Fenced bool `json:"fenced"`
	// LoadLagMS is the delay of load reports in milliseconds.
	LoadLagMS int64 `json:"load_lag_ms"`
	// EventLagMS is the delay after which cache events are published, in milliseconds.
	EventLagMS int64 `json:"event_lag_ms"`
	// EventLoss is the probability that a cache event is never published.
	EventLoss float64 `json:"event_loss"`
	// KVBytesPerToken is the size of one token's KV cache in bytes.
	KVBytesPerToken int64 `json:"kv_bytes_per_token"`
	// KVBytesPerSecond is the transfer rate of an export to another engine.
	KVBytesPerSecond float64 `json:"kv_bytes_per_second"`
	// Weights is the base URL of the weight store; if empty, models load without fetching weights.
	Weights string `json:"weights"`
	Seed    uint64 `json:"seed"`
}

// Default returns the configuration of a small engine.
func Default() Config {
	return Config{
		Instance:         "engine",
		Slots:            8,
		PrefillPerSecond: 20000,
		DecodeMS:         8,
		BatchShare:       0.05,
		CacheTokens:      1 << 16,
		KVBytesPerToken:  100 << 10,
		KVBytesPerSecond: 2 << 30,
	}
}

func (c Config) loadLag() time.Duration  { return time.Duration(c.LoadLagMS) * time.Millisecond }
func (c Config) eventLag() time.Duration { return time.Duration(c.EventLagMS) * time.Millisecond }

// stepTime returns the duration of one step of a batch.
func (c Config) stepTime(running int, slow float64) time.Duration {
	ms := c.DecodeMS * (1 + c.BatchShare*float64(max(0, running-1))) * slow
	return time.Duration(ms * float64(time.Millisecond))
}

// Check returns an error for the first invalid value.
func (c Config) Check() error {
	switch {
	case c.Slots <= 0:
		return errors.Errorf("slots is %d, must be positive", c.Slots)
	case c.PrefillPerSecond <= 0:
		return errors.Errorf("prefill per second is %v, must be positive", c.PrefillPerSecond)
	case c.DecodeMS <= 0:
		return errors.Errorf("decode time is %v ms, must be positive", c.DecodeMS)
	case c.CacheTokens <= 0:
		return errors.Errorf("cache is %d tokens, must be positive", c.CacheTokens)
	case c.KVBytesPerSecond <= 0:
		return errors.Errorf("KV cache rate is %v bytes a second, must be positive", c.KVBytesPerSecond)
	}
	return nil
}
