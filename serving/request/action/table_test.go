package action

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/problem"
)

// calmWorld is a world without faults in which messages arrive at once.
func calmWorld(t *testing.T) *world {
	return newWorld(func(_ string, n int) int { return n - 1 }, func(format string, args ...any) { t.Fatalf(format, args...) })
}

func (w *world) pass(by time.Duration) {
	for end := w.now.Add(by); w.now.Before(end); {
		for w.deliver() {
		}
		w.advance(10 * time.Millisecond)
	}
}

// outcomeOf returns the outcome of a claim on key at process n.
func (w *world) outcomeOf(t *testing.T, n *node, key *keyState) problem.Outcome {
	w.pass(20 * time.Millisecond)
	var end *Resolve
	deadline := w.clock(n).Add(1500 * time.Millisecond)
	nonce, orders := n.table.Claim(w.clock(n), key.claim, deadline)
	r := &request{key: key, nonce: nonce, arrived: 1 << 30}
	key.requests = append(key.requests, r)
	n.requests[nonce] = r
	w.onResolve = func(o Resolve) {
		if o.Claim == nonce {
			end = &o
		}
	}
	w.handle(n, orders)
	w.pass(3 * time.Second)
	require.NotNil(t, end, "the claim must end")
	if end.Err == nil {
		return ""
	}
	return problem.From(end.Err).Document("").Outcome
}

func TestOutage(t *testing.T) {
	cases := map[string]struct {
		before func(w *world, key *keyState)
		want   problem.Outcome
	}{
		"key never seen": {func(*world, *keyState) {}, problem.NotRun},
		"member unreachable": {func(w *world, _ *keyState) {
			w.nodes[3].cut = true
		}, problem.Unknown},
		"member vanished since the key was made": {func(w *world, _ *keyState) {
			w.boot(w.nodes[3])
		}, problem.Unknown},
		"own process younger than the key": {func(w *world, _ *keyState) {
			w.boot(w.nodes[0])
		}, problem.Unknown},
		"another member waits with the key": {func(w *world, key *keyState) {
			w.claim(w.nodes[4], key)
		}, problem.Unknown},
		"another caller here waits with the key": {func(w *world, key *keyState) {
			w.claim(w.nodes[0], key)
		}, problem.Unknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := calmWorld(t)
			key := w.newKey()
			w.store.down = true
			c.before(w, key)
			require.Equal(t, c.want, w.outcomeOf(t, w.nodes[0], key))
		})
	}
}

func TestOutageAfterRun(t *testing.T) {
	w := calmWorld(t)
	key := w.newKey()
	r := w.claim(w.nodes[1], key)
	w.pass(100 * time.Millisecond)
	require.Equal(t, granted, r.phase)
	w.store.down = true
	require.Equal(t, problem.Unknown, w.outcomeOf(t, w.nodes[0], key), "the key is claimed elsewhere")
	w.serve(w.nodes[1], r)
	w.serve(w.nodes[1], r)
	w.serve(w.nodes[1], r)
	require.Empty(t, w.outcomeOf(t, w.nodes[0], key), "the holder gives the answer without the store")
}

func TestAnswerOfHolderThatDied(t *testing.T) {
	w := calmWorld(t)
	key := w.newKey()
	holder, asker := w.nodes[1], w.nodes[2]
	first := w.claim(holder, key)
	w.pass(100 * time.Millisecond)
	second := w.claim(asker, key)
	w.pass(100 * time.Millisecond)
	require.Equal(t, waiting, second.phase)

	asker.cut = true
	clear(holder.replies) // its reply to the asker is lost
	for range 3 {
		w.serve(holder, first)
	}
	w.pass(200 * time.Millisecond)
	w.boot(holder)
	for i := range w.bag {
		w.bag[i].notBefore = w.now // calls to the dead process fail now
	}
	asker.cut = false
	w.pass(claimTime)
	require.NotNil(t, second.answer, "the page holds the answer")
}

func TestFirstOutcomeCounts(t *testing.T) {
	w := calmWorld(t)
	key := w.newKey()
	n := w.nodes[1]
	r := w.claim(n, key)
	w.pass(100 * time.Millisecond)
	require.True(t, n.table.MaySend(r.nonce))
	w.serve(n, r)
	w.serve(n, r)
	w.serve(n, r)
	require.False(t, n.table.MaySend(r.nonce))
	w.handle(n, n.table.Finish(w.clock(n), r.nonce, NotRun, nil))
	require.Equal(t, Done, n.table.answerOf(r.nonce).Record.Outcome)
	w.pass(300 * time.Millisecond)
	require.Empty(t, w.outcomeOf(t, w.nodes[2], key))
	require.Equal(t, 1, key.runs)
}

