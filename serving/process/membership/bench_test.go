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

// Shape of the target fleet, for each entry instance.
const (
	targetEntries   = 380
	targetBackends  = 720
	targetDomains   = 6
	inFlightOfEntry = 99 // 3,100 requests a second of 450 tokens at 27 ms each, over 380
	accountsOfFleet = 60
	accountsOfEntry = 20
)

// load gives an entry a new random use of its failure domain's backend servers.
func (n *network) load(node *node, domain, backends int) {
	work := make(map[int]int)
	for range inFlightOfEntry {
		work[n.random.IntN(backends)]++
	}
	local := membership.Local{ConfigVersion: 1}
	for b := range backends {
		if work[b] > 0 {
			use := membership.BackendUse{Backend: fmt.Sprintf("runner-%d-%d", domain, b), InFlight: work[b], PrefillTokens: n.random.IntN(8000)}
			local.Backends = append(local.Backends, use)
		}
	}
	for range accountsOfEntry {
		name := fmt.Sprintf("service/account-%d", n.random.IntN(accountsOfFleet))
		if slices.ContainsFunc(local.Accounts, func(a membership.AccountUse) bool { return a.Account == name }) {
			continue
		}
		local.Accounts = append(local.Accounts, membership.AccountUse{Account: name, RequestsPerSecond: n.random.Float64() * 2, TokensPerSecond: n.random.Float64() * 900, InFlight: n.random.IntN(12)})
	}
	node.local = local
	node.table.SetLocal(n.now, local)
}

func (n *network) listed() []platform.Instance {
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

// startFleet starts a whole fleet at once, with an instance list and constant use.
func startFleet(t testing.TB, entries, domains int, seed uint64) (*network, []*node) {
	n := newNetwork(t, seed)
	nodes := n.fleet(entries, domains, membership.DefaultBudget)
	list := n.listed()
	for i, node := range nodes {
		node.table.Instances(n.now, list)
		for a := range accountsOfFleet {
			node.table.Know(fmt.Sprintf("service/account-%d", a))
		}
		n.load(node, i%domains, 1)
	}
	return n, nodes
}

// settle runs until every entry's total of requests in flight of accounts is within a
// share of the truth, for two minutes at most.
func (n *network) settle(nodes []*node, share float64) time.Duration {
	inFlight := func(accounts []membership.AccountUse) (sum float64) {
		for _, a := range accounts {
			sum += float64(a.InFlight)
		}
		return sum
	}
	truth := 0.0
	for _, node := range nodes {
		truth += inFlight(node.local.Accounts)
	}
	settled := func() bool {
		for _, node := range nodes {
			accounts := slices.Collect(maps.Values(node.table.Totals(n.now).ByAccount))
			if want := truth - inFlight(node.local.Accounts); math.Abs(inFlight(accounts)-want) > share*want {
				return false
			}
		}
		return true
	}
	begin := n.now
	for !settled() && n.now.Sub(begin) < 2*time.Minute {
		n.run(time.Second)
	}
	return n.now.Sub(begin)
}

// BenchmarkEntrySecond runs whole fleets of tables joined by encoded messages. One
// operation is one second of all of them under use that changes every second.
func BenchmarkEntrySecond(b *testing.B) {
	for _, entries := range []int{8, 32, 64, 128, targetEntries} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			n, nodes := startFleet(b, entries, targetDomains, 7)
			backends := max(1, targetBackends*entries/targetEntries/targetDomains)
			second := func() {
				for i, node := range nodes {
					n.load(node, i%targetDomains, backends)
				}
				n.run(time.Second)
			}
			for range 20 {
				second()
			}
			n.bytes = 0
			for _, node := range nodes {
				node.bytes = 0
			}
			b.ResetTimer()
			for range b.N {
				second()
			}
			b.StopTimer()
			seconds := float64(b.N) * float64(entries)
			most := int64(0)
			for _, node := range nodes {
				most = max(most, node.bytes)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/seconds, "ns/entry-second")
			b.ReportMetric(2*float64(n.bytes)/seconds, "B/entry-second")
			b.ReportMetric(float64(most)/float64(b.N), "B/second-of-busiest")
			b.ReportMetric(heap(nodes)/float64(entries), "heap-B/entry")
		})
	}
}

// BenchmarkVersion reports how long after one entry instance took a new configuration
// version the last one has heard of it.
func BenchmarkVersion(b *testing.B) {
	for _, entries := range []int{8, 64, 128, targetEntries} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			for i := range b.N {
				n, nodes := startFleet(b, entries, targetDomains, uint64(7+i))
				n.run(30 * time.Second)
				nodes[1].local.ConfigVersion = 2
				nodes[1].table.SetLocal(n.now, nodes[1].local)
				begin := n.now
				heard := func(node *node) bool { return node.table.HighestConfig().Version == 2 }
				for !allOf(nodes, heard) && n.now.Sub(begin) < time.Minute {
					n.run(100 * time.Millisecond)
				}
				b.ReportMetric(n.now.Sub(begin).Seconds(), "s-until-all-heard")
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

// BenchmarkWave reports the bytes of the second after all entries of a failure domain and
// its backend servers got notices at one entry, and when the last entry has heard all.
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
				begin := n.now
				for k := range leaving {
					n.notice(nodes[1], membership.Leaving{Instance: fmt.Sprint("leaving-", k), Incarnation: 1, Deadline: n.now.Add(time.Minute)})
				}
				n.run(time.Second)
				most := int64(0)
				for _, node := range nodes {
					most = max(most, node.bytes)
				}
				heard := func(node *node) bool { return len(node.heard) >= leaving }
				for !allOf(nodes, heard) && n.now.Sub(begin) < time.Minute {
					n.run(100 * time.Millisecond)
				}
				b.ReportMetric(float64(leaving), "leaving")
				b.ReportMetric(float64(most), "B/first-second-of-busiest")
				b.ReportMetric(n.now.Sub(begin).Seconds(), "s-until-all-heard")
			}
		})
	}
}

// BenchmarkTotalsLag reports how long after every entry's use has doubled the totals of
// all entries are within a tenth of the truth, and how long after a cold start.
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
