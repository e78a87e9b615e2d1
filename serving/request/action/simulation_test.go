package action

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"

	"papayaport.dev/serving/process/problem"
)

// drawFunc returns the next number in [0, n), drawn from rapid or from a seeded generator.
type drawFunc func(label string, n int) int

const (
	simulatedNodes = 8
	claimWindow    = time.Minute
	claimTime      = 10 * time.Second
	maxOffset      = 15 * time.Second
)

var simulationStart = time.Date(2026, 5, 1, 12, 0, 0, 0, time.UTC)

func simulationSettings() Settings {
	s := DefaultSettings()
	s.Retention = claimWindow
	s.Grace = 0
	s.Skew = maxOffset
	s.MemoryRetention = claimWindow/2 + 2*maxOffset
	s.InlineBytes = 64
	s.PageBytes = 2 << 10
	return s
}

// event is a message in transit or a timer of a process. It runs at notBefore or later, and is
// dropped if the process has been replaced by then.
type event struct {
	node        *node
	incarnation uint64
	notBefore   time.Time
	run         func()
}

type node struct {
	name        string
	incarnation uint64
	table       *Table
	offset      time.Duration
	frozen      bool
	partitioned bool
	requests    map[uint64]*request
	replies     map[uint64]func(Reply)
}

type phase int

const (
	waiting phase = iota
	granted
	sending
	ran
	ended
)

type request struct {
	key     *keyState
	nonce   uint64
	arrived int
	phase   phase
	answer  *Answer
	notRun  bool
}

// keyState is the expected state of one idempotency key.
type keyState struct {
	claim   Claim
	created time.Time
	runs    int
	// ranArrival is the arrival number of the request that ran, lastNotRunArrival the highest one
	// of those that were answered not_run because the store was unavailable.
	ranArrival, lastNotRunArrival int
	answer                        *Answer
	requests                      []*request
	// maybeUnrecorded means that the outcome of a claim may not have been recorded.
	maybeUnrecorded bool
}

func (k *keyState) hash() Hash {
	parsed, _ := parseKey(k.claim)
	return parsed.hash
}

// simulation is a single-threaded simulation of eight tables, a store and a network.
type simulation struct {
	draw     drawFunc
	fail     func(format string, args ...any)
	now      time.Time
	nodes    []*node
	events   []event
	store    *modelStore
	keys     []*keyState
	arrivals int
	nextID   uint64
	// faults contains the kinds of faults that are enabled.
	faults map[string]bool
	// unlisted is a process that is missing from all member lists, if any.
	unlisted *node
	// loseSwapResponse drops the response to the next swap and starts a store outage with it.
	loseSwapResponse bool
	// withoutStore is a process that can't reach the store, if any.
	withoutStore *node
	// onResolve, if set, is called for every resolved claim.
	onResolve func(Resolve)
}

func newSimulation(draw drawFunc, fail func(string, ...any)) *simulation {
	sim := &simulation{draw: draw, fail: fail, now: simulationStart, store: newModelStore()}
	sim.faults = map[string]bool{}
	for _, kind := range []string{"kill", "freeze", "cut", "down", "swap", "read", "call", "crowd"} {
		sim.faults[kind] = draw(kind, 2) == 0
	}
	for i := range simulatedNodes {
		n := &node{name: fmt.Sprintf("entry-%d", i)}
		n.offset = time.Duration(draw("offset", 31)-15) * maxOffset / 15
		sim.nodes = append(sim.nodes, n)
		sim.startProcess(n)
	}
	sim.tickAll()
	sim.advance(time.Minute)
	return sim
}

func (sim *simulation) startProcess(n *node) {
	n.incarnation++
	n.requests = map[uint64]*request{}
	n.replies = map[uint64]func(Reply){}
	n.frozen = false
	rng := rand.New(rand.NewPCG(n.incarnation, uint64(sim.draw("rng", 1<<20))))
	n.table = NewTable(sim.clock(n), Self{Instance: n.name, Incarnation: n.incarnation}, simulationSettings(), rng)
	sim.handle(n, n.table.Tick(sim.clock(n), sim.live()))
}

func (sim *simulation) clock(n *node) time.Time { return sim.now.Add(n.offset) }

func (sim *simulation) live() []Member {
	var live []Member
	for _, n := range sim.nodes {
		if n == sim.unlisted {
			continue
		}
		live = append(live, Member{Instance: n.name, Incarnation: n.incarnation})
	}
	return live
}

func (sim *simulation) tickAll() {
	for _, n := range sim.nodes {
		if !n.frozen {
			sim.handle(n, n.table.Tick(sim.clock(n), sim.live()))
		}
	}
}

func (sim *simulation) advance(by time.Duration) {
	sim.now = sim.now.Add(by)
	sim.tickAll()
}

func (sim *simulation) newKey() *keyState {
	created := sim.now.Add(time.Duration(sim.draw("caller clock", 11)-5) * time.Second)
	key := &keyState{created: created, claim: Claim{
		Service: "desk-app", Account: "star", Key: keyAt(created, uint64(len(sim.keys))), Fingerprint: 7, Window: claimWindow,
	}}
	sim.keys = append(sim.keys, key)
	return key
}

