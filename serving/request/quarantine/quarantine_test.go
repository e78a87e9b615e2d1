package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/request/quarantine"
)

const (
	first  = 1
	second = 2
	deadly = 13
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// step is one observation of an instance, after seconds from the start.
type step struct {
	after   float64
	request string
	server  string
	parts   []uint64
	// answered is set for a request that was answered, of which the answer began at the same time.
	answered bool
}

func play(table *quarantine.Table, steps []step) time.Time {
	now := start
	for _, one := range steps {
		now = start.Add(time.Duration(one.after * float64(time.Second)))
		if one.answered {
			table.Served(now, one.parts, now)
			continue
		}
		table.Lost(now, now, quarantine.Loss{Request: one.request, Server: one.server, Incarnation: 1, Parts: one.parts})
	}
	return now
}

func quarantined(table *quarantine.Table, now time.Time, parts ...uint64) bool {
	_, found := table.Check(now, parts)
	return found
}

// TestQuarantine guards against a part that goes on crashing servers, and against the quarantine of
// a part that was in flight when a server crashed for another reason.
func TestQuarantine(t *testing.T) {
	parts := []uint64{first, deadly}
	sound := func(after float64) step { return step{after: after, parts: []uint64{first, second}, answered: true} }
	for name, test := range map[string]struct {
		steps  []step
		deadly bool
	}{
		"three crashes": {[]step{sound(0), {1, "a", "s1", parts, false}, {2, "a", "s2", parts, false}, {3, "b", "s3", parts, false}}, true},
		"two crashes":   {[]step{sound(0), {1, "a", "s1", parts, false}, {2, "b", "s2", parts, false}}, false},
		"one request":   {[]step{sound(0), {1, "a", "s1", parts, false}, {2, "a", "s2", parts, false}, {3, "a", "s3", parts, false}}, false},
		"one crash of many requests": {
			[]step{sound(0), {1, "a", "s1", parts, false}, {1, "b", "s1", parts, false}, {1.5, "c", "s1", parts, false}}, false,
		},
		"connections reset at many servers": {
			[]step{sound(0), {1, "a", "s1", parts, false}, {1.1, "b", "s2", parts, false}, {1.2, "c", "s3", parts, false}, {1.25, "d", "s4", parts, false}}, false,
		},
		"answered between the crashes": {
			[]step{sound(0), {1, "a", "s1", parts, false}, {2, "b", "s2", parts, false}, {2.5, "", "", parts, true}, {3, "c", "s3", parts, false}, {4, "d", "s4", parts, false}},
			false,
		},
		"answered before and deadly since": {
			[]step{
				{0, "", "", parts, true},
				{1, "a", "s1", parts, false},
				{2, "b", "s2", parts, false},
				{3, "c", "s3", parts, false},
				{4, "d", "s4", parts, false},
				{5, "e", "s5", parts, false},
				{6, "f", "s6", parts, false},
			}, true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			table := quarantine.New()
			now := play(table, test.steps)
			require.Equal(t, test.deadly, quarantined(table, now, first, deadly, 99))
			if name != "answered before and deadly since" {
				require.False(t, quarantined(table, now, first, second), "the shared part must stay usable")
			}
		})
	}
}

// TestQuarantineEnds guards against a part that is refused for good, and against as many crashes
// as the first time after the quarantine has ended.
func TestQuarantineEnds(t *testing.T) {
	table := quarantine.New()
	parts := []uint64{deadly}
	now := play(table, []step{{1, "a", "s1", parts, false}, {2, "b", "s2", parts, false}, {3, "c", "s3", parts, false}})
	left, _ := table.Check(now, parts)
	require.Equal(t, 5*time.Minute, left)
	now = now.Add(5*time.Minute + time.Second)
	require.False(t, quarantined(table, now, deadly))
	table.Lost(now, now, quarantine.Loss{Request: "d", Server: "s4", Parts: parts})
	require.True(t, quarantined(table, now, deadly))
	changes := table.Served(now.Add(2*time.Second), parts, now.Add(time.Second))
	require.Equal(t, []quarantine.Change{{Part: deadly}}, changes)
	require.False(t, quarantined(table, now.Add(2*time.Second), deadly))
}

