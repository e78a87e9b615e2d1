package directory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/directory"
)

var start = time.Unix(1_800_000_000, 0)

// step is one read of the listing; nil means that it failed. Before it the store may have been replaced.
type step struct {
	after    time.Duration
	listed   []directory.Server
	want     []directory.Server
	replaced bool
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
		"a missing server is removed": {{after: 0, listed: all, want: all}, {after: time.Second, listed: one, want: one}},
		"entries that expired in an outage return": {
			{after: 0, listed: all, want: all}, {after: time.Second, listed: nil, want: nil}, {after: 2 * time.Second, listed: one, want: all}, {after: 3 * time.Second, listed: all, want: all}, {after: 9 * time.Second, listed: all, want: all},
		},
		"servers still missing after the grace period are removed": {
			{after: 0, listed: all, want: all}, {after: time.Second, listed: nil, want: nil}, {after: 2 * time.Second, listed: one, want: all}, {after: 4500 * time.Millisecond, listed: one, want: one},
		},
		"a late first listing does not extend the grace period": {
			{after: 0, listed: all, want: all}, {after: time.Second, listed: nil, want: nil}, {after: 2600 * time.Millisecond, listed: one, want: all}, {after: 3600 * time.Millisecond, listed: one, want: one},
		},
		"an older incarnation changes nothing": {
			{after: 0, listed: []directory.Server{server("a", 2)}, want: []directory.Server{server("a", 2)}},
			{after: time.Second, listed: []directory.Server{server("a", 1)}, want: []directory.Server{server("a", 2)}},
		},
		"a removed server in an older copy": {
			{after: 0, listed: all, want: all},
			{after: time.Second, listed: one, want: one},
			{after: 2 * time.Second, listed: all, want: one, replaced: true},
			{after: 5 * time.Second, listed: one, want: one},
		},
		"a removed server that is there again later": {
			{after: 0, listed: all, want: all},
			{after: time.Second, listed: one, want: one},
			{after: 2 * time.Second, listed: all, want: one, replaced: true},
			{after: 7 * time.Second, listed: all, want: all},
		},
		"a new incarnation in an older copy": {
			{after: 0, listed: all, want: all},
			{after: time.Second, listed: one, want: one},
			{after: 2 * time.Second, listed: []directory.Server{server("a", 1), server("b", 2)}, want: []directory.Server{server("a", 1), server("b", 2)}, replaced: true},
		},
		"a server that an older copy lacks": {
			{after: 0, listed: all, want: all},
			{after: time.Second, listed: one, want: all, replaced: true},
			{after: 2 * time.Second, listed: all, want: all},
		},
		"a leaving server in an older copy": {
			{after: 0, listed: all, want: all},
			{after: time.Second, listed: []directory.Server{leaving("a", 1)}, want: []directory.Server{leaving("a", 1)}},
			{after: 2 * time.Second, listed: []directory.Server{server("a", 1)}, want: []directory.Server{leaving("a", 1)}, replaced: true},
		},
		"a removed server that was leaving": {
			{after: 0, listed: []directory.Server{leaving("a", 1)}, want: []directory.Server{leaving("a", 1)}},
			{after: time.Second, listed: []directory.Server{}, want: []directory.Server{}},
			{after: 2 * time.Second, listed: []directory.Server{server("a", 1)}, want: []directory.Server{}, replaced: true},
			{after: 9 * time.Second, listed: []directory.Server{server("a", 1)}, want: []directory.Server{leaving("a", 1)}},
		},
		"only a new incarnation ends leaving": {
			{after: 0, listed: []directory.Server{leaving("a", 1)}, want: []directory.Server{leaving("a", 1)}},
			{after: time.Second, listed: []directory.Server{server("a", 1)}, want: []directory.Server{leaving("a", 1)}},
			{after: 2 * time.Second, listed: []directory.Server{server("a", 2)}, want: []directory.Server{server("a", 2)}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			table := directory.New(directory.DefaultGracePeriod)
			for _, s := range steps {
				if s.replaced {
					table.StoreReplaced(start.Add(s.after))
				}
				if s.listed == nil {
					table.ListFailed(start.Add(s.after))
					continue
				}
				require.Equal(t, s.want, table.Update(start.Add(s.after), s.listed), "after %s", s.after)
			}
		})
	}
}
