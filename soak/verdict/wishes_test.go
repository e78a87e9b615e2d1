package verdict_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/soak/caller"
	"papayaport.dev/soak/verdict"
)

// asked returns a record in which a server said something at once and then got requests
// through one entry instance, one each so many milliseconds, saying it again each time.
func asked(told verdict.Told, count, everyMS int) verdict.Record {
	var r verdict.Record
	for i := range count {
		id := fmt.Sprint(i)
		r.Answers = append(r.Answers, caller.Answer{Request: caller.Request{ID: id, Kind: caller.Safe}, Sent: at(i * everyMS), Ended: at(i*everyMS + 1), Status: 502})
		r.Arrivals = append(r.Arrivals, run(id, "server-1#1", i*everyMS))
		told.ID, told.At, told.Server = id, at(i*everyMS), "server-1#1"
		r.Told = append(r.Told, told)
	}
	return r
}

func TestWishes(t *testing.T) {
	limit := func(perSecond float64) verdict.Told { return verdict.Told{PerSecond: perSecond} }
	first := func(r verdict.Record) verdict.Record {
		r.Told = r.Told[:1]
		return r
	}
	held := func(r verdict.Record, held verdict.Held) verdict.Record {
		r.Held = []verdict.Held{held}
		return r
	}
	early := verdict.Span{From: at(50), To: at(51)}
	for name, test := range map[string]struct {
		record verdict.Record
		broken string
	}{
		"at the limit":                              {asked(limit(1), 11, 370), ""},
		"over the limit":                            {asked(limit(1), 40, 250), "server limit"},
		"over the limit for a short while":          {asked(limit(1), 12, 250), ""},
		"over a higher limit":                       {asked(limit(5), 40, 250), ""},
		"over the limit, cut from peers":            {held(asked(limit(1), 40, 250), verdict.Held{Cut: true, Span: early}), ""},
		"over the limit, another one cut":           {held(asked(limit(1), 40, 250), verdict.Held{Entry: 1, Span: early}), "server limit"},
		"over the limit, held up on the way":        {held(asked(limit(1), 40, 250), verdict.Held{Entry: verdict.Every, Server: "server-1", Span: early}), ""},
		"closed":                                    {first(asked(verdict.Told{Closed: 3 * time.Second}, 10, 300)), "closed"},
		"closed, under way":                         {first(asked(verdict.Told{Closed: 3 * time.Second}, 10, 40)), ""},
		"closed, cut from peers":                    {held(first(asked(verdict.Told{Closed: 3 * time.Second}, 10, 300)), verdict.Held{Cut: true, Span: early}), "closed"},
		"closed, started anew":                      {held(first(asked(verdict.Told{Closed: 3 * time.Second}, 10, 300)), verdict.Held{Span: early}), ""},
		"closed and opened":                         {first(asked(verdict.Told{Closed: time.Second}, 10, 1100)), ""},
		"leaving":                                   {first(asked(verdict.Told{Leaving: true}, 10, 300)), "leaving"},
		"leaving, within the time":                  {first(asked(verdict.Told{Leaving: true}, 10, 200)), ""},
		"leaving, started anew":                     {held(first(asked(verdict.Told{Leaving: true}, 10, 300)), verdict.Held{Span: early}), ""},
		"leaving, another server was under a fault": {held(first(asked(verdict.Told{Leaving: true}, 10, 300)), verdict.Held{Entry: verdict.Every, Server: "server-11", Span: early}), "leaving"},
	} {
		t.Run(name, func(t *testing.T) {
			found := verdict.Judge(test.record)
			if test.broken == "" {
				require.Empty(t, found)
				return
			}
			require.NotEmpty(t, found)
			require.Contains(t, found[0], test.broken)
		})
	}
}
