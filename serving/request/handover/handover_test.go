package handover_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/request/answer"
	"papayaport.dev/serving/request/handover"
)

// holder is the state of one request at an entry instance.
type holder struct {
	log      *answer.Log
	assembly *answer.Assembly
	attempts int
	// source is the holder whose answer is forwarded; nil where the answer is generated.
	source *holder
	// chunks were sent by engines and not received yet.
	chunks []engine.Chunk
}

// model is a request whose answer consists of words, at several entry instances.
type model struct {
	t       *rapid.T
	words   []string
	holders []*holder
}

func (m *model) begin(h *holder) {
	h.attempts++
	id := fmt.Sprintf("%p.%d", h, h.attempts)
	h.assembly.Begin(id)
	for i := h.assembly.Tokens(); i < len(m.words); i++ {
		h.chunks = append(h.chunks, engine.Chunk{ID: id, Index: i, Choices: []engine.Choice{{Delta: engine.Message{Content: m.words[i]}}}})
	}
	h.chunks = append(h.chunks, engine.Chunk{ID: id, Index: len(m.words), Choices: []engine.Choice{{FinishReason: "stop"}}})
}

// receive processes one chunk, possibly out of order, and may leave it to be received again.
func (m *model) receive(h *holder) {
	if h.source != nil || len(h.chunks) == 0 {
		return
	}
	at := rapid.IntRange(0, min(2, len(h.chunks)-1)).Draw(m.t, "chunk")
	chunk := h.chunks[at]
	if rapid.IntRange(0, 3).Draw(m.t, "again") > 0 {
		h.chunks = append(h.chunks[:at:at], h.chunks[at+1:]...)
	}
	switch h.assembly.Classify(chunk) {
	case answer.Token:
		h.log.Append(chunk.Choices[0].Delta.Content)
	case answer.Final:
		h.log.Finish(answer.End{Reason: "stop"})
	case answer.Gap:
		m.begin(h)
	default:
	}
}

// handOver hands the request over to a new holder in its encoded form. The reply to the call may be
// lost, so that the old holder continues as well.
func (m *model) handOver(h *holder) {
	if h.source != nil || h.log.Ended() != nil {
		return
	}
	text, _ := h.log.Text()
	data, err := handover.Encode(handover.State{Service: "s", Text: text, Ends: h.log.Ends(), Attempts: h.attempts})
	require.NoError(m.t, err)
	var state handover.State
	require.NoError(m.t, handover.Decode(data, &state))
	next := &holder{log: answer.NewLog(), assembly: answer.New(0), attempts: state.Attempts}
	require.True(m.t, next.log.Restore(state.Text, state.Ends))
	next.assembly.Resume(len(state.Ends))
	m.begin(next)
	m.holders = append(m.holders, next)
	if !rapid.Bool().Draw(m.t, "answer lost") {
		h.source = next
	}
}

// forward copies one encoded piece from the source.
func (m *model) forward(h *holder) {
	if h.source == nil {
		return
	}
	offset := rapid.IntRange(0, h.log.Tokens()).Draw(m.t, "offset")
	batch, ready := peek(h.source.log, offset)
	if !ready {
		return
	}
	data, err := handover.Encode(handover.NewPiece(batch))
	require.NoError(m.t, err)
	var piece handover.Piece
	require.NoError(m.t, handover.Decode(data, &piece))
	for i, token := range piece.Tokens {
		if piece.From+i == h.log.Tokens() {
			h.log.Append(token)
		}
	}
	if piece.End != nil && piece.From+len(piece.Tokens) == h.log.Tokens() {
		h.log.Finish(piece.End.Answer())
	}
}

func peek(log *answer.Log, offset int) (answer.Batch, bool) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	batch, err := log.Read(ctx, offset, 4, nil)
	return batch, err == nil
}

// TestStatefulHandOver moves a request between engines and entry instances while its caller
// continues to read from any of them, and compares the answer with the original text.
func TestStatefulHandOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, words: rapid.SliceOfN(rapid.StringMatching(`[a-z]{1,3}`), 1, 20).Draw(t, "words")}
		first := &holder{log: answer.NewLog(), assembly: answer.New(0)}
		m.begin(first)
		m.holders = []*holder{first}
		read := ""
		next, whole := 0, false
		for step := 0; step < 200 && !whole; step++ {
			h := m.holders[rapid.IntRange(0, len(m.holders)-1).Draw(t, "holder")]
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				m.handOver(h)
			case 1:
				m.begin(h)
			case 2, 3:
				m.forward(h)
			case 4, 5:
				batch, ready := peek(h.log, next)
				if ready {
					read += strings.Join(batch.Tokens, "")
					next += len(batch.Tokens)
					whole = batch.End != nil
				}
			default:
				m.receive(h)
			}
			if !strings.HasPrefix(strings.Join(m.words, ""), read) {
				t.Fatalf("caller read %q of %q", read, m.words)
			}
		}
		if whole && read != strings.Join(m.words, "") {
			t.Fatalf("complete answer is %q of %q", read, m.words)
		}
	})
}

func TestPieceKeepsFailure(t *testing.T) {
	failure := problem.New(problem.BackendFailed, "it broke").WithOutcome(problem.Unknown)
	data, err := handover.Encode(handover.NewPiece(answer.Batch{From: 3, End: &answer.End{Err: failure}}))
	require.NoError(t, err)
	var piece handover.Piece
	require.NoError(t, handover.Decode(data, &piece))
	end := piece.End.Answer()
	require.Equal(t, problem.BackendFailed, problem.From(end.Err).Kind)
	require.Equal(t, problem.Unknown, problem.From(end.Err).Outcome)
	require.Equal(t, "it broke", problem.From(end.Err).Detail)
}

func TestDecodeRejectsInvalidData(t *testing.T) {
	for name, data := range map[string][]byte{"empty": nil, "text": []byte("hello"), "cut": {0xa3, 0x01}} {
		t.Run(name, func(t *testing.T) {
			require.Error(t, handover.Decode(data, &handover.State{}))
		})
	}
}
