package scarcity_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/request/scarcity"
)

var start = time.Unix(1_800_000_000, 0)

func half() float64 { return 0.5 }

// one returns a request of 1,000 tokens with a target of 1 s and 10 s left.
func one(rank int, account string, first time.Duration) scarcity.Request {
	return scarcity.Request{
		Service: "s", Account: account, Rank: rank, Tokens: 1000, TimeLeft: 10 * time.Second, Target: time.Second, FirstEvent: first, QueueWait: first / 2,
	}
}

const (
	inTime = 500 * time.Millisecond
	late   = 2 * time.Second
)

// step submits the same request a number of times, with a pause after each.
type step struct {
	ask   scarcity.Request
	times int
	pause time.Duration
}

func play(table *scarcity.Table, now time.Time, steps []step) (time.Time, []scarcity.Verdict) {
	var verdicts []scarcity.Verdict
	for _, s := range steps {
		for range s.times {
			verdicts = append(verdicts, table.Admit(now, s.ask))
			now = now.Add(s.pause)
		}
	}
	return now, verdicts
}

// TestRules checks each rule with requests that it refuses and requests that it must not.
func TestRules(t *testing.T) {
	const pause = 10 * time.Millisecond
	crowd := []step{{one(0, "a", late), 10, pause}}
	hot := []step{{one(0, "hot", late), 30, pause}, {one(0, "b", late), 1, pause}, {one(0, "c", late), 1, pause}}
	idle := one(0, "a", late)
	idle.QueueWait = 0
	unsure := one(0, "a", 11*time.Second)
	unsure.Margin = 7 * time.Second
	repeated := one(0, "a", 11*time.Second)
	repeated.ID = 7
	var ofRank, ofAccount []step
	for i := 1; i <= 9; i++ {
		ofRank = append(ofRank, step{one(1, fmt.Sprint(i), late), 1, pause})
		ofAccount = append(ofAccount, step{one(i, "b", late), 1, pause})
	}
	plain := one(0, "a", inTime)
	plain.FullResponse = 11 * time.Second
	atOnce := one(0, "a", 11*time.Second)
	for name, test := range map[string]struct {
		before []step
		ask    scarcity.Request
		reason scarcity.Reason
	}{
		"1: first event after the deadline":                 {nil, atOnce, scarcity.Deadline},
		"1: whole response after the deadline":              {nil, plain, scarcity.Deadline},
		"1: applies before 2":                               {crowd, one(5, "a", 11*time.Second), scarcity.Deadline},
		"1: late, but before the deadline":                  {nil, one(0, "a", 9*time.Second), scarcity.Served},
		"2: refused in favour of a more urgent one":         {crowd, one(1, "a", late), scarcity.Outranked},
		"2: the most urgent rank is served":                 {crowd, one(0, "a", late), scarcity.Served},
		"2: within its target, whatever its rank":           {crowd, one(9, "a", inTime), scarcity.Served},
		"2: no target":                                      {crowd, scarcity.Request{Service: "s", Rank: 9, FirstEvent: late, TimeLeft: 10 * time.Second}, scarcity.Served},
		"2: the more urgent ones are in time":               {append([]step{{one(0, "a", inTime), 5, pause}}, step{one(1, "a", late), 10, pause}), one(1, "a", late), scarcity.Served},
		"2: the more urgent one was late over a second ago": {append(crowd[:1:1], step{one(1, "a", late), 8, 140 * time.Millisecond}), one(1, "a", late), scarcity.Served},
		"2: another service":                                {[]step{{scarcity.Request{Service: "other", Target: 1, FirstEvent: 2, TimeLeft: 3, QueueWait: 2}, 10, pause}}, one(1, "a", late), scarcity.Served},
		"2: not overloaded at a quarter":                    {[]step{{one(0, "a", inTime), 30, pause}, {one(0, "a", late), 9, pause}}, one(1, "a", late), scarcity.Served},
		"2: overloaded above a third":                       {[]step{{one(0, "a", inTime), 30, pause}, {one(0, "a", late), 20, pause}}, one(1, "a", late), scarcity.Outranked},
		"2: stays overloaded at a quarter":                  {append(crowd[:1:1], step{one(0, "a", inTime), 30, pause}), one(1, "a", late), scarcity.Outranked},
		"2: recovered below a sixth":                        {append(crowd[:1:1], step{one(0, "a", inTime), 80, pause}), one(1, "a", late), scarcity.Served},
		"3: over twice its even share":                      {hot, one(0, "hot", late), scarcity.OverFairShare},
		"3: another account":                                {hot, one(0, "b", late), scarcity.Served},
		"3: within its target":                              {hot, one(0, "hot", inTime), scarcity.Served},
		"3: the only account":                               {crowd, one(0, "a", late), scarcity.Served},
		"3: long ago":                                       {append(hot[:3:3], step{one(0, "b", late), 40, 300 * time.Millisecond}, step{one(0, "c", late), 40, pause}), one(0, "hot", late), scarcity.Served},
		"4: nine refused before":                            {append(crowd[:1:1], step{one(1, "a", late), 9, pause}), one(1, "a", late), scarcity.Floor},
		"4: nine refused of its rank":                       {append(crowd[:1:1], ofRank...), one(1, "a", late), scarcity.Floor},
		"4: nine refused of its account":                    {append(crowd[:1:1], ofAccount...), one(1, "b", late), scarcity.Floor},
		"5: early retries are not counted as demand":        {[]step{{one(0, "a", inTime), 5, pause}, {repeated, 20, pause}}, one(1, "a", late), scarcity.Served},
		"2: a single late request is no overload":           {[]step{{one(0, "a", late), 1, 900 * time.Millisecond}}, one(1, "a", late), scarcity.Served},
		"1: after the deadline only because of its margin":  {nil, unsure, scarcity.Served},
		"2: late at idle servers because of margins":        {[]step{{idle, 20, pause}}, one(1, "a", late), scarcity.Served},
		"4: rule 1 still applies":                           {append(crowd[:1:1], step{one(1, "a", late), 9, pause}), one(1, "a", 11*time.Second), scarcity.Deadline},
		"ranks beyond the last":                             {crowd, one(99, "a", late), scarcity.Outranked},
	} {
		t.Run(name, func(t *testing.T) {
			table := scarcity.New(half)
			now, _ := play(table, start, test.before)
			verdict := table.Admit(now, test.ask)
			require.Equal(t, test.reason, verdict.Reason)
			require.Equal(t, test.reason == scarcity.Served || test.reason == scarcity.Floor, verdict.Admitted)
			require.Equal(t, verdict.Admitted, verdict.RetryAfter == 0)
		})
	}
}

