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

// batchTokens is the number of tokens that one write to a caller carries at most.
const batchTokens = 64

// deliver gives a run's answer to its caller from token next on.
func (g *Gateway) deliver(w http.ResponseWriter, c *call, r *run, stream bool, next int) {
	ctx, cancel := context.WithCancelCause(c.http.Context())
	defer cancel(nil)
	stop := context.AfterFunc(g.cut, func() { cancel(errCut) })
	defer stop()
	if !stream {
		g.deliverWhole(ctx, w, c, r)
		return
	}
	g.deliverStream(ctx, w, c, r, next)
}

var errCut = problem.New(problem.Leaving, "the instance is going")

func (g *Gateway) deliverWhole(ctx context.Context, w http.ResponseWriter, c *call, r *run) {
	end, err := waitEnd(ctx, r.log)
	if err != nil {
		abort()
	}
	if end.Err != nil {
		g.refuse(w, c, end.Err)
		return
	}
	text, _ := r.log.Text()
	g.limitWrite(w)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(wholeOf(c, r, text, end))
	g.Meters.answered(r.file.Name, "ok")
}

// limitWrite bounds the time in which a caller must read what is written next.
func (g *Gateway) limitWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(g.Limits.WriteTimeout()))
}

func waitEnd(ctx context.Context, log *answer.Log) (*answer.End, error) {
	batch, err := log.Read(ctx, unreachedToken, 1, nil)
	return batch.End, err
}

// unreachedToken is an offset behind every answer, so that a read waits for the end.
const unreachedToken = 1 << 30

// abort breaks the caller's connection, so that a partial answer can't pass for a whole one.
func abort() { panic(http.ErrAbortHandler) }

type wholeAnswer struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []wholeChoice `json:"choices"`
	Usage   engine.Usage  `json:"usage"`
}

type wholeChoice struct {
	Index        int            `json:"index"`
	Message      engine.Message `json:"message"`
	FinishReason string         `json:"finish_reason"`
}

func wholeOf(c *call, r *run, text string, end *answer.End) wholeAnswer {
	return wholeAnswer{
		ID: c.id, Object: "chat.completion", Created: r.started.Unix(), Model: r.file.Name,
		Choices: []wholeChoice{{Message: engine.Message{Role: "assistant", Content: text}, FinishReason: end.Reason}},
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
	g.newEventWriter(w, c, r).follow(ctx, batch)
}

// eventWriter writes a growing answer as server-sent events.
type eventWriter struct {
	gateway *Gateway
	writer  http.ResponseWriter
	flusher *http.ResponseController
	call    *call
	run     *run
	// head is the part of every event before its content.
	head   string
	buffer []byte
	// extended is when the time to read was last extended.
	extended time.Time
}

func (g *Gateway) newEventWriter(w http.ResponseWriter, c *call, r *run) *eventWriter {
	e := &eventWriter{gateway: g, writer: w, flusher: http.NewResponseController(w), call: c, run: r}
	e.head = `{"id":"` + c.id + `","object":"chat.completion.chunk","created":` + strconv.FormatInt(r.started.Unix(), 10) +
		`,"model":"` + r.file.Name + `","choices":[{"index":0,"delta":{`
	return e
}

func (e *eventWriter) follow(ctx context.Context, batch answer.Batch) {
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

// write sends a batch and reports whether the caller is still there.
func (e *eventWriter) write(batch answer.Batch) bool {
	e.buffer = e.buffer[:0]
	for i, token := range batch.Tokens {
		e.token(batch.From+i, token)
	}
	if batch.End != nil {
		e.end(batch.From+len(batch.Tokens), batch.End)
	}
	e.extend()
	if _, err := e.writer.Write(e.buffer); err != nil {
		return false
	}
	return e.flusher.Flush() == nil
}

// extend gives the caller more time to read, at most once in a quarter of that time.
func (e *eventWriter) extend() {
	now := time.Now()
	limit := e.gateway.Limits.WriteTimeout()
	if now.Sub(e.extended) < limit/4 {
		return
	}
	e.extended = now
	_ = e.flusher.SetWriteDeadline(now.Add(limit))
}

func (e *eventWriter) token(index int, token string) {
	e.eventID(index)
	e.buffer = append(e.buffer, e.head...)
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

func (e *eventWriter) eventID(index int) {
	e.buffer = append(e.buffer, "id: "...)
	e.buffer = append(e.buffer, e.call.id...)
	e.buffer = append(e.buffer, ':')
	e.buffer = strconv.AppendInt(e.buffer, int64(index), 10)
	e.buffer = append(e.buffer, "\ndata: "...)
}

func (e *eventWriter) end(tokens int, end *answer.End) {
	if end.Err != nil {
		e.failure(end.Err)
		return
	}
	e.eventID(tokens)
	e.buffer = append(e.buffer, e.head...)
	e.buffer = append(e.buffer, `},"finish_reason":`...)
	e.buffer = appendJSON(e.buffer, end.Reason)
	e.buffer = append(e.buffer, `}],"token_index":`...)
	e.buffer = strconv.AppendInt(e.buffer, int64(tokens), 10)
	e.buffer = append(e.buffer, `,"usage":`...)
	e.buffer = appendJSON(e.buffer, end.Usage)
	e.buffer = append(e.buffer, "}\n\ndata: [DONE]\n\n"...)
	e.gateway.Meters.answered(e.run.file.Name, "ok")
}

// failure ends a stream that has begun with a problem document and no final marker.
func (e *eventWriter) failure(err error) {
	document := problem.From(err).Document(e.call.id)
	e.gateway.Meters.answered(e.run.file.Name, string(document.Outcome))
	e.buffer = append(e.buffer, "event: error\ndata: "...)
	e.buffer = appendJSON(e.buffer, document)
	e.buffer = append(e.buffer, "\n\n"...)
}
