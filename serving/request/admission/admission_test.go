package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/membership"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/request/admission"
	"papayaport.dev/serving/version/service"
)

var start = time.Unix(1_800_000_000, 0)

// file returns a service with two accounts without limits, modified by change.
func file(change func(*service.File)) *service.File {
	f := &service.File{
		Name:     "farewell-llm",
		Accounts: []service.Account{{Name: "night-line"}, {Name: "clinic"}},
		Queue:    service.Queue{MaxRequests: 100, AgeingMS: 1000},
	}
	if change != nil {
		change(f)
	}
	return f
}

func newTable(slots int, change func(*service.File)) *admission.Table {
	table := admission.New()
	table.SetServices(start, 1, []*service.File{file(change)})
	if slots >= 0 {
		table.SetSlots(start, "farewell-llm", slots)
	}
	return table
}

func ask(id, account string, priority int) admission.Ask {
	return admission.Ask{RequestID: id, Service: "farewell-llm", Account: account, Priority: priority, Tokens: 100, Deadline: start.Add(time.Hour)}
}

// verdict submits a request and returns the verdict. It requires that no other request is
// affected.
func verdict(t *testing.T, table *admission.Table, now time.Time, a admission.Ask) admission.Verdict {
	t.Helper()
	order, others := table.Admit(now, a)
	require.Empty(t, others)
	require.Equal(t, a.RequestID, order.RequestID)
	return order.Verdict
}

func ids(orders []admission.Decision) []string {
	var out []string
	for _, o := range orders {
		out = append(out, o.RequestID)
	}
	return out
}

func TestRates(t *testing.T) {
	cases := map[string]struct {
		limit func(*service.File)
		// admitted is the number of requests admitted in 20 s, of 10 per second with 100 tokens
		// each.
		admitted int
	}{
		"no limit":        {func(*service.File) {}, 200},
		"requests":        {func(f *service.File) { f.Accounts[0].RequestsPerSecond = 5 }, 100},
		"tokens":          {func(f *service.File) { f.Accounts[0].TokensPerSecond = 300 }, 60},
		"tiny bucket":     {func(f *service.File) { f.Accounts[0].TokensPerSecond = 50 }, 10},
		"other's limit":   {func(f *service.File) { f.Accounts[1].RequestsPerSecond = 1 }, 200},
		"fraction of one": {func(f *service.File) { f.Accounts[0].RequestsPerSecond = 0.25 }, 5},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := newTable(-1, c.limit)
			admitted := 0
			for i := range 200 {
				now := start.Add(time.Duration(i) * 100 * time.Millisecond)
				order, _ := table.Admit(now, ask(fmt.Sprint(i), "night-line", 5))
				if order.Verdict == admission.Admitted {
					admitted++
					table.Done(now, fmt.Sprint(i), 100)
					continue
				}
				require.Equal(t, problem.AccountLimit, order.Problem.Kind)
				require.Positive(t, order.Problem.RetryAfter)
			}
			require.InDelta(t, c.admitted, admitted, 0.08*float64(c.admitted)+2)
		})
	}
}

func TestRetryAfterMatchesRate(t *testing.T) {
	table := newTable(-1, func(f *service.File) { f.Accounts[0].RequestsPerSecond = 0.5 })
	require.Equal(t, admission.Admitted, verdict(t, table, start, ask("1", "night-line", 5)))
	order, _ := table.Admit(start, ask("2", "night-line", 5))
	wait := order.Problem.RetryAfter
	require.InDelta(t, 2, wait.Seconds(), 0.1)
	order, _ = table.Admit(start.Add(wait-100*time.Millisecond), ask("2", "night-line", 5))
	require.Equal(t, admission.Refused, order.Verdict)
	order, _ = table.Admit(start.Add(wait), ask("2", "night-line", 5))
	require.Equal(t, admission.Admitted, order.Verdict)
}

func TestTokensAreCorrectedAtTheEnd(t *testing.T) {
	table := newTable(-1, func(f *service.File) { f.Accounts[0].TokensPerSecond = 1000 })
	require.Equal(t, admission.Admitted, verdict(t, table, start, ask("1", "night-line", 5)))
	table.Done(start, "1", 5000)
	order, _ := table.Admit(start.Add(2*time.Second), ask("2", "night-line", 5))
	require.Equal(t, admission.Refused, order.Verdict)
	order, _ = table.Admit(start.Add(5*time.Second), ask("2", "night-line", 5))
	require.Equal(t, admission.Admitted, order.Verdict)
}