// TestNobodyStarves checks rule 4: during a long overload, a rank and an account that are
// refused in favour of others still get one request in ten admitted.
func TestNobodyStarves(t *testing.T) {
	table := scarcity.New(half)
	admitted := map[string]int{}
	now := start
	for range 1000 {
		for _, ask := range []scarcity.Request{one(0, "hot", late), one(0, "hot", late), one(0, "hot", late), one(0, "hot", late), one(0, "a", late), one(0, "b", late), one(9, "c", late)} {
			if table.Admit(now, ask).Admitted {
				admitted[ask.Account]++
			}
			now = now.Add(time.Millisecond)
		}
	}
	require.GreaterOrEqual(t, admitted["hot"], 400)
	require.GreaterOrEqual(t, admitted["c"], 100)
	require.Less(t, admitted["c"], 110)
}

// TestRepeatsCountAgainstTheShare checks rule 5: of accounts with the same demand, the one
// whose callers retry at once gets less, and its retries get the same retry time.
func TestRepeatsCountAgainstTheShare(t *testing.T) {
	table := scarcity.New(half)
	admitted, refused := map[string]int{}, map[string]int{}
	now := start
	for i := range 600 {
		for a, account := range []string{"obeys", "repeats", "a", "b", "c"} {
			ask := one(0, account, late)
			ask.ID = uint64(1 + 10*i + a)
			if i%2 == 0 {
				ask.FirstEvent = 11 * time.Second // one half is refused for its deadline
			}
			first := table.Admit(now, ask)
			now = now.Add(2 * time.Millisecond)
			if account == "repeats" && !first.Admitted {
				again := table.Admit(now, ask)
				require.Equal(t, !again.Admitted, again.RetryAfter > 0)
				if !again.Admitted {
					require.True(t, again.EarlyRetry)
					require.InDelta(t, first.RetryAfter, again.RetryAfter+2*time.Millisecond, float64(time.Millisecond))
				}
			}
			if first.Admitted {
				admitted[account]++
			}
			if first.Reason == scarcity.OverFairShare {
				refused[account]++
			}
		}
	}
	require.Equal(t, 300, admitted["obeys"])
	require.Less(t, admitted["repeats"], 150, "refused over the share: %v", refused)
}

