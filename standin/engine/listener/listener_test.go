package listener

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	wire "papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/request/prefix"
	"papayaport.dev/standin/engine"
)

const model = "farewell-7b"

var messages = []wire.Message{{Role: "user", Content: strings.Repeat("the court finds ", 100)}}

// startListener starts an engine and returns it with its address.
func startListener(t *testing.T, cfg engine.Config) (*Listener, string) {
	t.Helper()
	l := New(cfg, http.DefaultClient)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- l.Run(ctx) }()
	server := httptest.NewServer(l)
	t.Cleanup(func() {
		cancel()
		server.CloseClientConnections()
		server.Close()
		<-ended
	})
	return l, server.URL
}

func fastConfig() engine.Config {
	cfg := engine.Default()
	cfg.DecodeMS = 1
	return cfg
}

func stream(t *testing.T, address string, c wire.Completion) ([]wire.Chunk, error) {
	t.Helper()
	client := wire.New(http.DefaultClient, address)
	s, err := client.Complete(context.Background(), c, wire.ProgressTimeouts{FirstChunk: time.Second, BetweenChunks: time.Second})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	var chunks []wire.Chunk
	for {
		chunk, err := s.Next()
		if err != nil {
			return chunks, err
		}
		chunks = append(chunks, chunk)
	}
}

func text(chunks []wire.Chunk) string {
	var b strings.Builder
	for _, chunk := range chunks {
		b.WriteString(chunk.Choices[0].Delta.Content)
	}
	return b.String()
}

func runs(l *Listener) map[string]*engine.Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.model.Runs().Attempts
}

func post(t *testing.T, url string, body any) *http.Response {
	t.Helper()
	data, err := json.Marshal(body)
	require.NoError(t, err)
	resp, err := http.Post(url, "application/json", bytes.NewReader(data))
	require.NoError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func TestStreamAndWholeAnswer(t *testing.T) {
	l, address := startListener(t, fastConfig())
	want := engine.Answer(model, messages, 30)
	c := wire.Completion{Model: model, Messages: messages, MaxTokens: 30, Attempt: "a1"}
	chunks, err := stream(t, address, c)
	require.ErrorContains(t, err, "EOF")
	require.Equal(t, engine.Text(want), text(chunks))
	last := chunks[len(chunks)-1]
	require.Equal(t, "stop", last.Choices[0].FinishReason)
	require.Equal(t, len(want), last.Usage.CompletionTokens)
	for i, chunk := range chunks {
		require.Equal(t, "a1", chunk.ID)
		require.Equal(t, i, chunk.Index)
	}

	var whole Whole
	require.NoError(t, json.NewDecoder(post(t, address+wire.CompletionsPath, c).Body).Decode(&whole))
	require.Equal(t, engine.Text(want), whole.Choices[0].Message.Content)
	require.Equal(t, 2, runs(l)["a1"].Starts)
}

func TestFaults(t *testing.T) {
	tests := map[string]struct {
		faults Faults
		check  func(t *testing.T, chunks []wire.Chunk, err error)
	}{
		"nonsense": {Faults{Nonsense: true}, func(t *testing.T, _ []wire.Chunk, err error) {
			require.ErrorIs(t, err, wire.ErrInvalidAnswer)
		}},
		"foreign": {Faults{ForeignAttempt: true}, func(t *testing.T, chunks []wire.Chunk, _ error) {
			require.NotEqual(t, "a", chunks[0].ID)
		}},
		"truncated": {Faults{TruncateAfter: 3}, func(t *testing.T, chunks []wire.Chunk, err error) {
			require.ErrorIs(t, err, wire.ErrTruncated)
			require.Len(t, chunks, 3)
		}},
		"too many": {Faults{ExtraTokens: 2}, func(t *testing.T, chunks []wire.Chunk, _ error) {
			require.Len(t, chunks, len(engine.Answer(model, messages, 20))+3)
		}},
		"silent": {Faults{Silent: true}, func(t *testing.T, _ []wire.Chunk, err error) {
			require.ErrorIs(t, err, wire.ErrNoProgress)
		}},
		"closes": {Faults{CloseAfterRead: true}, func(t *testing.T, chunks []wire.Chunk, err error) {
			require.Error(t, err)
			require.Empty(t, chunks)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, address := startListener(t, fastConfig())
			test.faults.Times = 1
			require.Equal(t, http.StatusNoContent, post(t, address+"/standin/faults", test.faults).StatusCode)
			c := wire.Completion{Model: model, Messages: messages, MaxTokens: 20, Attempt: "a"}
			chunks, err := stream(t, address, c)
			test.check(t, chunks, err)
			chunks, _ = stream(t, address, c)
			require.Equal(t, engine.Text(engine.Answer(model, messages, 20)), text(chunks), "only one request is affected")
		})
	}
}

func TestDisconnectCancelsJob(t *testing.T) {
	cfg := engine.Default()
	cfg.DecodeMS = 50
	l, address := startListener(t, cfg)
	ctx, cancel := context.WithCancel(context.Background())
	s, err := wire.New(http.DefaultClient, address).Complete(ctx,
		wire.Completion{Model: model, Messages: messages, MaxTokens: 1000, Attempt: "a"},
		wire.ProgressTimeouts{FirstChunk: 5 * time.Second, BetweenChunks: 5 * time.Second})
	require.NoError(t, err)
	_, err = s.Next()
	require.NoError(t, err)
	cancel()
	require.Eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.model.Runs().Attempts["a"].Cancelled && len(l.jobs) == 0
	}, 5*time.Second, 5*time.Millisecond)
}

