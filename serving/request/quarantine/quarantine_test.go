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
	// settled is longer than the time in which losses are judged together.
	settled = 200 * time.Millisecond
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
		if one.server == "others" {
			answerOthers(table, now)
			continue
		}
		if one.answered {
			table.Served(now, quarantine.Answer{Server: one.server, Incarnation: 1, Content: quarantine.Content{Parts: one.parts}, BegunAt: now})
			continue
		}
		table.Lost(now, now, quarantine.Loss{Request: one.request, Server: one.server, Incarnation: 1, Content: quarantine.Content{Parts: one.parts}})
	}
	return now.Add(settled)
}

// answerOthers adds answers to prompts that share no part with those of the tests.
func answerOthers(table *quarantine.Table, now time.Time) {
	for i := range uint64(30) {
		table.Served(now, quarantine.Answer{Server: "other", Incarnation: 1, Content: quarantine.Content{Parts: []uint64{500 + i}}, BegunAt: now})
	}
}

func quarantined(table *quarantine.Table, now time.Time, parts ...uint64) bool {
	cause, _ := table.Check(now, quarantine.Content{Parts: parts})
	return cause != quarantine.None
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
			[]step{sound(0), {1, "a", "s1", parts, false}, {1.02, "b", "s2", parts, false}, {1.04, "c", "s3", parts, false}, {1.06, "d", "s4", parts, false}}, false,
		},
		"connections reset at many servers again and again": {
			[]step{
				sound(0),
				{1, "a", "s1", parts, false},
				{1, "b", "s2", nil, false},
				{1.05, "c", "s3", nil, false},
				{1.2, "", "s1", nil, true},
				{1.2, "", "s2", nil, true},
				{1.2, "", "s3", nil, true},
				{2, "d", "s1", nil, false},
				{2, "e", "s2", parts, false},
				{2.01, "f", "s3", nil, false},
				{2.2, "", "s1", nil, true},
				{2.2, "", "s2", nil, true},
				{2.2, "", "s3", nil, true},
				{3, "g", "s1", nil, false},
				{3, "h", "s2", nil, false},
				{3, "i", "s3", parts, false},
			}, false,
		},
		"repeated at once at other servers": {
			[]step{
				sound(0),
				{1, "a", "s1", parts, false},
				{1.01, "a", "s2", parts, false},
				{1.02, "a", "s3", parts, false},
				{2, "b", "s4", parts, false},
				{2.01, "b", "s5", parts, false},
				{2.02, "b", "s6", parts, false},
				{3, "c", "s7", parts, false},
			}, true,
		},
		"two requests within a moment": {
			[]step{
				sound(0), {1, "a", "s1", parts, false}, {1.01, "a", "s2", parts, false}, {1.25, "b", "s3", parts, false}, {1.26, "b", "s4", parts, false},
			}, true,
		},
		"while other servers are down": {
			[]step{
				sound(0),
				{0.5, "x", "s8", nil, false},
				{0.7, "x", "s9", nil, false},
				{1, "a", "s1", parts, false},
				{1.01, "x", "s8", nil, false},
				{1.02, "y", "s9", nil, false},
				{2, "b", "s2", parts, false},
				{2.01, "x", "s8", nil, false},
				{2.02, "y", "s9", nil, false},
				{2.03, "z", "s1", nil, false},
				{3, "c", "s3", parts, false},
				{3.01, "x", "s8", nil, false},
				{3.02, "y", "s9", nil, false},
			}, true,
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
				{7, "", "others", nil, true},
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
	parts := []uint64{first, deadly}
	now := play(table, []step{{1, "a", "s1", parts, false}, {2, "b", "s2", parts, false}, {3, "c", "s3", parts, false}})
	_, left := table.Check(now, quarantine.Content{Parts: parts})
	require.Equal(t, 5*time.Minute-settled, left)
	now = now.Add(5*time.Minute + time.Second)
	require.False(t, quarantined(table, now, deadly))
	table.Lost(now, now, quarantine.Loss{Request: "d", Server: "s4", Incarnation: 1, Content: quarantine.Content{Parts: parts}})
	require.True(t, quarantined(table, now.Add(settled), deadly))
	table.TakeChanges(now)
	table.Served(now.Add(2*time.Second), quarantine.Answer{Server: "s4", Incarnation: 1, Content: quarantine.Content{Parts: parts}, BegunAt: now.Add(time.Second)})
	require.Equal(t, []quarantine.Change{{Part: deadly}}, table.TakeChanges(now.Add(2*time.Second)))
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
					table.Served(now, quarantine.Answer{Server: "s", Incarnation: 1, Content: quarantine.Content{Parts: []uint64{part}}, BegunAt: now})
				} else {
					table.Lost(now, now, quarantine.Loss{Request: fmt.Sprint(random.IntN(9)), Server: fmt.Sprint(random.IntN(9)), Content: quarantine.Content{Parts: []uint64{part}}})
				}
				if random.IntN(2) == 0 {
					tables[random.IntN(len(tables))].Merge(now, table.All(now))
				}
			}
			now = now.Add(settled)
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

