package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/request/answer"
)

// batchTokens is the maximum number of tokens in one write to a caller.
const batchTokens = 64

// deliver writes a run's answer to a caller, a stream from token next on.
func (g *Gateway) deliver(w http.ResponseWriter, c *call, r *run, stream bool, next int) {
	ctx, cancel := context.WithCancelCause(c.http.Context())
	defer cancel(nil)
	stop := context.AfterFunc(g.disconnect, func() { cancel(errDisconnected) })
	defer stop()
	if !stream {
		g.deliverCompletion(ctx, w, c, r)
		return
	}
	g.deliverStream(ctx, w, c, r, next)
}

var errDisconnected = problem.New(problem.Leaving, "the instance is shutting down")

func (g *Gateway) deliverCompletion(ctx context.Context, w http.ResponseWriter, c *call, r *run) {
	end, err := waitEnd(ctx, r.log)
	if err != nil {
		abort()
	}
	if end.Err != nil {
		g.refuse(w, c, end.Err)
		return
	}
	text, _ := r.log.Text()
	g.setWriteDeadline(w)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(newCompletion(c, r, text, end))
	g.Metrics.countRequest(r.file.Name, "ok")
}

// setWriteDeadline sets the deadline for the next write to a caller.
func (g *Gateway) setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(g.Limits.WriteTimeout()))
}

func waitEnd(ctx context.Context, log *answer.Log) (*answer.End, error) {
	batch, err := log.Read(ctx, pastEndToken, 1, nil)
	return batch.End, err
}

// pastEndToken is an offset past the end of every answer, so that a read waits for the
// end.
const pastEndToken = 1 << 30

// abort closes the caller's connection, so that a partial answer cannot be mistaken for a
// complete one.
func abort() { panic(http.ErrAbortHandler) }

type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   engine.Usage       `json:"usage"`
}

type completionChoice struct {
	Index        int            `json:"index"`
	Message      engine.Message `json:"message"`
	FinishReason string         `json:"finish_reason"`
}

func newCompletion(c *call, r *run, text string, end *answer.End) completion {
	return completion{
		ID: c.id, Object: "chat.completion", Created: r.startedAt.Unix(), Model: r.file.Name,
		Choices: []completionChoice{{Message: engine.Message{Role: "assistant", Content: text}, FinishReason: end.Reason}},
		Usage:   end.Usage,
	}
}

func (g *Gateway) deliverStream(ctx context.Context, w http.ResponseWriter, c *call, r *run, next int) {
	batch, err := r.log.Read(ctx, next, batchTokens, nil)
	if err != nil {
		abort()
	}
	if len(batch.Tokens) == 0 && next == 0 && batch.End.Err != nil {
		g.refuse(w, c, batch.End.Err)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	g.newEventWriter(w, c, r).writeAll(ctx, batch)
}

// eventWriter streams an answer as server-sent events.
type eventWriter struct {
	gateway *Gateway
	writer  http.ResponseWriter
	flusher *http.ResponseController
	call    *call
	run     *run
	// prefix is the start of every event's data, up to the delta's content.
	prefix string
	buffer []byte
	// deadlineSetAt is when the write deadline was last extended.
	deadlineSetAt time.Time
}

func (g *Gateway) newEventWriter(w http.ResponseWriter, c *call, r *run) *eventWriter {
	e := &eventWriter{gateway: g, writer: w, flusher: http.NewResponseController(w), call: c, run: r}
	e.prefix = `{"id":"` + c.id + `","object":"chat.completion.chunk","created":` + strconv.FormatInt(r.startedAt.Unix(), 10) +
		`,"model":"` + r.file.Name + `","choices":[{"index":0,"delta":{`
	return e
}

func (e *eventWriter) writeAll(ctx context.Context, batch answer.Batch) {
	for {
		if !e.write(batch) {
			return
		}
		if batch.End != nil {
			return
		}
		var err error
		batch, err = e.run.log.Read(ctx, batch.From+len(batch.Tokens), batchTokens, batch.Tokens)
		if err != nil {
			abort()
		}
	}
}

// write sends a batch and reports whether the write succeeded.
func (e *eventWriter) write(batch answer.Batch) bool {
	e.buffer = e.buffer[:0]
	for i, token := range batch.Tokens {
		e.appendToken(batch.From+i, token)
	}
	if batch.End != nil {
		e.appendEnd(batch.From+len(batch.Tokens), batch.End)
	}
	e.extendWriteDeadline()
	if _, err := e.writer.Write(e.buffer); err != nil {
		return false
	}
	return e.flusher.Flush() == nil
}

// extendWriteDeadline moves the write deadline, at most once per quarter of the write timeout.
func (e *eventWriter) extendWriteDeadline() {
	now := time.Now()
	limit := e.gateway.Limits.WriteTimeout()
	if now.Sub(e.deadlineSetAt) < limit/4 {
		return
	}
	e.deadlineSetAt = now
	_ = e.flusher.SetWriteDeadline(now.Add(limit))
}

func (e *eventWriter) appendToken(index int, token string) {
	e.appendEventID(index)
	e.buffer = append(e.buffer, e.prefix...)
	e.buffer = append(e.buffer, `"content":`...)
	e.buffer = appendJSON(e.buffer, token)
	e.buffer = append(e.buffer, `}}],"token_index":`...)
	e.buffer = strconv.AppendInt(e.buffer, int64(index), 10)
	e.buffer = append(e.buffer, "}\n\n"...)
}

func appendJSON(buffer []byte, value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		return append(buffer, "null"...)
	}
	return append(buffer, data...)
}

func (e *eventWriter) appendEventID(index int) {
	e.buffer = append(e.buffer, "id: "...)
	e.buffer = append(e.buffer, e.call.id...)
	e.buffer = append(e.buffer, ':')
	e.buffer = strconv.AppendInt(e.buffer, int64(index), 10)
	e.buffer = append(e.buffer, "\ndata: "...)
}

func (e *eventWriter) appendEnd(tokens int, end *answer.End) {
	if end.Err != nil {
		e.appendFailure(end.Err)
		return
	}
	e.appendEventID(tokens)
	e.buffer = append(e.buffer, e.prefix...)
	e.buffer = append(e.buffer, `},"finish_reason":`...)
	e.buffer = appendJSON(e.buffer, end.Reason)
	e.buffer = append(e.buffer, `}],"token_index":`...)
	e.buffer = strconv.AppendInt(e.buffer, int64(tokens), 10)
	e.buffer = append(e.buffer, `,"usage":`...)
	e.buffer = appendJSON(e.buffer, end.Usage)
	e.buffer = append(e.buffer, "}\n\ndata: [DONE]\n\n"...)
	e.gateway.Metrics.countRequest(e.run.file.Name, "ok")
}

// appendFailure ends a stream that has begun with a problem document as an error event and
// without [DONE].
func (e *eventWriter) appendFailure(err error) {
	document := problem.From(err).Document(e.call.id)
	e.gateway.Metrics.countRequest(e.run.file.Name, string(document.Outcome))
	e.buffer = append(e.buffer, "event: error\ndata: "...)
	e.buffer = appendJSON(e.buffer, document)
	e.buffer = append(e.buffer, "\n\n"...)
}
