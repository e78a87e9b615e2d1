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
	// commonServer is the server at which each instance has one request.
	commonServer = 1 << 20
	// timeout is the time-out of a call to a collector.
	timeout = 150 * time.Millisecond
	// avoidTime is how long a collector is avoided after a time-out.
	avoidTime = 3 * time.Second
)

var start = time.Unix(1_800_000_000, 0)

// faults configures message faults.
type faults struct {
	// lossRate and duplicateRate are the probabilities that a message is lost or duplicated.
	lossRate, duplicateRate float64
	// maxDuplicateDelay is the largest delay of the duplicate of a message.
	maxDuplicateDelay time.Duration
}

// event is a scheduled call.
type event struct {
	at    time.Time
	order int
	run   func()
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

// instance is one entry instance. It reports the milliseconds since the start as the number of
// requests at the server with its own number, so that the totals at other instances show the
// time of its report and whether it was counted twice.
type instance struct {
	number     int
	domain     int
	process    uint64
	reporter   *occupancy.Reporter
	collector  *occupancy.Collector
	down       bool
	avoidUntil map[int]time.Time
}

// network simulates a fleet of instances whose messages are delayed.
type network struct {
	now       time.Time
	random    *rand.Rand
	queue     events
	order     int
	faults    faults
	instances []*instance
	// collectors holds the collectors by domain.
	collectors [domains][]int
	// partitioned reports whether two instances are partitioned from each other.
	partitioned func(a, b *instance) bool
	messages    int
}

func newNetwork(count int, seed uint64, faults faults) *network {
	n := &network{
		now: start, random: rand.New(rand.NewPCG(seed, 1)), faults: faults,
		partitioned: func(*instance, *instance) bool { return false },
	}
	perDomain := max(2, count/domains/20+1)
	for i := range count {
		inst := &instance{number: i, domain: i % domains, avoidUntil: map[int]time.Time{}}
		n.instances = append(n.instances, inst)
		n.restart(inst)
		if len(n.collectors[inst.domain]) < perDomain {
			n.collectors[inst.domain] = append(n.collectors[inst.domain], i)
		}
		n.after(time.Duration(n.random.Int64N(int64(occupancy.ReportInterval))), func() { n.reportRound(inst) })
	}
	return n
}

// restart starts a new process of the instance.
func (n *network) restart(inst *instance) {
	inst.process++
	inst.reporter = occupancy.NewReporter(fmt.Sprint("entry-", inst.number), inst.process)
	inst.collector = occupancy.NewCollector()
	inst.down = false
}

func (n *network) after(wait time.Duration, do func()) {
	n.order++
	heap.Push(&n.queue, event{n.now.Add(wait), n.order, do})
}

// run executes the events up to a time.
func (n *network) run(until time.Time) {
	for len(n.queue) > 0 && n.queue[0].at.Before(until) {
		next := heap.Pop(&n.queue).(event)
		n.now = next.at
		next.run()
	}
	n.now = until
}

// send delivers a message after a delay, or loses or duplicates it. Messages to a process that has
// ended are not delivered to its successor, which has new connections.
func (n *network) send(from, to *instance, deliver func()) {
	n.messages++
	if n.partitioned(from, to) || n.random.Float64() < n.faults.lossRate {
		return
	}
	process := to.process
	delay := func() time.Duration { return time.Duration(n.random.Int64N(int64(8 * time.Millisecond))) }
	n.after(delay(), func() {
		if !to.down && to.process == process {
			deliver()
		}
	})
	if n.random.Float64() < n.faults.duplicateRate {
		n.after(delay()+time.Duration(n.random.Int64N(int64(n.faults.maxDuplicateDelay)+1)), func() {
			if !to.down && to.process == process {
				deliver()
			}
		})
	}
}

// reportRound sends the instance's report, or collects and relays reports if it is a collector.
func (n *network) reportRound(inst *instance) {
	n.after(occupancy.ReportInterval, func() { n.reportRound(inst) })
	if inst.down {
		return
	}
	part := inst.reporter.NextReport(n.loads(inst))
	if !n.isCollector(inst) {
		n.report(inst, part, n.order)
		return
	}
	if err := inst.collector.AddReport(n.now, part); err != nil {
		panic(err)
	}
	n.applyReply(inst, inst.collector.Reply(n.now, part))
	for _, collectors := range n.collectors {
		for _, number := range collectors {
			if number != inst.number {
				n.exchange(inst, n.instances[number])
			}
		}
	}
}

func (n *network) loads(inst *instance) []occupancy.ServerLoad {
	return []occupancy.ServerLoad{
		{Server: commonServer, Requests: 1, Tokens: 256},
		{Server: uint32(inst.number), Requests: int(n.now.Sub(start).Milliseconds()) + 1},
	}
}

func (n *network) isCollector(inst *instance) bool {
	for _, number := range n.collectors[inst.domain] {
		if number == inst.number {
			return true
		}
	}
	return false
}

// report sends a report to the first collector that is not avoided.
func (n *network) report(inst *instance, part occupancy.Report, turn int) {
	collectors := n.collectors[inst.domain]
	for i := range collectors {
		number := collectors[(inst.number/domains+i)%len(collectors)]
		if n.now.Before(inst.avoidUntil[number]) {
			continue
		}
		n.callCollector(inst, n.instances[number], part, turn)
		return
	}
}

func (n *network) callCollector(inst, to *instance, part occupancy.Report, turn int) {
	process, answered := inst.process, false
	n.send(inst, to, func() {
		if err := to.collector.AddReport(n.now, part); err != nil {
			panic(err)
		}
		reply := to.collector.Reply(n.now, part)
		n.send(to, inst, func() {
			if inst.process == process && !answered {
				answered = true
				n.applyReply(inst, reply)
			}
		})
	})
	n.after(timeout, func() {
		if !answered && inst.process == process && !inst.down {
			inst.avoidUntil[to.number] = n.now.Add(avoidTime)
			n.report(inst, part, turn)
		}
	})
}

func (n *network) applyReply(inst *instance, reply occupancy.Reply) {
	if _, err := inst.reporter.ApplyReply(n.now, reply); err != nil {
		panic(err)
	}
}

// exchange relays the reports that a collector received directly to another collector.
func (n *network) exchange(inst, to *instance) {
	parts := inst.collector.DirectReports(n.now)
	n.send(inst, to, func() {
		if err := to.collector.AddRelayed(n.now, parts); err != nil {
			panic(err)
		}
	})
}
