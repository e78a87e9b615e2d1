package quarantine

import "time"

// burst holds the losses of burstPeriod, which are judged together.
type burst struct {
	since  time.Time
	losses []timedLoss
}

type timedLoss struct {
	Loss
	at, wall time.Time
	// ended is set once the request has ended.
	ended bool
}

// judgeBurst adds the reports of the last burst once it is over, unless the network failed.
func (t *Table) judgeBurst(now time.Time) {
	if len(t.burst.losses) == 0 || now.Sub(t.burst.since) < burstPeriod {
		return
	}
	losses := t.burst.losses
	t.burst = burst{}
	isNetwork := t.independentServers(losses) >= burstServers
	for _, loss := range losses {
		if !isNetwork && !t.down[loss.process()] {
			t.addLoss(loss)
		}
	}
	for _, loss := range losses {
		if len(t.down) >= maxDown {
			clear(t.down)
		}
		t.down[loss.process()] = true
	}
}

// independentServers returns the number of servers that broke their connections independently of
// each other. Servers that the same request met one after the other count once, and servers that
// have answered nothing since their last loss do not count.
func (t *Table) independentServers(losses []timedLoss) int {
	group := map[string]string{}
	find := func(server string) string {
		for group[server] != server {
			server = group[server]
		}
		return server
	}
	metBy := map[string]string{}
	for _, loss := range losses {
		if t.down[loss.process()] {
			continue
		}
		if _, found := group[loss.Server]; !found {
			group[loss.Server] = loss.Server
		}
		if before, found := metBy[loss.Request]; found {
			group[find(loss.Server)] = find(before)
		}
		metBy[loss.Request] = loss.Server
	}
	count := 0
	for server, parent := range group {
		if server == parent {
			count++
		}
	}
	return count
}
