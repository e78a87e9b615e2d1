package action

import "time"

func (w *world) swap(n *node, o Swap) {
	done := func(result StoreResult) {
		w.post(n, 0, func() { w.handle(n, n.table.SwapDone(w.clock(n), o, result)) })
	}
	switch fault := w.fault("swap", 12); {
	case w.store.down || n.cut || n == w.storeCut || fault == 0:
		done(StoreResult{State: StoreUnavailable})
	case w.loseAnswer:
		w.loseAnswer, w.store.down = false, true
		w.store.swap(o)
		done(StoreResult{State: StoreUnknown})
	case fault == 1:
		w.store.swap(o)
		done(StoreResult{State: StoreUnknown})
	case fault == 2:
		late := item{node: w.nodes[0], notBefore: w.now, run: func() { w.store.swap(o) }}
		late.incarnation = late.node.incarnation
		w.bag = append(w.bag, late)
		done(StoreResult{State: StoreUnknown})
	case fault == 3:
		done(w.store.swap(o))
		done(w.store.swap(o))
	default:
		done(w.store.swap(o))
	}
}

func (w *world) read(n *node, o Read) {
	result := w.store.read(o.Page, w.fault("read", 4) == 0)
	if w.store.down || n.cut {
		result = StoreResult{State: StoreUnavailable}
	}
	w.post(n, 0, func() { w.handle(n, n.table.ReadDone(w.clock(n), o, result)) })
}

func (w *world) call(n *node, o Call) {
	asker := n.incarnation
	finish := func(reply Reply, err error, after time.Duration) {
		if n.incarnation != asker {
			return
		}
		w.post(n, after, func() { w.handle(n, n.table.CallDone(w.clock(n), o.ID, reply, err)) })
	}
	timedOut := false
	w.post(n, o.Timeout, func() {
		timedOut = true
		w.handle(n, n.table.CallDone(w.clock(n), o.ID, Reply{}, errTimeout))
	})
	copies := 1
	switch w.fault("call", 10) {
	case 0:
		copies = 0
	case 1:
		copies = 2
	}
	target := w.find(o.To.Instance)
	if target.cut || n.cut {
		return
	}
	for range copies {
		w.nextID++
		id := w.nextID
		w.post(target, 0, func() {
			w.noteLate(o.Query, timedOut || n.table.pending[o.Query.Record.Nonce] == nil)
			target.replies[id] = func(reply Reply) {
				if w.fault("call", 10) != 0 {
					finish(reply, nil, 0)
				}
			}
			w.handle(target, target.table.Query(w.clock(target), id, o.Query))
		})
		// A query also reaches the process that replaces the one it was sent to.
		if w.fault("call", 6) == 0 {
			w.bag[len(w.bag)-1].incarnation++
		}
	}
}

// noteLate records a write that a peer starts after the requesting process has given up: the
// claim may then never be recorded as not run.
func (w *world) noteLate(query Query, late bool) {
	for _, key := range w.keys {
		if late && query.Record.Outcome == Claimed && query.Kind == WriteQuery && key.hash() == query.Record.Hash {
			key.lost = true
		}
	}
}

func (w *world) find(name string) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}
