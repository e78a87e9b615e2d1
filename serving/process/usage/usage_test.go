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
	require.Empty(t, counter.Ended(start.Add(5*time.Second)), "the window may still get a late request")
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
