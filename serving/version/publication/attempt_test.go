package publication

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/process/platform/store"
	"papayaport.dev/serving/process/problem"
)

// drawFirst always returns the first choice.
func drawFirst(int) int { return 0 }

// runAttempt runs an attempt to its end; change is called before each operation.
func runAttempt(s *fakeStore, attempt *Attempt, op Operation, change func(Operation)) Operation {
	now := time.Unix(1_800_000_000, 0)
	for op.Kind != Finish {
		now = now.Add(op.Wait)
		change(op)
		op = attempt.Handle(now, carryOut(s, op))
	}
	return op
}

func publishFile(s *fakeStore, id ID, name string, change func(Operation)) Operation {
	now := time.Unix(1_800_000_000, 0)
	request := Request{ID: id, Operator: "ann", Files: map[string][]byte{"f.json": testFile(name, 1)}}
	attempt, op := NewAttempt(now.Add(PublishTimeout), request, nil)
	return runAttempt(s, attempt, op, change)
}

func noChange(Operation) {}

func TestAttempt(t *testing.T) {
	swapsHead := func(op Operation) bool { return op.Kind == Swap && op.Key == HeadKey }
	tests := map[string]struct {
		id     ID
		name   string
		change func(s *fakeStore, op Operation)
		kind   problem.Kind
		detail string
	}{
		"lands":         {id: NewID(2), name: "b"},
		"malformed id":  {id: "2-x", name: "b", kind: problem.BadRequest, detail: "UUID"},
		"invalid file":  {id: NewID(2), name: "metrics", kind: problem.InvalidFile, detail: "f.json: name"},
		"older base":    {id: NewID(1), name: "b", kind: problem.VersionConflict, detail: "version 1 was published first by ann"},
		"unknown base":  {id: NewID(9), name: "b", kind: problem.StoreUnavailable, detail: "has version 1, the base asked for is 8"},
		"store is down": {id: NewID(2), name: "b", change: func(s *fakeStore, _ Operation) { s.down = true }, kind: problem.StoreUnavailable, detail: "was not published"},
		"loses the race": {id: NewID(2), name: "b", change: func(s *fakeStore, op Operation) {
			if swapsHead(op) && len(s.accepted) == 1 {
				publishFile(s, NewID(2), "c", noChange)
			}
		}, kind: problem.VersionConflict, detail: "version 2 was published first by ann"},
		"loses by two versions": {id: NewID(2), name: "b", change: func(s *fakeStore, op Operation) {
			if swapsHead(op) && len(s.accepted) == 1 {
				publishFile(s, NewID(2), "c", noChange)
				publishFile(s, NewID(3), "d", noChange)
			}
		}, kind: problem.VersionConflict, detail: "version 2 was published first by ann"},
		"answer lost after effect": {id: NewID(2), name: "b", change: func(s *fakeStore, op Operation) {
			s.losesReplies = swapsHead(op) && len(s.accepted) == 1
		}},
		"answer lost, then outage": {id: NewID(2), name: "b", change: func(s *fakeStore, op Operation) {
			s.down = len(s.accepted) == 2
			s.losesReplies = swapsHead(op)
		}, kind: problem.NotKnownYet, detail: "papayactl status --publication 2-"},
		"collected while it waited": {id: NewID(2), name: "b", change: func(s *fakeStore, op Operation) {
			if swapsHead(op) && len(s.accepted) == 1 && len(s.history[HeadKey]) == 1 {
				collector := NewCollector(s, nil, nil)
				now := time.Unix(1_800_000_000, 0)
				for hours := range 3 {
					_, err := collector.Collect(context.Background(), now.Add(time.Duration(hours)*time.Hour))
					require.NoError(t, err)
				}
			}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newFakeStore(drawFirst)
			require.Nil(t, publishFile(s, NewID(1), "a", noChange).Err)
			end := publishFile(s, test.id, test.name, func(op Operation) {
				if test.change != nil {
					test.change(s, op)
				}
			})
			if test.kind == "" {
				require.Nil(t, end.Err)
				require.Equal(t, test.id, s.accepted[1].Publication)
				manifest, err := DecodeManifest(end.Result.Head.Manifest, s.values[ManifestPrefix+string(end.Result.Head.Manifest)].Value)
				require.NoError(t, err)
				for _, hash := range manifest.Hashes() {
					require.Contains(t, s.values, ChunkPrefix+string(hash))
				}
				return
			}
			require.NotNil(t, end.Err)
			require.Equal(t, test.kind, end.Err.Kind)
			require.Contains(t, end.Err.Detail, test.detail)
		})
	}
}

