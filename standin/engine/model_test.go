package engine

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	wire "papayaport.dev/serving/connection/engine"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

const model = "farewell-7b"

func chat(text string) []wire.Message { return []wire.Message{{Role: "user", Content: text}} }

func ask(attempt, text string, maxTokens int) wire.Completion {
	return wire.Completion{Model: model, Messages: chat(text), MaxTokens: maxTokens, Attempt: attempt}
}

// finish runs a model until it is idle, and returns the text and usage of each job by id.
func finish(m *Model) (map[uint64]string, map[uint64]wire.Usage) {
	texts, usages := map[uint64]string{}, map[uint64]wire.Usage{}
	for i := 0; !m.Next().IsZero() && i < 100000; i++ {
		for _, token := range m.Advance(m.Next()) {
			texts[token.Job] += token.Text
			if token.Usage != nil {
				usages[token.Job] = *token.Usage
			}
		}
	}
	return texts, usages
}

func submit(t *testing.T, m *Model, c wire.Completion) uint64 {
	t.Helper()
	id, err := m.Submit(start, c)
	require.NoError(t, err)
	return id
}

func TestResumedAnswer(t *testing.T) {
	tests := map[string]struct {
		resume func(tokens []string) *wire.Resume
		from   int
		same   bool
	}{
		"whole":           {func([]string) *wire.Resume { return nil }, 0, true},
		"resumed":         {func(x []string) *wire.Resume { return &wire.Resume{Text: Text(x[:9]), Tokens: 9} }, 9, true},
		"resumed at end":  {func(x []string) *wire.Resume { return &wire.Resume{Text: Text(x), Tokens: len(x)} }, -1, true},
		"wrong text":      {func([]string) *wire.Resume { return &wire.Resume{Text: "something else", Tokens: 9} }, 9, false},
		"wrong by offset": {func(x []string) *wire.Resume { return &wire.Resume{Text: Text(x[:8]), Tokens: 9} }, 9, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			want := Answer(model, chat("a night chat"), 40)
			c := ask("a", "a night chat", 40)
			c.Resume = test.resume(want)
			from := test.from
			if from < 0 {
				from = len(want)
			}
			m := New(Default())
			id := submit(t, m, c)
			texts, usages := finish(m)
			require.Equal(t, test.same, texts[id] == Text(want[from:]))
			require.Equal(t, len(want)-from, usages[id].CompletionTokens)
		})
	}
}

func TestRepeatedPromptIsCachedAndEvictionIsRecomputed(t *testing.T) {
	filing := strings.Repeat("the court finds ", 400)
	cfg := Default()
	cfg.CacheTokens = 4096
	m := New(cfg)
	first := submit(t, m, ask("a", filing, 8))
	_, usages := finish(m)
	require.Zero(t, usages[first].CachedTokens)
	second := submit(t, m, ask("b", filing, 8))
	_, usages = finish(m)
	require.Greater(t, usages[second].CachedTokens, 1500)
	require.Zero(t, m.currentLoad().RecomputeTotal)

	submit(t, m, ask("c", strings.Repeat("another matter  ", 2000), 8))
	finish(m)
	third := submit(t, m, ask("d", filing, 8))
	_, usages = finish(m)
	require.Zero(t, usages[third].CachedTokens)
	require.Greater(t, m.currentLoad().RecomputeTotal, int64(1500))
}

func TestTransferAvoidsRecomputation(t *testing.T) {
	filing := strings.Repeat("the court finds ", 400)
	sender, receiver := New(Default()), New(Default())
	want := Answer(model, chat(filing), 60)
	id := submit(t, sender, ask("a", filing, 60))
	var text string
	for i := 0; i < 40; i++ {
		for _, token := range sender.Advance(sender.Next()) {
			require.Equal(t, id, token.Job)
			text += token.Text
		}
	}
	tokens := len(strings.Fields(text))
	require.Positive(t, tokens)
	exported, err := sender.Export(wire.Export{Attempt: "a"})
	require.NoError(t, err)
	content, err := sender.Transfer(exported.Handle)
	require.NoError(t, err)
	receiver.ImportTransfer(content)

	c := ask("b", filing, 60)
	c.Resume = &wire.Resume{Text: text, Tokens: tokens}
	resumed := submit(t, receiver, c)
	texts, _ := finish(receiver)
	require.Equal(t, Text(want), text+texts[resumed])
	require.LessOrEqual(t, receiver.currentLoad().RecomputeTotal, int64(1), "the tail after the last block is transferred as well")

	cold := New(Default())
	submit(t, cold, c)
	finish(cold)
	require.Greater(t, cold.currentLoad().RecomputeTotal, int64(1500), "without the transfer the whole prompt is recomputed")
}

func TestHigherPriorityRunsFirst(t *testing.T) {
	cfg := Default()
	cfg.Slots = 1
	m := New(cfg)
	submit(t, m, ask("running", "one", 4))
	low := submit(t, m, ask("low", "two", 4))
	high := ask("high", "three", 4)
	high.Priority = 9
	urgent := submit(t, m, high)
	var ends []uint64
	for !m.Next().IsZero() {
		for _, token := range m.Advance(m.Next()) {
			if token.Usage != nil {
				ends = append(ends, token.Job)
			}
		}
	}
	require.Equal(t, []uint64{1, urgent, low}, ends)
}

func TestOrdersAreFenced(t *testing.T) {
	tests := map[string]struct {
		fenced  bool
		refused bool
	}{
		"checked": {true, true},
		"ignored": {false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			cfg := Default()
			cfg.Fenced = test.fenced
			cfg.Models = []string{"old"}
			m := New(cfg)
			require.NoError(t, m.ExecuteOrder(wire.Order{Kind: wire.LoadModel, Model: "new", Fencing: 7}))
			err := m.ExecuteOrder(wire.Order{Kind: wire.UnloadModel, Model: "new", Fencing: 6})
			require.Equal(t, test.refused, err != nil)
			_, err = m.Submit(start, wire.Completion{Model: "new", Messages: chat("x"), MaxTokens: 1})
			require.Equal(t, test.refused, err == nil)
			require.Error(t, m.ExecuteOrder(wire.Order{Kind: "format_disk", Fencing: 9}))
		})
	}
}

func TestLoadReportsAndEventsAreDelayed(t *testing.T) {
	cfg := Default()
	cfg.LoadLagMS, cfg.EventLagMS, cfg.EventLoss, cfg.Seed = 200, 300, 0.3, 3
	m := New(cfg)
	require.Zero(t, m.Load(start).Running)
	submit(t, m, ask("a", strings.Repeat("the court finds ", 400), 60))
	require.Zero(t, m.Load(start.Add(100*time.Millisecond)).Running)
	require.Equal(t, 1, m.Load(start.Add(320*time.Millisecond)).Running)

	m.Advance(start.Add(90 * time.Millisecond))
	require.Empty(t, m.Events(start.Add(200*time.Millisecond), 0, false).Events)
	finish(m)
	late := m.Events(start.Add(time.Hour), 0, false)
	require.Less(t, len(late.Events), int(m.events.lastSequence), "some events are never published")
	require.Len(t, m.Events(start, 0, true).Snapshot, m.cache.blocks.Len())
}
