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

// chooser draws the next number below n; rapid and seeded sources give one.
type chooser func(label string, n int) int

const (
	worldNodes  = 8
	claimWindow = time.Minute
	claimTime   = 10 * time.Second
	maxOffset   = 15 * time.Second
)

var worldStart = time.Date(2026, 5, 1, 12, 0, 0, 0, time.UTC)

func worldSettings() Settings {
	s := DefaultSettings()
	s.Retention = claimWindow
	s.Grace = 0
	s.Skew = maxOffset
	s.Memory = claimWindow/2 + 2*maxOffset
	s.InlineBytes = 64
	s.PageBytes = 2 << 10
	return s
}

// item is a message in transit. It is delivered at notBefore at the earliest, and lost if its
// process is replaced first.
type item struct {
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
	cut         bool
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

// keyState is the expected state of one key.
type keyState struct {
	claim   Claim
	created time.Time
	runs    int
	// ranBy is when the request arrived that ran, latestNotRun when the last one answered not_run did.
	ranBy, latestNotRun int
	answer              *Answer
	requests            []*request
	// lost is set if the outcome of a claim may not have been recorded.
	lost bool
}

func (k *keyState) hash() Hash {
	parsed, _ := parseKey(k.claim)
	return parsed.hash
}

// world is eight tables, a store and a network in one thread.
type world struct {
	choose   chooser
	fail     func(format string, args ...any)
	now      time.Time
	nodes    []*node
	bag      []item
	store    *modelStore
	keys     []*keyState
	arrivals int
	nextID   uint64
	// faults are the kinds of fault that this world has.
	faults map[string]bool
	// hidden is a process that no list shows.
	hidden *node
	// loseAnswer loses the answer of the next swap, with which an outage begins.
	loseAnswer bool
	// storeCut is a process that can't reach the store.
	storeCut *node
	// onResolve is called for every claim that ends.
	onResolve func(Resolve)
}

func newWorld(choose chooser, fail func(string, ...any)) *world {
	w := &world{choose: choose, fail: fail, now: worldStart, store: newModelStore()}
	w.faults = map[string]bool{}
	for _, kind := range []string{"kill", "freeze", "cut", "down", "swap", "read", "call", "crowd"} {
		w.faults[kind] = choose(kind, 2) == 0
	}
	for i := range worldNodes {
		n := &node{name: fmt.Sprintf("entry-%d", i)}
		n.offset = time.Duration(choose("offset", 31)-15) * maxOffset / 15
		w.nodes = append(w.nodes, n)
		w.boot(n)
	}
	w.tickAll()
	w.advance(time.Minute)
	return w
}

func (w *world) boot(n *node) {
	n.incarnation++
	n.requests = map[uint64]*request{}
	n.replies = map[uint64]func(Reply){}
	n.frozen = false
	rng := rand.New(rand.NewPCG(n.incarnation, uint64(w.choose("rng", 1<<20))))
	n.table = NewTable(w.clock(n), Self{Instance: n.name, Incarnation: n.incarnation}, worldSettings(), rng)
	w.handle(n, n.table.Tick(w.clock(n), w.live()))
}

func (w *world) clock(n *node) time.Time { return w.now.Add(n.offset) }

func (w *world) live() []Member {
	var live []Member
	for _, n := range w.nodes {
		if n == w.hidden {
			continue
		}
		live = append(live, Member{Instance: n.name, Incarnation: n.incarnation})
	}
	return live
}

func (w *world) tickAll() {
	for _, n := range w.nodes {
		if !n.frozen {
			w.handle(n, n.table.Tick(w.clock(n), w.live()))
		}
	}
}

func (w *world) advance(by time.Duration) {
	w.now = w.now.Add(by)
	w.tickAll()
}

func (w *world) newKey() *keyState {
	created := w.now.Add(time.Duration(w.choose("caller clock", 11)-5) * time.Second)
	key := &keyState{created: created, claim: Claim{
		Service: "desk-app", Account: "star", Key: keyAt(created, uint64(len(w.keys))), Fingerprint: 7, Window: claimWindow,
	}}
	w.keys = append(w.keys, key)
	return key
}

// keyAt returns the text of a UUIDv7 with the given time and tail.
func keyAt(created time.Time, tail uint64) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(created.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], tail)
	id[6] = 0x70
	id[8] = 0x80
	return id.String()
}

