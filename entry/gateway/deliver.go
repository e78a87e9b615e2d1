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
	g.follower(w, c, r).follow(ctx, batch)
}

// follower writes a growing answer as server-sent events.
type follower struct {
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

func (g *Gateway) follower(w http.ResponseWriter, c *call, r *run) *follower {
	f := &follower{gateway: g, writer: w, flusher: http.NewResponseController(w), call: c, run: r}
	f.head = `{"id":"` + c.id + `","object":"chat.completion.chunk","created":` + strconv.FormatInt(r.started.Unix(), 10) +
		`,"model":"` + r.file.Name + `","choices":[{"index":0,"delta":{`
	return f
}

func (f *follower) follow(ctx context.Context, batch answer.Batch) {
	for {
		if !f.write(batch) {
			return
		}
		if batch.End != nil {
			return
		}
		var err error
		batch, err = f.run.log.Read(ctx, batch.From+len(batch.Tokens), batchTokens, batch.Tokens)
		if err != nil {
			abort()
		}
	}
}

// write sends a batch and reports whether the caller is still there.
func (f *follower) write(batch answer.Batch) bool {
	f.buffer = f.buffer[:0]
	for i, token := range batch.Tokens {
		f.token(batch.From+i, token)
	}
	if batch.End != nil {
		f.end(batch.From+len(batch.Tokens), batch.End)
	}
	f.extend()
	if _, err := f.writer.Write(f.buffer); err != nil {
		return false
	}
	return f.flusher.Flush() == nil
}

// extend gives the caller more time to read, at most once in a quarter of that time.
func (f *follower) extend() {
	now := time.Now()
	limit := f.gateway.Limits.WriteTimeout()
	if now.Sub(f.extended) < limit/4 {
		return
	}
	f.extended = now
	_ = f.flusher.SetWriteDeadline(now.Add(limit))
}

func (f *follower) token(index int, token string) {
	f.eventID(index)
	f.buffer = append(f.buffer, f.head...)
	f.buffer = append(f.buffer, `"content":`...)
	f.buffer = appendJSON(f.buffer, token)
	f.buffer = append(f.buffer, `}}],"token_index":`...)
	f.buffer = strconv.AppendInt(f.buffer, int64(index), 10)
	f.buffer = append(f.buffer, "}\n\n"...)
}

func appendJSON(buffer []byte, value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		return append(buffer, "null"...)
	}
	return append(buffer, data...)
}

func (f *follower) eventID(index int) {
	f.buffer = append(f.buffer, "id: "...)
	f.buffer = append(f.buffer, f.call.id...)
	f.buffer = append(f.buffer, ':')
	f.buffer = strconv.AppendInt(f.buffer, int64(index), 10)
	f.buffer = append(f.buffer, "\ndata: "...)
}

func (f *follower) end(tokens int, end *answer.End) {
	if end.Err != nil {
		f.failure(end.Err)
		return
	}
	f.eventID(tokens)
	f.buffer = append(f.buffer, f.head...)
	f.buffer = append(f.buffer, `},"finish_reason":`...)
	f.buffer = appendJSON(f.buffer, end.Reason)
	f.buffer = append(f.buffer, `}],"token_index":`...)
	f.buffer = strconv.AppendInt(f.buffer, int64(tokens), 10)
	f.buffer = append(f.buffer, `,"usage":`...)
	f.buffer = appendJSON(f.buffer, end.Usage)
	f.buffer = append(f.buffer, "}\n\ndata: [DONE]\n\n"...)
	f.gateway.Meters.answered(f.run.file.Name, "ok")
}

// failure ends a stream that has begun with a problem document and no final marker.
func (f *follower) failure(err error) {
	document := problem.From(err).Document(f.call.id)
	f.gateway.Meters.answered(f.run.file.Name, string(document.Outcome))
	f.buffer = append(f.buffer, "event: error\ndata: "...)
	f.buffer = appendJSON(f.buffer, document)
	f.buffer = append(f.buffer, "\n\n"...)
}
