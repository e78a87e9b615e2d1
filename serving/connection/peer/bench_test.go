package peer_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/connection/peer"
	"papayaport.dev/serving/process/membership"
)

func benchServe(b *testing.B, options peer.Options) string {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- peer.Serve(ctx, listener, &handler{}, options) }()
	b.Cleanup(func() {
		cancel()
		require.NoError(b, <-done)
	})
	return listener.Addr().String()
}

// BenchmarkExchange measures an exchange of usual size, with the cost of both ends, and reports
// the framing overhead of its two messages in bytes.
func BenchmarkExchange(b *testing.B) {
	message := membership.Message{From: membership.Member{Instance: "entry-1", PeerAddress: "10.0.0.1:7000"}}
	for i := range 40 {
		message.RecordAges = append(message.RecordAges, membership.RecordAge{Key: uint32(i) << 20, Age: 30})
	}
	payload, err := cbor.Marshal(message)
	require.NoError(b, err)
	options := peer.DefaultOptions()
	address := benchServe(b, peer.DefaultOptions())
	c := peer.New(options)
	b.Cleanup(func() { require.NoError(b, c.Close()) })
	_, err = c.Exchange(b.Context(), address, message)
	require.NoError(b, err)
	before := options.Traffic.In.Load() + options.Traffic.Out.Load()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		_, err := c.Exchange(b.Context(), address, message)
		require.NoError(b, err)
	}
	wire := float64(options.Traffic.In.Load()+options.Traffic.Out.Load()-before) / float64(b.N)
	b.ReportMetric(wire-2*float64(len(payload)), "framing-B/op")
}

// BenchmarkIdleConnection reports the memory of both ends of an idle connection.
func BenchmarkIdleConnection(b *testing.B) {
	const connections = 200
	for range b.N {
		var addresses []string
		for range connections {
			addresses = append(addresses, benchServe(b, peer.DefaultOptions()))
		}
		options := peer.DefaultOptions()
		options.IdleConnections = connections
		c := peer.New(options)
		before := memoryInUse()
		for i, address := range addresses {
			_, err := c.Exchange(b.Context(), address, membership.Message{From: membership.Member{Instance: fmt.Sprint(i)}})
			require.NoError(b, err)
		}
		b.ReportMetric(float64(memoryInUse()-before)/connections, "B/connection")
		require.NoError(b, c.Close())
	}
}

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() uint64 {
	time.Sleep(50 * time.Millisecond)
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}
