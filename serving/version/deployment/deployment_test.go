package deployment_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/version/deployment"
)

func TestMatch(t *testing.T) {
	version := deployment.New(deployment.Deployment{Routes: []deployment.Route{
		{Name: "wide", Host: "a", Prefix: "/x/"},
		{Name: "narrow", Host: "a", Prefix: "/x/y/"},
		{Name: "other", Host: "b", Prefix: "/x/"},
	}})
	for name, test := range map[string]struct {
		host, path, route string
	}{
		"the longest prefix":       {"a", "/x/y/1", "narrow"},
		"a shorter prefix":         {"a", "/x/z", "wide"},
		"another host":             {"b", "/x/y/1", "other"},
		"an unknown host":          {"c", "/x/", ""},
		"a path without its slash": {"a", "/x", ""},
	} {
		t.Run(name, func(t *testing.T) {
			route, found := version.Match(test.host, test.path)
			require.Equal(t, test.route != "", found)
			if found {
				require.Equal(t, test.route, route.Name)
			}
		})
	}
}

func TestPickFollowsWeights(t *testing.T) {
	route := deployment.Route{Targets: []deployment.Target{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}}}
	for name, test := range map[string]struct {
		draw    float64
		service string
	}{
		"start": {0, "old"}, "below the border": {0.899, "old"}, "above it": {0.901, "new"}, "end": {0.9999, "new"},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, test.service, route.Pick(test.draw)) })
	}
	require.Empty(t, (&deployment.Route{}).Pick(0.5))
}

func TestKeeperIsMonotonic(t *testing.T) {
	var keeper deployment.Keeper
	require.Nil(t, keeper.Current())
	version := func(n uint64) deployment.Snapshot {
		return deployment.Snapshot{Version: deployment.New(deployment.Deployment{Version: n}), Raw: []byte{byte(n)}}
	}
	require.True(t, keeper.Adopt(version(3)))
	require.False(t, keeper.Adopt(version(2)))
	require.False(t, keeper.Adopt(version(3)))
	require.True(t, keeper.Adopt(version(9)))
	require.EqualValues(t, 9, keeper.Current().Version)
	require.Equal(t, []byte{9}, keeper.Raw())
}
