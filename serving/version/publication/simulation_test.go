package publication

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/problem"
)

// draw returns a number in [0, n).
type draw func(n int) int

// runningAttempt is a publication or an inquiry in progress.
type runningAttempt struct {
	id      ID
	attempt *Attempt
	op      Operation
}

// outcome is a result returned to an operator.
type outcome struct {
	id   ID
	kind problem.Kind
	head Head
}

// adopter is an entry instance.
type instance struct {
	name     Source
	table    *Table
	steps    []Step
	events   []Event
	seen     uint64
	storeCut bool
	peersCut bool
}

// simulation runs publishers, entry instances and a store in one goroutine.
type simulation struct {
	t           require.TestingT
	draw        draw
	now         time.Time
	store       *fakeStore
	attempts    []*runningAttempt
	outcomes    []outcome
	notKnownYet []ID
	instances   []*instance
	collector   *Collector
	count       int
}

func newSimulation(t require.TestingT, draw draw) *simulation {
	w := &simulation{t: t, draw: draw, now: time.Unix(1_800_000_000, 0), store: newFakeStore(draw)}
	log := logrus.New()
	w.collector = NewCollector(w.store, func() bool { return true }, log)
	for i := range 4 {
		w.instances = append(w.instances, &instance{name: Source(fmt.Sprintf("peer-%d", i))})
	}
	for i := range w.instances {
		w.restart(i)
	}
	return w
}

// restart replaces an instance by one without state.
func (w *simulation) restart(at int) {
	old := w.instances[at]
	var peers []Source
	for i, other := range w.instances {
		if i != at {
			peers = append(peers, other.name)
		}
	}
	random := rand.New(rand.NewPCG(1, uint64(w.draw(1<<16))))
	fresh := &instance{name: old.name, storeCut: old.storeCut, peersCut: old.peersCut}
	fresh.table, fresh.steps = NewTable(w.now, random, peers)
	w.instances[at] = fresh
}

const testHash = "%064x"

func testFile(name string, priority int) []byte {
	hash := fmt.Sprintf(testHash, len(name))
	return fmt.Appendf(nil, `{"name": %q, "kind": "plain", "routes": [{"path": "/"}],
		"accounts": [{"name": "a-%d", "key_sha256": %q, "priority": %d}]}`, name, len(name), hash, priority)
}

// publish starts a publication on the latest version or, as in a race, on an older one.
func (w *simulation) publish() {
	base := uint64(max(0, len(w.store.accepted)-w.draw(3)/2))
	request := Request{ID: NewID(base + 1), Operator: fmt.Sprintf("operator-%d", w.draw(3))}
	if base > 2 && w.draw(4) == 0 {
		request.RollbackOf = uint64(1 + w.draw(int(base)))
	} else {
		name := strings.Repeat("s", 1+w.draw(3))
		request.Files = map[string][]byte{name: testFile(name, w.draw(10))}
	}
	var previous *Version
	if from := w.draw(len(w.instances) + 1); from > 0 {
		previous = w.instances[from-1].table.Current()
	}
	attempt, op := NewAttempt(w.now.Add(PublishTimeout), request, previous)
	w.attempts = append(w.attempts, &runningAttempt{request.ID, attempt, op})
}

// inquire starts an inquiry about a publication whose result was not known.
func (w *simulation) inquire() {
	if len(w.notKnownYet) == 0 {
		return
	}
	id := w.notKnownYet[w.draw(len(w.notKnownYet))]
	attempt, op := NewInquiry(w.now.Add(inquiryTimeout), id)
	w.attempts = append(w.attempts, &runningAttempt{id, attempt, op})
}

// stepAttempt executes one operation of one publication.
func (w *simulation) stepAttempt() {
	if len(w.attempts) == 0 {
		return
	}
	at := w.draw(len(w.attempts))
	r := w.attempts[at]
	if r.op.Kind == Finish {
		w.attempts = slices.Delete(w.attempts, at, at+1)
		w.finish(r)
		return
	}
	w.now = w.now.Add(r.op.Wait)
	reply := carryOut(w.store, r.op)
	r.op = r.attempt.Handle(w.now, reply)
}

func carryOut(s Store, op Operation) Reply {
	p := &Publisher{store: s}
	return p.execute(context.Background(), op)
}

