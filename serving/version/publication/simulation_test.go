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
	sim := &simulation{t: t, draw: draw, now: time.Unix(1_800_000_000, 0), store: newFakeStore(draw)}
	log := logrus.New()
	sim.collector = NewCollector(sim.store, func() bool { return true }, log)
	for i := range 4 {
		sim.instances = append(sim.instances, &instance{name: Source(fmt.Sprintf("peer-%d", i))})
	}
	for i := range sim.instances {
		sim.restart(i)
	}
	return sim
}

// restart replaces an instance by one without state.
func (sim *simulation) restart(at int) {
	old := sim.instances[at]
	var peers []Source
	for i, other := range sim.instances {
		if i != at {
			peers = append(peers, other.name)
		}
	}
	random := rand.New(rand.NewPCG(1, uint64(sim.draw(1<<16))))
	fresh := &instance{name: old.name, storeCut: old.storeCut, peersCut: old.peersCut}
	fresh.table, fresh.steps = NewTable(sim.now, random, peers)
	sim.instances[at] = fresh
}

const testHash = "%064x"

func testFile(name string, priority int) []byte {
	hash := fmt.Sprintf(testHash, len(name))
	return fmt.Appendf(nil, `{"name": %q, "kind": "plain", "routes": [{"path": "/"}],
		"accounts": [{"name": "a-%d", "key_sha256": %q, "priority": %d}]}`, name, len(name), hash, priority)
}

// publish starts a publication on the latest version or, as in a race, on an older one.
func (sim *simulation) publish() {
	base := uint64(max(0, len(sim.store.accepted)-sim.draw(3)/2))
	request := Request{ID: NewID(base + 1), Operator: fmt.Sprintf("operator-%d", sim.draw(3))}
	if base > 2 && sim.draw(4) == 0 {
		request.RollbackOf = uint64(1 + sim.draw(int(base)))
	} else {
		name := strings.Repeat("s", 1+sim.draw(3))
		request.Files = map[string][]byte{name: testFile(name, sim.draw(10))}
	}
	var previous *Version
	if from := sim.draw(len(sim.instances) + 1); from > 0 {
		previous = sim.instances[from-1].table.Current()
	}
	attempt, op := NewAttempt(sim.now.Add(PublishTimeout), request, previous)
	sim.attempts = append(sim.attempts, &runningAttempt{request.ID, attempt, op})
}

// inquire starts an inquiry about a publication whose result was not known.
func (sim *simulation) inquire() {
	if len(sim.notKnownYet) == 0 {
		return
	}
	id := sim.notKnownYet[sim.draw(len(sim.notKnownYet))]
	attempt, op := NewInquiry(sim.now.Add(inquiryTimeout), id)
	sim.attempts = append(sim.attempts, &runningAttempt{id, attempt, op})
}

// stepAttempt executes one operation of one publication.
func (sim *simulation) stepAttempt() {
	if len(sim.attempts) == 0 {
		return
	}
	at := sim.draw(len(sim.attempts))
	r := sim.attempts[at]
	if r.op.Kind == Finish {
		sim.attempts = slices.Delete(sim.attempts, at, at+1)
		sim.finish(r)
		return
	}
	sim.now = sim.now.Add(r.op.Wait)
	reply := carryOut(sim.store, r.op)
	r.op = r.attempt.Handle(sim.now, reply)
}

func carryOut(s Store, op Operation) Reply {
	p := &Publisher{store: s}
	return p.execute(context.Background(), op)
}

func (sim *simulation) finish(r *runningAttempt) {
	result := outcome{id: r.id, head: r.op.Result.Head}
	if r.op.Err != nil {
		result.kind = r.op.Err.Kind
	}
	if result.kind == problem.NotKnownYet {
		sim.notKnownYet = append(sim.notKnownYet, r.id)
	}
	if !r.op.Result.Unchanged {
		sim.outcomes = append(sim.outcomes, result)
	}
}

// verify compares the results returned to operators with the accepted versions.
func (sim *simulation) verify() {
	for _, result := range sim.outcomes {
		version, err := result.id.Version()
		require.NoError(sim.t, err)
		var actual Head
		if int(version) <= len(sim.store.accepted) {
			actual = sim.store.accepted[version-1]
		}
		landed := actual.Publication == result.id
		switch result.kind {
		case "":
			require.True(sim.t, landed, "reported as published, but %s was not", result.id)
		case problem.VersionConflict:
			require.False(sim.t, landed, "reported as a conflict, but %s was published", result.id)
			require.Equal(sim.t, actual.Publication, result.head.Publication, "wrong winner reported")
		case problem.StoreUnavailable, problem.BadRequest, problem.InvalidFile:
			require.False(sim.t, landed, "reported as not published (%s), but %s was", result.kind, result.id)
		case problem.NotKnownYet:
		default:
			require.Fail(sim.t, "unexpected result", string(result.kind))
		}
	}
	for i, head := range sim.store.accepted {
		require.Equal(sim.t, uint64(i+1), head.Version)
	}
}

// verifyAudit compares the audit trail with the accepted versions.
func (sim *simulation) verifyAudit() {
	publisher := NewPublisher(sim.store, nil, nil)
	history, err := publisher.History(context.Background(), 0, MaxHistory)
	require.NoError(sim.t, err)
	slices.Reverse(history)
	require.Equal(sim.t, len(sim.store.accepted), len(history))
	for i, head := range history {
		require.Equal(sim.t, sim.store.accepted[i].Encode(), head.Encode())
	}
	records := 0
	for key := range sim.store.values {
		if strings.HasPrefix(key, AuditPrefix) {
			records++
		}
	}
	require.LessOrEqual(sim.t, records, len(history))
}