func TestConcurrencyWaits(t *testing.T) {
	table := newTable(-1, func(f *service.File) { f.Accounts[0].Concurrency = 2 })
	require.Equal(t, admission.Admitted, verdict(t, table, start, ask("1", "night-line", 5)))
	require.Equal(t, admission.Admitted, verdict(t, table, start, ask("2", "night-line", 5)))
	require.Equal(t, admission.Waiting, verdict(t, table, start, ask("3", "night-line", 5)))
	require.Equal(t, admission.Waiting, verdict(t, table, start, ask("3", "night-line", 5)))
	require.Equal(t, admission.Admitted, verdict(t, table, start, ask("4", "clinic", 5)))
	require.Equal(t, []string{"3"}, ids(table.Done(start, "1", 100)))
	require.Equal(t, admission.Admitted, verdict(t, table, start, ask("3", "night-line", 5)))
	require.Empty(t, table.Done(start, "1", 100))
}

// peersUse returns totals of seven other entry instances for night-line.
func peersUse(requests float64, inFlight int) membership.Totals {
	use := membership.AccountUsage{Account: "farewell-llm/night-line", RequestsPerSecond: requests, InFlight: inFlight}
	return membership.Totals{Entries: 7, ByAccount: map[string]membership.AccountUsage{use.Account: use}}
}

func TestConcurrencyCountsWhatPeersRun(t *testing.T) {
	table := newTable(-1, func(f *service.File) { f.Accounts[0].Concurrency = 10 })
	table.SetPeerUsage(start, peersUse(5, 10))
	require.Equal(t, admission.Waiting, verdict(t, table, start, ask("1", "night-line", 5)))
	require.Empty(t, table.Tick(start.Add(time.Second)))
	table.SetPeerUsage(start.Add(time.Second), peersUse(5, 9))
	require.Equal(t, []string{"1"}, ids(table.Tick(start.Add(time.Second))))
}

// TestFairShareWithoutPeerReports sends eight requests per second, first while peers report
// no demand and then while no reports arrive. Without reports, an instance must fall back to
// its even share of the limit.
func TestFairShareWithoutPeerReports(t *testing.T) {
	table := newTable(-1, func(f *service.File) { f.Accounts[0].RequestsPerSecond = 8 })
	admitted := map[bool]int{}
	for step := range 8 * 40 {
		now := start.Add(time.Duration(step) * time.Second / 8)
		silent := step >= 8*20
		if !silent && step%8 == 0 {
			table.SetPeerUsage(now, peersUse(0, 0))
		}
		order, _ := table.Admit(now, ask(fmt.Sprint(step), "night-line", 5))
		settled := step%(8*20) >= 8*10
		if settled && order.Verdict == admission.Admitted {
			admitted[silent]++
		}
	}
	require.Greater(t, admitted[false], 40)
	require.InDelta(t, 10, admitted[true], 3)
}

// TestOrderOfAdmission fills the only slot and checks the order in which waiting requests
// are admitted.
func TestOrderOfAdmission(t *testing.T) {
	type waiting struct {
		account  string
		priority int
		after    time.Duration
	}
	cases := map[string]struct {
		waiting []waiting
		want    []string
	}{
		"higher priority first": {[]waiting{{"clinic", 3, 0}, {"night-line", 7, 0}}, []string{"1", "0"}},
		"ageing beats priority": {[]waiting{{"clinic", 3, 0}, {"night-line", 5, 3 * time.Second}}, []string{"0", "1"}},
		"arrival within account": {
			[]waiting{{"clinic", 5, 0}, {"clinic", 5, 0}, {"clinic", 6, 100 * time.Millisecond}},
			[]string{"2", "0", "1"},
		},
		"accounts in turn": {
			[]waiting{{"night-line", 5, 0}, {"night-line", 5, 0}, {"night-line", 5, 0}, {"clinic", 5, 0}, {"clinic", 5, 0}},
			[]string{"3", "0", "4", "1", "2"},
		},
		"a backlog does not age": {
			[]waiting{{"night-line", 5, 0}, {"night-line", 5, 0}, {"clinic", 6, 0}},
			[]string{"2", "0", "1"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := newTable(1, nil) // one slot lets two requests through
			require.Equal(t, admission.Admitted, verdict(t, table, start, ask("first", "night-line", 5)))
			require.Equal(t, admission.Admitted, verdict(t, table, start, ask("second", "clinic", 5)))
			now := start
			for i, w := range c.waiting {
				now = now.Add(w.after)
				require.Equal(t, admission.Waiting, verdict(t, table, now, ask(fmt.Sprint(i), w.account, w.priority)))
			}
			var got []string
			running := "first"
			for range c.waiting {
				next := ids(table.Done(now, running, 100))
				require.Len(t, next, 1)
				got, running = append(got, next[0]), next[0]
			}
			require.Equal(t, c.want, got)
		})
	}
}

