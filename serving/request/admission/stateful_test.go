package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"papayaport.dev/serving/process/membership"
	"papayaport.dev/serving/request/admission"
	"papayaport.dev/serving/version/service"
)

// oracle is a reference model of a table with the waiting and running requests.
type oracle struct {
	table   *admission.Table
	now     time.Time
	slots   int
	peers   int
	waiting map[string]admission.Ask
	running map[string]admission.Ask
	next    int
}

const (
	fuzzConcurrency = 3
	fuzzQueue       = 6
)

var fuzzAccounts = []string{"night-line", "clinic"}

func newOracle() *oracle {
	o := &oracle{
		table: admission.New(), now: start, slots: 4,
		waiting: map[string]admission.Ask{}, running: map[string]admission.Ask{},
	}
	o.table.SetServices(o.now, 0, []*service.File{file(func(f *service.File) {
		f.Queue.MaxRequests = fuzzQueue
		f.Accounts[0].Concurrency = fuzzConcurrency
		f.Accounts[1].RequestsPerSecond = 2
	})})
	o.table.SetSlots(o.now, "farewell-llm", o.slots)
	return o
}

// apply applies decisions to the model.
func (o *oracle) apply(t *rapid.T, orders []admission.Decision) {
	for _, order := range orders {
		a, waits := o.waiting[order.RequestID]
		require.True(t, waits, "decision on request %s, which is not waiting", order.RequestID)
		delete(o.waiting, order.RequestID)
		if order.Verdict == admission.Admitted {
			o.running[order.RequestID] = a
			continue
		}
		require.Equal(t, admission.Refused, order.Verdict)
		require.Positive(t, order.Problem.RetryAfter)
	}
}

func (o *oracle) ask(t *rapid.T) {
	o.next++
	a := admission.Ask{
		RequestID: fmt.Sprint(o.next), Service: "farewell-llm", Tokens: rapid.IntRange(0, 200).Draw(t, "tokens"),
		Account:  rapid.SampledFrom(fuzzAccounts).Draw(t, "account"),
		Priority: rapid.IntRange(0, 9).Draw(t, "priority"),
		Deadline: o.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "deadline")) * time.Second),
	}
	order, others := o.table.Admit(o.now, a)
	switch order.Verdict {
	case admission.Admitted:
		o.running[a.RequestID] = a
	case admission.Waiting:
		o.waiting[a.RequestID] = a
	default:
		require.Positive(t, order.Problem.RetryAfter)
	}
	o.apply(t, others)
}

func (o *oracle) advance(t *rapid.T) {
	o.now = o.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	o.apply(t, o.table.Tick(o.now))
	for id, a := range o.waiting {
		require.False(t, o.now.After(a.Deadline), "request %s is still waiting after its deadline", id)
	}
}

func (o *oracle) end(t *rapid.T) {
	id := fmt.Sprint(rapid.IntRange(0, o.next).Draw(t, "id"))
	_, runs := o.running[id]
	orders := o.table.Done(o.now, id, rapid.IntRange(0, 300).Draw(t, "tokens"))
	if !runs {
		require.Empty(t, orders)
	}
	delete(o.running, id)
	o.apply(t, orders)
}

func (o *oracle) abandon(t *rapid.T) {
	id := fmt.Sprint(rapid.IntRange(0, o.next).Draw(t, "id"))
	delete(o.running, id)
	delete(o.waiting, id)
	o.apply(t, o.table.Abandon(o.now, id))
}

func (o *oracle) change(t *rapid.T) {
	o.slots = rapid.IntRange(0, 6).Draw(t, "slots")
	o.table.SetSlots(o.now, "farewell-llm", o.slots)
	o.table.SetEntries(o.now, rapid.IntRange(1, 8).Draw(t, "entries"))
}

func (o *oracle) reportPeers(t *rapid.T) {
	o.peers = rapid.IntRange(0, 4).Draw(t, "in flight")
	use := membership.AccountUsage{Account: "farewell-llm/night-line", RequestsPerSecond: 1, InFlight: o.peers}
	o.table.SetPeerUsage(o.now, membership.Totals{Entries: rapid.IntRange(0, 7).Draw(t, "heard"), ByAccount: map[string]membership.AccountUsage{use.Account: use}})
}

func (o *oracle) check(t *rapid.T) {
	waiting, running := o.table.QueueCounts("farewell-llm")
	require.Equal(t, len(o.waiting), waiting)
	require.Equal(t, len(o.running), running)
	require.LessOrEqual(t, waiting, fuzzQueue)
	byAccount := map[string]int{}
	for _, a := range o.running {
		byAccount[a.Account]++
	}
	require.LessOrEqual(t, byAccount["night-line"], fuzzConcurrency)
	for _, use := range o.table.Usage(o.now) {
		require.Equal(t, byAccount[use.Account[len("farewell-llm/"):]], use.InFlight)
		require.GreaterOrEqual(t, use.RequestsPerSecond, 0.0)
	}
}

// drain ends running requests until none is waiting, which checks that no request starves.
func (o *oracle) drain(t *rapid.T) {
	o.table.SetSlots(o.now, "farewell-llm", 4)
	o.table.SetPeerUsage(o.now, membership.Totals{})
	for range 10 * (fuzzQueue + 1) {
		o.apply(t, o.table.Tick(o.now))
		for id := range o.running {
			delete(o.running, id)
			o.apply(t, o.table.Done(o.now, id, 0))
			break
		}
	}
	require.Empty(t, o.waiting)
	o.check(t)
}

// TestStatefulTable calls a table in random order and compares it with the oracle after each
// call.
func TestStatefulTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle()
		t.Repeat(map[string]func(*rapid.T){
			"":        o.check,
			"ask":     o.ask,
			"asks":    func(t *rapid.T) { o.ask(t); o.ask(t); o.ask(t) },
			"time":    o.advance,
			"end":     o.end,
			"abandon": o.abandon,
			"change":  o.change,
			"hear":    o.reportPeers,
		})
		o.drain(t)
	})
}
