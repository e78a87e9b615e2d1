package outside

import (
	"net/http"
	"time"
)

// Wishes are header fields in which a server asks for something, as they are sent with each
// answer; empty ones are left out.
type Wishes struct {
	// Limit is the number of requests a second that the server takes from all together.
	Limit string
	// Leaving is "1" when the server leaves.
	Leaving string
	// RetryAfter is sent with refusals only, in seconds.
	RetryAfter string
}

// Told is an answer in which the server asked for something.
type Told struct {
	// ID is that of the request that was answered.
	ID string
	At time.Time
	Wishes
}

// Wish sets what the server asks for from now on.
func (b *Backend) Wish(wishes Wishes) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wishes = wishes
}

// Told returns the answers in which the server asked for something.
func (b *Backend) Told() []Told {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Told(nil), b.told...)
}

// tell puts what the server asks for into the head of an answer.
func (b *Backend) tell(id string, header http.Header, refused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	told := Told{ID: id, At: time.Now(), Wishes: b.wishes}
	if !refused {
		told.RetryAfter = ""
	}
	if told.Wishes != (Wishes{}) {
		b.told = append(b.told, told)
	}
	fields := map[string]string{"Server-Limit": b.wishes.Limit, "Server-Leaving": b.wishes.Leaving}
	if refused {
		fields["Retry-After"] = b.wishes.RetryAfter
	}
	for name, value := range fields {
		if value != "" {
			header.Set(name, value)
		}
	}
}
