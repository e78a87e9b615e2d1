package occupancy_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/occupancy"
)

// ages returns the ages of the figures that an instance has of others. It fails the test when
// a figure was counted twice, which shows as one of the future or as more instances than there
// are, or when the own one is among them.
func ages(t *testing.T, n *network, one *instance) []time.Duration {
	t.Helper()
	works, _ := one.reporter.Others()
	out := make([]time.Duration, 0, len(works))
	passed := n.now.Sub(start)
	for _, w := range works {
		age := passed - time.Duration(w.Requests-1)*time.Millisecond
		switch {
		case w.Server == everyone && w.Requests > len(n.instances)-1:
			require.Failf(t, "counted twice", "%d instances seen at %d", w.Requests, one.number)
		case w.Server == everyone:
			continue
		case age < 0 || int(w.Server) == one.number:
			require.Failf(t, "counted twice", "figure of %d at %d", w.Server, one.number)
		}
		out = append(out, age)
	}
	return out
}

// TestSumsWithoutFaults guards against sums that lack an instance or are older than 0.6 s.
func TestSumsWithoutFaults(t *testing.T) {
	for name, count := range map[string]int{"64 instances": 64, "380 instances": 380} {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(count, 1, faults{})
			var total, counted, oldest time.Duration
			for at := start.Add(2 * time.Second); at.Before(start.Add(4 * time.Second)); at = at.Add(97 * time.Millisecond) {
				n.run(at)
				for _, one := range n.instances {
					figures := ages(t, n, one)
					require.Len(t, figures, count-1)
					for _, age := range figures {
						oldest = max(oldest, age)
						total += age
					}
					counted += time.Duration(len(figures))
				}
			}
			t.Logf("age of figures: mean %v, most %v; %.1f messages a second and instance",
				total/counted, oldest, float64(n.messages)/4/float64(count))
			require.LessOrEqual(t, oldest, 630*time.Millisecond, "three periods and the ways")
		})
	}
}

// TestSumsUnderFaults restarts and stops instances, collectors too, loses and doubles
// messages, cuts domains off and changes the collectors. Nothing is counted twice at any time,
// and what is gone is out of fresh sums within the lives of part and sum.
func TestSumsUnderFaults(t *testing.T) {
	for name, test := range map[string]struct {
		count int
		seed  uint64
	}{
		"64 instances": {64, 0}, "64 instances, seed 1": {64, 1}, "64 instances, seed 2": {64, 2}, "380 instances": {380, 0},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(test.count, test.seed, faults{lost: 0.03, twice: 0.05, late: 4 * time.Second})
			for step := range 150 {
				n.run(start.Add(time.Duration(step) * 61 * time.Millisecond))
				n.trouble()
				for _, one := range n.instances {
					checkFresh(t, n, one)
				}
			}
		})
	}
}

// checkFresh guards against figures in fresh sums beyond the lives of part and sum.
func checkFresh(t *testing.T, n *network, one *instance) {
	t.Helper()
	if !one.reporter.Fresh(n.now) {
		return
	}
	for _, age := range ages(t, n, one) {
		if age >= 2*occupancy.Life+timeout {
			require.Failf(t, "figure lives too long", "%v at %d", age, one.number)
		}
	}
}

// trouble does one thing to the fleet.
func (n *network) trouble() {
	one := n.instances[n.random.IntN(len(n.instances))]
	switch n.random.IntN(5) {
	case 0:
		n.boot(one)
	case 1:
		one.down = true
	case 2: // another collector, an instance of the same domain
		readers := n.readers[one.domain]
		readers[n.random.IntN(len(readers))] = one.number
	case 3:
		away := n.random.IntN(domains)
		n.cut = func(a, b *instance) bool { return (a.domain == away) != (b.domain == away) }
	default:
		n.cut = func(*instance, *instance) bool { return false }
	}
}

// TestChangeOfCollector guards against an instance that is counted at its former collector
// and at the new one, and against older figures that arrive later.
func TestChangeOfCollector(t *testing.T) {
	first, second := occupancy.NewCollector(), occupancy.NewCollector()
	moving, asking := occupancy.NewReporter("moving", 1), occupancy.NewReporter("asking", 1)
	work := func(requests int) []occupancy.Work {
		return []occupancy.Work{{Server: 7, Requests: requests, Tokens: 2560}}
	}
	require.NoError(t, first.Report(start, moving.Next(work(3))))
	older := first.Direct(start)
	require.NoError(t, second.Report(start.Add(50*time.Millisecond), moving.Next(work(4))))
	require.NoError(t, second.Passed(start.Add(60*time.Millisecond), older))
	require.NoError(t, first.Passed(start.Add(70*time.Millisecond), second.Direct(start.Add(60*time.Millisecond))))
	for name, collector := range map[string]*occupancy.Collector{"first": first, "second": second} {
		part := asking.Next(nil)
		require.NoError(t, collector.Report(start.Add(80*time.Millisecond), part))
		taken, err := asking.Take(start, collector.Reply(start.Add(80*time.Millisecond), part))
		require.NoError(t, err)
		require.True(t, taken)
		others, _ := asking.Others()
		require.Equal(t, []occupancy.Work{{Server: 7, Requests: 4, Tokens: 2560}}, others, name)
	}
	require.Len(t, second.Direct(start.Add(80*time.Millisecond)), 2)
	require.Len(t, first.Direct(start.Add(80*time.Millisecond)), 1, "the one that moved reports to the other")
}

