package membership_test

import (
	"fmt"
	"maps"
	"math"
	"runtime"
	"slices"
	"testing"
	"time"

	"papayaport.dev/serving/process/membership"
	"papayaport.dev/serving/process/platform"
)

// Size and load of the target fleet.
const (
	targetEntries    = 380
	targetBackends   = 720
	targetDomains    = 6
	inFlightPerEntry = 99 // 3,100 requests per second of 450 tokens at 27 ms each, over 380
	fleetAccounts    = 60
	accountsPerEntry = 20
)

// setRandomUsage sets a new random usage of the failure domain's backend servers at an entry
// instance.
func (n *network) setRandomUsage(node *node, domain, backends int) {
	inFlight := make(map[int]int)
	for range inFlightPerEntry {
		inFlight[n.random.IntN(backends)]++
	}
	local := membership.LocalState{ConfigVersion: 1}
	for b := range backends {
		if inFlight[b] > 0 {
			use := membership.BackendUsage{Backend: fmt.Sprintf("runner-%d-%d", domain, b), InFlight: inFlight[b], PrefillTokens: n.random.IntN(8000)}
			local.Backends = append(local.Backends, use)
		}
	}
	for range accountsPerEntry {
		name := fmt.Sprintf("service/account-%d", n.random.IntN(fleetAccounts))
		if slices.ContainsFunc(local.Accounts, func(a membership.AccountUsage) bool { return a.Account == name }) {
			continue
		}
		local.Accounts = append(local.Accounts, membership.AccountUsage{Account: name, RequestsPerSecond: n.random.Float64() * 2, TokensPerSecond: n.random.Float64() * 900, InFlight: n.random.IntN(12)})
	}
	node.local = local
	node.table.SetLocal(n.now, local)
}

func (n *network) instanceList() []platform.Instance {
	var list []platform.Instance
	for _, address := range n.order {
		m := n.nodes[address].member
		list = append(list, platform.Instance{
			ID: m.Instance, Incarnation: m.Incarnation, Role: platform.EntryRole, Address: m.CallerAddress,
			PeerAddress: m.PeerAddress, Region: m.Region, FailureDomain: m.FailureDomain,
		})
	}
	return list
}

// startFleet starts a fleet at the same time, with an instance list and constant usage.
func startFleet(t testing.TB, entries, domains int, seed uint64) (*network, []*node) {
	n := newNetwork(t, seed)
	nodes := n.fleet(entries, domains, membership.DefaultBudget)
	list := n.instanceList()
	for i, node := range nodes {
		node.table.MergeInstances(n.now, list)
		for a := range fleetAccounts {
			node.table.RegisterNames(fmt.Sprintf("service/account-%d", a))
		}
		n.setRandomUsage(node, i%domains, 1)
	}
	return n, nodes
}

// settle runs until the total of the accounts' requests in flight at every entry instance is
// within a share of the actual total, for at most two minutes. It returns the time needed.
func (n *network) settle(nodes []*node, share float64) time.Duration {
	inFlight := func(accounts []membership.AccountUsage) (sum float64) {
		for _, a := range accounts {
			sum += float64(a.InFlight)
		}
		return sum
	}
	actual := 0.0
	for _, node := range nodes {
		actual += inFlight(node.local.Accounts)
	}
	settled := func() bool {
		for _, node := range nodes {
			accounts := slices.Collect(maps.Values(node.table.Totals(n.now).ByAccount))
			if want := actual - inFlight(node.local.Accounts); math.Abs(inFlight(accounts)-want) > share*want {
				return false
			}
		}
		return true
	}
	startedAt := n.now
	for !settled() && n.now.Sub(startedAt) < 2*time.Minute {
		n.run(time.Second)
	}
	return n.now.Sub(startedAt)
}

// BenchmarkEntrySecond runs fleets of tables connected by encoded messages. One operation is one
// second of the fleet, with usage that changes every second.
func BenchmarkEntrySecond(b *testing.B) {
	for _, entries := range []int{8, 32, 64, 128, targetEntries} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			n, nodes := startFleet(b, entries, targetDomains, 7)
			backends := max(1, targetBackends*entries/targetEntries/targetDomains)
			runSecond := func() {
				for i, node := range nodes {
					n.setRandomUsage(node, i%targetDomains, backends)
				}
				n.run(time.Second)
			}
			for range 20 {
				runSecond()
			}
			n.bytes = 0
			for _, node := range nodes {
				node.bytes = 0
			}
			b.ResetTimer()
			for range b.N {
				runSecond()
			}
			b.StopTimer()
			seconds := float64(b.N) * float64(entries)
			busiest := int64(0)
			for _, node := range nodes {
				busiest = max(busiest, node.bytes)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/seconds, "ns/entry-second")
			b.ReportMetric(2*float64(n.bytes)/seconds, "B/entry-second")
			b.ReportMetric(float64(busiest)/float64(b.N), "B/second-of-busiest")
			b.ReportMetric(heap(nodes)/float64(entries), "heap-B/entry")
		})
	}
}

