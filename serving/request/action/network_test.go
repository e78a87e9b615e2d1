package action

import "time"

func (sim *simulation) swap(n *node, o Swap) {
	done := func(result StoreResult) {
		sim.schedule(n, 0, func() { sim.handle(n, n.table.SwapDone(sim.clock(n), o, result)) })
	}
	switch fault := sim.drawFault("swap", 12); {
	case sim.store.down || n.partitioned || n == sim.withoutStore || fault == 0:
		done(StoreResult{State: StoreUnavailable})
	case sim.loseSwapResponse:
		sim.loseSwapResponse, sim.store.down = false, true
		sim.store.swap(o)
		done(StoreResult{State: StoreUnknown})
	case fault == 1:
		sim.store.swap(o)
		done(StoreResult{State: StoreUnknown})
	case fault == 2:
		delayed := event{node: sim.nodes[0], notBefore: sim.now, run: func() { sim.store.swap(o) }}
		delayed.incarnation = delayed.node.incarnation
		sim.events = append(sim.events, delayed)
		done(StoreResult{State: StoreUnknown})
	case fault == 3:
		done(sim.store.swap(o))
		done(sim.store.swap(o))
	default:
		done(sim.store.swap(o))
	}
}

func (sim *simulation) read(n *node, o Read) {
	result := sim.store.read(o.Page, sim.drawFault("read", 4) == 0)
	if sim.store.down || n.partitioned {
		result = StoreResult{State: StoreUnavailable}
	}
	sim.schedule(n, 0, func() { sim.handle(n, n.table.ReadDone(sim.clock(n), o, result)) })
}

func (sim *simulation) call(n *node, o Call) {
	requester := n.incarnation
	finish := func(reply Reply, err error, after time.Duration) {
		if n.incarnation != requester {
			return
		}
		sim.schedule(n, after, func() { sim.handle(n, n.table.CallDone(sim.clock(n), o.ID, reply, err)) })
	}
	timedOut := false
	sim.schedule(n, o.Timeout, func() {
		timedOut = true
		sim.handle(n, n.table.CallDone(sim.clock(n), o.ID, Reply{}, errTimeout))
	})
	copies := 1
	switch sim.drawFault("call", 10) {
	case 0:
		copies = 0
	case 1:
		copies = 2
	}
	target := sim.nodeByName(o.To.Instance)
	if target.partitioned || n.partitioned {
		return
	}
	for range copies {
		sim.nextID++
		id := sim.nextID
		sim.schedule(target, 0, func() {
			sim.markLateWrite(o.Query, timedOut || n.table.pending[o.Query.Record.Nonce] == nil)
			target.replies[id] = func(reply Reply) {
				if sim.drawFault("call", 10) != 0 {
					finish(reply, nil, 0)
				}
			}
			sim.handle(target, target.table.Query(sim.clock(target), id, o.Query))
		})
		// Addresses the query to the next incarnation, which may start before the delivery.
		if sim.drawFault("call", 6) == 0 {
			sim.events[len(sim.events)-1].incarnation++
		}
	}
}

// markLateWrite marks the key of a write query that a peer receives after the requesting process has
// timed out or ended the claim: the claim may then never be recorded as not run.
func (sim *simulation) markLateWrite(query Query, late bool) {
	for _, key := range sim.keys {
		if late && query.Record.Outcome == Claimed && query.Kind == WriteQuery && key.hash() == query.Record.Hash {
			key.maybeUnrecorded = true
		}
	}
}

func (sim *simulation) nodeByName(name string) *node {
	for _, n := range sim.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}
