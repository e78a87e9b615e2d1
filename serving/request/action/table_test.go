package action

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/problem"
)

// newFaultFreeSimulation returns a simulation without faults in which messages arrive without delay.
func newFaultFreeSimulation(t *testing.T) *simulation {
	return newSimulation(func(_ string, n int) int { return n - 1 }, func(format string, args ...any) { t.Fatalf(format, args...) })
}

func (sim *simulation) runFor(by time.Duration) {
	for end := sim.now.Add(by); sim.now.Before(end); {
		for sim.deliver() {
		}
		sim.advance(10 * time.Millisecond)
	}
}

// outcomeOf claims key at process n and returns the outcome in the error, or "" if there is none.
func (sim *simulation) outcomeOf(t *testing.T, n *node, key *keyState) problem.Outcome {
	sim.runFor(20 * time.Millisecond)
	var resolved *Resolve
	deadline := sim.clock(n).Add(1500 * time.Millisecond)
	nonce, orders := n.table.Claim(sim.clock(n), key.claim, deadline)
	r := &request{key: key, nonce: nonce, arrived: 1 << 30}
	key.requests = append(key.requests, r)
	n.requests[nonce] = r
	sim.onResolve = func(o Resolve) {
		if o.Claim == nonce {
			resolved = &o
		}
	}
	sim.handle(n, orders)
	sim.runFor(3 * time.Second)
	require.NotNil(t, resolved, "claim not resolved within 3 s")
	if resolved.Err == nil {
		return ""
	}
	return problem.From(resolved.Err).Document("").Outcome
}

func TestOutage(t *testing.T) {
	cases := map[string]struct {
		setUp func(sim *simulation, key *keyState)
		want  problem.Outcome
	}{
		"key never seen": {func(*simulation, *keyState) {}, problem.NotRun},
		"member unreachable": {func(sim *simulation, _ *keyState) {
			sim.nodes[3].partitioned = true
		}, problem.Unknown},
		"member replaced since the key was created": {func(sim *simulation, _ *keyState) {
			sim.startProcess(sim.nodes[3])
		}, problem.Unknown},
		"own process younger than the key": {func(sim *simulation, _ *keyState) {
			sim.startProcess(sim.nodes[0])
		}, problem.Unknown},
		"another member has a pending claim on the key": {func(sim *simulation, key *keyState) {
			sim.claim(sim.nodes[4], key)
		}, problem.Unknown},
		"same member has a pending claim on the key": {func(sim *simulation, key *keyState) {
			sim.claim(sim.nodes[0], key)
		}, problem.Unknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			sim := newFaultFreeSimulation(t)
			key := sim.newKey()
			sim.store.down = true
			c.setUp(sim, key)
			require.Equal(t, c.want, sim.outcomeOf(t, sim.nodes[0], key))
		})
	}
}

func TestOutageAfterRun(t *testing.T) {
	sim := newFaultFreeSimulation(t)
	key := sim.newKey()
	r := sim.claim(sim.nodes[1], key)
	sim.runFor(100 * time.Millisecond)
	require.Equal(t, granted, r.phase)
	sim.store.down = true
	require.Equal(t, problem.Unknown, sim.outcomeOf(t, sim.nodes[0], key), "the key is claimed at another process")
	sim.advanceRequest(sim.nodes[1], r)
	sim.advanceRequest(sim.nodes[1], r)
	sim.advanceRequest(sim.nodes[1], r)
	require.Empty(t, sim.outcomeOf(t, sim.nodes[0], key), "the holder returns the answer during the outage")
}

func TestAnswerOfStoppedHolder(t *testing.T) {
	sim := newFaultFreeSimulation(t)
	key := sim.newKey()
	holder, requester := sim.nodes[1], sim.nodes[2]
	first := sim.claim(holder, key)
	sim.runFor(100 * time.Millisecond)
	second := sim.claim(requester, key)
	sim.runFor(100 * time.Millisecond)
	require.Equal(t, waiting, second.phase)

	requester.partitioned = true
	clear(holder.replies) // drops the reply to the requester
	for range 3 {
		sim.advanceRequest(holder, first)
	}
	sim.runFor(200 * time.Millisecond)
	sim.startProcess(holder)
	for i := range sim.events {
		sim.events[i].notBefore = sim.now // pending calls to the stopped process fail now
	}
	requester.partitioned = false
	sim.runFor(claimTime)
	require.NotNil(t, second.answer, "the answer must be read from the page")
}