func TestKeys(t *testing.T) {
	w := calmWorld(t)
	now := w.clock(w.nodes[0])
	at := func(offset time.Duration) string {
		w.now = now.Add(offset - 5*time.Second)
		defer func() { w.now = now.Add(-w.nodes[0].offset) }()
		return w.newKey().claim.Key
	}
	cases := map[string]struct {
		key     string
		kind    problem.Kind
		outcome problem.Outcome
	}{
		"no UUID":        {"booking-17", problem.KeyInvalid, problem.NotRun},
		"UUIDv4":         {"0b6f5cf0-7a3e-4c8f-9d3e-2f6a7c0a1b11", problem.KeyInvalid, problem.NotRun},
		"expired":        {at(-claimWindow), problem.KeyExpired, problem.Unknown},
		"far in future":  {at(maxOffset + time.Second), problem.KeyInvalid, problem.NotRun},
		"just in window": {at(-claimWindow + time.Second), "", ""},
		"just in future": {at(maxOffset), "", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := NewTable(now, Self{Instance: "entry-0"}, worldSettings(), rand.New(rand.NewPCG(1, 1)))
			_, orders := table.Claim(now, Claim{Key: c.key, Window: claimWindow}, now.Add(time.Second))
			require.Len(t, orders, 1, "a refused key costs no call")
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
	mine := Record{Owner: Member{"entry-1", 4}, Nonce: 11, Fingerprint: 7}
	other := Record{Owner: Member{"entry-2", 1}, Nonce: 12, Fingerprint: 7}
	with := func(r Record, outcome Outcome) *Record {
		r.Outcome = outcome
		return &r
	}
	otherRequest := with(other, NotRun)
	otherRequest.Fingerprint = 8
	cases := map[string]struct {
		current *Record
		change  change
		want    verdict
	}{
		"claim a free key":                     {nil, change{record: mine}, applied},
		"claim a claimed key":                  {&other, change{record: mine}, settled},
		"claim after the holder gave up":       {&other, change{record: mine, replaces: other.id()}, applied},
		"claim after another holder gave up":   {&other, change{record: mine, replaces: mine.id()}, settled},
		"claim a key that has an answer":       {with(other, Done), change{record: mine, replaces: other.id()}, settled},
		"claim a key with an unknown outcome":  {with(other, Unknown), change{record: mine, replaces: other.id()}, settled},
		"claim a key that wasn't run":          {with(other, NotRun), change{record: mine}, applied},
		"claim again what this claim gave up":  {with(mine, NotRun), change{record: mine}, settled},
		"claim a key of another request":       {otherRequest, change{record: mine}, settled},
		"outcome of a claim":                   {&mine, change{record: *with(mine, Done)}, applied},
		"outcome of a claim that has one":      {with(mine, Done), change{record: *with(mine, NotRun)}, settled},
		"outcome of a claim that isn't there":  {nil, change{record: *with(mine, Done)}, missing},
		"outcome on the record of another one": {&other, change{record: *with(mine, Done)}, missing},
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
	w := calmWorld(t)
	n := w.nodes[0]
	var kinds []problem.Kind
	w.onResolve = func(o Resolve) {
		if o.Err != nil {
			kinds = append(kinds, problem.From(o.Err).Kind)
		}
	}
	const claims = 500
	for range claims {
		r := w.claim(n, w.newKey())
		w.pass(10 * time.Millisecond)
		if r.phase == granted {
			w.serve(n, r)
			w.serve(n, r)
			r.key.answer = &Answer{Status: 200, Body: []byte(strings.Repeat("x", 60))}
			w.handle(n, n.table.Finish(w.clock(n), r.nonce, Done, r.key.answer))
		}
		w.now = w.now.Add(-10 * time.Millisecond)
	}
	w.pass(12 * time.Second)
	require.Contains(t, kinds, problem.QueueFull)
	for page, stored := range w.store.values {
		require.LessOrEqual(t, len(stored.Value), worldSettings().PageBytes, page)
	}
}

func TestPageForm(t *testing.T) {
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

// TestCutFromStore checks that an entry instance that can't reach the store has its claims
// written by the others.
func TestCutFromStore(t *testing.T) {
	w := calmWorld(t)
	for range 3 * PagesPerBucket {
		key := w.newKey()
		parsed, err := parseKey(key.claim)
		require.NoError(t, err)
		writer := w.nodes[0].table.members.sweeper(parsed.page)
		w.storeCut = w.find(writer.Instance)
		r := w.claim(w.storeCut, key)
		w.pass(time.Second)
		require.Equal(t, granted, r.phase)
	}
}

// TestSealedPage guards against running an expired key at an entry instance whose clock is an
// hour slow: the seal on the key's page prevents it.
func TestSealedPage(t *testing.T) {
	w := calmWorld(t)
	key := w.newKey()
	first := w.claim(w.nodes[1], key)
	w.pass(100 * time.Millisecond)
	for range 3 {
		w.serve(w.nodes[1], first)
	}
	w.pass(claimWindow + 3*BucketLength)
	slow := w.nodes[5]
	slow.offset = -claimWindow - 2*BucketLength
	require.Less(t, w.clock(slow).Sub(key.created), claimWindow)
	require.Equal(t, problem.Unknown, w.outcomeOf(t, slow, key))
	require.Equal(t, 1, key.runs)
}

// TestWithdrawnClaimIsRecorded guards against a blocked key: a claim is written, the store's
// response is lost, its caller is refused in the outage that follows, and its process is
// replaced later.
func TestWithdrawnClaimIsRecorded(t *testing.T) {
	w := calmWorld(t)
	for range PagesPerBucket {
		key := w.newKey()
		w.loseAnswer = true
		r := w.claim(w.nodes[0], key)
		w.pass(2 * time.Second)
		require.Equal(t, ended, r.phase)
		w.store.down = false
		w.pass(4 * time.Second)
		w.boot(w.nodes[0])
		w.pass(100 * time.Millisecond)
		again := w.claim(w.nodes[1], key)
		w.pass(time.Second)
		require.Equal(t, granted, again.phase)
	}
}

// TestClaimWrittenAfterItsCallerLeft guards against a blocked key: a caller disconnects while a
// peer writes its claim, and the process is replaced later.
func TestClaimWrittenAfterItsCallerLeft(t *testing.T) {
	w := calmWorld(t)
	for range PagesPerBucket {
		key := w.newKey()
		r := w.claim(w.nodes[0], key)
		w.deliver()
		w.handle(w.nodes[0], w.nodes[0].table.Cancel(w.clock(w.nodes[0]), r.nonce))
		w.pass(2 * time.Second)
		w.boot(w.nodes[0])
		w.pass(100 * time.Millisecond)
		again := w.claim(w.nodes[1], key)
		w.pass(time.Second)
		require.Equal(t, granted, again.phase)
	}
}

func TestSecondResultOfSwapIsIgnored(t *testing.T) {
	now := worldStart
	table := NewTable(now, Self{Instance: "entry-0", Incarnation: 1}, worldSettings(), rand.New(rand.NewPCG(1, 1)))
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

// TestUnseenHolder checks that a holder missing from the live members, which may be new, counts
// as gone only after unseenTime.
func TestUnseenHolder(t *testing.T) {
	w := calmWorld(t)
	key := w.newKey()
	holder, asker := w.nodes[1], w.nodes[2]
	first := w.claim(holder, key)
	w.pass(100 * time.Millisecond)
	require.Equal(t, granted, first.phase)
	w.hidden = holder
	holder.cut = true
	w.tickAll()
	second := &request{key: key, arrived: 1 << 30}
	key.requests = append(key.requests, second)
	var orders []Order
	second.nonce, orders = asker.table.Claim(w.clock(asker), key.claim, w.clock(asker).Add(20*time.Second))
	asker.requests[second.nonce] = second
	w.handle(asker, orders)
	breakCalls := func() {
		for i := range w.bag {
			w.bag[i].notBefore = w.now
		}
		w.pass(500 * time.Millisecond)
	}
	for range 5 {
		breakCalls()
		require.Equal(t, waiting, second.phase)
	}
	for range 4 {
		breakCalls()
	}
	require.Equal(t, ended, second.phase)
}

// TestDrainAmongStopped stops a process after all others have stopped. It must write its
// outcomes itself, since the usual writers no longer respond.
func TestDrainAmongStopped(t *testing.T) {
	w := calmWorld(t)
	n := w.nodes[0]
	var requests []*request
	for range 20 {
		r := w.claim(n, w.newKey())
		w.pass(100 * time.Millisecond)
		require.Equal(t, granted, r.phase)
		requests = append(requests, r)
	}
	for _, other := range w.nodes[1:] {
		other.cut = true
	}
	for _, r := range requests {
		for range 3 {
			w.serve(n, r)
		}
	}
	require.Positive(t, n.table.Unwritten())
	w.handle(n, n.table.Drain(w.clock(n)))
	w.pass(drainTime)
	require.Zero(t, n.table.Unwritten())
}
