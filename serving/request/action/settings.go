package action

import "time"

// Settings bounds the records. All entry instances use the same Retention and Skew.
type Settings struct {
	// Retention is the longest retry window: older keys are refused whatever a service's file says.
	Retention time.Duration
	// Skew is how far a key's timestamp may lie in the future of this clock.
	Skew time.Duration
	// Grace is how long pages are kept beyond Retention, so that clocks which differ by less
	// seal no page whose keys are still in their window.
	Grace time.Duration
	// Memory is how long outcomes are kept in memory after they were written, counted
	// from the key's time.
	Memory time.Duration
	// FlushInterval is the shortest time between two swaps of one page by one entry instance.
	FlushInterval time.Duration
	// OutcomeDelay is how long an outcome may wait for a swap that it can share.
	OutcomeDelay time.Duration
	// RetryInterval is the wait before a failed call to the store or a peer is made again.
	RetryInterval time.Duration
	// PeerTimeout bounds a call that passes a claim or an outcome to the usual writer.
	PeerTimeout time.Duration
	// AnswerWait is the longest wait in one call for the answer of a running request.
	AnswerWait time.Duration
	// InlineBytes is the largest answer that is kept in a page, in bytes.
	InlineBytes int
	// PageBytes is the largest page, in bytes.
	PageBytes int
	// AnswersBytes bounds the finished answers kept in memory, in bytes.
	AnswersBytes int
	// MaxWaiting bounds the claims that wait in one entry instance.
	MaxWaiting int
}

// DefaultSettings returns the settings that all entry instances use unless a test says otherwise.
func DefaultSettings() Settings {
	return Settings{
		Retention:     24 * time.Hour,
		Skew:          5 * time.Second,
		Grace:         10 * time.Minute,
		Memory:        time.Hour,
		FlushInterval: 20 * time.Millisecond,
		OutcomeDelay:  100 * time.Millisecond,
		RetryInterval: 100 * time.Millisecond,
		PeerTimeout:   500 * time.Millisecond,
		AnswerWait:    5 * time.Second,
		InlineBytes:   1 << 10,
		PageBytes:     900 << 10,
		AnswersBytes:  8 << 20,
		MaxWaiting:    10_000,
	}
}