func TestFirstOutcomeIsKept(t *testing.T) {
	sim := newFaultFreeSimulation(t)
	key := sim.newKey()
	n := sim.nodes[1]
	r := sim.claim(n, key)
	sim.runFor(100 * time.Millisecond)
	require.True(t, n.table.MaySend(r.nonce))
	sim.advanceRequest(n, r)
	sim.advanceRequest(n, r)
	sim.advanceRequest(n, r)
	require.False(t, n.table.MaySend(r.nonce))
	sim.handle(n, n.table.Finish(sim.clock(n), r.nonce, NotRun, nil))
	require.Equal(t, Done, n.table.replyForClaim(r.nonce).Record.Outcome)
	sim.runFor(300 * time.Millisecond)
	require.Empty(t, sim.outcomeOf(t, sim.nodes[2], key))
	require.Equal(t, 1, key.runs)
}

func TestKeys(t *testing.T) {
	sim := newFaultFreeSimulation(t)
	now := sim.clock(sim.nodes[0])
	at := func(offset time.Duration) string {
		sim.now = now.Add(offset - 5*time.Second)
		defer func() { sim.now = now.Add(-sim.nodes[0].offset) }()
		return sim.newKey().claim.Key
	}
	cases := map[string]struct {
		key     string
		kind    problem.Kind
		outcome problem.Outcome
	}{
		"not a UUID":     {"booking-17", problem.KeyInvalid, problem.NotRun},
		"UUIDv4":         {"0b6f5cf0-7a3e-4c8f-9d3e-2f6a7c0a1b11", problem.KeyInvalid, problem.NotRun},
		"expired":        {at(-claimWindow), problem.KeyExpired, problem.Unknown},
		"far in future":  {at(maxOffset + time.Second), problem.KeyInvalid, problem.NotRun},
		"just in window": {at(-claimWindow + time.Second), "", ""},
		"just in future": {at(maxOffset), "", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := NewTable(now, Self{Instance: "entry-0"}, simulationSettings(), rand.New(rand.NewPCG(1, 1)))
			_, orders := table.Claim(now, Claim{Key: c.key, Window: claimWindow}, now.Add(time.Second))
			require.Len(t, orders, 1, "a claim must give one order, and a refused one no call")
			if c.kind == "" {
				require.IsType(t, Swap{}, orders[0])
				return
			}
			require.IsType(t, Resolve{}, orders[0])
			err := problem.From(orders[0].(Resolve).Err)
			require.Equal(t, c.kind, err.Kind)
			require.Equal(t, c.outcome, err.Document("").Outcome)
		})
	}
}

func TestApply(t *testing.T) {
	own := Record{Owner: Member{"entry-1", 4}, Nonce: 11, Fingerprint: 7}
	other := Record{Owner: Member{"entry-2", 1}, Nonce: 12, Fingerprint: 7}
	withOutcome := func(r Record, outcome Outcome) *Record {
		r.Outcome = outcome
		return &r
	}
	otherRequest := withOutcome(other, NotRun)
	otherRequest.Fingerprint = 8
	cases := map[string]struct {
		current *Record
		change  change
		want    applyResult
	}{
		"claim a free key":                     {nil, change{record: own}, applied},
		"claim a claimed key":                  {&other, change{record: own}, unchanged},
		"claim after the holder gave up":       {&other, change{record: own, replaces: other.id()}, applied},
		"claim after another holder gave up":   {&other, change{record: own, replaces: own.id()}, unchanged},
		"claim a key that has an answer":       {withOutcome(other, Done), change{record: own, replaces: other.id()}, unchanged},
		"claim a key with an unknown outcome":  {withOutcome(other, Unknown), change{record: own, replaces: other.id()}, unchanged},
		"claim a key that wasn't run":          {withOutcome(other, NotRun), change{record: own}, applied},
		"claim again after this claim gave up": {withOutcome(own, NotRun), change{record: own}, unchanged},
		"claim a key used by another request":  {otherRequest, change{record: own}, unchanged},
		"outcome of a claim":                   {&own, change{record: *withOutcome(own, Done)}, applied},
		"outcome of a claim that has one":      {withOutcome(own, Done), change{record: *withOutcome(own, NotRun)}, unchanged},
		"outcome of a claim without a record":  {nil, change{record: *withOutcome(own, Done)}, missing},
		"outcome of a claim on another record": {&other, change{record: *withOutcome(own, Done)}, missing},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := records{}
			if c.current != nil {
				r[Hash{}] = *c.current
			}
			require.Equal(t, c.want, r.apply(&c.change))
		})
	}
}