func (w *simulation) finish(r *runningAttempt) {
	result := outcome{id: r.id, head: r.op.Result.Head}
	if r.op.Err != nil {
		result.kind = r.op.Err.Kind
	}
	if result.kind == problem.NotKnownYet {
		w.notKnownYet = append(w.notKnownYet, r.id)
	}
	if !r.op.Result.Unchanged {
		w.outcomes = append(w.outcomes, result)
	}
}

// verify compares the results returned to operators with the accepted versions.
func (w *simulation) verify() {
	for _, result := range w.outcomes {
		version, err := result.id.Version()
		require.NoError(w.t, err)
		var actual Head
		if int(version) <= len(w.store.accepted) {
			actual = w.store.accepted[version-1]
		}
		landed := actual.Publication == result.id
		switch result.kind {
		case "":
			require.True(w.t, landed, "reported as published, but %s was not", result.id)
		case problem.VersionConflict:
			require.False(w.t, landed, "reported as a conflict, but %s was published", result.id)
			require.Equal(w.t, actual.Publication, result.head.Publication, "wrong winner reported")
		case problem.StoreUnavailable, problem.BadRequest, problem.InvalidFile:
			require.False(w.t, landed, "reported as not published (%s), but %s was", result.kind, result.id)
		case problem.NotKnownYet:
		default:
			require.Fail(w.t, "unexpected result", string(result.kind))
		}
	}
	for i, head := range w.store.accepted {
		require.Equal(w.t, uint64(i+1), head.Version)
	}
}

// verifyAudit compares the audit trail with the accepted versions.
func (w *simulation) verifyAudit() {
	publisher := NewPublisher(w.store, nil, nil)
	history, err := publisher.History(context.Background(), 0, MaxHistory)
	require.NoError(w.t, err)
	slices.Reverse(history)
	require.Equal(w.t, len(w.store.accepted), len(history))
	for i, head := range history {
		require.Equal(w.t, w.store.accepted[i].Encode(), head.Encode())
	}
	records := 0
	for key := range w.store.values {
		if strings.HasPrefix(key, AuditPrefix) {
			records++
		}
	}
	require.LessOrEqual(w.t, records, len(history))
}

// stepInstance executes one step of an instance or delivers one event to it, which may be lost,
// duplicated or reordered.
func (w *simulation) stepInstance(reliable bool) {
	a := w.instances[w.draw(len(w.instances))]
	if len(a.steps) > 0 && w.draw(2) == 0 {
		at := w.draw(len(a.steps))
		step := a.steps[at]
		a.steps = slices.Delete(a.steps, at, at+1)
		if step.Kind == Adopt {
			return
		}
		require.NotEqual(w.t, Refuse, step.Kind)
		event := w.fetch(a, step)
		if len(event.Data) > 0 && !reliable && w.draw(12) == 0 {
			event.Data = [][]byte{event.Data[1:], []byte(`{"files":[]}`)}[w.draw(2)]
		}
		a.events = append(a.events, event)
		return
	}
	event := Event{Kind: Ticked}
	if len(a.events) > 0 {
		at := w.draw(len(a.events))
		event = a.events[at]
		fate := w.draw(10)
		if reliable || fate > 0 {
			a.events = slices.Delete(a.events, at, at+1)
		}
		if !reliable && fate == 1 {
			return
		}
	}
	w.now = w.now.Add(20 * time.Millisecond)
	a.steps = append(a.steps, a.table.Handle(w.now, event)...)
	w.verifyInstance(a)
}

func (w *simulation) verifyInstance(a *instance) {
	version := a.table.Current()
	if version == nil {
		return
	}
	require.GreaterOrEqual(w.t, version.Number, a.seen, "an instance adopted a lower version")
	require.LessOrEqual(w.t, version.Number, uint64(len(w.store.accepted)))
	require.Equal(w.t, w.store.accepted[version.Number-1].Manifest, version.Head.Manifest)
	require.Equal(w.t, version.Head.Manifest, HashOf(version.manifestBytes))
	a.seen = version.Number
}

func (w *simulation) peer(name Source) *instance {
	for _, other := range w.instances {
		if other.name == name {
			return other
		}
	}
	return nil
}

