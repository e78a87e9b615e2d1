package action

import "time"

// Settings are the limits and intervals of a table. All entry instances must use the same
// Retention and Skew.
type Settings struct {
	// Retention is the longest retry window. Older keys are refused even if a service's file
	// sets a longer one.
	Retention time.Duration
	// Skew is how far a key's timestamp may be ahead of the local clock.
	Skew time.Duration
	// Grace is how long pages are kept beyond Retention. It must exceed the clock difference
	// between instances, so that no page is sealed while its keys are still in their window.
	Grace time.Duration
	// MemoryRetention is how long stored outcomes are also kept in memory, counted from the key's
	// timestamp.
	MemoryRetention time.Duration
	// FlushInterval is the minimum time between two swaps of a page by one entry instance.
	FlushInterval time.Duration
	// OutcomeDelay is how long an outcome may be delayed so that it is written in the same swap
	// as other changes.
	OutcomeDelay time.Duration
	// RetryInterval is the base delay before a failed call to the store or a peer is retried.
	RetryInterval time.Duration
	// PeerTimeout is how long a peer may take to write a forwarded claim or outcome. It is also
	// the time allowed for a call itself, in addition to the wait on the peer's side.
	PeerTimeout time.Duration
	// AnswerWait is the maximum time that one call waits for the answer of a running request.
	AnswerWait time.Duration
	// InlineBytes is the maximum size of an answer that is stored in a page, in bytes.
	InlineBytes int
	// PageBytes is the maximum size of an encoded page, in bytes.
	PageBytes int
	// AnswerCacheBytes is the maximum total size of the answers cached in memory, in bytes.
	AnswerCacheBytes int
	// MaxWaiting is the maximum number of waiting claims in one entry instance.
	MaxWaiting int
}

// DefaultSettings returns the settings of all entry instances outside tests.
func DefaultSettings() Settings {
	return Settings{
		Retention:        24 * time.Hour,
		Skew:             5 * time.Second,
		Grace:            10 * time.Minute,
		MemoryRetention:  time.Hour,
		FlushInterval:    20 * time.Millisecond,
		OutcomeDelay:     100 * time.Millisecond,
		RetryInterval:    100 * time.Millisecond,
		PeerTimeout:      500 * time.Millisecond,
		AnswerWait:       5 * time.Second,
		InlineBytes:      1 << 10,
		PageBytes:        900 << 10,
		AnswerCacheBytes: 8 << 20,
		MaxWaiting:       10_000,
	}
}
