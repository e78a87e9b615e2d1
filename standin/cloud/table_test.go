package cloud

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/platform"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func backend(id, domain string) platform.Instance {
	return platform.Instance{
		ID: id, Incarnation: 1, Role: platform.BackendRole, FailureDomain: domain, Class: "t4-spot", Reclaimable: true,
	}
}

func TestListLags(t *testing.T) {
	table := newTable([]platform.Price{{Class: "t4-spot", FailureDomain: "a", Reclaimable: true, PricePerHour: 0.12}}, 1)
	table.register(start, backend("one", "a"))
	table.register(start.Add(time.Second), backend("two", "b"))
	lag := 500 * time.Millisecond
	require.Empty(t, table.list(start, lag).Instances)
	list := table.list(start.Add(700*time.Millisecond), lag)
	require.Len(t, list.Instances, 1)
	require.InDelta(t, 0.12, list.Instances[0].PricePerHour, 1e-9)
	require.Len(t, table.list(start.Add(2*time.Second), lag).Instances, 2)
}

func TestReclaimOfADomain(t *testing.T) {
	table := newTable(nil, 1)
	owned := backend("owned", "a")
	owned.Reclaimable = false
	for _, in := range []platform.Instance{backend("one", "a"), backend("two", "a"), backend("three", "b"), owned} {
		table.register(start, in)
	}
	require.Len(t, table.reclaim(start, Reclaim{FailureDomain: "a", LeaveInMS: 4000}), 2)
	require.Empty(t, table.reclaim(start, Reclaim{FailureDomain: "a", LeaveInMS: 9000}), "each instance gets one notice")
	require.Len(t, table.reclaim(start, Reclaim{Instances: []string{"owned"}, LeaveInMS: 4000}), 1)

	later := start.Add(time.Second)
	notices := table.noticesSince(later, 1)
	require.Len(t, notices.Notices, 2)
	require.Equal(t, uint64(3), notices.Next)
	require.Equal(t, int64(3000), notices.Notices[0].LeaveInMS)
	for _, in := range table.list(later, 0).Instances {
		require.Equal(t, in.FailureDomain == "a", in.Leaving)
	}
	table.expire(start.Add(4 * time.Second))
	require.Len(t, table.list(start.Add(5*time.Second), 0).Instances, 1)
}

func TestStartsAreRefusedOrIdempotent(t *testing.T) {
	request := platform.Start{RequestID: "r", Service: "farewell-llm", FailureDomain: "a", Reclaimable: true}
	tests := map[string]struct {
		faults Faults
		ok     bool
	}{
		"granted":              {Faults{}, true},
		"all refused":          {Faults{RefuseStarts: true}, false},
		"reclaimable refused":  {Faults{RefuseReclaimable: true}, false},
		"domain refused":       {Faults{RefuseDomain: "a"}, false},
		"other domain refused": {Faults{RefuseDomain: "b"}, true},
		"by chance":            {Faults{RefuseShare: 1}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := newTable(nil, 1)
			_, id, ok := table.admitStart(request, test.faults)
			require.Equal(t, test.ok, ok)
			if !ok {
				return
			}
			table.register(start, backend(id, "a"))
			earlier, again, ok := table.admitStart(request, Faults{RefuseStarts: true})
			require.True(t, ok, "a repeated request returns the same instance")
			require.Equal(t, id, again)
			require.NotNil(t, earlier)
		})
	}
}
