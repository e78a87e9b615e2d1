package invariant_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/soak/caller"
	"papayaport.dev/soak/invariant"
)

// withBackpressure returns a record in which a server gets requests from one entry instance at
// intervals of everyMS, and sends the same backpressure in each response.
func withBackpressure(told invariant.Backpressure, count, everyMS int) invariant.Record {
	var r invariant.Record
	for i := range count {
		id := fmt.Sprint(i)
		r.Answers = append(r.Answers, caller.Answer{Request: caller.Request{ID: id, Kind: caller.Safe}, Sent: at(i * everyMS), End: at(i*everyMS + 1), Status: 502})
		r.Arrivals = append(r.Arrivals, run(id, "server-1#1", i*everyMS))
		told.ID, told.At, told.Server = id, at(i*everyMS), "server-1#1"
		r.Backpressure = append(r.Backpressure, told)
	}
	return r
}

func TestBackpressure(t *testing.T) {
	limit := func(perSecond float64) invariant.Backpressure { return invariant.Backpressure{RateLimit: perSecond} }
	first := func(r invariant.Record) invariant.Record {
		r.Backpressure = r.Backpressure[:1]
		return r
	}
	held := func(r invariant.Record, held invariant.Disruption) invariant.Record {
		r.Disruptions = []invariant.Disruption{held}
		return r
	}
	early := invariant.Span{From: at(50), To: at(51)}
	for name, test := range map[string]struct {
		record invariant.Record
		broken string
	}{
		"at the limit":                              {withBackpressure(limit(1), 11, 370), ""},
		"over the limit":                            {withBackpressure(limit(1), 40, 250), "server limit"},
		"over the limit for a short while":          {withBackpressure(limit(1), 12, 250), ""},
		"over a higher limit":                       {withBackpressure(limit(5), 40, 250), ""},
		"over the limit, cut from peers":            {held(withBackpressure(limit(1), 40, 250), invariant.Disruption{PeersOnly: true, Span: early}), ""},
		"over the limit, another one cut":           {held(withBackpressure(limit(1), 40, 250), invariant.Disruption{Entry: 1, Span: early}), "server limit"},
		"over the limit, held up on the way":        {held(withBackpressure(limit(1), 40, 250), invariant.Disruption{Entry: invariant.AllEntries, Server: "server-1", Span: early}), ""},
		"closed":                                    {first(withBackpressure(invariant.Backpressure{RetryAfter: 3 * time.Second}, 10, 300)), "closed"},
		"closed, under way":                         {first(withBackpressure(invariant.Backpressure{RetryAfter: 3 * time.Second}, 10, 40)), ""},
		"closed, cut from peers":                    {held(first(withBackpressure(invariant.Backpressure{RetryAfter: 3 * time.Second}, 10, 300)), invariant.Disruption{PeersOnly: true, Span: early}), "closed"},
		"closed, started anew":                      {held(first(withBackpressure(invariant.Backpressure{RetryAfter: 3 * time.Second}, 10, 300)), invariant.Disruption{Span: early}), ""},
		"closed and opened":                         {first(withBackpressure(invariant.Backpressure{RetryAfter: time.Second}, 10, 1100)), ""},
		"leaving":                                   {first(withBackpressure(invariant.Backpressure{Leaving: true}, 10, 300)), "leaving"},
		"leaving, within the time":                  {first(withBackpressure(invariant.Backpressure{Leaving: true}, 10, 200)), ""},
		"leaving, started anew":                     {held(first(withBackpressure(invariant.Backpressure{Leaving: true}, 10, 300)), invariant.Disruption{Span: early}), ""},
		"leaving, another server was under a fault": {held(first(withBackpressure(invariant.Backpressure{Leaving: true}, 10, 300)), invariant.Disruption{Entry: invariant.AllEntries, Server: "server-11", Span: early}), "leaving"},
	} {
		t.Run(name, func(t *testing.T) {
			found := invariant.Check(test.record)
			if test.broken == "" {
				require.Empty(t, found)
				return
			}
			require.NotEmpty(t, found)
			require.Contains(t, found[0], test.broken)
		})
	}
}
