package fakeplatform

import (
	"net/http"
	"time"
)

// Backpressure are the backpressure header fields that a server sends with each answer; empty ones
// are omitted.
type Backpressure struct {
	// Limit is the number of requests per second that the server accepts from all callers together.
	Limit string
	// Leaving is "1" when the server is about to shut down.
	Leaving string
	// RetryAfter is in seconds and sent with refusals only.
	RetryAfter string
}

// BackpressureAnswer is an answer that carried backpressure header fields.
type BackpressureAnswer struct {
	// ID is the id of the answered request.
	ID string
	At time.Time
	Backpressure
}

// SetBackpressure sets the backpressure header fields of all later answers.
func (b *Backend) SetBackpressure(backpressure Backpressure) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backpressure = backpressure
}

// BackpressureAnswers returns the answers that carried backpressure header fields.
func (b *Backend) BackpressureAnswers() []BackpressureAnswer {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]BackpressureAnswer(nil), b.backpressureAnswers...)
}

// writeBackpressureHeaders sets the backpressure header fields of an answer and records it.
func (b *Backend) writeBackpressureHeaders(id string, header http.Header, refused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	told := BackpressureAnswer{ID: id, At: time.Now(), Backpressure: b.backpressure}
	if !refused {
		told.RetryAfter = ""
	}
	if told.Backpressure != (Backpressure{}) {
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