func TestFullPage(t *testing.T) {
	sim := newFaultFreeSimulation(t)
	n := sim.nodes[0]
	var kinds []problem.Kind
	sim.onResolve = func(o Resolve) {
		if o.Err != nil {
			kinds = append(kinds, problem.From(o.Err).Kind)
		}
	}
	const claims = 500
	for range claims {
		r := sim.claim(n, sim.newKey())
		sim.runFor(10 * time.Millisecond)
		if r.phase == granted {
			sim.advanceRequest(n, r)
			sim.advanceRequest(n, r)
			r.key.answer = &Answer{Status: 200, Body: []byte(strings.Repeat("x", 60))}
			sim.handle(n, n.table.Finish(sim.clock(n), r.nonce, Done, r.key.answer))
		}
		sim.now = sim.now.Add(-10 * time.Millisecond)
	}
	sim.runFor(12 * time.Second)
	require.Contains(t, kinds, problem.QueueFull)
	for page, stored := range sim.store.values {
		require.LessOrEqual(t, len(stored.Value), simulationSettings().PageBytes, page)
	}
}

func TestPageEncoding(t *testing.T) {
	stored := records{}
	for i := range byte(20) {
		hash := Hash{i}
		stored[hash] = Record{Hash: hash, Owner: Member{"entry-1", uint64(i % 3)}, Nonce: uint64(i), Outcome: Done, Status: 201}
	}
	answered := stored[Hash{3}]
	answered.Answer = &Answer{Status: 201, Header: map[string][]string{"X-Slot": {"4"}}, Body: []byte("booked")}
	stored[Hash{3}] = answered
	data, err := stored.encode()
	require.NoError(t, err)
	again, err := stored.encode()
	require.NoError(t, err)
	require.Equal(t, data, again)
	loaded, err := decode(data)
	require.NoError(t, err)
	require.Equal(t, stored, loaded)
	for _, malformed := range []string{"x", "\xa2\x01\x80\x02\x81\x87\x41\x00\x05\x00\x00\x00\x00\xf6"} {
		_, err = decode([]byte(malformed))
		require.Error(t, err)
	}
}

// TestClaimWithoutStoreAccess checks that the usual writer of a page gets its claims granted
// through other entry instances while it can't reach the store.
func TestClaimWithoutStoreAccess(t *testing.T) {
	sim := newFaultFreeSimulation(t)
	for range 3 * PagesPerBucket {
		key := sim.newKey()
		parsed, err := parseKey(key.claim)
		require.NoError(t, err)
		writer := sim.nodes[0].table.members.sweeper(parsed.page)
		sim.withoutStore = sim.nodeByName(writer.Instance)
		r := sim.claim(sim.withoutStore, key)
		sim.runFor(time.Second)
		require.Equal(t, granted, r.phase)
	}
}

// TestSealedPage guards against running an expired key at an entry instance whose clock is behind by
// more than the retry window. The seal on the key's page prevents the run.
func TestSealedPage(t *testing.T) {
	sim := newFaultFreeSimulation(t)
	key := sim.newKey()
	first := sim.claim(sim.nodes[1], key)
	sim.runFor(100 * time.Millisecond)
	for range 3 {
		sim.advanceRequest(sim.nodes[1], first)
	}
	sim.runFor(claimWindow + 3*BucketLength)
	slow := sim.nodes[5]
	slow.offset = -claimWindow - 2*BucketLength
	require.Less(t, sim.clock(slow).Sub(key.created), claimWindow)
	require.Equal(t, problem.Unknown, sim.outcomeOf(t, slow, key))
	require.Equal(t, 1, key.runs)
}

// TestWithdrawnClaimIsRecorded guards against a key that stays claimed forever. It happens when a
// claim is written but the store's response is lost, the caller is refused in the outage that
// follows, and the process is replaced later.
func TestWithdrawnClaimIsRecorded(t *testing.T) {
	sim := newFaultFreeSimulation(t)
	for range PagesPerBucket {
		key := sim.newKey()
		sim.loseSwapResponse = true
		r := sim.claim(sim.nodes[0], key)
		sim.runFor(2 * time.Second)
		require.Equal(t, ended, r.phase)
		sim.store.down = false
		sim.runFor(4 * time.Second)
		sim.startProcess(sim.nodes[0])
		sim.runFor(100 * time.Millisecond)
		repeat := sim.claim(sim.nodes[1], key)
		sim.runFor(time.Second)
		require.Equal(t, granted, repeat.phase)
	}
}

