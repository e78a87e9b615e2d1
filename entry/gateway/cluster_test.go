package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/connection/plain"
	"papayaport.dev/serving/connection/pool"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/process/settings"
	"papayaport.dev/serving/request/action"
	"papayaport.dev/serving/request/admission"
	"papayaport.dev/serving/request/retry"
	"papayaport.dev/serving/request/route"
	"papayaport.dev/serving/version/service"
)

const accountKey = "key-of-the-desk"

func modelFile() *service.File {
	file := service.Defaults()
	file.Name, file.Kind = "model-bench", service.ModelKind
	file.Model = &service.Model{Name: "m", Version: "1", MaxTokens: 200, ContextTokens: 4000}
	file.Accounts = []service.Account{{Name: "desk", KeySHA256: service.KeyHash(accountKey), Priority: 5}}
	file.LatencyTarget = service.LatencyTarget{FirstTokenMS: 500, BetweenTokensMS: 20, Quantile: 0.95}
	file.Retry = service.Retry{MaxAttempts: 4, Budget: 0.5, WindowMS: 60_000}
	file.Queue = service.Queue{MaxRequests: 100, AgeingMS: 1000}
	file.DeadlineMS = 20_000
	return &file
}

func plainFile() *service.File {
	file := modelFile()
	file.Name, file.Kind, file.Model = "desk-app", service.PlainKind, nil
	file.Routes = []service.Route{
		{Path: "/status", Methods: []string{"GET"}, Idempotent: true},
		{Path: "/corrections", Methods: []string{"POST"}, NotRunStatus: []int{503}},
	}
	return file
}

type fixedConfiguration map[string]*service.File

func (v fixedConfiguration) Service(name string) (*service.File, bool) {
	f, found := v[name]
	return f, found
}
func (v fixedConfiguration) Ready() bool { return len(v) > 0 }

// unavailableActions fails every claim, as during an outage of the key-value service.
type unavailableActions struct{}

func (unavailableActions) Claim(context.Context, action.Claim) (*action.Ticket, error) {
	return nil, problem.New(problem.StoreUnavailable, "outage")
}

// localPeers connects the gateways of one test as peers.
type localPeers struct {
	self     string
	gateways map[string]*Gateway
}

func (n *localPeers) Ranked(string) []string {
	var others []string
	for address := range n.gateways {
		if address != n.self {
			others = append(others, address)
		}
	}
	return others
}

func (n *localPeers) Rank(string) int { return 0 }

func (n *localPeers) Find(_ context.Context, address, request string) (bool, error) {
	return n.gateways[address].Holds(request), nil
}

func (n *localPeers) Attach(ctx context.Context, address, request string, offset int64, receive func([]byte) error) error {
	return n.gateways[address].Attach(ctx, request, offset, receive)
}

func (n *localPeers) HandOver(_ context.Context, address, request string, body, state []byte) error {
	return n.gateways[address].TakeOver(request, body, state)
}

// testCluster is one or more gateways with fake backend servers.
type testCluster struct {
	t        *testing.T
	gateways map[string]*Gateway
	backends []route.Backend
	stop     context.CancelFunc
}

func newTestCluster(t *testing.T, entries ...string) *testCluster {
	ctx, cancel := context.WithCancel(context.Background())
	c := &testCluster{t: t, gateways: map[string]*Gateway{}, stop: cancel}
	t.Cleanup(cancel)
	log := logrus.New()
	log.SetOutput(io.Discard)
	files := fixedConfiguration{"model-bench": modelFile(), "desk-app": plainFile()}
	for i, name := range entries {
		// Each table guards its own random source only.
		seeded := func(table uint64) *rand.Rand { return rand.New(rand.NewPCG(uint64(i), table)) }
		routes, err := route.New(route.Self{Region: "r", FailureDomain: "a"}, route.LeastInFlight, seeded(7))
		require.NoError(t, err)
		deps := Dependencies{
			Configuration: files, Routes: routes, Admission: admission.New(), Retries: retry.New(seeded(8)),
			Actions: unavailableActions{}, Peers: &localPeers{self: name, gateways: c.gateways},
			Pool: pool.New(pool.DefaultOptions), Metrics: NewMetrics(metrics.NewSet()),
			Limits: settings.Defaults().Limits, Clock: time.Now, Log: log.WithField("part", "gateway"),
		}
		deps.Limits.BodyTimeoutMS = 300
		deps.Sender = plain.New(deps.Pool, time.Second, 1<<16)
		list := []*service.File{files["model-bench"], files["desk-app"]}
		deps.Admission.SetServices(time.Now(), 1, list)
		deps.Admission.SetEntries(time.Now(), len(entries))
		deps.Retries.SetServices(time.Now(), list)
		g := New(deps)
		c.gateways[name] = g
		go tick(ctx, g)
	}
	return c
}