// fleet is a simulation of many instances that exchange what they know once a second.
type fleet struct {
	t      *testing.T
	random *rand.Rand
	tables []*quarantine.Table
	// cut holds the instances that exchange nothing, and own what each has stored.
	cut map[int]bool
	own map[int]quarantine.Snapshot
}

func (f *fleet) exchange(now time.Time) {
	for i, table := range f.tables {
		if !f.cut[i] && table.TakeChanged(now) {
			f.own[i] = table.Own(now)
		}
	}
	for i, table := range f.tables {
		for _, own := range f.own {
			if !f.cut[i] {
				table.Merge(now, own)
			}
		}
	}
}

// restart replaces the processes of some instances by new ones, which know what is stored.
func (f *fleet) restart(now time.Time, count int) {
	for range count {
		i := f.random.IntN(len(f.tables))
		f.tables[i] = quarantine.New()
		f.tables[i].Inherit(now, f.own[i])
		for _, own := range f.own {
			f.tables[i].Merge(now, own)
		}
	}
}

// TestFleets guards against a part that no single instance sees often enough, through kills of
// instances and with some that are cut off, and against the refusal of sound requests.
func TestFleets(t *testing.T) {
	for name, test := range map[string]struct {
		instances, killed, cut int
	}{
		"8 instances":              {8, 0, 0},
		"8 instances with kills":   {8, 1, 0},
		"8 instances with cuts":    {8, 0, 2},
		"380 instances":            {380, 0, 0},
		"380 instances with kills": {380, 20, 0},
		"380 instances with cuts":  {380, 0, 60},
	} {
		t.Run(name, func(t *testing.T) {
			f := fleet{t, rand.New(rand.NewPCG(7, 7)), nil, map[int]bool{}, map[int]quarantine.Snapshot{}}
			for i := range test.instances {
				f.tables = append(f.tables, quarantine.New())
				f.cut[i] = i < test.cut
			}
			now, crashes, late, refused := start, 0, 0, 0
			var fifth time.Time
			for tick := range 2000 {
				now = now.Add(10 * time.Millisecond)
				number := f.random.IntN(len(f.tables))
				one := f.tables[number]
				isDeadly := tick%40 == 0
				parts := []uint64{first, 100 + uint64(f.random.IntN(40))}
				if isDeadly {
					parts[1] = deadly
				}
				cause, _ := one.Check(now, quarantine.Content{Parts: parts})
				isRefused := cause != quarantine.None
				switch {
				case isRefused && !isDeadly:
					refused++
				case isRefused:
				case isDeadly:
					if crashes++; crashes == 5 {
						fifth = now
					}
					// An instance that is cut off from the platform is not in touch.
					if !fifth.IsZero() && now.Sub(fifth) > 3*time.Second && !f.cut[number] {
						late++
					}
					one.Lost(now, now, quarantine.Loss{Request: fmt.Sprint(tick), Server: fmt.Sprint(tick), Content: quarantine.Content{Parts: parts}})
				default:
					one.Served(now, quarantine.Answer{Server: "s", Incarnation: 1, Content: quarantine.Content{Parts: parts}, BegunAt: now})
				}
				if tick%100 == 99 {
					f.exchange(now)
					f.restart(now, test.killed)
				}
			}
			t.Logf("%d crashes, %d sound requests refused", crashes, refused)
			require.LessOrEqual(t, late, 3, "requests later than contact_ms after the fifth crash")
			require.Zero(t, refused)
		})
	}
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
	require.False(t, quarantined(alone, now, first, second), "servers may crash for another reason")
	answerOthers(alone, now)
	require.True(t, quarantined(alone, now, first, second), "the first part can be the deadly one")
}