func TestFullQueueEvictsLowestPriority(t *testing.T) {
	cases := map[string]struct {
		added   admission.Ask
		evicted string
	}{
		"higher priority evicts lower":                 {ask("new", "clinic", 7), "low"},
		"lower priority is refused":                    {ask("new", "clinic", 1), "new"},
		"equal priority evicts from the longest queue": {ask("new", "clinic", 3), "low"},
		"equal priority in the longest queue":          {ask("new", "night-line", 3), "new"},
		"higher priority within the account":           {ask("new", "night-line", 4), "low"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := newTable(0, func(f *service.File) { f.Queue.MaxRequests = 3 })
			for _, a := range []admission.Ask{ask("high", "night-line", 8), ask("middle", "night-line", 5), ask("low", "night-line", 3)} {
				require.Equal(t, admission.Waiting, verdict(t, table, start, a))
			}
			order, others := table.Admit(start, c.added)
			if c.evicted == "new" {
				require.Equal(t, problem.QueueFull, order.Problem.Kind)
				require.Empty(t, others)
				return
			}
			require.Equal(t, admission.Waiting, order.Verdict)
			require.Equal(t, []string{c.evicted}, ids(others))
			require.Equal(t, problem.QueueFull, others[0].Problem.Kind)
			require.Positive(t, others[0].Problem.RetryAfter)
		})
	}
}

// recordRun completes one request with the given run time, which sets the mean run time.
func recordRun(table *admission.Table, took time.Duration) {
	table.Admit(start.Add(-took), ask("learn", "clinic", 5))
	table.Done(start, "learn", 100)
}

func TestDeadlines(t *testing.T) {
	table := newTable(1, nil)
	recordRun(table, 2*time.Second)
	withDeadline := func(id string, in time.Duration) admission.Ask {
		a := ask(id, "clinic", 5)
		a.Deadline = start.Add(in)
		return a
	}
	order, _ := table.Admit(start, withDeadline("never", time.Second))
	require.Equal(t, problem.DeadlineInfeasible, order.Problem.Kind)
	require.Equal(t, admission.Admitted, verdict(t, table, start, withDeadline("1", 3*time.Second)))
	require.Equal(t, admission.Admitted, verdict(t, table, start, withDeadline("2", 3*time.Second)))
	order, _ = table.Admit(start, withDeadline("no time to wait", 2500*time.Millisecond))
	require.Equal(t, problem.DeadlineInfeasible, order.Problem.Kind)
	require.InDelta(t, 1, order.Problem.RetryAfter.Seconds(), 0.1)
	require.Equal(t, admission.Waiting, verdict(t, table, start, withDeadline("waits", 10*time.Second)))
	require.Empty(t, table.Tick(start.Add(7*time.Second)))
	orders := table.Tick(start.Add(9 * time.Second))
	require.Equal(t, []string{"waits"}, ids(orders))
	require.Equal(t, problem.DeadlineInfeasible, orders[0].Problem.Kind)
	waiting, running := table.QueueCounts("farewell-llm")
	require.Equal(t, []int{0, 2}, []int{waiting, running})
}

func TestAbandonReleasesCapacityAndCharge(t *testing.T) {
	table := newTable(0, func(f *service.File) { f.Accounts[0].RequestsPerSecond = 1 })
	require.Equal(t, admission.Waiting, verdict(t, table, start, ask("1", "night-line", 5)))
	table.Abandon(start, "1")
	require.Equal(t, admission.Waiting, verdict(t, table, start, ask("2", "night-line", 5)))
	waiting, running := table.QueueCounts("farewell-llm")
	require.Equal(t, []int{1, 0}, []int{waiting, running})
	table.SetSlots(start, "farewell-llm", 8)
	require.Equal(t, []string{"2"}, ids(table.Tick(start)))
	table.Abandon(start, "2")
	waiting, running = table.QueueCounts("farewell-llm")
	require.Equal(t, []int{0, 0}, []int{waiting, running})
}

func TestChangedServices(t *testing.T) {
	table := newTable(0, nil)
	require.Equal(t, admission.Waiting, verdict(t, table, start, ask("clinic", "clinic", 5)))
	require.Equal(t, admission.Waiting, verdict(t, table, start, ask("line", "night-line", 5)))
	table.SetServices(start, 3, []*service.File{file(func(f *service.File) { f.Accounts = f.Accounts[:1] })})
	table.SetServices(start, 2, []*service.File{file(nil)})
	orders := table.Tick(start)
	require.Equal(t, []string{"clinic"}, ids(orders))
	require.Equal(t, problem.Forbidden, orders[0].Problem.Kind)
	order, _ := table.Admit(start, ask("again", "clinic", 5))
	require.Equal(t, problem.Forbidden, order.Problem.Kind)
	table.SetServices(start, 4, nil)
	require.Equal(t, []string{"line"}, ids(table.Tick(start)))
	order, _ = table.Admit(start, ask("again", "night-line", 5))
	require.Equal(t, problem.UnknownService, order.Problem.Kind)
}
