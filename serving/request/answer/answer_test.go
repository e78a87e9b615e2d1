package answer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/request/answer"
)

func token(attempt string, index int, text string) engine.Chunk {
	return engine.Chunk{ID: attempt, Index: index, Choices: []engine.Choice{{Delta: engine.Message{Content: text}}}}
}

func final(attempt string, tokens int) engine.Chunk {
	return engine.Chunk{ID: attempt, Index: tokens, Choices: []engine.Choice{{FinishReason: "stop"}}}
}

func TestJudge(t *testing.T) {
	tests := map[string]struct {
		chunks   []engine.Chunk
		verdicts []answer.Verdict
	}{
		"whole":                  {[]engine.Chunk{token("a", 0, "x"), token("a", 1, "y"), final("a", 2)}, []answer.Verdict{answer.Token, answer.Token, answer.Final}},
		"doubled":                {[]engine.Chunk{token("a", 0, "x"), token("a", 0, "x")}, []answer.Verdict{answer.Token, answer.Repeated}},
		"foreign":                {[]engine.Chunk{token("b", 0, "x"), token("a", 0, "x")}, []answer.Verdict{answer.Foreign, answer.Token}},
		"missing token":          {[]engine.Chunk{token("a", 1, "y")}, []answer.Verdict{answer.Gap}},
		"truncated final":        {[]engine.Chunk{token("a", 0, "x"), final("a", 2)}, []answer.Verdict{answer.Token, answer.Gap}},
		"over the limit":         {[]engine.Chunk{token("a", 0, "x"), token("a", 1, "y"), token("a", 2, "z")}, []answer.Verdict{answer.Token, answer.Token, answer.Excess}},
		"after the final marker": {[]engine.Chunk{final("a", 0), token("a", 0, "x")}, []answer.Verdict{answer.Final, answer.Foreign}},
		"role only":              {[]engine.Chunk{token("a", 0, ""), token("a", 0, "x")}, []answer.Verdict{answer.Empty, answer.Token}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assembly := answer.New(2)
			assembly.Begin("a")
			for i, chunk := range test.chunks {
				require.Equal(t, test.verdicts[i], assembly.Classify(chunk), "chunk %d", i)
			}
		})
	}
}

// TestStatefulSplice moves an answer between attempts while chunks of all attempts arrive late,
// duplicated and out of order, and compares it with the original text.
func TestStatefulSplice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		words := rapid.SliceOfN(rapid.StringMatching(`[a-z]{1,4}`), 1, 30).Draw(t, "words")
		log := answer.NewLog()
		assembly := answer.New(0)
		var inFlight []engine.Chunk
		attempt := 0
		begin := func() {
			attempt++
			id := fmt.Sprint("attempt", attempt)
			assembly.Begin(id)
			for i := assembly.Tokens(); i < len(words); i++ {
				inFlight = append(inFlight, token(id, i, words[i]))
			}
			inFlight = append(inFlight, final(id, len(words)))
		}
		begin()
		faults := rapid.IntRange(0, 100).Draw(t, "faults")
		for steps := 0; log.Ended() == nil; steps++ {
			if steps > 10_000 {
				t.Fatalf("no complete answer after %d steps", steps)
			}
			fault := rapid.SampledFrom([]string{"none", "move", "cross", "double"}).Draw(t, "fault")
			if faults == 0 {
				fault = "none"
			}
			faults = max(0, faults-1)
			if fault == "move" || len(inFlight) == 0 {
				begin()
			}
			at := 0
			if fault == "cross" {
				at = rapid.IntRange(0, min(3, len(inFlight)-1)).Draw(t, "chunk")
			}
			chunk := inFlight[at]
			if fault != "double" {
				inFlight = append(inFlight[:at:at], inFlight[at+1:]...)
			}
			switch assembly.Classify(chunk) {
			case answer.Token:
				log.Append(chunk.Choices[0].Delta.Content)
			case answer.Final:
				log.Finish(answer.End{Reason: "stop"})
			case answer.Gap:
				begin()
			default:
			}
		}
		text, tokens := log.Text()
		if text != strings.Join(words, "") || tokens != len(words) {
			t.Fatalf("got %q of %d tokens", text, tokens)
		}
	})
}

func TestReadFromAnyOffset(t *testing.T) {
	words := []string{"a", "bc", "d", "ef", "g"}
	log := answer.NewLog()
	go func() {
		for _, word := range words {
			log.Append(word)
		}
		log.Finish(answer.End{Reason: "stop"})
	}()
	random := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		offset := random.IntN(len(words) + 1)
		var got []string
		for next := offset; ; {
			batch, err := log.Read(context.Background(), next, 2, nil)
			require.NoError(t, err)
			require.Equal(t, next, batch.From)
			got = append(got, batch.Tokens...)
			next += len(batch.Tokens)
			if batch.End != nil {
				break
			}
		}
		require.Equal(t, strings.Join(words[offset:], ""), strings.Join(got, ""))
	}
}

func TestReadEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancelCause(context.Background())
	gone := errors.New("caller is gone")
	cancel(gone)
	_, err := answer.NewLog().Read(ctx, 0, 1, nil)
	require.ErrorIs(t, err, gone)
}

func TestRestoreRejectsInconsistentTokens(t *testing.T) {
	tests := map[string]struct {
		text string
		ends []int
		ok   bool
	}{
		"empty":      {"", nil, true},
		"whole":      {"abc", []int{1, 3}, true},
		"too short":  {"abc", []int{1, 2}, false},
		"too long":   {"abc", []int{1, 4}, false},
		"descending": {"abc", []int{2, 1, 3}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.ok, answer.NewLog().Restore(test.text, test.ends))
		})
	}
}