func (w *world) pickKey() *keyState {
	fresh := 2
	if w.faults["crowd"] {
		fresh = 6
	}
	if len(w.keys) == 0 || w.choose("new key", fresh) == 0 {
		return w.newKey()
	}
	recent := w.keys[max(0, len(w.keys)-4):]
	if w.choose("old key", 10) == 0 {
		recent = w.keys
	}
	return recent[w.choose("key", len(recent))]
}

func (w *world) claim(n *node, key *keyState) *request {
	w.arrivals++
	r := &request{key: key, arrived: w.arrivals}
	key.requests = append(key.requests, r)
	nonce, orders := n.table.Claim(w.clock(n), key.claim, w.clock(n).Add(claimTime/time.Duration(1+w.choose("claim time", 6))))
	r.nonce = nonce
	n.requests[nonce] = r
	w.handle(n, orders)
	return r
}

func (w *world) handle(n *node, orders []Order) {
	for _, order := range orders {
		switch o := order.(type) {
		case Swap:
			w.post(n, 0, func() { w.swap(n, o) })
		case Read:
			w.post(n, 0, func() { w.read(n, o) })
		case Seal:
			w.store.seal(o.Page)
		case Delete:
			w.store.remove(o.Page)
		case Call:
			w.call(n, o)
		case Respond:
			if reply := n.replies[o.Query]; reply != nil {
				reply(o.Reply)
			}
		case Resolve:
			w.resolve(n, o)
		}
	}
}

func (w *world) post(n *node, after time.Duration, run func()) {
	w.bag = append(w.bag, item{node: n, incarnation: n.incarnation, notBefore: w.now.Add(after), run: run})
}

// deliver handles one message that is due.
func (w *world) deliver() bool {
	var due []int
	for i, it := range w.bag {
		if !it.node.frozen && !w.now.Before(it.notBefore) {
			due = append(due, i)
		}
	}
	if len(due) == 0 {
		return false
	}
	index := due[w.choose("deliver", len(due))]
	it := w.bag[index]
	w.bag = slices.Delete(w.bag, index, index+1)
	if it.incarnation == it.node.incarnation {
		it.run()
	}
	return true
}

// fault draws a number below n, or n in a world without such faults.
func (w *world) fault(kind string, n int) int {
	if !w.faults[kind] {
		return n
	}
	return w.choose(kind, n)
}

func (w *world) resolve(n *node, o Resolve) {
	if w.onResolve != nil {
		w.onResolve(o)
	}
	r := n.requests[o.Claim]
	if r.phase != waiting {
		w.fail("a claim was resolved twice")
	}
	switch {
	case o.Err != nil:
		w.refused(r, problem.From(o.Err))
	case o.Answer != nil:
		w.repeated(r, o.Answer)
	default:
		w.grant(n, r)
	}
}

func (w *world) grant(n *node, r *request) {
	r.phase = granted
	if age := w.clock(n).Sub(r.key.created); age >= claimWindow {
		w.fail("a key of age %s was granted", age)
	}
}

func (w *world) refused(r *request, err *problem.Error) {
	r.phase = ended
	outcome := err.Document("").Outcome
	if outcome == problem.Failed && r.key.runs == 0 {
		w.fail("a key without a run was answered with %s", err)
	}
	if outcome != problem.NotRun {
		return
	}
	r.notRun = true
	if err.Kind != problem.StoreUnavailable {
		return
	}
	if r.key.runs > 0 && r.key.ranBy < r.arrived {
		w.fail("a repeat was answered not_run after a run: %s", err)
	}
	r.key.latestNotRun = max(r.key.latestNotRun, r.arrived)
}

func (w *world) repeated(r *request, answer *Answer) {
	r.phase = ended
	r.answer = answer
	if r.key.answer == nil || string(r.key.answer.Body) != string(answer.Body) {
		w.fail("a repeat got the answer %q", answer.Body)
	}
}

// run simulates a backend server that runs a request.
func (w *world) run(r *request) {
	r.key.runs++
	r.key.ranBy = r.arrived
	switch {
	case r.key.runs > 1:
		w.fail("a key ran %d times", r.key.runs)
	case r.notRun:
		w.fail("a request answered not_run ran")
	case r.arrived < r.key.latestNotRun:
		w.fail("a key ran after a later request was answered not_run")
	}
}
