package rollout

import (
	"sync"
	"time"
)

// Book counts how the attempts of one entry instance ended, for each roll-out in progress.
type Book struct {
	mu sync.Mutex
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{} }

// Follow starts the counts of a service's order, and drops those of the one before.
func (b *Book) Follow(service string, order uint64) {}

// Began notes an attempt that waits for its first event or answer, expected after estimate,
// and returns its number, 0 for a service without a roll-out. Now is of a monotonic clock.
func (b *Book) Began(now time.Time, attempt Attempt) uint64 { return 0 }

// First books the first event of an attempt. Without it the first event is that of Answered.
func (b *Book) First(now time.Time, attempt uint64) {}

// Dropped removes an attempt that ended without counting, such as one that its caller left.
func (b *Book) Dropped(attempt uint64) {}

// Answered counts an attempt that ended. Services without a roll-out are not counted.
func (b *Book) Answered(answer Answer) {}

// Evidence returns the counts of a service since Follow, with the attempts that wait at now.
func (b *Book) Evidence(now time.Time, service string) Evidence { return Evidence{} }