// fetch returns the event that answers a step of an instance.
func (w *simulation) fetch(a *instance, step Step) Event {
	failed := Event{Kind: FetchFailed, Source: step.Source, Hash: step.Hash, Fetch: step.Kind}
	var k Keeper
	k.store = w.store
	if step.Source != StoreSource {
		other := w.peer(step.Source)
		if a.peersCut || other.peersCut || other.table.Current() == nil {
			return failed
		}
		k.current.Store(other.table.Current())
		k.peers = &localPeers{keeperOf: func(string) *Keeper { return &k }}
	} else if a.storeCut {
		return failed
	}
	k.log = quietLogger()
	return k.fetch(context.Background(), step)
}

// offer announces the version of one instance to another, or makes an instance fetch the head
// from the store.
func (w *simulation) offer() {
	a := w.instances[w.draw(len(w.instances))]
	b := w.instances[w.draw(len(w.instances))]
	if a == b && !a.storeCut {
		a.steps = append(a.steps, Step{Kind: FetchHead, Source: StoreSource})
		return
	}
	version := b.table.Current()
	if a != b && !a.peersCut && !b.peersCut && version != nil {
		a.events = append(a.events, Event{Kind: Offered, Source: b.name, Version: version.Number})
	}
}

// toggleFault toggles one fault, or applies a delayed write.
func (w *simulation) toggleFault() {
	switch w.draw(8) {
	case 0:
		w.store.down = !w.store.down && w.draw(3) == 0
	case 1:
		w.store.stale = !w.store.stale && w.draw(2) == 0
	case 2:
		w.store.losesReplies = !w.store.losesReplies
	case 3:
		a := w.instances[w.draw(len(w.instances))]
		a.storeCut = !a.storeCut
	case 4:
		a := w.instances[w.draw(len(w.instances))]
		a.peersCut = !a.peersCut
	case 5:
		w.restart(w.draw(len(w.instances)))
	default:
		w.applyLateWrite()
	}
}

func (w *simulation) applyLateWrite() {
	if len(w.store.lateWrites) == 0 {
		return
	}
	at := w.draw(len(w.store.lateWrites))
	write := w.store.lateWrites[at]
	w.store.lateWrites = slices.Delete(w.store.lateWrites, at, at+1)
	write()
}

// collect runs a collection, interleaved with steps of publications.
func (w *simulation) collect() {
	w.now = w.now.Add(time.Duration(w.draw(90)) * time.Minute)
	w.store.onCall = func() {
		if w.draw(4) == 0 {
			w.store.onCall = func() {}
			w.stepAttempt()
		}
	}
	_, _ = w.collector.Collect(context.Background(), w.now)
	w.store.onCall = func() {}
}

// heal ends all faults and runs until all instances have the latest version.
func (w *simulation) heal() {
	w.store.down, w.store.stale, w.store.losesReplies = false, false, false
	for len(w.store.lateWrites) > 0 {
		w.applyLateWrite()
	}
	for len(w.attempts) > 0 {
		w.stepAttempt()
	}
	for _, a := range w.instances {
		a.storeCut, a.peersCut = false, false
	}
	for range 4000 {
		if w.count++; w.count%8 == 0 {
			w.offer()
		}
		w.stepInstance(true)
		if w.count%100 == 0 && w.converged() {
			return
		}
	}
}

// converged reports whether every instance has the latest version.
func (w *simulation) converged() bool {
	for _, a := range w.instances {
		if a.table.version() < uint64(len(w.store.accepted)) {
			return false
		}
	}
	return true
}

// run executes random steps of all components and verifies the invariants.
func (w *simulation) run(steps int) {
	for range steps {
		switch choice := w.draw(20); {
		case choice < 2 && len(w.attempts) < 3:
			w.publish()
		case choice == 2:
			w.inquire()
		case choice == 3:
			w.toggleFault()
		case choice == 4 && w.draw(3) == 0:
			w.collect()
		case choice < 6:
			w.offer()
		case choice < 13:
			w.stepAttempt()
		default:
			w.stepInstance(false)
		}
	}
	w.heal()
	w.verify()
	w.verifyAudit()
	require.True(w.t, w.converged(), "an instance lacks the latest version")
}