func TestReclaimIsReportedAndEndsTheEngine(t *testing.T) {
	l := New(fastConfig(), http.DefaultClient)
	ended := make(chan error, 1)
	go func() { ended <- l.Run(context.Background()) }()
	server := httptest.NewServer(l)
	defer server.Close()
	post(t, server.URL+"/standin/reclaim", Reclaim{LeaveInMS: 300})
	load, err := wire.New(http.DefaultClient, server.URL).Load(context.Background())
	require.NoError(t, err)
	require.True(t, load.Leaving)
	require.Positive(t, load.LeaveInMS)
	require.ErrorIs(t, <-ended, ErrReclaimed)
}

func TestKVCacheTransfer(t *testing.T) {
	_, from := startListener(t, fastConfig())
	receiver, to := startListener(t, fastConfig())
	ctx := context.Background()
	_, err := stream(t, from, wire.Completion{Model: model, Messages: messages, MaxTokens: 8, Attempt: "a"})
	require.ErrorContains(t, err, "EOF")
	var blocks []uint64
	events, err := wire.New(http.DefaultClient, from).Events(ctx, 0, true)
	require.NoError(t, err)
	require.NotEmpty(t, events.Snapshot)
	for _, block := range blockNames(messages) {
		blocks = append(blocks, block)
		require.Contains(t, events.Snapshot, block)
	}
	exported, err := wire.New(http.DefaultClient, from).Export(ctx, wire.Export{Blocks: blocks})
	require.NoError(t, err)
	imported, err := wire.New(http.DefaultClient, to).Import(ctx, wire.Import{From: from, Handle: exported.Handle})
	require.NoError(t, err)
	require.Equal(t, exported.Tokens, imported.Tokens)
	chunks, _ := stream(t, to, wire.Completion{Model: model, Messages: messages, MaxTokens: 8, Attempt: "b"})
	require.GreaterOrEqual(t, chunks[len(chunks)-1].Usage.CachedTokens, len(blocks)*128)
	require.Equal(t, 1, runs(receiver)["b"].Starts)
}

func blockNames(messages []wire.Message) []uint64 {
	var names []uint64
	for _, block := range prefix.Blocks(wire.Prompt(messages)) {
		names = append(names, uint64(block))
	}
	return names
}
