// Package capacity plans how many backend servers a service runs in a failure domain and on
// which machine classes, and executes the plan under a lease.
//
// # Usage
//
//	manager := capacity.New(capacity.Dependencies{...}, "amman-1", time.Now, random)
//	manager.SetServices(files)
//	go manager.Run(ctx)
//	manager.SetInstances(list)
//	manager.SetPrices(prices)
//	manager.SetDemand("farewell-llm", demand)
//	manager.SetReports("farewell-llm", reports)
//
// A Planner decides for one service in one failure domain. It does no I/O and reads no clock.
// Every action follows from a Plan that was committed to the key-value service by
// compare-and-swap before:
//
//   - A start carries the request id of its entry in the plan. The request id is an idempotency
//     key: at most one instance is started, even if calls are repeated, lost or retried with
//     another machine class.
//   - A stop names an incarnation that was drained under the plan. A drained incarnation never
//     receives new requests, so that a delayed stop is harmless.
//   - An engine order only adds a model or an adapter and is repeated until the server reports
//     it as loaded, so that servers that ignore fencing tokens also recover from a delayed
//     order of a former lease holder.
//
// A lease holder that resumes after its lease expired can therefore repeat actions but not
// revert those of its successor.
//
// # Locks
//
// Manager.mu guards the planners. The lock of Leases is taken under it.
package capacity
