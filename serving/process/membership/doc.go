// Package membership keeps what one entry instance knows of the others: who is live,
// which incarnation, what is leaving, which configuration is the highest, and how much
// of each backend server and client account the others use.
//
// Entry instances exchange messages of bounded size once a second with a few random
// peers (epidemic anti-entropy, after Demers et al., 1987). Use is summed by cells of a
// failure domain and by failure domains (after the grid box hierarchy of Gupta, van
// Renesse and Birman, 2001), so that the bytes do not grow with the fleet.
//
// # Usage
//
//	table := membership.New(self, seeds, random, membership.DefaultBudget)
//	for _, exchange := range table.Tick(now) { // every TickPeriod
//		reply, err := send(exchange.Address, exchange.Message)
//		if err != nil {
//			table.Failed(now, exchange.Address)
//			continue
//		}
//		table.Receive(now, reply)
//	}
//	for _, change := range table.Changes() {
//		// LeavingHeard, ConfigHeard
//	}
//
// A server answers a peer's message with table.Receive(now, message). Table does no
// I/O and never reads the clock. Its only lock is its own mutex; it calls nothing of
// other packages while it is held, so it stands last in any lock order.
package membership
