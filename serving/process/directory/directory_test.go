package directory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/directory"
)

var start = time.Unix(1_800_000_000, 0)

// step is one read of the listing; nil means that it failed.
type step struct {
	after  time.Duration
	listed []directory.Server
	want   []directory.Server
}

func server(id string, incarnation uint64) directory.Server {
	return directory.Server{ID: id, Incarnation: incarnation}
}

func leaving(id string, incarnation uint64) directory.Server {
	return directory.Server{ID: id, Incarnation: incarnation, Leaving: true}
}

func TestListed(t *testing.T) {
	all := []directory.Server{server("a", 1), server("b", 1)}
	one := []directory.Server{server("a", 1)}
	for name, steps := range map[string][]step{
		"a missing server is removed": {{0, all, all}, {time.Second, one, one}},
		"entries that expired in an outage return": {
			{0, all, all}, {time.Second, nil, nil}, {2 * time.Second, one, all}, {3 * time.Second, all, all}, {9 * time.Second, all, all},
		},
		"servers still missing after the grace period are removed": {
			{0, all, all}, {time.Second, nil, nil}, {2 * time.Second, one, all}, {4500 * time.Millisecond, one, one},
		},
		"a late first listing does not extend the grace period": {
			{0, all, all}, {time.Second, nil, nil}, {2600 * time.Millisecond, one, all}, {3600 * time.Millisecond, one, one},
		},
		"an older incarnation changes nothing": {
			{0, []directory.Server{server("a", 2)}, []directory.Server{server("a", 2)}},
			{time.Second, []directory.Server{server("a", 1)}, []directory.Server{server("a", 2)}},
		},
		"only a new incarnation ends leaving": {
			{0, []directory.Server{leaving("a", 1)}, []directory.Server{leaving("a", 1)}},
			{time.Second, []directory.Server{server("a", 1)}, []directory.Server{leaving("a", 1)}},
			{2 * time.Second, []directory.Server{server("a", 2)}, []directory.Server{server("a", 2)}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			table := directory.New(directory.DefaultGracePeriod)
			for _, s := range steps {
				if s.listed == nil {
					table.ListFailed(start.Add(s.after))
					continue
				}
				require.Equal(t, s.want, table.Update(start.Add(s.after), s.listed), "after %s", s.after)
			}
		})
	}
}
