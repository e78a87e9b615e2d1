package fakeplatform

import (
	"net/http"
	"strings"
	"time"
)

// crash is the state of a server that crashes while it serves and is back some time later.
type crash struct {
	// part is the id of a prompt part that crashes the server, empty for none.
	part string
	// body is the body of requests that crash the server, empty for none.
	body string
	// downFor is how long the server is down after a crash.
	downFor time.Duration
	// at holds the times of the crashes so far.
	at []time.Time
	// broken is closed at the next crash.
	broken    chan struct{}
	downUntil time.Time
}

// CrashOn makes the server crash when it begins to answer a request whose prompt has the part,
// other than as its last one. It is back after downFor with a new incarnation.
func (b *Backend) CrashOn(part string, downFor time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crash.part, b.crash.downFor = part, downFor
}

// CrashOnBody makes the server crash when it begins with a request that has the body. It is back
// after downFor with a new incarnation.
func (b *Backend) CrashOnBody(body string, downFor time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crash.body, b.crash.downFor = body, downFor
}

// isDeadlyBody reports whether a request with the body crashes the server.
func (b *Backend) isDeadlyBody(body string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crash.body != "" && b.crash.body == body
}

// Crashes returns the times at which the server crashed.
func (b *Backend) Crashes() []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]time.Time(nil), b.crash.at...)
}

// Crash breaks all connections with a request off, as the end of the server's process does, and
// refuses new ones until the server is back.
func (b *Backend) Crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if now.Before(b.crash.downUntil) {
		return
	}
	b.crash.at = append(b.crash.at, now)
	b.crash.downUntil = now.Add(b.crash.downFor)
	if b.crash.broken != nil {
		close(b.crash.broken)
		b.crash.broken = nil
	}
	time.AfterFunc(b.crash.downFor, func() {
		b.mu.Lock()
		b.incarnation = time.Now().UnixMilli()
		b.mu.Unlock()
		b.Register()
	})
}

// running returns a channel that is closed when the server crashes. It aborts the connection of
// a request that arrives while the server is down.
func (b *Backend) running() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().Before(b.crash.downUntil) {
		panic(http.ErrAbortHandler)
	}
	if b.crash.broken == nil {
		b.crash.broken = make(chan struct{})
	}
	return b.crash.broken
}

// isDeadly reports whether a request crashes the server.
func (b *Backend) isDeadly(r *http.Request) bool {
	b.mu.Lock()
	part := b.crash.part
	b.mu.Unlock()
	parts := strings.Split(r.Header.Get("X-Papayaport-Prompt-Prefix"), ",")
	for _, one := range parts[:len(parts)-1] {
		id, _, _ := strings.Cut(one, ":")
		if part != "" && id == part {
			return true
		}
	}
	return false
}