// keyAt returns the text of a UUIDv7 with the given timestamp and low bits.
func keyAt(created time.Time, tail uint64) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(created.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], tail)
	id[6] = 0x70
	id[8] = 0x80
	return id.String()
}

func (sim *simulation) pickKey() *keyState {
	fresh := 2
	if sim.faults["crowd"] {
		fresh = 6
	}
	if len(sim.keys) == 0 || sim.draw("new key", fresh) == 0 {
		return sim.newKey()
	}
	recent := sim.keys[max(0, len(sim.keys)-4):]
	if sim.draw("old key", 10) == 0 {
		recent = sim.keys
	}
	return recent[sim.draw("key", len(recent))]
}

func (sim *simulation) claim(n *node, key *keyState) *request {
	sim.arrivals++
	r := &request{key: key, arrived: sim.arrivals}
	key.requests = append(key.requests, r)
	nonce, orders := n.table.Claim(sim.clock(n), key.claim, sim.clock(n).Add(claimTime/time.Duration(1+sim.draw("claim time", 6))))
	r.nonce = nonce
	n.requests[nonce] = r
	sim.handle(n, orders)
	return r
}

func (sim *simulation) handle(n *node, orders []Order) {
	for _, order := range orders {
		switch o := order.(type) {
		case Swap:
			sim.schedule(n, 0, func() { sim.swap(n, o) })
		case Read:
			sim.schedule(n, 0, func() { sim.read(n, o) })
		case Seal:
			sim.store.seal(o.Page)
		case Delete:
			sim.store.remove(o.Page)
		case Call:
			sim.call(n, o)
		case Respond:
			if reply := n.replies[o.Query]; reply != nil {
				reply(o.Reply)
			}
		case Resolve:
			sim.resolve(n, o)
		}
	}
}

func (sim *simulation) schedule(n *node, after time.Duration, run func()) {
	sim.events = append(sim.events, event{node: n, incarnation: n.incarnation, notBefore: sim.now.Add(after), run: run})
}

// deliver runs or drops one due event, chosen at random. It returns false if none is due.
func (sim *simulation) deliver() bool {
	var due []int
	for i, ev := range sim.events {
		if !ev.node.frozen && !sim.now.Before(ev.notBefore) {
			due = append(due, i)
		}
	}
	if len(due) == 0 {
		return false
	}
	index := due[sim.draw("deliver", len(due))]
	ev := sim.events[index]
	sim.events = slices.Delete(sim.events, index, index+1)
	if ev.incarnation == ev.node.incarnation {
		ev.run()
	}
	return true
}

// drawFault draws a number in [0, n), or returns n if faults of this kind are disabled.
func (sim *simulation) drawFault(kind string, n int) int {
	if !sim.faults[kind] {
		return n
	}
	return sim.draw(kind, n)
}

func (sim *simulation) resolve(n *node, o Resolve) {
	if sim.onResolve != nil {
		sim.onResolve(o)
	}
	r := n.requests[o.Claim]
	if r.phase != waiting {
		sim.fail("a claim was resolved twice")
	}
	switch {
	case o.Err != nil:
		sim.handleRefusal(r, problem.From(o.Err))
	case o.Answer != nil:
		sim.handleRepeat(r, o.Answer)
	default:
		sim.handleGrant(n, r)
	}
}

func (sim *simulation) handleGrant(n *node, r *request) {
	r.phase = granted
	if age := sim.clock(n).Sub(r.key.created); age >= claimWindow {
		sim.fail("claim granted for an expired key of age %s", age)
	}
}

func (sim *simulation) handleRefusal(r *request, err *problem.Error) {
	r.phase = ended
	outcome := err.Document("").Outcome
	if outcome == problem.Failed && r.key.runs == 0 {
		sim.fail("a key that never ran was reported as failed: %s", err)
	}
	if outcome != problem.NotRun {
		return
	}
	r.notRun = true
	if err.Kind != problem.StoreUnavailable {
		return
	}
	if r.key.runs > 0 && r.key.ranArrival < r.arrived {
		sim.fail("a repeat was answered not_run after a run: %s", err)
	}
	r.key.lastNotRunArrival = max(r.key.lastNotRunArrival, r.arrived)
}

func (sim *simulation) handleRepeat(r *request, answer *Answer) {
	r.phase = ended
	r.answer = answer
	if r.key.answer == nil || string(r.key.answer.Body) != string(answer.Body) {
		sim.fail("a repeat got an answer that was not recorded: %q", answer.Body)
	}
}

// runRequest simulates the execution of a request by a backend server and checks that it may run.
func (sim *simulation) runRequest(r *request) {
	r.key.runs++
	r.key.ranArrival = r.arrived
	switch {
	case r.key.runs > 1:
		sim.fail("a key ran %d times", r.key.runs)
	case r.notRun:
		sim.fail("a request answered not_run ran")
	case r.arrived < r.key.lastNotRunArrival:
		sim.fail("a key ran after a later request was answered not_run")
	}
}
