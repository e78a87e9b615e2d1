package usage_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/usage"
)

var start = time.Unix(1_800_000_000, 0) // the start of a window of 5 s

func TestWindows(t *testing.T) {
	counter := usage.New(5 * time.Second)
	first := counter.Number(start)
	counter.Began(start, "a")
	counter.Began(start.Add(4900*time.Millisecond), "a")
	counter.Began(start.Add(5*time.Second), "b")
	require.Empty(t, counter.Ended(start.Add(5*time.Second)), "the window still accepts late requests")
	counter.Began(start.Add(4999*time.Millisecond), "c")
	require.Equal(t, []usage.Window{{Number: first, Counts: usage.Counts{"a": 2, "c": 1}}}, counter.Ended(start.Add(5400*time.Millisecond)))
	counter.Began(start.Add(4999*time.Millisecond), "late")
	require.Equal(t, []usage.Window{{Number: first + 1, Counts: usage.Counts{"b": 1, "late": 1}}}, counter.Ended(start.Add(11*time.Second)))
	require.Empty(t, counter.Ended(start.Add(20*time.Second)))
	require.Equal(t, start.Add(5*time.Second).UnixNano(), counter.End(first).UnixNano())
}

func TestSum(t *testing.T) {
	require.Equal(t, usage.Counts{"a": 3, "b": 1}, usage.Sum([]usage.Counts{{"a": 1}, {"a": 2, "b": 1}, nil}))
}

// TestHeard checks how written and reported counts are combined.
func TestHeard(t *testing.T) {
	type reports struct {
		incarnation uint64
		windows     map[int64]usage.Counts
	}
	for name, test := range map[string]struct {
		reports []reports
		written usage.Counts
		want    usage.Counts
	}{
		"written and reported": {
			[]reports{{1, map[int64]usage.Counts{7: {"a": 3}}}},
			usage.Counts{"a": 3, "b": 1},
			usage.Counts{"a": 3, "b": 1},
		},
		"partitioned from the store": {[]reports{{1, map[int64]usage.Counts{7: {"a": 3}}}}, nil, usage.Counts{"a": 3}},
		"killed and restarted": {
			[]reports{{1, map[int64]usage.Counts{7: {"a": 3}}}, {2, map[int64]usage.Counts{7: {"a": 2}}}},
			usage.Counts{"a": 2},
			usage.Counts{"a": 5},
		},
		"reported again": {
			[]reports{{1, map[int64]usage.Counts{7: {"a": 1}}}, {1, map[int64]usage.Counts{7: {"a": 4}}}},
			nil,
			usage.Counts{"a": 4},
		},
		"another window": {[]reports{{1, map[int64]usage.Counts{6: {"a": 1}}}}, nil, usage.Counts{}},
		"later report without the window": {
			[]reports{{1, map[int64]usage.Counts{7: {"a": 4}}}, {1, map[int64]usage.Counts{8: {"a": 4}}}},
			nil,
			usage.Counts{"a": 4},
		},
	} {
		t.Run(name, func(t *testing.T) {
			heard := usage.NewPeerCounts()
			for _, one := range test.reports {
				heard.Record("entry-1", one.incarnation, one.windows)
			}
			require.Equal(t, test.want, heard.Counts("entry-1", 7, test.written))
		})
	}
}

// TestTold checks that the current window and the last ended ones are reported.
func TestTold(t *testing.T) {
	c := usage.New(time.Second)
	at := time.Unix(1_800_000_000, 0)
	c.Began(at, "a")
	c.Began(at.Add(1500*time.Millisecond), "b")
	require.Len(t, c.Ended(at.Add(1600*time.Millisecond)), 1)
	number := c.Number(at)
	require.Equal(t, map[int64]usage.Counts{number: {"a": 1}, number + 1: {"b": 1}}, c.Recent())
	c.Began(at.Add(20*time.Second), "a")
	c.Ended(at.Add(22 * time.Second))
	require.Equal(t, map[int64]usage.Counts{number + 20: {"a": 1}}, c.Recent())
}

// TestHeardOverManyIncarnations guards against a table that grows with each start of a process.
func TestHeardOverManyIncarnations(t *testing.T) {
	heard := usage.NewPeerCounts()
	for incarnation := range uint64(100) {
		heard.Record("entry-1", incarnation, map[int64]usage.Counts{int64(incarnation): {"a": 1}})
	}
	incarnations := 0
	for number := range int64(100) {
		incarnations += heard.Counts("entry-1", number, nil)["a"]
	}
	require.Equal(t, usage.KeptWindows, incarnations)
	heard.Forget("entry-1")
	require.Empty(t, heard.Instances())
}