// stepInstance executes one step of an instance or delivers one event to it, which may be lost,
// duplicated or reordered.
func (sim *simulation) stepInstance(reliable bool) {
	a := sim.instances[sim.draw(len(sim.instances))]
	if len(a.steps) > 0 && sim.draw(2) == 0 {
		at := sim.draw(len(a.steps))
		step := a.steps[at]
		a.steps = slices.Delete(a.steps, at, at+1)
		if step.Kind == Adopt {
			return
		}
		require.NotEqual(sim.t, Refuse, step.Kind)
		event := sim.fetch(a, step)
		if len(event.Data) > 0 && !reliable && sim.draw(12) == 0 {
			event.Data = [][]byte{event.Data[1:], []byte(`{"files":[]}`)}[sim.draw(2)]
		}
		a.events = append(a.events, event)
		return
	}
	event := Event{Kind: Ticked}
	if len(a.events) > 0 {
		at := sim.draw(len(a.events))
		event = a.events[at]
		fate := sim.draw(10)
		if reliable || fate > 0 {
			a.events = slices.Delete(a.events, at, at+1)
		}
		if !reliable && fate == 1 {
			return
		}
	}
	sim.now = sim.now.Add(20 * time.Millisecond)
	a.steps = append(a.steps, a.table.Handle(sim.now, event)...)
	sim.verifyInstance(a)
}

func (sim *simulation) verifyInstance(a *instance) {
	version := a.table.Current()
	if version == nil {
		return
	}
	require.GreaterOrEqual(sim.t, version.Number, a.seen, "an instance adopted a lower version")
	require.LessOrEqual(sim.t, version.Number, uint64(len(sim.store.accepted)))
	require.Equal(sim.t, sim.store.accepted[version.Number-1].Manifest, version.Head.Manifest)
	require.Equal(sim.t, version.Head.Manifest, HashOf(version.manifestBytes))
	a.seen = version.Number
}

func (sim *simulation) peer(name Source) *instance {
	for _, other := range sim.instances {
		if other.name == name {
			return other
		}
	}
	return nil
}

// fetch returns the event that answers a step of an instance.
func (sim *simulation) fetch(a *instance, step Step) Event {
	failed := Event{Kind: FetchFailed, Source: step.Source, Hash: step.Hash, Fetch: step.Kind}
	var k Keeper
	k.store = sim.store
	if step.Source != StoreSource {
		other := sim.peer(step.Source)
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
func (sim *simulation) offer() {
	a := sim.instances[sim.draw(len(sim.instances))]
	b := sim.instances[sim.draw(len(sim.instances))]
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
func (sim *simulation) toggleFault() {
	switch sim.draw(8) {
	case 0:
		sim.store.down = !sim.store.down && sim.draw(3) == 0
	case 1:
		sim.store.stale = !sim.store.stale && sim.draw(2) == 0
	case 2:
		sim.store.losesReplies = !sim.store.losesReplies
	case 3:
		a := sim.instances[sim.draw(len(sim.instances))]
		a.storeCut = !a.storeCut
	case 4:
		a := sim.instances[sim.draw(len(sim.instances))]
		a.peersCut = !a.peersCut
	case 5:
		sim.restart(sim.draw(len(sim.instances)))
	default:
		sim.applyLateWrite()
	}
}

func (sim *simulation) applyLateWrite() {
	if len(sim.store.lateWrites) == 0 {
		return
	}
	at := sim.draw(len(sim.store.lateWrites))
	write := sim.store.lateWrites[at]
	sim.store.lateWrites = slices.Delete(sim.store.lateWrites, at, at+1)
	write()
}

// collect runs a collection, interleaved with steps of publications.
func (sim *simulation) collect() {
	sim.now = sim.now.Add(time.Duration(sim.draw(90)) * time.Minute)
	sim.store.onCall = func() {
		if sim.draw(4) == 0 {
			sim.store.onCall = func() {}
			sim.stepAttempt()
		}
	}
	_, _ = sim.collector.Collect(context.Background(), sim.now)
	sim.store.onCall = func() {}
}

// heal ends all faults and runs until all instances have the latest version.
func (sim *simulation) heal() {
	sim.store.down, sim.store.stale, sim.store.losesReplies = false, false, false
	for len(sim.store.lateWrites) > 0 {
		sim.applyLateWrite()
	}
	for len(sim.attempts) > 0 {
		sim.stepAttempt()
	}
	for _, a := range sim.instances {
		a.storeCut, a.peersCut = false, false
	}
	for range 4000 {
		if sim.count++; sim.count%8 == 0 {
			sim.offer()
		}
		sim.stepInstance(true)
		if sim.count%100 == 0 && sim.converged() {
			return
		}
	}
}

// converged reports whether every instance has the latest version.
func (sim *simulation) converged() bool {
	for _, a := range sim.instances {
		if a.table.version() < uint64(len(sim.store.accepted)) {
			return false
		}
	}
	return true
}

// run executes random steps of all components and verifies the invariants.
func (sim *simulation) run(steps int) {
	for range steps {
		switch choice := sim.draw(20); {
		case choice < 2 && len(sim.attempts) < 3:
			sim.publish()
		case choice == 2:
			sim.inquire()
		case choice == 3:
			sim.toggleFault()
		case choice == 4 && sim.draw(3) == 0:
			sim.collect()
		case choice < 6:
			sim.offer()
		case choice < 13:
			sim.stepAttempt()
		default:
			sim.stepInstance(false)
		}
	}
	sim.heal()
	sim.verify()
	sim.verifyAudit()
	require.True(sim.t, sim.converged(), "an instance lacks the latest version")
}