// TestClaimWrittenAfterCallerDisconnected guards against a key that stays claimed forever. It
// happens when a caller disconnects while a peer writes its claim, and the process is replaced
// later.
func TestClaimWrittenAfterCallerDisconnected(t *testing.T) {
	sim := newFaultFreeSimulation(t)
	for range PagesPerBucket {
		key := sim.newKey()
		r := sim.claim(sim.nodes[0], key)
		sim.deliver()
		sim.handle(sim.nodes[0], sim.nodes[0].table.Cancel(sim.clock(sim.nodes[0]), r.nonce))
		sim.runFor(2 * time.Second)
		sim.startProcess(sim.nodes[0])
		sim.runFor(100 * time.Millisecond)
		repeat := sim.claim(sim.nodes[1], key)
		sim.runFor(time.Second)
		require.Equal(t, granted, repeat.phase)
	}
}

func TestSecondResultOfSwapIsIgnored(t *testing.T) {
	now := simulationStart
	table := NewTable(now, Self{Instance: "entry-0", Incarnation: 1}, simulationSettings(), rand.New(rand.NewPCG(1, 1)))
	claim := Claim{Key: keyAt(now, 1), Fingerprint: 7, Window: claimWindow}
	nonce, orders := table.Claim(now, claim, now.Add(time.Second))
	first := orders[0].(Swap)
	value, err := records{}.encode()
	require.NoError(t, err)
	orders = table.SwapDone(now, first, StoreResult{State: StoreConflict, Value: value, Revision: 9})
	require.IsType(t, Swap{}, orders[0])

	require.Empty(t, table.SwapDone(now, first, StoreResult{State: StoreOK, Revision: 10}))
	require.Equal(t, Resolve{Claim: nonce}, table.SwapDone(now, orders[0].(Swap), StoreResult{State: StoreOK, Revision: 10})[0])
}

// TestUnseenHolder checks that a holder missing from the list of live members is considered stopped
// only after unseenTimeout, since it may be too new to be listed.
func TestUnseenHolder(t *testing.T) {
	sim := newFaultFreeSimulation(t)
	key := sim.newKey()
	holder, requester := sim.nodes[1], sim.nodes[2]
	first := sim.claim(holder, key)
	sim.runFor(100 * time.Millisecond)
	require.Equal(t, granted, first.phase)
	sim.unlisted = holder
	holder.partitioned = true
	sim.tickAll()
	second := &request{key: key, arrived: 1 << 30}
	key.requests = append(key.requests, second)
	var orders []Order
	second.nonce, orders = requester.table.Claim(sim.clock(requester), key.claim, sim.clock(requester).Add(20*time.Second))
	requester.requests[second.nonce] = second
	sim.handle(requester, orders)
	failPendingCalls := func() {
		for i := range sim.events {
			sim.events[i].notBefore = sim.now
		}
		sim.runFor(500 * time.Millisecond)
	}
	for range 5 {
		failPendingCalls()
		require.Equal(t, waiting, second.phase)
	}
	for range 4 {
		failPendingCalls()
	}
	require.Equal(t, ended, second.phase)
}

// TestDrainWithoutPeers drains a process after all its peers have stopped. The process must write its
// outcomes to the store itself, since the preferred writers no longer respond.
func TestDrainWithoutPeers(t *testing.T) {
	sim := newFaultFreeSimulation(t)
	n := sim.nodes[0]
	var requests []*request
	for range 20 {
		r := sim.claim(n, sim.newKey())
		sim.runFor(100 * time.Millisecond)
		require.Equal(t, granted, r.phase)
		requests = append(requests, r)
	}
	for _, other := range sim.nodes[1:] {
		other.partitioned = true
	}
	for _, r := range requests {
		for range 3 {
			sim.advanceRequest(n, r)
		}
	}
	require.Positive(t, n.table.Unwritten())
	sim.handle(n, n.table.Drain(sim.clock(n)))
	sim.runFor(drainTimeout)
	require.Zero(t, n.table.Unwritten())
}
