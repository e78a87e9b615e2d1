package route_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/request/backpressure"
	"papayaport.dev/serving/request/route"
)

// versionedBackends returns six servers of v1, six of v2 and one without a version.
func versionedBackends() []route.Backend {
	list := backends(13)
	for i := range list {
		list[i].Version = []string{"v1", "v2"}[i%2]
	}
	list[12].Version = ""
	return list
}

// chosen returns the servers selected over many requests, by version.
func chosen(t *testing.T, table *route.Table, versions route.Versions) map[string]map[string]bool {
	t.Helper()
	seen := map[string]map[string]bool{}
	for i := range 400 {
		request := textRequest(fmt.Sprint("text", i), 2)
		request.Versions = versions
		choice := send(t, table, start, fmt.Sprint(versions, i), request)
		if seen[choice.Backend.Version] == nil {
			seen[choice.Backend.Version] = map[string]bool{}
		}
		seen[choice.Backend.Version][choice.Backend.ID] = true
	}
	return seen
}

// TestVersions guards against requests that reach a version that the rollout does not allow.
func TestVersions(t *testing.T) {
	for name, test := range map[string]struct {
		versions route.Versions
		// want is the number of servers used, by version.
		want map[string]int
	}{
		"any version":                        {route.Versions{}, map[string]int{"v1": 6, "v2": 6, "": 1}},
		"one version only":                   {route.Versions{Only: "v2"}, map[string]int{"v2": 6}},
		"one version excluded":               {route.Versions{Not: []string{"v2"}}, map[string]int{"v1": 6, "": 1}},
		"several versions excluded":          {route.Versions{Not: []string{"v2", "v1"}}, map[string]int{"": 1}},
		"servers without a version excluded": {route.Versions{Not: []string{""}}, map[string]int{"v1": 6, "v2": 6}},
		"limited servers of one version":     {route.Versions{Only: "v2", MaxServers: 2}, map[string]int{"v2": 2}},
		"limit above the number of servers":  {route.Versions{Only: "v2", MaxServers: 60}, map[string]int{"v2": 6}},
		"limit without a version":            {route.Versions{MaxServers: 2}, map[string]int{"v1": 6, "v2": 6, "": 1}},
	} {
		for _, policy := range []string{route.Papayaport, route.LeastInFlight, route.RoundRobin, route.PrefixHash} {
			t.Run(name+" by "+policy, func(t *testing.T) {
				seen := map[string]int{}
				for version, servers := range chosen(t, seededTable(t, policy, versionedBackends(), 1), test.versions) {
					seen[version] = len(servers)
				}
				require.Equal(t, test.want, seen)
			})
		}
	}
}

// TestVersionsWithoutServers guards against a disallowed version that is used as a last resort, and
// against a refusal reported as if the request had run.
func TestVersionsWithoutServers(t *testing.T) {
	for name, versions := range map[string]route.Versions{
		"no server of the version":           {Only: "v3"},
		"all versions excluded":              {Not: []string{"v1", "v2", ""}},
		"version both required and excluded": {Only: "v2", Not: []string{"v2"}},
	} {
		t.Run(name, func(t *testing.T) {
			table := seededTable(t, route.Papayaport, versionedBackends(), 1)
			request := textRequest("text", 2)
			request.Versions = versions
			_, err := table.Choose(start, request)
			refusal := problem.From(err)
			require.Equal(t, problem.NoBackend, refusal.Kind)
			require.Equal(t, problem.NotRun, problem.Rows[refusal.Kind].Outcome)
		})
	}
}

// TestServerLimitIsConsistent guards against a trial that reaches more servers than allowed because
// entry instances select different ones: state that only one instance has about a server does not
// change the selection, and a server that leaves is replaced by the same next one everywhere.
func TestServerLimitIsConsistent(t *testing.T) {
	versions := route.Versions{Only: "v2", MaxServers: 2}
	first := chosen(t, seededTable(t, route.Papayaport, versionedBackends(), 1), versions)["v2"]
	require.Len(t, first, 2)

	other := seededTable(t, route.LeastInFlight, versionedBackends(), 7)
	closed := ""
	for id := range first {
		closed = id
	}
	other.ApplyBackpressure(start, start, closed, 1, backpressure.Signal{PauseFor: time.Minute})
	for id := range chosen(t, other, versions)["v2"] {
		require.Contains(t, first, id, "a server closed by backpressure at one instance stays selected")
	}

	leaves := seededTable(t, route.Papayaport, versionedBackends(), 1)
	leaves.MarkLeaving(start, closed, 1, start.Add(time.Minute))
	next := chosen(t, leaves, versions)["v2"]
	require.Len(t, next, 2)
	require.NotContains(t, next, closed)
}

// TestBasis guards against a good new version that looks slow because the estimates have adapted to
// the old servers, and against a slow version whose estimates hide that it is slow.
func TestBasis(t *testing.T) {
	list := backends(2)
	list[0].Version, list[1].Version = "v1", "v2"
	list[1].FailureDomain = list[0].FailureDomain
	table := seededTable(t, route.Papayaport, list, 1)
	pick := func(version string) route.Choice {
		request := textRequest("text "+version, 2)
		request.Versions.Only = version
		return choose(t, table, start, request)
	}
	before := pick("v1").Baseline()
	require.Equal(t, before, pick("v2").Baseline())
	request := textRequest("text v1", 2)
	request.Versions.Only = "v1"
	send(t, table, start, "slow", request)
	now := start.Add(time.Second)
	table.FirstToken(now, "slow", 0)
	for range 20 {
		now = now.Add(500 * time.Millisecond)
		table.Token(now, "slow")
	}
	table.Done(now, "slow", route.OK, 0)
	table.Report(now, id(0), load(0))
	known := choose(t, table, now, request)
	require.Greater(t, known.FirstToken, 500*time.Millisecond, "the estimate has adapted")
	require.LessOrEqual(t, known.Baseline(), before)
}