// TestAttemptIsResumed loses the reply to a swap that had no effect: the attempt that ended as
// not known yet succeeds when it is resumed.
func TestAttemptIsResumed(t *testing.T) {
	s := newFakeStore(drawFirst)
	now := time.Unix(1_800_000_000, 0)
	request := Request{ID: NewID(1), Operator: "ann", Files: map[string][]byte{"f.json": testFile("a", 1)}}
	attempt, op := NewAttempt(now.Add(PublishTimeout), request, nil)
	for op.Kind != Finish {
		now = now.Add(op.Wait)
		reply := Reply{Err: store.ErrUnknown}
		if op.Key != HeadKey || op.Kind != Swap {
			reply = carryOut(s, op)
		}
		op = attempt.Handle(now, reply)
	}
	require.Equal(t, problem.NotKnownYet, op.Err.Kind)
	inquiry, inquiryOp := NewInquiry(now.Add(inquiryTimeout), request.ID)
	require.Equal(t, problem.NotKnownYet, runAttempt(s, inquiry, inquiryOp, noChange).Err.Kind)
	end := runAttempt(s, attempt, attempt.Resume(now.Add(inquiryTimeout)), noChange)
	require.Nil(t, end.Err)
	require.Len(t, s.accepted, 1)
}

func TestRollback(t *testing.T) {
	s := newFakeStore(drawFirst)
	for version := range uint64(3) {
		require.Nil(t, publishFile(s, NewID(version+1), strings.Repeat("a", int(version)+1), noChange).Err)
	}
	now := time.Unix(1_800_000_000, 0)
	attempt, op := NewAttempt(now.Add(PublishTimeout), Request{ID: NewID(4), Operator: "bob", RollbackOf: 1}, nil)
	end := runAttempt(s, attempt, op, noChange)
	require.Nil(t, end.Err)
	require.Equal(t, s.accepted[0].Manifest, end.Result.Head.Manifest)
	require.Equal(t, uint64(1), end.Result.Head.RollbackOf)
	require.Equal(t, []Change{{"aa", Removed}, {"aaa", Removed}}, end.Result.Head.Changes)

	attempt, op = NewAttempt(now.Add(PublishTimeout), Request{ID: NewID(5), RollbackOf: 1}, nil)
	end = runAttempt(s, attempt, op, noChange)
	require.True(t, end.Result.Unchanged)

	attempt, op = NewAttempt(now.Add(PublishTimeout), Request{ID: NewID(5), RollbackOf: 5}, nil)
	require.Equal(t, problem.BadRequest, runAttempt(s, attempt, op, noChange).Err.Kind)
}

// staleHeadStore returns an old head.
type staleHeadStore struct {
	*fakeStore
	head platform.Entry
}

func (s *staleHeadStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	if key == HeadKey {
		return s.head, nil
	}
	return s.fakeStore.Get(ctx, key)
}

func TestCollect(t *testing.T) {
	s := newFakeStore(drawFirst)
	require.Nil(t, publishFile(s, NewID(1), "a", noChange).Err)
	past := &staleHeadStore{s, s.values[HeadKey]}
	require.Nil(t, publishFile(s, NewID(2), "b", noChange).Err)
	count := len(s.values)
	s.values[ChunkPrefix+"unused"] = platform.Entry{Key: ChunkPrefix + "unused", Revision: 1}

	now := time.Unix(1_800_000_000, 0)
	stale := NewCollector(past, nil, nil)
	fresh := NewCollector(s, nil, nil)
	for _, after := range []time.Duration{0, CollectAge - time.Second} {
		_, err := stale.Collect(context.Background(), now.Add(after))
		require.Error(t, err, "the head is stale")
		deleted, err := fresh.Collect(context.Background(), now.Add(after))
		require.NoError(t, err)
		require.Zero(t, deleted)
	}
	_, err := stale.Collect(context.Background(), now.Add(CollectAge))
	require.Error(t, err)
	deleted, err := fresh.Collect(context.Background(), now.Add(CollectAge))
	require.NoError(t, err)
	require.Equal(t, 1, deleted)
	require.Len(t, s.values, count)
}

// runSteps answers the steps of a table from a store until no fetch is left, and returns the
// adopted and refused versions.
func runSteps(now time.Time, table *Table, steps []Step, s *fakeStore) []Step {
	var adopted []Step
	k := &Keeper{store: s, log: quietLogger()}
	for len(steps) > 0 {
		step := steps[0]
		steps = steps[1:]
		if step.Kind == Adopt || step.Kind == Refuse {
			adopted = append(adopted, step)
			continue
		}
		event := k.fetch(context.Background(), Step{Kind: step.Kind, Hash: step.Hash})
		event.Source = step.Source
		steps = append(steps, table.Handle(now, event)...)
	}
	return adopted
}

func newTable(now time.Time, peers ...Source) (*Table, []Step) {
	return NewTable(now, rand.New(rand.NewPCG(1, 1)), peers)
}

// TestTableWaitsForAllSources guards against adopting the first version while a peer may have a
// higher one than the store, whose reads may be stale.
func TestTableWaitsForAllSources(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	s := newFakeStore(drawFirst)
	require.Nil(t, publishFile(s, NewID(1), "a", noChange).Err)
	table, steps := newTable(now, "peer")
	require.Len(t, steps, 2)
	require.Empty(t, runSteps(now, table, steps[:1], s))
	require.Nil(t, table.Current())

	require.Nil(t, publishFile(s, NewID(2), "b", noChange).Err)
	next := table.Handle(now, Event{Kind: HeadReceived, Source: "peer", Head: s.accepted[1]})
	adopted := runSteps(now, table, next, s)
	require.Len(t, adopted, 1)
	require.Equal(t, uint64(2), adopted[0].Version.Number)
}