// BenchmarkVersion reports the time until all entry instances have received a new configuration
// version.
func BenchmarkVersion(b *testing.B) {
	for _, entries := range []int{8, 64, 128, targetEntries} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			for i := range b.N {
				n, nodes := startFleet(b, entries, targetDomains, uint64(7+i))
				n.run(30 * time.Second)
				nodes[1].local.ConfigVersion = 2
				nodes[1].table.SetLocal(n.now, nodes[1].local)
				startedAt := n.now
				received := func(node *node) bool { return node.table.HighestConfig().Version == 2 }
				for !allOf(nodes, received) && n.now.Sub(startedAt) < time.Minute {
					n.run(100 * time.Millisecond)
				}
				b.ReportMetric(n.now.Sub(startedAt).Seconds(), "s-until-all-heard")
			}
		})
	}
}

func allOf(nodes []*node, matches func(*node) bool) bool {
	return !slices.ContainsFunc(nodes, func(n *node) bool { return !matches(n) })
}

// BenchmarkTable reports the cost of merging one message and of reading the totals in a
// fleet of the target size.
func BenchmarkTable(b *testing.B) {
	n, nodes := startFleet(b, targetEntries, targetDomains, 7)
	n.run(30 * time.Second)
	table, peer := nodes[0].table, nodes[targetDomains].table
	requests := table.Tick(n.now.Add(time.Second))
	reply := peer.Receive(n.now, requests[0].Message)
	b.Run("receive", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			table.Receive(n.now, reply)
		}
	})
	b.Run("answer", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			peer.Receive(n.now, requests[0].Message)
		}
	})
	b.Run("totals", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			table.Totals(n.now)
		}
	})
}

// BenchmarkWave reports the bytes sent in the second after one entry instance received leaving
// notices for all instances of a failure domain, and the time until all instances have them.
func BenchmarkWave(b *testing.B) {
	for _, entries := range []int{8, 64, 128, targetEntries} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			for i := range b.N {
				n, nodes := startFleet(b, entries, targetDomains, uint64(7+i))
				n.run(40 * time.Second)
				leaving := (entries + targetBackends*entries/targetEntries) / targetDomains
				for _, node := range nodes {
					node.bytes = 0
				}
				startedAt := n.now
				for k := range leaving {
					n.notice(nodes[1], membership.Leaving{Instance: fmt.Sprint("leaving-", k), Incarnation: 1, Deadline: n.now.Add(time.Minute)})
				}
				n.run(time.Second)
				busiest := int64(0)
				for _, node := range nodes {
					busiest = max(busiest, node.bytes)
				}
				received := func(node *node) bool { return len(node.leavingReceived) >= leaving }
				for !allOf(nodes, received) && n.now.Sub(startedAt) < time.Minute {
					n.run(100 * time.Millisecond)
				}
				b.ReportMetric(float64(leaving), "leaving")
				b.ReportMetric(float64(busiest), "B/first-second-of-busiest")
				b.ReportMetric(n.now.Sub(startedAt).Seconds(), "s-until-all-heard")
			}
		})
	}
}

// BenchmarkTotalsLag reports the time until the totals at all entry instances are within a tenth
// of the actual ones, after a cold start and after the usage of all instances has doubled.
func BenchmarkTotalsLag(b *testing.B) {
	for _, entries := range []int{8, 32, 64, 128, targetEntries} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			for i := range b.N {
				n, nodes := startFleet(b, entries, targetDomains, uint64(7+i))
				b.ReportMetric(n.settle(nodes, 0.1).Seconds(), "s-from-start")
				n.run(10 * time.Second)
				for _, node := range nodes {
					for i := range node.local.Accounts {
						node.local.Accounts[i].InFlight *= 2
					}
					node.table.SetLocal(n.now, node.local)
				}
				b.ReportMetric(n.settle(nodes, 0.1).Seconds(), "s-from-change")
			}
		})
	}
}

// heap returns the bytes in use on the heap.
func heap(keep any) float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	runtime.KeepAlive(keep)
	return float64(stats.HeapAlloc)
}