func tick(ctx context.Context, g *Gateway) {
	for ctx.Err() == nil {
		g.Tick(time.Now())
		time.Sleep(5 * time.Millisecond)
	}
}

func (c *testCluster) addBackend(id, name string, handler http.HandlerFunc) {
	server := httptest.NewServer(handler)
	c.t.Cleanup(server.Close)
	c.backends = append(c.backends, route.Backend{
		ID: id, Incarnation: 1, Service: name, Address: server.URL, FailureDomain: "a", PricePerHour: 1, Slots: 64,
	})
	for _, g := range c.gateways {
		g.SetBackends(time.Now(), c.backends)
	}
}

func (c *testCluster) serve(name string) *httptest.Server {
	server := httptest.NewServer(c.gateways[name])
	c.t.Cleanup(server.Close)
	return server
}

// fakeEngine answers "w0 w1 ... w(n-1)", one token per pause, and counts its requests.
type fakeEngine struct {
	tokens int
	pause  time.Duration
	// corrupt may modify a chunk, or end the stream by returning false.
	corrupt  func(attempt string, chunk *engine.Chunk) bool
	requests atomic.Int64
}

func tokenText(i int) string { return fmt.Sprintf("w%d ", i) }

func answerText(tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(tokenText(i))
	}
	return b.String()
}

func (f *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var completion engine.Completion
	if r.URL.Path != engine.CompletionsPath || json.NewDecoder(r.Body).Decode(&completion) != nil {
		http.Error(w, "no", http.StatusNotFound)
		return
	}
	f.requests.Add(1)
	from := 0
	if completion.Resume != nil {
		from = completion.Resume.Tokens
	}
	for i := from; i <= f.tokens; i++ {
		chunk := engine.Chunk{ID: completion.Attempt, Index: i, Choices: []engine.Choice{{}}}
		chunk.Choices[0].Delta.Content = tokenText(i)
		if i == f.tokens {
			chunk.Choices[0] = engine.Choice{FinishReason: "stop"}
			chunk.Usage = &engine.Usage{PromptTokens: 10, CompletionTokens: i}
		}
		if f.corrupt != nil && !f.corrupt(completion.Attempt, &chunk) {
			return
		}
		data, _ := json.Marshal(chunk)
		if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		time.Sleep(f.pause)
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// reply is the response that a caller received.
type reply struct {
	status int
	text   string
	done   bool
	lastID string
	doc    problem.Document
}

func requestChat(t *testing.T, url string, stream bool, header http.Header) reply {
	body := fmt.Sprintf(`{"model":"model-bench","stream":%t,"messages":[{"role":"user","content":"is it true?"}]}`, stream)
	request, err := http.NewRequest(http.MethodPost, url+chatPath, strings.NewReader(body))
	require.NoError(t, err)
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+accountKey)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	got := reply{status: response.StatusCode}
	if response.StatusCode != http.StatusOK {
		require.NoError(t, json.Unmarshal(data, &got.doc))
		return got
	}
	if !stream {
		var whole completion
		require.NoError(t, json.Unmarshal(data, &whole))
		got.text, got.done = whole.Choices[0].Message.Content, true
		return got
	}
	got.parseEvents(t, string(data))
	return got
}

func (r *reply) parseEvents(t *testing.T, events string) {
	for line := range strings.SplitSeq(events, "\n") {
		if id, found := strings.CutPrefix(line, "id: "); found {
			r.lastID = id
		}
		data, found := strings.CutPrefix(line, "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			r.done = true
			continue
		}
		var chunk engine.Chunk
		require.NoError(t, json.Unmarshal([]byte(data), &chunk))
		if len(chunk.Choices) > 0 {
			r.text += chunk.Choices[0].Delta.Content
		}
	}
}

func requestID() (string, http.Header) {
	id := uuid.NewString()
	return id, http.Header{requestHeader: {id}}
}

// runConcurrently runs functions concurrently and waits for them.
func runConcurrently(functions ...func()) {
	var all sync.WaitGroup
	for _, f := range functions {
		all.Go(f)
	}
	all.Wait()
}
