package occupancy_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/occupancy"
)

const (
	largestFleet = 380
	mostServers  = 720
	// serversPerInstance is the number of servers at which one instance has requests.
	serversPerInstance = 15
)

// filledCollector returns a collector with reports from the largest fleet, 20 of them received
// directly, and the reporter and the report of the last instance.
func filledCollector(b *testing.B) (*occupancy.Collector, *occupancy.Reporter, occupancy.Report) {
	b.Helper()
	collector, other := occupancy.NewCollector(), occupancy.NewCollector()
	random := rand.New(rand.NewPCG(1, 1))
	var reporter *occupancy.Reporter
	var part occupancy.Report
	for i := range largestFleet {
		reporter = occupancy.NewReporter(fmt.Sprint("entry-", i), 1_800_000_000_000)
		part = reporter.NextReport(randomLoads(random))
		to := other
		if i >= largestFleet-20 {
			to = collector
		}
		require.NoError(b, to.AddReport(start, part))
	}
	require.NoError(b, collector.AddRelayed(start, other.DirectReports(start)))
	return collector, reporter, part
}

func randomLoads(random *rand.Rand) []occupancy.ServerLoad {
	var out []occupancy.ServerLoad
	for _, server := range random.Perm(mostServers)[:serversPerInstance] {
		out = append(out, occupancy.ServerLoad{
			Server: occupancy.ServerID(fmt.Sprint("server-", server)), Requests: 1 + random.IntN(3), Tokens: random.IntN(20_000),
		})
	}
	return out
}

func encode(b *testing.B, message any) []byte {
	b.Helper()
	data, err := cbor.Marshal(message)
	require.NoError(b, err)
	return data
}

// BenchmarkMessages measures building, encoding and handling the messages of 380 instances
// with 720 servers.
func BenchmarkMessages(b *testing.B) {
	collector, reporter, part := filledCollector(b)
	random := rand.New(rand.NewPCG(2, 2))
	b.Run("report_made", func(b *testing.B) {
		own := randomLoads(random)
		other := occupancy.NewReporter("other", 1)
		var data []byte
		b.ReportAllocs()
		for range b.N {
			data = encode(b, occupancy.Message{Reports: []occupancy.Report{other.NextReport(own)}})
		}
		b.ReportMetric(float64(len(data)), "bytes")
	})
	b.Run("report_answered", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			part.Serial = uint64(i + 10)
			data := encode(b, occupancy.Message{Reports: []occupancy.Report{part}})
			var message occupancy.Message
			require.NoError(b, cbor.Unmarshal(data, &message))
			require.NoError(b, collector.AddReport(start, message.Reports[0]))
			data = encode(b, collector.Reply(start, message.Reports[0]))
			b.ReportMetric(float64(len(data)), "bytes")
		}
	})
	b.Run("sums_taken", func(b *testing.B) {
		part := reporter.NextReport(randomLoads(random))
		part.Serial += 1 << 40
		require.NoError(b, collector.AddReport(start, part))
		reply := collector.Reply(start, part)
		reply.Serial = part.Serial - 1<<40
		data := encode(b, reply)
		b.ReportAllocs()
		for range b.N {
			var reply occupancy.Reply
			require.NoError(b, cbor.Unmarshal(data, &reply))
			taken, err := reporter.ApplyReply(start, reply)
			require.NoError(b, err)
			require.True(b, taken)
		}
		b.ReportMetric(float64(len(data)), "bytes")
	})
	b.Run("exchange", func(b *testing.B) {
		other := occupancy.NewCollector()
		b.ReportAllocs()
		for i := range b.N {
			parts := collector.DirectReports(start)
			for j := range parts {
				parts[j].Serial += uint64(i) // newer than the stored report
			}
			data := encode(b, occupancy.Message{Relayed: true, Reports: parts})
			var message occupancy.Message
			require.NoError(b, cbor.Unmarshal(data, &message))
			require.NoError(b, other.AddRelayed(start, message.Reports))
			b.ReportMetric(float64(len(data)), "bytes")
		}
	})
}