// TestInnocentRequestsInCrashes guards against the quarantine of a part of sound requests that were
// waiting at the servers when those crashed because of another part.
func TestInnocentRequestsInCrashes(t *testing.T) {
	table := quarantine.New()
	steps := []step{{0, "", "s", []uint64{first, second}, true}}
	for i := range 6 {
		server := fmt.Sprint("s", i)
		steps = append(steps,
			step{1 + float64(i)/4, "d" + server, server, []uint64{first, deadly}, false},
			step{1.01 + float64(i)/4, "i" + server, server, []uint64{first, second}, false})
	}
	now := play(table, append(steps, step{3, "", "others", nil, true}))
	require.True(t, quarantined(table, now, first, deadly))
	require.False(t, quarantined(table, now, first, second))
}

// TestAllServersCrash guards against the quarantine of all prompts after a time in which all servers
// crashed again and again for another reason: nothing could be answered any more.
func TestAllServersCrash(t *testing.T) {
	for name, known := range map[string]bool{"answered before": true, "cold start": false} {
		t.Run(name, func(t *testing.T) {
			table := quarantine.New()
			now := start
			parts := func(i uint64) []uint64 { return []uint64{first + i%3, 20 + i%7} }
			for i := range uint64(21) {
				if known {
					table.Served(now, quarantine.Answer{Server: "s", Incarnation: 1, Content: quarantine.Content{Parts: parts(i)}, BegunAt: now})
				}
			}
			for i := range uint64(60) {
				now = now.Add(200 * time.Millisecond)
				table.Lost(now, now, quarantine.Loss{Request: fmt.Sprint(i), Server: fmt.Sprint(i % 6), Incarnation: i / 6, Content: quarantine.Content{Parts: parts(i)}})
			}
			now = now.Add(settled)
			if known {
				for i := range uint64(21) {
					require.False(t, quarantined(table, now, parts(i)...))
				}
				return
			}
			require.False(t, quarantined(table, now, first), "the first part")
		})
	}
}

// TestBounds guards against memory that grows with the number of parts, such as prompts whose parts
// are all different.
func TestBounds(t *testing.T) {
	table := quarantine.New()
	parts := []uint64{first, deadly}
	now := play(table, []step{{1, "a", "s1", parts, false}, {2, "b", "s2", parts, false}, {3, "c", "s3", parts, false}})
	for i := range uint64(1000) {
		now = now.Add(settled)
		table.Lost(now, now, quarantine.Loss{Request: fmt.Sprint(i), Server: fmt.Sprint(i), Content: quarantine.Content{Parts: []uint64{1000 + i}}})
		table.Served(now, quarantine.Answer{Server: "s", Incarnation: 1, Content: quarantine.Content{Parts: []uint64{100_000 + i}}, BegunAt: now})
	}
	require.LessOrEqual(t, len(table.All(now).Reports), 64+3)
	require.True(t, quarantined(table, now, deadly), "a quarantined part must outlast the others")
}
