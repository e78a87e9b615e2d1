package invariant_test

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"papayaport.dev/soak/caller"
	"papayaport.dev/soak/invariant"
)

var start = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func run(id, server string, ms int) invariant.Run {
	return invariant.Run{ID: id, At: at(ms), Server: server, Body: "answer to " + id, Seal: server}
}

func answer(id string, kind caller.Kind, status int, body string) caller.Answer {
	return caller.Answer{
		Request: caller.Request{ID: id, Kind: kind}, Sent: at(0), End: at(100),
		Status: status, Body: body, Seal: "s", RetryAfter: true,
	}
}

// runsEvery returns runs at intervals of everyMS.
func runsEvery(count, everyMS int, id func(i int) string) []invariant.Run {
	var runs []invariant.Run
	for i := range count {
		runs = append(runs, run(id(i), "s", i*everyMS))
	}
	return runs
}

func requestID(i int) string { return string(rune(0x4e00 + i)) }

func TestCheck(t *testing.T) {
	cut := answer("1", caller.Stream, 200, "ans")
	cut.Err = errors.New("unexpected EOF")
	noRetryAfter := answer("1", caller.Safe, 503, "")
	noRetryAfter.RetryAfter = false
	served := []caller.Answer{answer("1", caller.Unsafe, 200, "answer to 1")}
	served[0].Seal = "s"
	limit := invariant.Limit{Rate: 1000, Window: time.Second}
	budget := invariant.Budget{Ratio: 0.2, Window: time.Second}
	for name, test := range map[string]struct {
		record invariant.Record
		broken string
	}{
		"good": {invariant.Record{
			Answers: []caller.Answer{answer("1", caller.Unsafe, 200, "answer to 1")}, Runs: []invariant.Run{run("1", "s", 0)},
		}, ""},
		"an answer to another request": {invariant.Record{
			Answers: []caller.Answer{answer("1", caller.Unsafe, 200, "answer to 2")},
			Runs:    []invariant.Run{run("1", "s", 0), run("2", "s", 0)},
		}, "own whole answer"},
		"half of an answer": {invariant.Record{
			Answers: []caller.Answer{answer("1", caller.Resume, 200, "answer")}, Runs: []invariant.Run{run("1", "s", 0)},
		}, "own whole answer"},
		"a stream that was broken off": {invariant.Record{Answers: []caller.Answer{cut}, Runs: []invariant.Run{run("1", "s", 0)}}, ""},
		"unsafe and twice": {invariant.Record{
			Answers: []caller.Answer{answer("1", caller.Unsafe, 502, "")}, Runs: []invariant.Run{run("1", "s", 0), run("1", "t", 9)},
		}, "at most once"},
		"safe and twice": {invariant.Record{
			Answers: []caller.Answer{answer("1", caller.Safe, 502, "")}, Runs: []invariant.Run{run("1", "s", 0), run("1", "t", 9)},
		}, ""},
		"refused and run": {invariant.Record{
			Answers: []caller.Answer{answer("1", caller.Safe, 503, "")}, Runs: []invariant.Run{run("1", "s", 0)},
		}, "not run"},
		"refused without Retry-After": {invariant.Record{Answers: []caller.Answer{noRetryAfter}}, "not run"},
		"work for a leaving server": {invariant.Record{
			Leaving: []invariant.Leaving{{Server: "s", At: at(0)}}, Runs: []invariant.Run{run("1", "s", 2400)}, Answers: served,
		}, "leaving"},
		"work for a leaving server while another instance was cut off": {invariant.Record{
			Leaving: []invariant.Leaving{{Server: "s", At: at(0)}}, Runs: []invariant.Run{run("1", "s", 2400)}, Answers: served,
			StoreCutoffs: []invariant.StoreCutoff{{Entry: 1, Span: invariant.Span{From: at(-1000), To: at(1000)}}},
		}, "leaving"},
		"work for a leaving server in time": {invariant.Record{
			Leaving: []invariant.Leaving{{Server: "s", At: at(0)}}, Runs: []invariant.Run{run("1", "s", 1900)}, Answers: served,
		}, ""},
		"work for a leaving server behind an outage": {invariant.Record{
			Leaving: []invariant.Leaving{{Server: "s", At: at(0)}}, Runs: []invariant.Run{run("1", "s", 2400)},
			Answers: served, StoreCutoffs: []invariant.StoreCutoff{{Entry: invariant.AllEntries, Span: invariant.Span{From: at(-1000), To: at(1000)}}},
		}, ""},
		"cut by a planned stop": {invariant.Record{
			Answers: []caller.Answer{cut}, Runs: []invariant.Run{run("1", "s", 0)}, Stops: []invariant.Stop{{Span: invariant.Span{From: at(0), To: at(2000)}}},
		}, "planned stop"},
		"a version that is late": {invariant.Record{
			Probes: []invariant.Probe{{At: at(2400), Version: 3, Accepted: at(0), Undisturbed: true}},
		}, "lacks version 3"},
		"a version that is late behind an outage": {invariant.Record{
			Probes: []invariant.Probe{{At: at(2400), Version: 3, Accepted: at(0)}},
		}, ""},
		"a version that went back": {invariant.Record{
			Probes: []invariant.Probe{{At: at(100), Version: 3, Applied: true}, {At: at(200), Version: 3}},
		}, "went back"},
		"two holders":     {invariant.Record{Cloud: []string{"a and b share 7"}}, "one holder"},
		"over the limit":  {invariant.Record{Limit: limit, Runs: runsEvery(11, 90, requestID)}, "limit"},
		"at the limit":    {invariant.Record{Limit: limit, Runs: runsEvery(40, 110, requestID)}, ""},
		"not limited":     {invariant.Record{Limit: limit, Runs: runsEvery(40, 10, func(i int) string { return caller.FreePrefix + requestID(i) })}, ""},
		"over the budget": {invariant.Record{Budget: budget, Arrivals: runsEvery(10, 1, func(i int) string { return requestID(i / 2) })}, "budget"},
		"in the budget":   {invariant.Record{Budget: budget, Arrivals: runsEvery(11, 1, func(i int) string { return requestID(i % 10) })}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			found := invariant.Check(test.record)
			if test.broken == "" {
				require.Empty(t, found)
				return
			}
			require.Len(t, found, 1)
			require.Contains(t, found[0], test.broken)
		})
	}
}
