package route

// maxUnsettled bounds the sends remembered for a server that stopped reporting.
const maxUnsettled = 256

// sent is one request sent since the last report.
type sent struct {
	at     moment
	tokens int
}

// unsettled holds what was sent and what ended after the moment that a server's last
// report describes.
type unsettled struct {
	sends []sent
	// tokens is the sum over sends.
	tokens   int
	finished []moment
}

// inFlight returns by how many requests the server's report is behind.
func (u *unsettled) inFlight() int { return len(u.sends) - len(u.finished) }

// send notes a request that went out.
func (u *unsettled) send(now moment, tokens int) {
	if len(u.sends) >= maxUnsettled {
		u.settle(u.sends[maxUnsettled/2].at)
	}
	u.sends = append(u.sends, sent{now, tokens})
	u.tokens += tokens
}

// finish notes the end of an attempt.
func (u *unsettled) finish(now moment) {
	if len(u.finished) >= maxUnsettled {
		u.settle(u.finished[maxUnsettled/2])
	}
	u.finished = append(u.finished, now)
}

// settle forgets what a report of the given moment already counts.
func (u *unsettled) settle(described moment) {
	settled := 0
	for settled < len(u.sends) && u.sends[settled].at <= described {
		u.tokens -= u.sends[settled].tokens
		settled++
	}
	u.sends = append(u.sends[:0], u.sends[settled:]...)
	settled = 0
	for settled < len(u.finished) && u.finished[settled] <= described {
		settled++
	}
	u.finished = append(u.finished[:0], u.finished[settled:]...)
}