func TestTableStartsWithoutSilentPeer(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	s := newFakeStore(drawFirst)
	require.Nil(t, publishFile(s, NewID(1), "a", noChange).Err)
	table, steps := newTable(now, "peer")
	require.Empty(t, runSteps(now, table, steps[:1], s))
	now = now.Add(startTimeout)
	adopted := runSteps(now, table, table.Handle(now, Event{Kind: Ticked}), s)
	require.Len(t, adopted, 1)
}

// TestTableTakesLowerVersionWhenHigherStalls guards against an instance without a version
// because a higher version has contents that no source returns, while a peer has a lower one.
func TestTableTakesLowerVersionWhenHigherStalls(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	s := newFakeStore(drawFirst)
	require.Nil(t, publishFile(s, NewID(1), "a", noChange).Err)
	table, _ := newTable(now)
	lost := Head{Version: 2, Manifest: HashOf([]byte("lost"))}
	table.Handle(now, Event{Kind: HeadReceived, Source: StoreSource, Head: lost})
	table.Handle(now, Event{Kind: Offered, Source: "peer", Version: 1})
	for range 40 {
		now = now.Add(tickInterval)
		var answers []Event
		for _, step := range table.Handle(now, Event{Kind: Ticked}) {
			event := Event{Kind: FetchFailed, Source: step.Source, Hash: step.Hash, Fetch: step.Kind}
			if step.Source == "peer" && step.Hash != lost.Manifest {
				event = (&Keeper{store: s, log: quietLogger()}).fetch(context.Background(), Step{Kind: step.Kind, Hash: step.Hash})
				event.Source = "peer"
			}
			answers = append(answers, event)
		}
		for _, event := range answers {
			runSteps(now, table, table.Handle(now, event), s)
		}
	}
	require.NotNil(t, table.Current())
	require.Equal(t, uint64(1), table.Current().Number)
}

func TestTableRefusesInvalidFiles(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	s := newFakeStore(drawFirst)
	contents := Contents{}
	manifest := Manifest{Files: []ManifestFile{split("a", []byte(`{"name": "a"}`), contents)}}
	head := Head{Version: 1, Manifest: HashOf(manifest.Encode())}
	for hash, part := range contents {
		s.values[ChunkPrefix+string(hash)] = platform.Entry{Value: part, Revision: 1}
	}
	s.values[ManifestPrefix+string(head.Manifest)] = platform.Entry{Value: manifest.Encode(), Revision: 1}
	s.values[HeadKey] = platform.Entry{Value: head.Encode(), Revision: 1}
	table, steps := newTable(now)
	refused := runSteps(now, table, steps, s)
	require.Len(t, refused, 1)
	require.Equal(t, Refuse, refused[0].Kind)
	require.NotEmpty(t, refused[0].Faults)
	require.Nil(t, table.Current())
	require.Empty(t, table.Handle(now, Event{Kind: HeadReceived, Source: StoreSource, Head: head}))
}

// BenchmarkAdopt adopts a configuration of 1 MB with 1000 services, all new, or with one added.
func BenchmarkAdopt(b *testing.B) {
	for name, changed := range map[string]bool{"all new": false, "one added": true} {
		b.Run(name, func(b *testing.B) { benchmarkAdopt(b, changed) })
	}
}

func benchmarkAdopt(b *testing.B, changed bool) {
	now := time.Unix(1_800_000_000, 0)
	s := newFakeStore(drawFirst)
	files := map[string][]byte{}
	bytes := 0
	for i := range 1000 {
		name := fmt.Sprintf("service-%04d", i)
		file := fmt.Appendf(nil, `{"name": %q, "kind": "plain", "routes": [{"path": "/"}], "accounts": [{"name": %q, "key_sha256": %q, "priority": 1}]%s}`,
			name, name, fmt.Sprintf(testHash, 1000+i), strings.Repeat(" ", 850))
		files[name] = file
		bytes += len(file)
	}
	attempt, op := NewAttempt(now.Add(PublishTimeout), Request{ID: NewID(1), Files: files}, nil)
	require.Nil(b, runAttempt(s, attempt, op, noChange).Err)
	first, steps := newTable(now)
	runSteps(now, first, steps, s)
	if changed {
		require.Nil(b, publishFile(s, NewID(2), "changed", noChange).Err)
	}
	b.SetBytes(int64(bytes))
	b.ReportAllocs()
	for b.Loop() {
		table, steps := newTable(now)
		if changed {
			table.current = first.current
		}
		adopted := runSteps(now, table, steps, s)
		require.Len(b, adopted, 1)
	}
}
