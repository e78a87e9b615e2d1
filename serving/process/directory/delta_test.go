package directory_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/directory"
)

// TestDelta guards against a list of servers that differs from the sender's after a delta.
func TestDelta(t *testing.T) {
	list := func(ids ...string) (servers []directory.Server) {
		for _, id := range ids {
			servers = append(servers, directory.Server{ID: id[:1], Incarnation: uint64(len(id)), Leaving: id[len(id)-1] == '!'})
		}
		return servers
	}
	for name, test := range map[string]struct {
		before, after []directory.Server
		changed, gone int
	}{
		"nothing":             {list("a", "b"), list("a", "b"), 0, 0},
		"from nothing":        {nil, list("a", "b"), 2, 0},
		"to nothing":          {list("a", "b"), nil, 0, 2},
		"one leaves":          {list("a", "b", "c"), list("a", "b!", "c"), 1, 0},
		"one goes, one comes": {list("a", "b", "d"), list("a", "c", "d"), 1, 1},
		"a new incarnation":   {list("a", "b"), list("a", "bb"), 1, 0},
		"a new first one":     {list("c", "d"), list("a", "c", "d"), 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			delta := directory.Diff(test.before, test.after)
			require.Len(t, delta.Changed, test.changed)
			require.Len(t, delta.Gone, test.gone)
			require.ElementsMatch(t, test.after, delta.Apply(test.before))
			if len(test.after) > 0 {
				require.Equal(t, test.after, delta.Apply(test.before), "the order")
			}
		})
	}
}
