package inbound

import "time"

// phase is what a connection is doing.
type phase int

const (
	// idle: no byte of a request has arrived since the last answer.
	idle phase = iota
	// readingHead and readingBody: a part of a request has arrived.
	readingHead
	readingBody
	// serving: a whole request has arrived and is not answered yet.
	serving
)

const (
	// leastRate is the rate of an ordinary client that sends a request, in bytes per second. Only the
	// time beyond that counts as wasted.
	leastRate = 1 << 20
	// startTime is added to the wasted time, so that of several new requests the largest comes first.
	startTime = 100 * time.Millisecond
	// unreadTime is how long an ordinary client may leave a part of its answer unread before its connection
	// may be closed for others.
	unreadTime = time.Second
	// wasteFactor is the factor by which a connection has to waste more than a new request that is
	// short of memory.
	wasteFactor = 4
)

// use is what a connection holds and for how long.
type use struct {
	phase phase
	// since is when the phase idle began, or the first byte of the request arrived.
	since time.Time
	// held is what the connection holds, in bytes. It includes body, which the handler of the request
	// reserves. Received counts the bytes of the unfinished request.
	held, body, received int64
	// ordinary is set once the client was served an answer.
	ordinary bool
	// writingSince is when a write began that the client has not taken, zero for none.
	writingSince time.Time
}

// isClosable reports whether the connection may be closed for others: no whole request is served on it,
// or its client does not read the answer.
func (u use) isClosable(now time.Time) bool { return u.phase != serving || u.isUnread(now) }

func (u use) isUnread(now time.Time) bool {
	return !u.writingSince.IsZero() && now.Sub(u.writingSince) >= unreadTime
}

// waste ranks connections. Amount is in byte seconds.
type waste struct {
	rank   int
	amount float64
}

// Ranks of waste: an idle connection of an ordinary caller comes last.
const (
	rankOrdinary = iota
	rankWasteful
)

// waste returns what the connection wastes: what it holds, for the time that an ordinary client would not
// have needed.
func (u use) waste(now time.Time) waste {
	if u.isUnread(now) {
		return wasteOf(rankWasteful, u.held, now.Sub(u.writingSince))
	}
	if u.phase == idle && u.ordinary {
		return wasteOf(rankOrdinary, u.held, now.Sub(u.since))
	}
	usual := time.Duration(float64(u.received) / leastRate * float64(time.Second))
	return wasteOf(rankWasteful, u.held, now.Sub(u.since)-usual)
}

func wasteOf(rank int, held int64, wasted time.Duration) waste {
	return waste{rank, float64(held) * (max(wasted, 0) + startTime).Seconds()}
}

// wasteOfNew returns the least waste of a connection that is closed for a new request of some bytes.
func wasteOfNew(bytes int64) waste {
	least := wasteOf(rankWasteful, bytes+ConnectionBytes, 0)
	least.amount *= wasteFactor
	return least
}