// TestRestartedInstance guards against work of a former process beside that of the present one.
func TestRestartedInstance(t *testing.T) {
	collector := occupancy.NewCollector()
	former, present := occupancy.NewReporter("one", 5), occupancy.NewReporter("one", 6)
	work := []occupancy.Work{{Server: 7, Requests: 3}}
	for range 9 {
		require.NoError(t, collector.Report(start, former.Next(work)))
	}
	part := present.Next(work)
	require.NoError(t, collector.Report(start, part))
	require.NoError(t, collector.Report(start, former.Next(work)))
	reply := collector.Reply(start, part)
	taken, err := present.Take(start, reply)
	require.NoError(t, err)
	require.True(t, taken)
	others, _ := present.Others()
	require.Empty(t, others)
	for range 10 { // as many parts as the former process made
		part = present.Next(work)
	}
	require.NoError(t, collector.Report(start, part))
	last := former.Next(work)
	require.Equal(t, part.Serial, last.Serial)
	taken, err = former.Take(start, collector.Reply(start, last))
	require.NoError(t, err)
	require.False(t, taken, "its part is not in the sums")
}

// TestDelayedReply guards against the own work that is taken for others' because sums hold an
// older part than the last one.
func TestDelayedReply(t *testing.T) {
	collector, reporter := occupancy.NewCollector(), occupancy.NewReporter("one", 1)
	part := reporter.Next([]occupancy.Work{{Server: 7, Requests: 3}})
	require.NoError(t, collector.Report(start, part))
	delayed := collector.Reply(start, part)
	reporter.Next(nil)
	for name, reply := range map[string]occupancy.Reply{"delayed": delayed, "without sums": {}} {
		taken, err := reporter.Take(start, reply)
		require.NoError(t, err)
		require.False(t, taken, name)
		require.False(t, reporter.Fresh(start), name)
	}
}

// TestExpiredPart guards against a part that counts again when a copy of it arrives late.
func TestExpiredPart(t *testing.T) {
	collector := occupancy.NewCollector()
	part := occupancy.NewReporter("one", 1).Next([]occupancy.Work{{Server: 7, Requests: 3}})
	require.NoError(t, collector.Report(start, part))
	require.Equal(t, 1, collector.Instances(start.Add(occupancy.Life-1)))
	require.Zero(t, collector.Instances(start.Add(occupancy.Life)))
	require.NoError(t, collector.Report(start.Add(occupancy.Life), part))
	require.Zero(t, collector.Instances(start.Add(occupancy.Life)))
	require.Empty(t, collector.Direct(start.Add(occupancy.Life)))
	part.AgeMS = uint32(occupancy.Life.Milliseconds())
	part.Instance++
	require.NoError(t, collector.Passed(start, []occupancy.Part{part}))
	require.Zero(t, collector.Instances(start), "too old when it came")
}

// TestBrokenMessages guards against messages that are cut off or hold absurd figures.
func TestBrokenMessages(t *testing.T) {
	whole := occupancy.NewReporter("one", 1).Next([]occupancy.Work{{Server: 7, Requests: 300, Tokens: 1 << 20}}).Works
	for name, works := range map[string][]byte{
		"cut in the server":  whole[:3],
		"cut in the figures": whole[:len(whole)-1],
		"endless figure":     {1, 2, 3, 4, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1},
		"absurd figure":      {1, 2, 3, 4, 255, 255, 255, 255, 255, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			collector := occupancy.NewCollector()
			part := occupancy.Part{Instance: 1, Incarnation: 1, Serial: 1, Works: works}
			require.Error(t, collector.Report(start, part))
			require.Error(t, collector.Passed(start, []occupancy.Part{part}))
			require.Zero(t, collector.Instances(start))
			reporter := occupancy.NewReporter("one", 1)
			taken, err := reporter.Take(start, occupancy.Reply{Serial: reporter.Next(nil).Serial, Sums: works})
			require.Error(t, err)
			require.False(t, taken)
			require.False(t, reporter.Fresh(start))
		})
	}
}
