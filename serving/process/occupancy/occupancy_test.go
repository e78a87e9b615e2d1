package occupancy_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/occupancy"
)

// ages returns the ages of the reports in an instance's totals. It fails the test if a report
// was counted twice, which shows as a time in the future or as more instances than there are,
// or if the instance's own report is included.
func ages(t *testing.T, n *network, inst *instance) []time.Duration {
	t.Helper()
	loads, _ := inst.reporter.Others()
	out := make([]time.Duration, 0, len(loads))
	passed := n.now.Sub(start)
	for _, w := range loads {
		age := passed - time.Duration(w.Requests-1)*time.Millisecond
		switch {
		case w.Server == commonServer && w.Requests > len(n.instances)-1:
			require.Failf(t, "counted twice", "%d instances counted at instance %d", w.Requests, inst.number)
		case w.Server == commonServer:
			continue
		case age < 0 || int(w.Server) == inst.number:
			require.Failf(t, "counted twice", "report of instance %d at instance %d", w.Server, inst.number)
		}
		out = append(out, age)
	}
	return out
}

// TestSumsWithoutFaults guards against totals that lack an instance or are older than 0.6 s.
func TestSumsWithoutFaults(t *testing.T) {
	for name, count := range map[string]int{"64 instances": 64, "380 instances": 380} {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(count, 1, faults{})
			var total, counted, oldest time.Duration
			for at := start.Add(2 * time.Second); at.Before(start.Add(4 * time.Second)); at = at.Add(97 * time.Millisecond) {
				n.run(at)
				for _, inst := range n.instances {
					reportAges := ages(t, n, inst)
					require.Len(t, reportAges, count-1)
					for _, age := range reportAges {
						oldest = max(oldest, age)
						total += age
					}
					counted += time.Duration(len(reportAges))
				}
			}
			t.Logf("age of reports: mean %v, max %v; %.1f messages per second and instance",
				total/counted, oldest, float64(n.messages)/4/float64(count))
			require.LessOrEqual(t, oldest, 630*time.Millisecond, "three intervals and the network delays")
		})
	}
}

// TestSumsUnderFaults guards against reports that are counted twice or remain in fresh totals
// longer than the times to live of reports and totals together. Instances, collectors
// included, restart and stop, messages are lost and duplicated, failure domains are
// partitioned, and other instances become collectors.
func TestSumsUnderFaults(t *testing.T) {
	for name, test := range map[string]struct {
		count int
		seed  uint64
	}{
		"64 instances": {64, 0}, "64 instances, seed 1": {64, 1}, "64 instances, seed 2": {64, 2}, "380 instances": {380, 0},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(test.count, test.seed, faults{lossRate: 0.03, duplicateRate: 0.05, maxDuplicateDelay: 4 * time.Second})
			for step := range 150 {
				n.run(start.Add(time.Duration(step) * 61 * time.Millisecond))
				n.injectFault()
				for _, inst := range n.instances {
					checkFresh(t, n, inst)
				}
			}
		})
	}
}

// checkFresh fails the test if fresh totals contain an expired report.
func checkFresh(t *testing.T, n *network, inst *instance) {
	t.Helper()
	if !inst.reporter.Fresh(n.now) {
		return
	}
	for _, age := range ages(t, n, inst) {
		if age >= 2*occupancy.TTL+timeout {
			require.Failf(t, "expired report in fresh totals", "age %v at instance %d", age, inst.number)
		}
	}
}

// injectFault injects one random fault, or heals a partition.
func (n *network) injectFault() {
	inst := n.instances[n.random.IntN(len(n.instances))]
	switch n.random.IntN(5) {
	case 0:
		n.restart(inst)
	case 1:
		inst.down = true
	case 2: // an instance of the same domain becomes a collector in place of another
		collectors := n.collectors[inst.domain]
		collectors[n.random.IntN(len(collectors))] = inst.number
	case 3:
		isolated := n.random.IntN(domains)
		n.partitioned = func(a, b *instance) bool { return (a.domain == isolated) != (b.domain == isolated) }
	default:
		n.partitioned = func(*instance, *instance) bool { return false }
	}
}

// TestChangeOfCollector guards against an instance that is counted twice after it changed its
// collector, and against an older report that replaces a newer one because it arrives later.
func TestChangeOfCollector(t *testing.T) {
	first, second := occupancy.NewCollector(), occupancy.NewCollector()
	moving, asking := occupancy.NewReporter("moving", 1), occupancy.NewReporter("asking", 1)
	work := func(requests int) []occupancy.ServerLoad {
		return []occupancy.ServerLoad{{Server: 7, Requests: requests, Tokens: 2560}}
	}
	require.NoError(t, first.AddReport(start, moving.NextReport(work(3))))
	older := first.DirectReports(start)
	require.NoError(t, second.AddReport(start.Add(50*time.Millisecond), moving.NextReport(work(4))))
	require.NoError(t, second.AddRelayed(start.Add(60*time.Millisecond), older))
	require.NoError(t, first.AddRelayed(start.Add(70*time.Millisecond), second.DirectReports(start.Add(60*time.Millisecond))))
	for name, collector := range map[string]*occupancy.Collector{"first": first, "second": second} {
		part := asking.NextReport(nil)
		require.NoError(t, collector.AddReport(start.Add(80*time.Millisecond), part))
		taken, err := asking.ApplyReply(start, collector.Reply(start.Add(80*time.Millisecond), part))
		require.NoError(t, err)
		require.True(t, taken)
		others, _ := asking.Others()
		require.Equal(t, []occupancy.ServerLoad{{Server: 7, Requests: 4, Tokens: 2560}}, others, name)
	}
	require.Len(t, second.DirectReports(start.Add(80*time.Millisecond)), 2)
	require.Len(t, first.DirectReports(start.Add(80*time.Millisecond)), 1, "the moved instance reports to the other collector")
}

