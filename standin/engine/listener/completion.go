package listener

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	wire "papayaport.dev/serving/connection/engine"
	"papayaport.dev/standin/engine"
	"papayaport.dev/standin/httpjson"
)

// maxAnswerTokens is the largest effective max_tokens.
const maxAnswerTokens = 1 << 16

// answer is one completion that is being sent.
type answer struct {
	wire.Completion
	tokens <-chan engine.Token
	faults Faults
}

func (l *Listener) complete(w http.ResponseWriter, r *http.Request) {
	var c wire.Completion
	if !httpjson.Read(w, r, &c) {
		return
	}
	if c.Attempt == "" {
		c.Attempt = r.Header.Get(wire.AttemptHeader)
	}
	faults := l.takeFaults()
	if faults.CloseAfterRead {
		httpjson.Abort()
	}
	if faults.Silent {
		l.staySilent(r.Context())
		return
	}
	c.MaxTokens = min(c.MaxTokens, maxAnswerTokens)
	id, tokens, err := l.submit(c)
	if err != nil {
		refuse(w, err)
		return
	}
	defer l.cancelJob(id)
	l.writeHeader(w, c)
	a := answer{Completion: c, tokens: tokens, faults: faults}
	if c.Stream {
		l.sendStream(w, r, a)
		return
	}
	l.sendWhole(w, r, a)
}

func (l *Listener) writeHeader(w http.ResponseWriter, c wire.Completion) {
	w.Header().Set(wire.AttemptHeader, c.Attempt)
	w.Header().Set(wire.IncarnationHeader, strconv.FormatUint(l.cfg.Incarnation, 10))
}

func (l *Listener) submit(c wire.Completion) (uint64, <-chan engine.Token, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id, err := l.model.Submit(time.Now(), c)
	if err != nil {
		return 0, nil, err
	}
	size := c.MaxTokens
	if size <= 0 {
		size = engine.DefaultMaxTokens
	}
	job := make(chan engine.Token, size+1)
	l.jobs[id] = job
	l.signalWake()
	return id, job, nil
}

func (l *Listener) cancelJob(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.model.CancelJob(id)
	l.closeJob(id)
}

func (l *Listener) cancel(w http.ResponseWriter, r *http.Request) {
	var in wire.Cancel
	if !httpjson.Read(w, r, &in) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range l.model.Cancel(in.Attempt) {
		l.closeJob(id)
	}
	w.WriteHeader(http.StatusNoContent)
}

// staySilent blocks until the caller disconnects, and aborts the request.
func (l *Listener) staySilent(ctx context.Context) {
	<-ctx.Done()
	httpjson.Abort()
}

func (l *Listener) sendStream(w http.ResponseWriter, r *http.Request, a answer) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	_ = flush.Flush()
	for sent := 0; ; sent++ {
		token, ok := a.next(r.Context())
		if !ok || a.faults.truncatesAt(sent) {
			httpjson.Abort()
		}
		if l.isSilent() {
			l.staySilent(r.Context())
		}
		a.writeEvents(w, token)
		if err := flush.Flush(); err != nil || token.Usage != nil {
			return
		}
	}
}

// next waits for a token. It returns false if the job was cancelled or the caller disconnected.
func (a *answer) next(ctx context.Context) (engine.Token, bool) {
	select {
	case token, ok := <-a.tokens:
		return token, ok
	case <-ctx.Done():
		return engine.Token{}, false
	}
}

func (a *answer) writeEvents(w http.ResponseWriter, token engine.Token) {
	if token.Usage == nil {
		a.writeEvent(w, a.chunk(token))
		return
	}
	for extra := range a.faults.ExtraTokens {
		a.writeEvent(w, a.chunk(engine.Token{Index: token.Index + extra, Text: " extra"}))
	}
	a.writeEvent(w, a.chunk(token))
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func (a *answer) writeEvent(w http.ResponseWriter, chunk wire.Chunk) {
	data, _ := json.Marshal(chunk)
	if a.faults.Nonsense {
		data = []byte(`{"choices":"` + strings.Repeat("?", 8))
	}
	_, _ = fmt.Fprintf(w, "id: %s:%d\ndata: %s\n\n", chunk.ID, chunk.Index, data)
}

func (a *answer) chunk(token engine.Token) wire.Chunk {
	chunk := wire.Chunk{
		ID:      a.Attempt,
		Model:   a.Model,
		Choices: []wire.Choice{{Delta: wire.Message{Role: "assistant", Content: token.Text}}},
		Index:   token.Index,
		Usage:   token.Usage,
	}
	if token.Usage != nil {
		chunk.Choices[0].FinishReason = "stop"
	}
	if a.faults.ForeignAttempt {
		a.makeForeign(&chunk)
	}
	return chunk
}

// makeForeign replaces a chunk's attempt id and text by those of another attempt.
func (a *answer) makeForeign(chunk *wire.Chunk) {
	chunk.ID = "foreign-" + a.Attempt
	if chunk.Usage == nil {
		chunk.Choices[0].Delta.Content = " foreign"
	}
}

func (l *Listener) sendWhole(w http.ResponseWriter, r *http.Request, a answer) {
	var text strings.Builder
	for sent := 0; ; sent++ {
		token, ok := a.next(r.Context())
		if !ok || a.faults.truncatesAt(sent) {
			httpjson.Abort()
		}
		text.WriteString(token.Text)
		if token.Usage == nil {
			continue
		}
		httpjson.Write(w, http.StatusOK, a.completion(text.String(), token))
		return
	}
}

// Whole is a completion that is not streamed.
type Whole struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []WholeChoice `json:"choices"`
	Usage   *wire.Usage   `json:"usage"`
}

// WholeChoice holds the text of a Whole.
type WholeChoice struct {
	Message      wire.Message `json:"message"`
	FinishReason string       `json:"finish_reason"`
}

func (a *answer) completion(text string, last engine.Token) Whole {
	message := wire.Message{Role: "assistant", Content: text}
	whole := Whole{ID: a.Attempt, Object: "chat.completion", Model: a.Model, Usage: last.Usage}
	whole.Choices = []WholeChoice{{Message: message, FinishReason: "stop"}}
	if a.faults.ForeignAttempt {
		whole.ID = "foreign-" + a.Attempt
	}
	return whole
}
