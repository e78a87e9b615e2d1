package route_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/process/occupancy"
	"papayaport.dev/serving/request/prefix"
	"papayaport.dev/serving/request/route"
)

const (
	knownBlocks   = 100_000
	requestBlocks = 50
)

// filledTable returns a table whose engines have knownBlocks different blocks cached in total, and
// requests with these blocks.
func filledTable(t testing.TB, count int) (*route.Table, []route.Request) {
	t.Helper()
	table := newTable(t, route.Papayaport, count)
	random := rand.New(rand.NewPCG(3, 4))
	requests := make([]route.Request, knownBlocks/requestBlocks)
	for i := range requests {
		requests[i] = syntheticRequest(random)
		events := engine.CacheEvents{Incarnation: 1, Snapshot: []uint64{}}
		for _, block := range requests[i].Blocks {
			events.Events = append(events.Events, engine.CacheEvent{Block: uint64(block), Stored: true})
		}
		storeEvents(table, id(i%count), events)
	}
	return table, requests
}

// storeEvents numbers the events from the table's cursor on and applies them.
func storeEvents(table *route.Table, backend string, events engine.CacheEvents) {
	after, _ := table.CacheCursor(backend)
	for i := range events.Events {
		after++
		events.Events[i].Sequence = after
	}
	events.Snapshot, events.Next = nil, after
	table.CacheEvents(start, backend, events)
}

func syntheticRequest(random *rand.Rand) route.Request {
	request := route.Request{
		Service: "model-bench", PromptTokens: requestBlocks*prefix.BlockTokens + 40,
		AnswerTokens: 100, Target: target, Deadline: start.Add(time.Minute),
	}
	for range requestBlocks {
		request.Blocks = append(request.Blocks, prefix.Block(random.Uint64()))
	}
	return request
}

func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{12, 120, 720} {
		b.Run(fmt.Sprintf("runners=%d", count), func(b *testing.B) {
			table, requests := filledTable(b, count)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				if _, err := table.Choose(start, requests[i%len(requests)]); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkChooseFromSubset(b *testing.B) {
	for _, count := range []int{120, 720} {
		b.Run(fmt.Sprintf("runners=%d", count), func(b *testing.B) {
			table, requests := filledTable(b, count)
			table.SetSubsetSize(4)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				if _, err := table.Choose(start, requests[i%len(requests)]); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkOccupied sets the occupancy of all servers, which happens five times per second.
func BenchmarkOccupied(b *testing.B) {
	table, _ := filledTable(b, 720)
	var sums []occupancy.ServerLoad
	for i := range 720 {
		sums = append(sums, occupancy.ServerLoad{Server: occupancy.ServerID(id(i)), Requests: 3, Tokens: 5120})
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		table.SetOccupancy(start, sums)
	}
}

func BenchmarkAttempt(b *testing.B) {
	table, requests := filledTable(b, 720)
	ids := make([]string, 1024)
	for i := range ids {
		ids[i] = fmt.Sprintf("attempt-%d", i)
	}
	choices := make([]route.Choice, len(requests))
	for i, request := range requests {
		choices[i] = choose(b, table, start, request)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		at, attempt := i%len(requests), ids[i%len(ids)]
		table.Sent(start, attempt, choices[at], requests[at])
		table.FirstToken(start, attempt, 0)
		table.Token(start, attempt)
		table.Done(start, attempt, route.OK, 0)
	}
}

// TestTableMemory guards the memory use of a table of the size of a large fleet.
func TestTableMemory(t *testing.T) {
	const limitMB = 48
	before := heapBytes()
	table, requests := filledTable(t, 720)
	grown := float64(heapBytes()-before) / (1 << 20)
	t.Logf("a table of 720 engines and %d blocks takes %.1f MB including its requests", knownBlocks, grown)
	require.Less(t, grown, float64(limitMB))
	require.Equal(t, requestBlocks*prefix.BlockTokens, choose(t, table, start, requests[0]).CachedTokens)
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