// TestRestartedInstance guards against totals that include the load of an instance's previous
// process besides that of the current one.
func TestRestartedInstance(t *testing.T) {
	collector := occupancy.NewCollector()
	former, present := occupancy.NewReporter("one", 5), occupancy.NewReporter("one", 6)
	work := []occupancy.ServerLoad{{Server: 7, Requests: 3}}
	for range 9 {
		require.NoError(t, collector.AddReport(start, former.NextReport(work)))
	}
	part := present.NextReport(work)
	require.NoError(t, collector.AddReport(start, part))
	require.NoError(t, collector.AddReport(start, former.NextReport(work)))
	reply := collector.Reply(start, part)
	taken, err := present.ApplyReply(start, reply)
	require.NoError(t, err)
	require.True(t, taken)
	others, _ := present.Others()
	require.Empty(t, others)
	for range 10 { // until the serial number equals that of the previous process
		part = present.NextReport(work)
	}
	require.NoError(t, collector.AddReport(start, part))
	last := former.NextReport(work)
	require.Equal(t, part.Serial, last.Serial)
	taken, err = former.ApplyReply(start, collector.Reply(start, last))
	require.NoError(t, err)
	require.False(t, taken, "the totals don't include its report")
}

// TestDelayedReply guards against an instance that counts its own load as that of others,
// because a delayed reply includes an older report than its last one.
func TestDelayedReply(t *testing.T) {
	collector, reporter := occupancy.NewCollector(), occupancy.NewReporter("one", 1)
	part := reporter.NextReport([]occupancy.ServerLoad{{Server: 7, Requests: 3}})
	require.NoError(t, collector.AddReport(start, part))
	delayed := collector.Reply(start, part)
	reporter.NextReport(nil)
	for name, reply := range map[string]occupancy.Reply{"delayed": delayed, "without sums": {}} {
		taken, err := reporter.ApplyReply(start, reply)
		require.NoError(t, err)
		require.False(t, taken, name)
		require.False(t, reporter.Fresh(start), name)
	}
}

// TestExpiredPart guards against an expired report that is counted again when a duplicate
// arrives late.
func TestExpiredPart(t *testing.T) {
	collector := occupancy.NewCollector()
	part := occupancy.NewReporter("one", 1).NextReport([]occupancy.ServerLoad{{Server: 7, Requests: 3}})
	require.NoError(t, collector.AddReport(start, part))
	require.Equal(t, 1, collector.InstanceCount(start.Add(occupancy.TTL-1)))
	require.Zero(t, collector.InstanceCount(start.Add(occupancy.TTL)))
	require.NoError(t, collector.AddReport(start.Add(occupancy.TTL), part))
	require.Zero(t, collector.InstanceCount(start.Add(occupancy.TTL)))
	require.Empty(t, collector.DirectReports(start.Add(occupancy.TTL)))
	part.AgeMS = uint32(occupancy.TTL.Milliseconds())
	part.Instance++
	require.NoError(t, collector.AddRelayed(start, []occupancy.Report{part}))
	require.Zero(t, collector.InstanceCount(start), "expired on arrival")
}

// TestBrokenMessages guards against truncated messages and numbers out of range.
func TestBrokenMessages(t *testing.T) {
	valid := occupancy.NewReporter("one", 1).NextReport([]occupancy.ServerLoad{{Server: 7, Requests: 300, Tokens: 1 << 20}}).Works
	for name, loads := range map[string][]byte{
		"truncated server hash": valid[:3],
		"truncated number":      valid[:len(valid)-1],
		"varint too long":       {1, 2, 3, 4, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1},
		"number out of range":   {1, 2, 3, 4, 255, 255, 255, 255, 255, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			collector := occupancy.NewCollector()
			part := occupancy.Report{Instance: 1, Incarnation: 1, Serial: 1, Works: loads}
			require.Error(t, collector.AddReport(start, part))
			require.Error(t, collector.AddRelayed(start, []occupancy.Report{part}))
			require.Zero(t, collector.InstanceCount(start))
			reporter := occupancy.NewReporter("one", 1)
			taken, err := reporter.ApplyReply(start, occupancy.Reply{Serial: reporter.NextReport(nil).Serial, Sums: loads})
			require.Error(t, err)
			require.False(t, taken)
			require.False(t, reporter.Fresh(start))
		})
	}
}
