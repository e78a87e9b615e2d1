// Package capacity plans how many backend servers a service runs in a failure domain
// and on what, and carries the plan out under a lease.
//
// # Usage
//
//	manager := capacity.New(capacity.Parts{...}, "amman-1", time.Now, random)
//	manager.SetServices(files)
//	go manager.Run(ctx)
//	manager.Instances(list)
//	manager.Prices(prices)
//	manager.Demand("farewell-llm", demand)
//	manager.Servers("farewell-llm", reports)
//
// A Planner decides for one service in one failure domain; it is pure. Every act
// follows from a Plan that was committed to the key-value service by compare-and-swap
// before:
//
//   - A start carries the request id of its place in the plan, which starts at most one
//     instance whatever is repeated, lost or tried on another class.
//   - A stop names an incarnation that the plan has drained; a drained incarnation gets
//     no work again, so that a late order to stop it does no harm.
//   - An engine order only adds (a model, an adapter) and is repeated until the server
//     reports the effect, so that the right order follows a late one also at servers
//     that ignore fencing numbers.
//
// A holder that wakes after its lease lapsed can therefore repeat orders but not undo
// its successor's. Manager.mu guards the planners; the lock of Leases is taken under it.
package capacity
