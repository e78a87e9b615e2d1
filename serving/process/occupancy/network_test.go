package occupancy_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"papayaport.dev/serving/process/occupancy"
)

const (
	domains = 6
	// everyone is the server at which each instance has one request.
	everyone = 1 << 20
	// timeout is that of a call.
	timeout = 150 * time.Millisecond
	// skipped is how long a collector that did not answer is passed over.
	skipped = 3 * time.Second
)

var start = time.Unix(1_800_000_000, 0)

// faults are what happens to messages, as probabilities.
type faults struct {
	lost, twice float64
	// late is the longest delay of the second copy of a message.
	late time.Duration
}

// event is something that happens at a time.
type event struct {
	at    time.Time
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// instance is one entry instance. At the server of its own number it has as many requests as
// milliseconds have passed, so that the sums of others show when its figure was made and
// whether it was counted twice.
type instance struct {
	number    int
	domain    int
	process   uint64
	reporter  *occupancy.Reporter
	collector *occupancy.Collector
	down      bool
	avoid     map[int]time.Time
}

// network is a fleet of instances with messages that take time.
type network struct {
	now       time.Time
	random    *rand.Rand
	queue     events
	order     int
	faults    faults
	instances []*instance
	// readers holds the collectors by domain.
	readers [domains][]int
	// cut tells whether messages between two instances are lost.
	cut      func(a, b *instance) bool
	messages int
}

func newNetwork(count int, seed uint64, faults faults) *network {
	n := &network{
		now: start, random: rand.New(rand.NewPCG(seed, 1)), faults: faults,
		cut: func(*instance, *instance) bool { return false },
	}
	perDomain := max(2, count/domains/20+1)
	for i := range count {
		one := &instance{number: i, domain: i % domains, avoid: map[int]time.Time{}}
		n.instances = append(n.instances, one)
		n.boot(one)
		if len(n.readers[one.domain]) < perDomain {
			n.readers[one.domain] = append(n.readers[one.domain], i)
		}
		n.after(time.Duration(n.random.Int64N(int64(occupancy.Period))), func() { n.round(one) })
	}
	return n
}

// boot starts a process of the instance.
func (n *network) boot(one *instance) {
	one.process++
	one.reporter = occupancy.NewReporter(fmt.Sprint("entry-", one.number), one.process)
	one.collector = occupancy.NewCollector()
	one.down = false
}

func (n *network) after(wait time.Duration, do func()) {
	n.order++
	heap.Push(&n.queue, event{n.now.Add(wait), n.order, do})
}

// run lets time pass.
func (n *network) run(until time.Time) {
	for len(n.queue) > 0 && n.queue[0].at.Before(until) {
		next := heap.Pop(&n.queue).(event)
		n.now = next.at
		next.do()
	}
	n.now = until
}

// send delivers a message after a delay, not at all, or twice. Messages to a process that is
// gone do not reach the next one: its connections are new.
func (n *network) send(from, to *instance, deliver func()) {
	n.messages++
	if n.cut(from, to) || n.random.Float64() < n.faults.lost {
		return
	}
	process := to.process
	delay := func() time.Duration { return time.Duration(n.random.Int64N(int64(8 * time.Millisecond))) }
	n.after(delay(), func() {
		if !to.down && to.process == process {
			deliver()
		}
	})
	if n.random.Float64() < n.faults.twice {
		n.after(delay()+time.Duration(n.random.Int64N(int64(n.faults.late)+1)), func() {
			if !to.down && to.process == process {
				deliver()
			}
		})
	}
}

// round is what an instance does in each period.
func (n *network) round(one *instance) {
	n.after(occupancy.Period, func() { n.round(one) })
	if one.down {
		return
	}
	part := one.reporter.Next(n.works(one))
	if !n.collects(one) {
		n.report(one, part, n.order)
		return
	}
	if err := one.collector.Report(n.now, part); err != nil {
		panic(err)
	}
	n.take(one, one.collector.Reply(n.now, part))
	for _, readers := range n.readers {
		for _, number := range readers {
			if number != one.number {
				n.exchange(one, n.instances[number])
			}
		}
	}
}

func (n *network) works(one *instance) []occupancy.Work {
	return []occupancy.Work{
		{Server: everyone, Requests: 1, Tokens: 256},
		{Server: uint32(one.number), Requests: int(n.now.Sub(start).Milliseconds()) + 1},
	}
}

func (n *network) collects(one *instance) bool {
	for _, number := range n.readers[one.domain] {
		if number == one.number {
			return true
		}
	}
	return false
}

// report asks the first collector that is not avoided.
func (n *network) report(one *instance, part occupancy.Part, turn int) {
	readers := n.readers[one.domain]
	for i := range readers {
		number := readers[(one.number/domains+i)%len(readers)]
		if n.now.Before(one.avoid[number]) {
			continue
		}
		n.ask(one, n.instances[number], part, turn)
		return
	}
}

func (n *network) ask(one, to *instance, part occupancy.Part, turn int) {
	process, answered := one.process, false
	n.send(one, to, func() {
		if err := to.collector.Report(n.now, part); err != nil {
			panic(err)
		}
		reply := to.collector.Reply(n.now, part)
		n.send(to, one, func() {
			if one.process == process && !answered {
				answered = true
				n.take(one, reply)
			}
		})
	})
	n.after(timeout, func() {
		if !answered && one.process == process && !one.down {
			one.avoid[to.number] = n.now.Add(skipped)
			n.report(one, part, turn)
		}
	})
}

func (n *network) take(one *instance, reply occupancy.Reply) {
	if _, err := one.reporter.Take(n.now, reply); err != nil {
		panic(err)
	}
}

// exchange tells another collector the parts of one's followers.
func (n *network) exchange(one, to *instance) {
	parts := one.collector.Direct(n.now)
	n.send(one, to, func() {
		if err := to.collector.Passed(n.now, parts); err != nil {
			panic(err)
		}
	})
}
