// Package membership is the gossip state of one entry instance: the live instances and their
// incarnations, the leaving instances, the highest configuration version, and the usage of each
// backend server and client account at the other instances.
//
// Entry instances exchange messages of limited size once a second with a few random peers
// (epidemic anti-entropy, after Demers et al., 1987). Usage is aggregated per cell, a group of
// members of one failure domain, and per failure domain (after the grid box hierarchy of Gupta,
// van Renesse and Birman, 2001), so that the message size does not grow with the fleet. The live
// member with the lowest id of a cell or a domain aggregates for it; it is called its speaker.
//
// # Usage
//
//	table := membership.New(self, seeds, random, membership.DefaultBudget)
//	for _, exchange := range table.Tick(now) { // every TickPeriod
//		reply, err := send(exchange.Address, exchange.Message)
//		if err != nil {
//			table.MarkFailed(now, exchange.Address)
//			continue
//		}
//		table.Receive(now, reply)
//	}
//	for _, change := range table.TakeChanges() {
//		// LeavingChange, ConfigChange
//	}
//
// A server answers a peer's message with table.Receive(now, message). Table does no I/O and
// reads no clock.
//
// # Locks
//
// Table has one mutex. It takes no other lock while it holds it, so that the mutex comes last in
// any lock order.
package membership
