package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/request/answer"
)

// discardResponse is a response writer that discards everything.
type discardResponse struct{ header http.Header }

func (d *discardResponse) Header() http.Header            { return d.header }
func (d *discardResponse) WriteHeader(int)                {}
func (d *discardResponse) Flush()                         {}
func (d *discardResponse) Write(data []byte) (int, error) { return len(data), nil }

// BenchmarkToken measures the path of one token from an engine's chunk to a caller's event,
// without connections.
func BenchmarkToken(b *testing.B) {
	cluster := newTestCluster(&testing.T{}, "e1")
	defer cluster.stop()
	g := cluster.gateways["e1"]
	c := &call{id: "request", file: modelFile(), account: &modelFile().Accounts[0], received: time.Now()}
	r := newRun("key", c, chatRequest{MaxTokens: 1 << 30})
	r.assembly.Begin("request.1")
	f := g.newEventWriter(&discardResponse{header: http.Header{}}, c, r)
	batch := answer.Batch{}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		chunk := engine.Chunk{ID: "request.1", Index: i, Choices: []engine.Choice{{Delta: engine.Message{Content: " word"}}}}
		if r.assembly.Classify(chunk) != answer.Token {
			b.Fatal("token refused")
		}
		r.log.Append(chunk.Choices[0].Delta.Content)
		batch, _ = r.log.Read(context.Background(), i, batchTokens, batch.Tokens)
		f.write(batch)
	}
}

// BenchmarkDecode measures the decoding of one token's event from an engine.
func BenchmarkDecode(b *testing.B) {
	event := `data: {"id":"request.1","model":"m","choices":[{"delta":{"role":"assistant","content":" word"}}],"token_index":7}` + "\n\n"
	const events = 1 << 14
	text := strings.Repeat(event, events)
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		server, client := newTextClient(text)
		stream, err := client.Complete(context.Background(), engine.Completion{}, engine.ProgressTimeouts{FirstChunk: time.Minute, BetweenChunks: time.Minute})
		if err != nil {
			b.Fatal(err)
		}
		b.StartTimer()
		for range events {
			if _, err := stream.Next(); err != nil {
				b.Fatal(err)
			}
		}
		b.StopTimer()
		stream.Close()
		server.CloseIdleConnections()
		b.StartTimer()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/events, "ns/token")
}

// textTransport responds to every request with a fixed body.
type textTransport struct{ text string }

func (t textTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(t.text))}, nil
}

func newTextClient(text string) (*http.Client, *engine.Client) {
	client := &http.Client{Transport: textTransport{text}}
	return client, engine.New(client, "http://engine")
}
