package verdict_test

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"papayaport.dev/soak/caller"
	"papayaport.dev/soak/verdict"
)

var start = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func run(id, server string, ms int) verdict.Run {
	return verdict.Run{ID: id, At: at(ms), Server: server, Body: "answer to " + id, Seal: server}
}

func answer(id string, kind caller.Kind, status int, body string) caller.Answer {
	return caller.Answer{
		Request: caller.Request{ID: id, Kind: kind}, Sent: at(0), Ended: at(100),
		Status: status, Body: body, Seal: "s", RetryAfter: true,
	}
}

// many returns runs every few milliseconds.
func many(count, everyMS int, id func(i int) string) []verdict.Run {
	var runs []verdict.Run
	for i := range count {
		runs = append(runs, run(id(i), "s", i*everyMS))
	}
	return runs
}

func numbered(i int) string { return string(rune(0x4e00 + i)) }

func TestJudge(t *testing.T) {
	cut := answer("1", caller.Stream, 200, "ans")
	cut.Err = errors.New("unexpected EOF")
	silent := answer("1", caller.Safe, 503, "")
	silent.RetryAfter = false
	served := []caller.Answer{answer("1", caller.Unsafe, 200, "answer to 1")}
	served[0].Seal = "s"
	limit := verdict.Limit{Rate: 1000, Window: time.Second}
	budget := verdict.Budget{Ratio: 0.2, Window: time.Second}
	for name, test := range map[string]struct {
		record verdict.Record
		broken string
	}{
		"good": {verdict.Record{
			Answers: []caller.Answer{answer("1", caller.Unsafe, 200, "answer to 1")}, Runs: []verdict.Run{run("1", "s", 0)},
		}, ""},
		"an answer to another request": {verdict.Record{
			Answers: []caller.Answer{answer("1", caller.Unsafe, 200, "answer to 2")},
			Runs:    []verdict.Run{run("1", "s", 0), run("2", "s", 0)},
		}, "own whole answer"},
		"half of an answer": {verdict.Record{
			Answers: []caller.Answer{answer("1", caller.Resume, 200, "answer")}, Runs: []verdict.Run{run("1", "s", 0)},
		}, "own whole answer"},
		"a stream that was broken off": {verdict.Record{Answers: []caller.Answer{cut}, Runs: []verdict.Run{run("1", "s", 0)}}, ""},
		"unsafe and twice": {verdict.Record{
			Answers: []caller.Answer{answer("1", caller.Unsafe, 502, "")}, Runs: []verdict.Run{run("1", "s", 0), run("1", "t", 9)},
		}, "at most once"},
		"safe and twice": {verdict.Record{
			Answers: []caller.Answer{answer("1", caller.Safe, 502, "")}, Runs: []verdict.Run{run("1", "s", 0), run("1", "t", 9)},
		}, ""},
		"refused and run": {verdict.Record{
			Answers: []caller.Answer{answer("1", caller.Safe, 503, "")}, Runs: []verdict.Run{run("1", "s", 0)},
		}, "not run"},
		"refused without when to come back": {verdict.Record{Answers: []caller.Answer{silent}}, "not run"},
		"work for a leaving server": {verdict.Record{
			Leaving: []verdict.Leaving{{Server: "s", At: at(0)}}, Runs: []verdict.Run{run("1", "s", 2400)}, Answers: served,
		}, "leaving"},
		"work for a leaving server while another instance was cut off": {verdict.Record{
			Leaving: []verdict.Leaving{{Server: "s", At: at(0)}}, Runs: []verdict.Run{run("1", "s", 2400)}, Answers: served,
			Blind: []verdict.Blind{{Entry: 1, Span: verdict.Span{From: at(-1000), To: at(1000)}}},
		}, "leaving"},
		"work for a leaving server in time": {verdict.Record{
			Leaving: []verdict.Leaving{{Server: "s", At: at(0)}}, Runs: []verdict.Run{run("1", "s", 1900)}, Answers: served,
		}, ""},
		"work for a leaving server behind an outage": {verdict.Record{
			Leaving: []verdict.Leaving{{Server: "s", At: at(0)}}, Runs: []verdict.Run{run("1", "s", 2400)},
			Answers: served, Blind: []verdict.Blind{{Entry: verdict.Every, Span: verdict.Span{From: at(-1000), To: at(1000)}}},
		}, ""},
		"cut by a planned stop": {verdict.Record{
			Answers: []caller.Answer{cut}, Runs: []verdict.Run{run("1", "s", 0)}, Stops: []verdict.Stop{{Span: verdict.Span{From: at(0), To: at(2000)}}},
		}, "planned stop"},
		"a version that is late": {verdict.Record{
			Probes: []verdict.Probe{{At: at(2400), Version: 3, Accepted: at(0), Calm: true}},
		}, "lacks version 3"},
		"a version that is late behind an outage": {verdict.Record{
			Probes: []verdict.Probe{{At: at(2400), Version: 3, Accepted: at(0)}},
		}, ""},
		"a version that went back": {verdict.Record{
			Probes: []verdict.Probe{{At: at(100), Version: 3, Known: true}, {At: at(200), Version: 3}},
		}, "went back"},
		"two holders":     {verdict.Record{Cloud: []string{"a and b share 7"}}, "one holder"},
		"over the limit":  {verdict.Record{Limit: limit, Runs: many(11, 90, numbered)}, "limit"},
		"at the limit":    {verdict.Record{Limit: limit, Runs: many(40, 110, numbered)}, ""},
		"not limited":     {verdict.Record{Limit: limit, Runs: many(40, 10, func(i int) string { return caller.FreePrefix + numbered(i) })}, ""},
		"over the budget": {verdict.Record{Budget: budget, Arrivals: many(10, 1, func(i int) string { return numbered(i / 2) })}, "budget"},
		"in the budget":   {verdict.Record{Budget: budget, Arrivals: many(11, 1, func(i int) string { return numbered(i % 10) })}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			found := verdict.Judge(test.record)
			if test.broken == "" {
				require.Empty(t, found)
				return
			}
			require.Len(t, found, 1)
			require.Contains(t, found[0], test.broken)
		})
	}
}
