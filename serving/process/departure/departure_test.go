package departure_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/departure"
)

var start = time.Unix(1_800_000_000, 0)

// TestWatch checks when a record counts as gone.
func TestWatch(t *testing.T) {
	type look struct {
		at       time.Duration
		revision uint64
		live     bool
		gone     bool
	}
	for name, looks := range map[string][]look{
		"written again": {{at: 0, revision: 1}, {at: 9 * time.Second, revision: 2}},
		"silent":        {{at: 0, revision: 1}, {at: 59 * time.Second, revision: 1}, {at: 60 * time.Second, revision: 1, gone: true}},
		"written late":  {{at: 0, revision: 1}, {at: 55 * time.Second, revision: 2}, {at: 70 * time.Second, revision: 2}},
		"reported live by peers": {
			{at: 0, revision: 1}, {at: 50 * time.Second, revision: 1, live: true}, {at: 100 * time.Second, revision: 1}, {at: 110 * time.Second, revision: 1, gone: true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var watch departure.Watch
			next := 0
			for at := time.Duration(0); next < len(looks); at += time.Second {
				// Listings in between repeat the last one.
				l := looks[max(next-1, 0)]
				due := at == looks[next].at
				if due {
					l = looks[next]
					next++
				}
				gone := watch.Scan(start.Add(at), []departure.Record{{Instance: "e", Revision: l.revision, Live: due && l.live}})
				if due {
					require.Equal(t, l.gone, len(gone) == 1, "at %s", at)
				}
			}
		})
	}
	t.Run("an outage of the store", func(t *testing.T) {
		var watch departure.Watch
		records := []departure.Record{{Instance: "e", Revision: 1}}
		require.Empty(t, watch.Scan(start, records))
		require.Empty(t, watch.Scan(start.Add(2*time.Minute), records), "no listing in the meantime")
		require.Empty(t, watch.Scan(start.Add(2*time.Minute+5*time.Second), records))
	})
}

// TestOwn checks when an instance may use its share.
func TestOwn(t *testing.T) {
	own := departure.NewShare(start)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	require.True(t, own.Usable(at(0)))
	own.RecordWrite(at(5))
	require.True(t, own.Usable(at(45)))
	require.False(t, own.Usable(at(46)), "not written for too long")
	own.RecordWrite(at(50))
	own.RecordWrite(at(75))
	require.False(t, own.Usable(at(99)), "others may not have read the record yet")
	require.True(t, own.Usable(at(100)))
	own.RecordWrite(at(105))
	require.True(t, own.Usable(at(105)))
}

// TestSharesUnderFaults guards against a shared limit of which more than the whole is used:
// instances are partitioned from the store for any time, suspended and permanently stopped, and the
// watching instance changes. The shares in use must add up to at most the whole, except for the
// seconds until an instance that started is counted.
func TestSharesUnderFaults(t *testing.T) {
	const (
		instances = 24
		step      = 500 * time.Millisecond
		transfer  = 5 * time.Second // the time in which records reach all instances
	)
	type entry struct {
		own             *departure.Share
		cutUntil        time.Duration
		frozenUntil     time.Duration
		gone            bool
		wroteAt, seenAt time.Duration
		counted         int
		watch           departure.Watch
	}
	removed, lapsed := 0, 0
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 19))
		records := map[string]uint64{}
		revision := uint64(0)
		all := make([]*entry, instances)
		for i := range all {
			all[i] = &entry{own: departure.NewShare(start), counted: instances, wroteAt: -time.Hour}
		}
		for at := time.Duration(0); at < 10*time.Minute; at += step {
			now := start.Add(at)
			if random.IntN(60) == 0 { // a failure domain or one instance, partitioned or suspended
				first, count := random.IntN(instances), 1+random.IntN(2)*5
				until := at + time.Duration(random.IntN(150))*time.Second
				frozen := random.IntN(3) == 0
				for i := range count {
					e := all[(first+i)%instances]
					if frozen {
						e.frozenUntil = until
					} else {
						e.cutUntil = until
					}
				}
			}
			if random.IntN(400) == 0 {
				all[random.IntN(instances)].gone = true
			}
			watcher := int(at/(150*time.Second)) % instances
			sum := 0.0
			for i, e := range all {
				name := fmt.Sprint(i)
				reaches := !e.gone && at >= e.cutUntil && at >= e.frozenUntil
				if reaches && at-e.wroteAt >= departure.RefreshPeriod {
					revision++
					records[name] = revision
					e.own.RecordWrite(now)
					e.wroteAt = at
				}
				if reaches && at-e.seenAt >= transfer {
					e.seenAt, e.counted = at, len(records)
				}
				if reaches && i == watcher {
					var list []departure.Record
					for instance, rev := range records {
						list = append(list, departure.Record{Instance: instance, Revision: rev})
					}
					for _, gone := range e.watch.Scan(now, list) {
						delete(records, gone.Instance)
						removed++
					}
				}
				if e.gone || at < e.frozenUntil {
					continue
				}
				if e.own.Usable(now) {
					sum += 1 / float64(max(e.counted, 1))
				} else {
					lapsed++
				}
			}
			require.LessOrEqual(t, sum, 1.0+1e-9, "seed %d at %s", seed, at)
		}
	}
	require.Positive(t, removed)
	require.Positive(t, lapsed)
}
