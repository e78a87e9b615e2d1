package route

// maxUnsettled limits the entries kept for a server that stopped reporting.
const maxUnsettled = 256

// sent is one request sent since the time of the last load report.
type sent struct {
	at     monotime
	tokens int
}

// unsettled holds the requests sent and finished after the time that a server's last load report
// describes.
type unsettled struct {
	sends []sent
	// tokens is the sum of the tokens in sends.
	tokens   int
	finished []monotime
}

// inFlight returns the number of requests to add to the reported requests in flight.
func (u *unsettled) inFlight() int { return len(u.sends) - len(u.finished) }

// addSend records a sent request.
func (u *unsettled) addSend(now monotime, tokens int) {
	if len(u.sends) >= maxUnsettled {
		u.discardReported(u.sends[maxUnsettled/2].at)
	}
	u.sends = append(u.sends, sent{now, tokens})
	u.tokens += tokens
}

// addFinish records the end of an attempt.
func (u *unsettled) addFinish(now monotime) {
	if len(u.finished) >= maxUnsettled {
		u.discardReported(u.finished[maxUnsettled/2])
	}
	u.finished = append(u.finished, now)
}

// discardReported removes the entries that a load report for the given time includes.
func (u *unsettled) discardReported(described monotime) {
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
