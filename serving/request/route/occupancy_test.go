package route_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/membership"
	"papayaport.dev/serving/process/occupancy"
	"papayaport.dev/serving/request/route"
)

// TestOccupancyOfOthers guards against prompts that queue behind those of other entry instances:
// the work in the occupancy sums increases a server's estimate.
func TestOccupancyOfOthers(t *testing.T) {
	table := newTable(t, route.LeastInFlight, 2)
	now := start.Add(time.Second)
	require.Empty(t, table.Occupancy(nil))
	table.SetOccupancy(now, []occupancy.ServerLoad{{Server: occupancy.ServerID(id(0)), Requests: 3, Tokens: 16_000}})
	for range 10 {
		require.Equal(t, id(1), choose(t, table, now, textRequest("a", 8)).Backend.ID)
	}
	loaded := newTable(t, route.Papayaport, 1)
	before := choose(t, loaded, now, textRequest("a", 8)).FirstToken
	loaded.SetOccupancy(now, []occupancy.ServerLoad{{Server: occupancy.ServerID(id(0)), Requests: 1, Tokens: 16_000}})
	require.InDelta(t, 2, (choose(t, loaded, now, textRequest("a", 8)).FirstToken - before).Seconds(), 0.01, "16,000 tokens at 8,000 per second")
	half := now.Add(time.Second)
	require.InDelta(t, 1, (choose(t, loaded, half, textRequest("a", 8)).FirstToken - before).Seconds(), 0.01, "half of them are computed")

	table.SetOccupancy(now, nil)
	sent := send(t, table, now, "one", textRequest("a", 8))
	require.Equal(t, []occupancy.ServerLoad{{
		Server: occupancy.ServerID(sent.Backend.ID), Requests: 1, Tokens: textRequest("a", 8).PromptTokens,
	}}, table.Occupancy(nil))
}

// TestReportsOlderThanOccupancy guards against an old load report of a full server that overrides
// newer occupancy sums: a report counts in addition to the sums only when it is newer.
func TestReportsOlderThanOccupancy(t *testing.T) {
	for name, test := range map[string]struct {
		sums time.Duration // after the report
		want string
	}{
		"report before the sums": {time.Second, id(0)},
		"report after the sums":  {-time.Second, id(1)},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable(t, route.LeastInFlight, 2)
			reported := start.Add(2 * time.Second)
			table.Report(reported, id(0), load(7))
			table.Report(reported, id(1), load(0))
			table.SetOccupancy(reported.Add(test.sums), []occupancy.ServerLoad{{Server: occupancy.ServerID(id(1)), Requests: 2}})
			now := reported.Add(1100 * time.Millisecond)
			require.Equal(t, test.want, choose(t, table, now, textRequest("a", 8)).Backend.ID)
			table.SetPeerLoad(now, membership.Totals{})
			require.Equal(t, id(1), choose(t, table, now, textRequest("a", 8)).Backend.ID, "without sums the reports count")
		})
	}
}