// TestSnapshotsMerge guards against instances that differ after they have exchanged what they
// know, in any order and more than once, and against reports that return after they were cleared.
func TestSnapshotsMerge(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			tables := make([]*quarantine.Table, 8)
			for i := range tables {
				tables[i] = quarantine.New()
			}
			now := start
			for range 60 {
				now = now.Add(time.Duration(random.IntN(2000)) * time.Millisecond)
				table, part := tables[random.IntN(len(tables))], uint64(1+random.IntN(5))
				if random.IntN(3) == 0 {
					table.Served(now, []uint64{part}, now)
				} else {
					table.Lost(now, now, quarantine.Loss{Request: fmt.Sprint(random.IntN(9)), Server: fmt.Sprint(random.IntN(9)), Parts: []uint64{part}})
				}
				if random.IntN(2) == 0 {
					tables[random.IntN(len(tables))].Merge(now, table.All(now))
				}
			}
			for range 2 {
				for _, from := range tables {
					for _, to := range tables {
						to.Merge(now, from.All(now))
					}
				}
			}
			for _, table := range tables {
				require.Equal(t, tables[0].All(now), table.All(now))
				require.Equal(t, tables[0].Digest(), table.Digest())
			}
		})
	}
}

// TestLargeFleet guards against a part that no single instance sees often enough: 380 instances
// that see one request in 380 each, and exchange what they know once a second.
func TestLargeFleet(t *testing.T) {
	tables := make([]*quarantine.Table, 380)
	for i := range tables {
		tables[i] = quarantine.New()
	}
	random := rand.New(rand.NewPCG(7, 7))
	now, crashes, late, refusedSound, sound := start, 0, 0, 0, 0
	var fifth time.Time
	for tick := range 3000 {
		now = now.Add(10 * time.Millisecond)
		one := tables[random.IntN(len(tables))]
		parts := []uint64{first, 100 + uint64(random.IntN(40)), 1000 + uint64(tick)}
		isDeadly := tick%40 == 0
		if isDeadly {
			parts = []uint64{first, deadly, 1000 + uint64(tick)}
		}
		if _, refused := one.Check(now, parts[:2]); refused {
			if !isDeadly {
				refusedSound++
			}
		} else if isDeadly {
			crashes++
			if crashes == 5 {
				fifth = now
			}
			if !fifth.IsZero() && now.Sub(fifth) > 3*time.Second {
				late++
			}
			one.Lost(now, now, quarantine.Loss{Request: fmt.Sprint(tick), Server: fmt.Sprint(tick), Parts: parts[:2]})
		} else {
			one.Served(now, parts[:2], now)
		}
		if !isDeadly {
			sound++
		}
		if tick%100 == 99 {
			for _, from := range tables {
				if from.TakeChanged() {
					own := from.Own(now)
					for _, to := range tables {
						to.Merge(now, own)
					}
				}
			}
		}
	}
	t.Logf("%d crashes, %d of %d sound requests refused", crashes, refusedSound, sound)
	require.LessOrEqual(t, late, 3, "requests later than contact_ms after the fifth crash")
	require.Zero(t, refusedSound)
}

// TestColdStart guards against the quarantine of a first part that no instance has answered yet,
// because every request with the deadly part has it as well.
func TestColdStart(t *testing.T) {
	table := quarantine.New()
	parts := []uint64{first, deadly}
	now := play(table, []step{{1, "a", "s1", parts, false}, {2, "b", "s2", parts, false}, {3, "c", "s3", parts, false}, {4, "d", "s4", parts, false}})
	require.True(t, quarantined(table, now, first, deadly))
	require.False(t, quarantined(table, now, first, second))
	alone := quarantine.New()
	parts = []uint64{first}
	now = play(alone, []step{{1, "a", "s1", parts, false}, {2, "b", "s2", parts, false}, {3, "c", "s3", parts, false}})
	require.True(t, quarantined(alone, now, first, second), "the first part can be the deadly one")
}

// TestBounds guards against memory that grows with the number of parts, such as prompts whose parts
// are all different.
func TestBounds(t *testing.T) {
	table := quarantine.New()
	parts := []uint64{deadly}
	now := play(table, []step{{1, "a", "s1", parts, false}, {2, "b", "s2", parts, false}, {3, "c", "s3", parts, false}})
	for i := range uint64(5000) {
		now = now.Add(time.Millisecond)
		table.Lost(now, now, quarantine.Loss{Request: fmt.Sprint(i), Server: fmt.Sprint(i), Parts: []uint64{1000 + i}})
		table.Served(now, []uint64{100_000 + i}, now)
	}
	require.LessOrEqual(t, len(table.All(now).Reports), 64+3)
	require.True(t, quarantined(table, now, deadly), "a quarantined part must outlast the others")
}
