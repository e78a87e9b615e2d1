package action

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/platform"
)

const (
	benchStoreLatency = 3 * time.Millisecond
	benchPeerLatency  = 500 * time.Microsecond
)

// BenchmarkKeeper sends b.N keyed requests, at most 8 seconds' worth, at a fixed rate through 8
// entry instances and reports the store writes per request and the latency that claims add.
// Run it with -benchtime=5000x.
func BenchmarkKeeper(b *testing.B) {
	for _, noUsualWriter := range []bool{false, true} {
		for _, rate := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("rate=%d/usual_writer=%t", rate, !noUsualWriter), func(b *testing.B) {
				benchmarkRate(b, rate, noUsualWriter)
			})
		}
	}
}

func benchmarkRate(b *testing.B, rate int, noUsualWriter bool) {
	f := newFleet(8, benchStoreLatency, benchPeerLatency, DefaultSettings())
	if noUsualWriter {
		for _, k := range f.keepers {
			k.live = func() []Member { return nil }
		}
	}
	time.Sleep(2 * idleTickInterval)
	count := min(b.N, 8*rate)
	latencies := make([]time.Duration, count)
	b.ResetTimer()
	began := time.Now()
	var group sync.WaitGroup
	for i := range count {
		time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		group.Go(func() { latencies[i] = benchmarkRequest(b, f, f.names[i%len(f.names)]) })
	}
	group.Wait()
	elapsed := time.Since(began).Seconds()
	require.NoError(b, f.stop())
	slices.Sort(latencies)
	puts, requests := float64(f.store.puts.Load()), float64(count)
	b.ReportMetric(requests/elapsed, "requests/s")
	b.ReportMetric(puts/elapsed, "writes/s")
	b.ReportMetric(puts/requests, "writes/request")
	b.ReportMetric(float64(f.store.bytes.Load())/puts, "B/write")
	b.ReportMetric(float64(latencies[count/2])/1e6, "p50-ms")
	b.ReportMetric(float64(latencies[count*99/100])/1e6, "p99-ms")
}

func benchmarkRequest(b *testing.B, f *fleet, name string) time.Duration {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c := newClaim()
	began := time.Now()
	ticket, err := f.keepers[name].Claim(ctx, c)
	latency := time.Since(began)
	if err != nil || !ticket.Run {
		b.Errorf("claim: %v", err)
		return latency
	}
	time.Sleep(20 * time.Millisecond)
	ticket.Finish(Done, &Answer{Status: 201, Body: make([]byte, 200)})
	return latency
}

// BenchmarkTable measures the CPU time that the table spends on one claim and its outcome. The table
// is recreated every 1000 claims.
func BenchmarkTable(b *testing.B) {
	now := time.Now()
	table := NewTable(now, Self{Instance: "entry-0", Incarnation: 1}, DefaultSettings(), rand.New(rand.NewPCG(1, 1)))
	var revision atomic.Uint64
	c := newClaim()
	for i := range b.N {
		now = now.Add(25 * time.Millisecond)
		if i%1000 == 0 {
			table = NewTable(now, Self{Instance: "entry-0", Incarnation: 1}, DefaultSettings(), rand.New(rand.NewPCG(1, 1)))
		}
		c.Key = keyAt(now, uint64(i))
		nonce, orders := table.Claim(now, c, now.Add(time.Second))
		applySwaps(now, table, &revision, orders)
		applySwaps(now, table, &revision, table.Finish(now, nonce, Done, &Answer{Status: 201, Body: make([]byte, 200)}))
	}
}

func applySwaps(now time.Time, table *Table, revision *atomic.Uint64, orders []Order) {
	for _, order := range orders {
		if swap, is := order.(Swap); is {
			result := StoreResult{State: StoreOK, Revision: revision.Add(1)}
			applySwaps(now, table, revision, table.SwapDone(now, swap, result))
		}
	}
}

func BenchmarkEncode(b *testing.B) {
	for _, size := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("records=%d", size), func(b *testing.B) {
			stored := records{}
			for i := range size {
				hash := hashOf("desk-app", fmt.Sprint(i), [16]byte{})
				stored[hash] = Record{Hash: hash, Owner: Member{"entry-1", 7}, Nonce: uint64(i) << 40, Fingerprint: 1 << 60, Outcome: Done, Status: 201}
			}
			var data []byte
			for b.Loop() {
				data, _ = stored.encode()
			}
			b.ReportMetric(float64(len(data))/float64(size), "B/record")
		})
	}
}

// BenchmarkWritePerRequest measures the baseline without pages, in which every claim and every
// outcome is a separate write to a key of its own.
func BenchmarkWritePerRequest(b *testing.B) {
	for _, rate := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			s := &memoryStore{latency: benchStoreLatency, entries: map[string]platform.Entry{}}
			count := min(b.N, 8*rate)
			latencies := make([]time.Duration, count)
			began := time.Now()
			var group sync.WaitGroup
			for i := range count {
				time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / time.Duration(rate))))
				group.Go(func() {
					key, start := newClaim().Key, time.Now()
					entry, _ := s.Put(context.Background(), key, make([]byte, 41), 0)
					latencies[i] = time.Since(start)
					_, _ = s.Put(context.Background(), key, make([]byte, 41), entry.Revision)
				})
			}
			group.Wait()
			slices.Sort(latencies)
			b.ReportMetric(float64(s.puts.Load())/time.Since(began).Seconds(), "writes/s")
			b.ReportMetric(float64(s.puts.Load())/float64(count), "writes/request")
			b.ReportMetric(float64(latencies[count/2])/1e6, "p50-ms")
			b.ReportMetric(float64(latencies[count*99/100])/1e6, "p99-ms")
		})
	}
}
