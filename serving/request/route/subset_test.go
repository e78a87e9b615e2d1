package route_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/request/prefix"
	"papayaport.dev/serving/request/route"
)

const (
	subsetSize = 4
	servers    = 40
)

// serversUsed sends a request several times without finishing it, and returns the number of attempts
// by server.
func serversUsed(t *testing.T, table *route.Table, request route.Request, times int) map[string]int {
	t.Helper()
	used := map[string]int{}
	for i := range times {
		used[send(t, table, start, fmt.Sprint(request.PromptTokens, "-", i), request).Backend.ID]++
	}
	return used
}

// TestSubsetSize guards against prompts that are spread over all servers, and against a limit for
// requests that gain nothing from cached prefixes.
func TestSubsetSize(t *testing.T) {
	shared := textRequest("shared", 20)
	short := textRequest("short", 7)
	short.PromptTokens += 10_000
	plain := route.Request{Service: "model-bench", Deadline: shared.Deadline}
	for name, test := range map[string]struct {
		subsetSize  int
		request     route.Request
		least, most int
	}{
		"long shared part":             {subsetSize, shared, 2, subsetSize},
		"long shared part, no limit":   {0, shared, subsetSize + 1, servers},
		"short shared part":            {subsetSize, short, 3 * subsetSize, servers},
		"no prompt":                    {subsetSize, plain, 3 * subsetSize, servers},
		"no more servers than allowed": {servers, shared, subsetSize + 1, servers},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable(t, route.Papayaport+"_no_price", servers)
			table.SetSubsetSize(test.subsetSize)
			used := serversUsed(t, table, test.request, 200)
			require.GreaterOrEqual(t, len(used), test.least)
			require.LessOrEqual(t, len(used), test.most)
		})
	}
}

// TestSubsetsOfManyPrompts guards against subsets that contain the same few servers for all
// prompts, or that differ between entry instances.
func TestSubsetsOfManyPrompts(t *testing.T) {
	used := map[string]int{}
	one, two := newTable(t, route.Papayaport+"_no_price", servers), seededTable(t, route.Papayaport+"_no_price", backends(servers), 9)
	one.SetSubsetSize(subsetSize)
	two.SetSubsetSize(subsetSize)
	for i := range 400 {
		request := textRequest(fmt.Sprint("prompt ", i), 20)
		first := choose(t, one, start, request).Backend.ID
		require.Equal(t, first, choose(t, two, start, request).Backend.ID, "the home of %d", i)
		used[first]++
	}
	require.Len(t, used, servers)
}

// TestServersBeyondTheSubset guards against a request without a server when the first servers in
// rendezvous order do not accept it.
func TestServersBeyondTheSubset(t *testing.T) {
	request := textRequest("shared", 20)
	table := newTable(t, route.Papayaport+"_no_price", servers)
	table.SetSubsetSize(subsetSize)
	taken := map[string]bool{}
	for i := range servers {
		chosen := choose(t, table, start, request).Backend.ID
		require.NotContains(t, taken, chosen, "choice %d", i)
		taken[chosen] = true
		switch i % 3 {
		case 0:
			table.MarkLeaving(start, chosen, 1, start.Add(time.Minute))
		case 1:
			request.Exclude = append(request.Exclude, chosen)
		default:
			fail(t, table, chosen, request)
		}
	}
	last := choose(t, table, start, request).Backend.ID
	require.True(t, taken[last], "a last resort when there is no other")
	for i := range servers {
		table.MarkLeaving(start, id(i), 1, start.Add(time.Minute))
	}
	_, err := table.Choose(start, request)
	require.Equal(t, problem.NoBackend, problem.From(err).Kind)
}

// fail reports failed attempts at a server until it is ejected.
func fail(t *testing.T, table *route.Table, server string, request route.Request) {
	t.Helper()
	for i := range 4 {
		attempt := fmt.Sprint("failed-", server, i)
		b, found := table.Backend(server)
		require.True(t, found)
		table.Sent(start, attempt, route.Choice{Backend: b}, request)
		table.Done(start, attempt, route.Wrong, 0)
	}
}

// TestCachedTokensInSubset guards against cache depths that differ from those of an unlimited
// choice, including servers that have part of the prompt cached.
func TestCachedTokensInSubset(t *testing.T) {
	table := newTable(t, route.Papayaport+"_no_price", 5)
	request := textRequest("shared", 40)
	for i := range 5 {
		table.MarkCached(id(i), request.Blocks[:8*(i+1)])
	}
	for i := range 5 {
		only := request
		for j := range 5 {
			if j != i {
				only.Exclude = append(only.Exclude, id(j))
			}
		}
		table.SetSubsetSize(4)
		few := choose(t, table, start, only)
		table.SetSubsetSize(0)
		all := choose(t, table, start, only)
		require.Equal(t, id(i), few.Backend.ID)
		require.Equal(t, 8*(i+1)*prefix.BlockTokens, few.CachedTokens)
		require.Equal(t, all.CachedTokens, few.CachedTokens)
		require.Equal(t, all.FirstToken, few.FirstToken)
	}
}

// TestSubsetRespectsVersions guards against a subset that contains servers of a version that the
// rollout does not allow, or that finds no server although some are allowed.
func TestSubsetRespectsVersions(t *testing.T) {
	for name, test := range map[string]struct {
		versions route.Versions
		want     map[string]int
	}{
		"one version only":               {route.Versions{Only: "v2"}, map[string]int{"v2": 6}},
		"limited servers of one version": {route.Versions{Only: "v2", MaxServers: 2}, map[string]int{"v2": 2}},
		"one version excluded":           {route.Versions{Not: []string{"v2"}}, map[string]int{"v1": 6, "": 1}},
		"several versions excluded":      {route.Versions{Not: []string{"v1", ""}}, map[string]int{"v2": 6}},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable(t, route.Papayaport, 0)
			table.SetBackends(start, versionedBackends())
			table.SetSubsetSize(subsetSize)
			used := map[string]int{}
			for version, ids := range chosen(t, table, test.versions) {
				used[version] = len(ids)
			}
			require.Equal(t, test.want, used)
		})
	}
}
