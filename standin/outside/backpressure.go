package outside

import (
	"net/http"
	"time"
)

// Wishes are the backpressure header fields that a server sends with each answer; empty ones
// are omitted.
type Wishes struct {
	// Limit is the number of requests per second that the server accepts from all callers together.
	Limit string
	// Leaving is "1" when the server is about to shut down.
	Leaving string
	// RetryAfter is in seconds and sent with refusals only.
	RetryAfter string
}

// Told is an answer that carried backpressure header fields.
type Told struct {
	// ID is the id of the answered request.
	ID string
	At time.Time
	Wishes
}

// Wish sets the backpressure header fields of all later answers.
func (b *Backend) Wish(backpressure Wishes) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backpressure = backpressure
}

// Told returns the answers that carried backpressure header fields.
func (b *Backend) Told() []Told {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Told(nil), b.backpressureAnswers...)
}

// writeBackpressureHeaders sets the backpressure header fields of an answer and records it.
func (b *Backend) writeBackpressureHeaders(id string, header http.Header, refused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	told := Told{ID: id, At: time.Now(), Wishes: b.backpressure}
	if !refused {
		told.RetryAfter = ""
	}
	if told.Wishes != (Wishes{}) {
		b.backpressureAnswers = append(b.backpressureAnswers, told)
	}
	fields := map[string]string{"Server-Limit": b.backpressure.Limit, "Server-Leaving": b.backpressure.Leaving}
	if refused {
		fields["Retry-After"] = b.backpressure.RetryAfter
	}
	for name, value := range fields {
		if value != "" {
			header.Set(name, value)
		}
	}
}