// TestAfter checks that urgent ranks retry first and that the ranks' retry times don't overlap.
func TestAfter(t *testing.T) {
	for name, test := range map[string]struct {
		draw     float64
		rank     int
		from, to time.Duration
	}{
		"most urgent, first":  {0, 0, 10 * time.Second, 10 * time.Second},
		"most urgent, last":   {0.999, 0, 12 * time.Second, 12500 * time.Millisecond},
		"least urgent, first": {0, 4, 12500 * time.Millisecond, 12500 * time.Millisecond},
		"least urgent, last":  {0.999, 4, 14900 * time.Millisecond, 15 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			table := scarcity.New(func() float64 { return test.draw })
			now, _ := play(table, start, []step{{one(0, "a", inTime), 20, time.Millisecond}, {one(4, "a", inTime), 20, time.Millisecond}})
			after := table.Admit(now, one(test.rank, "a", 11*time.Second)).RetryAfter
			require.GreaterOrEqual(t, after, test.from)
			require.LessOrEqual(t, after, test.to)
		})
	}
}

// TestNotRunIsRefunded checks that a request that no server ran is not charged to its account.
func TestNotRunIsRefunded(t *testing.T) {
	for name, test := range map[string]struct {
		ran    bool
		reason scarcity.Reason
	}{"ran": {true, scarcity.OverFairShare}, "not run": {false, scarcity.Served}} {
		t.Run(name, func(t *testing.T) {
			table := scarcity.New(half)
			for range 30 {
				if table.Admit(start, one(0, "hot", late)).Admitted {
					table.Done(start, one(0, "hot", late), test.ran)
				}
			}
			for _, account := range []string{"b", "c"} {
				require.True(t, table.Admit(start, one(0, account, late)).Admitted)
			}
			require.Equal(t, test.reason, table.Admit(start, one(0, "hot", late)).Reason)
		})
	}
}

// TestBoundedState guards against unbounded state with many names, and against refusing a
// request within its target when the clock goes backwards.
func TestBoundedState(t *testing.T) {
	table := scarcity.New(half)
	for i := range 20_000 {
		ask := one(i, fmt.Sprint("account-", i), late)
		ask.Service, ask.ID = fmt.Sprint("s", i%200), uint64(i+1)
		table.Admit(start.Add(-time.Duration(i)*time.Millisecond), ask)
	}
	require.True(t, table.Admit(start, one(9, "a", inTime)).Admitted)
	require.False(t, table.Overloaded(start, "unknown"))
	services, accounts, returns := scarcity.Sizes(table)
	require.LessOrEqual(t, services, 64)
	require.LessOrEqual(t, accounts, 1024)
	require.LessOrEqual(t, returns, 4096)
}

func BenchmarkAdmit(b *testing.B) {
	table := scarcity.New(half)
	for i := range 1024 {
		table.Admit(start, one(0, fmt.Sprint(i), late))
	}
	for i := range b.N {
		table.Admit(start.Add(time.Duration(i)*time.Microsecond), one(1, "1", late))
	}
}
