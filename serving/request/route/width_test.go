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
	width   = 4
	servers = 40
)

// spreadOf sends a request several times, each of which stays at its server, and returns the
// servers.
func spreadOf(t *testing.T, table *route.Table, request route.Request, times int) map[string]int {
	t.Helper()
	used := map[string]int{}
	for i := range times {
		used[send(t, table, start, fmt.Sprint(request.PromptTokens, "-", i), request).Backend.ID]++
	}
	return used
}

// TestWidth guards against prompts that spread over all servers, and against limits where
// there is nothing to keep together.
func TestWidth(t *testing.T) {
	shared := filing("shared", 20)
	short := filing("short", 7)
	short.PromptTokens += 10_000
	plain := route.Request{Service: "model-bench", Deadline: shared.Deadline}
	for name, test := range map[string]struct {
		width       int
		request     route.Request
		least, most int
	}{
		"long shared part":             {width, shared, 2, width},
		"long shared part, no limit":   {0, shared, width + 1, servers},
		"short shared part":            {width, short, 3 * width, servers},
		"no prompt":                    {width, plain, 3 * width, servers},
		"no more servers than allowed": {servers, shared, width + 1, servers},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable(t, route.Papayaport+"_no_price", servers)
			table.SetWidth(test.width)
			used := spreadOf(t, table, test.request, 200)
			require.GreaterOrEqual(t, len(used), test.least)
			require.LessOrEqual(t, len(used), test.most)
		})
	}
}

// TestWidthOfManyPrompts guards against instances that all take the same few servers: the
// first servers differ from prompt to prompt, and are the same at all instances.
func TestWidthOfManyPrompts(t *testing.T) {
	used := map[string]int{}
	one, two := newTable(t, route.Papayaport+"_no_price", servers), seededTable(t, route.Papayaport+"_no_price", backends(servers), 9)
	one.SetWidth(width)
	two.SetWidth(width)
	for i := range 400 {
		request := filing(fmt.Sprint("prompt ", i), 20)
		first := choose(t, one, start, request).Backend.ID
		require.Equal(t, first, choose(t, two, start, request).Backend.ID, "the home of %d", i)
		used[first]++
	}
	require.Len(t, used, servers)
}

// TestOthersBehindTheWidth guards against a prompt without a server because the first ones
// in its order take nothing.
func TestOthersBehindTheWidth(t *testing.T) {
	request := filing("shared", 20)
	table := newTable(t, route.Papayaport+"_no_price", servers)
	table.SetWidth(width)
	taken := map[string]bool{}
	for i := range servers {
		chosen := choose(t, table, start, request).Backend.ID
		require.NotContains(t, taken, chosen, "choice %d", i)
		taken[chosen] = true
		switch i % 3 {
		case 0:
			table.Leaving(start, chosen, 1, start.Add(time.Minute))
		case 1:
			request.Exclude = append(request.Exclude, chosen)
		default:
			fail(t, table, chosen, request)
		}
	}
	last := choose(t, table, start, request).Backend.ID
	require.True(t, taken[last], "a last resort when there is no other")
	for i := range servers {
		table.Leaving(start, id(i), 1, start.Add(time.Minute))
	}
	_, err := table.Choose(start, request)
	require.Equal(t, problem.NoBackend, problem.From(err).Kind)
}

// fail lets a server fail until it is barred.
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

// TestCachedTokensAmongFew guards against depths of a prompt that differ from those of an
// unlimited choice, also where servers hold a part of it.
func TestCachedTokensAmongFew(t *testing.T) {
	table := newTable(t, route.Papayaport+"_no_price", 5)
	request := filing("shared", 40)
	for i := range 5 {
		table.Stored(id(i), request.Blocks[:8*(i+1)])
	}
	for i := range 5 {
		only := request
		for j := range 5 {
			if j != i {
				only.Exclude = append(only.Exclude, id(j))
			}
		}
		table.SetWidth(4)
		few := choose(t, table, start, only)
		table.SetWidth(0)
		all := choose(t, table, start, only)
		require.Equal(t, id(i), few.Backend.ID)
		require.Equal(t, 8*(i+1)*prefix.BlockTokens, few.CachedTokens)
		require.Equal(t, all.CachedTokens, few.CachedTokens)
		require.Equal(t, all.FirstToken, few.FirstToken)
	}
}

// TestWidthKeepsToVersions guards against a limited choice that takes servers of a version
// which a roll-out does not allow, or that finds none although there are some.
func TestWidthKeepsToVersions(t *testing.T) {
	for name, test := range map[string]struct {
		versions route.Versions
		want     map[string]int
	}{
		"only one":             {route.Versions{Only: "v2"}, map[string]int{"v2": 6}},
		"few servers of one":   {route.Versions{Only: "v2", Most: 2}, map[string]int{"v2": 2}},
		"not one":              {route.Versions{Not: []string{"v2"}}, map[string]int{"v1": 6, "": 1}},
		"neither of the named": {route.Versions{Not: []string{"v1", ""}}, map[string]int{"v2": 6}},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable(t, route.Papayaport, 0)
			table.SetBackends(start, versionedBackends())
			table.SetWidth(width)
			used := map[string]int{}
			for version, ids := range chosen(t, table, test.versions) {
				used[version] = len(ids)
			}
			require.Equal(t, test.want, used)
		})
	}
}
