package gateway

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/process/problem"
)

func TestBadInput(t *testing.T) {
	chat := `{"model":"model-bench","messages":[{"role":"user","content":"x"}]}`
	tests := map[string]struct {
		method, path, body string
		header             http.Header
		kind               problem.Kind
	}{
		"malformed JSON":       {"POST", chatPath, `{"model":`, nil, problem.BadRequest},
		"no model":             {"POST", chatPath, `{"messages":[]}`, nil, problem.BadRequest},
		"no messages":          {"POST", chatPath, `{"model":"model-bench"}`, nil, problem.BadRequest},
		"negative max_tokens":  {"POST", chatPath, chat[:len(chat)-1] + `,"max_tokens":-1}`, nil, problem.BadRequest},
		"over the context":     {"POST", chatPath, strings.Replace(chat, `"x"`, `"`+strings.Repeat("x", 20_000)+`"`, 1), nil, problem.BadRequest},
		"oversized body":       {"POST", chatPath, strings.Repeat(" ", 1<<20+1), nil, problem.BodyTooLarge},
		"unknown model":        {"POST", chatPath, strings.Replace(chat, "model-bench", "other", 1), nil, problem.UnknownService},
		"plain service's name": {"POST", chatPath, strings.Replace(chat, "model-bench", "desk-app", 1), nil, problem.UnknownService},
		"wrong method":         {"GET", chatPath, "", nil, problem.UnknownRoute},
		"unknown service":      {"GET", "/nothing/x", "", nil, problem.UnknownService},
		"model's name in path": {"GET", "/model-bench/x", "", nil, problem.UnknownService},
		"unknown route":        {"GET", "/desk-app/secret", "", nil, problem.UnknownRoute},
		"unknown method":       {"POST", "/desk-app/status", "", nil, problem.UnknownRoute},
		"no key":               {"GET", "/desk-app/status", "", http.Header{"Authorization": {""}}, problem.Unauthenticated},
		"wrong key":            {"GET", "/desk-app/status", "", http.Header{"Authorization": {"Bearer x"}}, problem.Unauthenticated},
		"bad request id":       {"GET", "/desk-app/status", "", http.Header{requestHeader: {"a b"}}, problem.BadRequest},
		"long request id":      {"GET", "/desk-app/status", "", http.Header{requestHeader: {strings.Repeat("a", 65)}}, problem.BadRequest},
		"bad priority":         {"GET", "/desk-app/status", "", http.Header{priorityHeader: {"11"}}, problem.BadRequest},
		"bad deadline":         {"GET", "/desk-app/status", "", http.Header{deadlineHeader: {"0"}}, problem.BadRequest},
		"oversized key":        {"POST", "/desk-app/corrections", "{}", http.Header{keyHeader: {strings.Repeat("k", 65)}}, problem.KeyInvalid},
		"key without a store":  {"POST", "/desk-app/corrections", "{}", http.Header{keyHeader: {"k"}}, problem.StoreUnavailable},
		"bad last event id":    {"POST", chatPath, chat, http.Header{lastEventHeader: {"a:b"}}, problem.BadRequest},
		"foreign event id":     {"POST", chatPath, chat, http.Header{lastEventHeader: {"a:1"}, requestHeader: {"b"}}, problem.BadRequest},
		"unknown request":      {"POST", chatPath, chat, http.Header{lastEventHeader: {"a:1"}}, problem.UnknownRequest},
		"no backend server":    {"POST", chatPath, chat, nil, problem.NoBackend},
	}
	cluster := newTestCluster(t, "e1")
	server := cluster.serve("e1")
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			request, err := http.NewRequest(test.method, server.URL+test.path, strings.NewReader(test.body))
			require.NoError(t, err)
			request.Header.Set("Authorization", "Bearer "+accountKey)
			for key, values := range test.header {
				request.Header[http.CanonicalHeaderKey(key)] = values
			}
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			defer response.Body.Close()
			data, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, problem.MediaType, response.Header.Get("Content-Type"), string(data))
			require.Contains(t, string(data), `"kind":"`+string(test.kind)+`"`)
			require.Equal(t, problem.Rows[test.kind].Status, response.StatusCode)
			require.Equal(t, problem.Rows[test.kind].Retry, response.Header.Get("Retry-After") != "")
		})
	}
}

func TestSlowSenderIsRefused(t *testing.T) {
	server := newTestCluster(t, "e1").serve("e1")
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /desk-app/status HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nslow")
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	answer, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Contains(t, string(answer), "408")
	require.Contains(t, string(answer), `"kind":"slow_sender"`)
}

func TestInvalidEngineAnswers(t *testing.T) {
	const tokens = 20
	corruptions := map[string]func(string, *engine.Chunk) bool{
		"foreign attempt": func(_ string, c *engine.Chunk) bool { c.ID = "other"; return true },
		"doubled token":   func(_ string, c *engine.Chunk) bool { c.Index = min(c.Index, 3); return true },
		"missing token": func(_ string, c *engine.Chunk) bool {
			if c.Index >= 5 {
				c.Index++
			}
			return true
		},
		"truncated":       func(_ string, c *engine.Chunk) bool { return c.Index < 7 },
		"no choice":       func(_ string, c *engine.Chunk) bool { c.Choices = nil; return true },
		"early final":     func(_ string, c *engine.Chunk) bool { c.Choices[0].FinishReason = "stop"; c.Index++; return true },
		"without a final": func(_ string, c *engine.Chunk) bool { c.Choices[0].FinishReason = ""; return true },
		"too much": func(_ string, c *engine.Chunk) bool {
			if c.Choices[0].FinishReason != "" {
				c.Choices[0] = engine.Choice{Delta: engine.Message{Content: strings.Repeat("x", 300<<10)}}
			}
			return true
		},
	}
	for name, corrupt := range corruptions {
		t.Run(name, func(t *testing.T) {
			cluster := newTestCluster(t, "e1")
			cluster.addBackend("bad", "model-bench", (&fakeEngine{tokens: tokens, corrupt: corrupt}).ServeHTTP)
			server := cluster.serve("e1")
			failed := requestChat(t, server.URL, false, nil)
			require.NotEqual(t, http.StatusOK, failed.status)
			require.NotEqual(t, problem.NotRun, failed.doc.Outcome)

			cluster.addBackend("good", "model-bench", (&fakeEngine{tokens: tokens}).ServeHTTP)
			for _, stream := range []bool{false, true} {
				got := requestChat(t, server.URL, stream, nil)
				require.Equal(t, http.StatusOK, got.status, got.doc)
				require.Equal(t, answerText(tokens), got.text)
				require.True(t, got.done)
			}
		})
	}
}

func TestLeavingBackendMovesItsStreams(t *testing.T) {
	const tokens = 150
	cluster := newTestCluster(t, "e1")
	leaving := &fakeEngine{tokens: tokens, pause: 20 * time.Millisecond}
	cluster.addBackend("leaving", "model-bench", leaving.ServeHTTP)
	server := cluster.serve("e1")
	var got reply
	runConcurrently(
		func() { got = requestChat(t, server.URL, true, nil) },
		func() {
			time.Sleep(300 * time.Millisecond)
			cluster.addBackend("other", "model-bench", (&fakeEngine{tokens: tokens}).ServeHTTP)
			cluster.gateways["e1"].MarkLeaving("leaving", 1, time.Now().Add(time.Second))
		},
	)
	require.Equal(t, answerText(tokens), got.text)
	require.True(t, got.done)
	runs := leaving.requests.Load()
	require.Equal(t, answerText(tokens), requestChat(t, server.URL, false, nil).text)
	require.Equal(t, runs, leaving.requests.Load())
}

func TestHotPrefixIsCopiedOffLeavingEngine(t *testing.T) {
	cluster := newTestCluster(t, "e1")
	var exports, imports atomic.Int64
	withCache := func(fake *fakeEngine) http.HandlerFunc {
		return func(writer http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case engine.ExportPath:
				var export engine.Export
				require.NoError(t, json.NewDecoder(r.Body).Decode(&export))
				require.Len(t, export.Blocks, 3)
				exports.Add(1)
				_, _ = io.WriteString(writer, `{"handle":"h"}`)
			case engine.ImportPath:
				imports.Add(1)
				_, _ = io.WriteString(writer, `{"tokens":384}`)
			default:
				fake.ServeHTTP(writer, r)
			}
		}
	}
	cluster.addBackend("leaving", "model-bench", withCache(&fakeEngine{tokens: 5}))
	server := cluster.serve("e1")
	filing := strings.Repeat("filing ", 230)
	for _, question := range []string{"is it true?", "who says so?"} {
		got := postChat(t, server.URL, filing+question)
		require.Equal(t, http.StatusOK, got)
	}
	cluster.addBackend("other", "model-bench", withCache(&fakeEngine{tokens: 5}))
	cluster.gateways["e1"].MarkLeaving("leaving", 1, time.Now().Add(3*time.Second))
	require.Eventually(t, func() bool { return imports.Load() == 1 }, 5*time.Second, 10*time.Millisecond)
	time.Sleep(3 * planPeriod)
	require.Equal(t, int64(1), exports.Load())
}

func postChat(t *testing.T, url, content string) int {
	body, err := json.Marshal(chatRequest{Model: "model-bench", Messages: []engine.Message{{Role: "user", Content: content}}})
	require.NoError(t, err)
	request, err := http.NewRequest(http.MethodPost, url+chatPath, bytes.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+accountKey)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	return response.StatusCode
}

func TestHandOverContinuesTheAnswer(t *testing.T) {
	const tokens = 100
	for name, disconnect := range map[string]bool{"forwarded": false, "caller reconnects": true} {
		t.Run(name, func(t *testing.T) {
			cluster := newTestCluster(t, "e1", "e2")
			cluster.addBackend("engine", "model-bench", (&fakeEngine{tokens: tokens, pause: 10 * time.Millisecond}).ServeHTTP)
			first, second := cluster.serve("e1"), cluster.serve("e2")
			id, header := requestID()
			var got reply
			runConcurrently(
				func() { got = requestInterruptedStream(t, first.URL, header) },
				func() {
					time.Sleep(300 * time.Millisecond)
					require.Equal(t, 1, cluster.gateways["e1"].HandOver())
					if disconnect {
						time.Sleep(200 * time.Millisecond)
						cluster.gateways["e1"].DisconnectCallers()
					}
				},
			)
			if !disconnect {
				require.Equal(t, answerText(tokens), got.text)
				require.True(t, got.done)
				return
			}
			require.False(t, got.done)
			resumed := requestChat(t, second.URL, true, http.Header{lastEventHeader: {got.lastID}, requestHeader: {id}})
			require.Equal(t, answerText(tokens), got.text+resumed.text)
			require.True(t, resumed.done)
		})
	}
}

// requestInterruptedStream requests a stream that may be cut off and returns what was received.
func requestInterruptedStream(t *testing.T, url string, header http.Header) reply {
	body := `{"model":"model-bench","stream":true,"messages":[{"role":"user","content":"is it true?"}]}`
	request, err := http.NewRequest(http.MethodPost, url+chatPath, strings.NewReader(body))
	require.NoError(t, err)
	request.Header = header.Clone()
	request.Header.Set("Authorization", "Bearer "+accountKey)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	var got reply
	got.parseEvents(t, string(data))
	return got
}

func TestRepeatedRequestIDAttachesToTheSameRun(t *testing.T) {
	cluster := newTestCluster(t, "e1")
	fake := &fakeEngine{tokens: 50, pause: 5 * time.Millisecond}
	cluster.addBackend("engine", "model-bench", fake.ServeHTTP)
	server := cluster.serve("e1")
	_, header := requestID()
	var first, second reply
	runConcurrently(func() { first = requestChat(t, server.URL, true, header) }, func() { second = requestChat(t, server.URL, true, header) })
	require.Equal(t, answerText(50), first.text)
	require.Equal(t, first.text, second.text)
	require.Equal(t, int64(1), fake.requests.Load())
}

func TestDisconnectedCallersReleaseResources(t *testing.T) {
	cluster := newTestCluster(t, "e1")
	large := strings.Repeat("x", 100<<10)
	cluster.addBackend("engine", "model-bench", (&fakeEngine{tokens: 100_000, pause: 5 * time.Millisecond, corrupt: func(_ string, c *engine.Chunk) bool {
		c.Choices[0].Delta.Content = large
		return true
	}}).ServeHTTP)
	server := cluster.serve("e1")
	before, memory := runtime.NumGoroutine(), heapBytes()
	for range 20 {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		require.NoError(t, err)
		body := `{"model":"model-bench","stream":true,"messages":[{"role":"user","content":"x"}]}`
		_, err = io.WriteString(conn, "POST "+chatPath+" HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+accountKey+
			"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
		require.NoError(t, err)
		_, err = conn.Read(make([]byte, 64))
		require.NoError(t, err)
		require.NoError(t, conn.Close())
	}
	require.Equal(t, 20, cluster.gateways["e1"].Runs())
	require.Eventually(t, func() bool {
		cluster.gateways["e1"].Tick(time.Now().Add(2 * abandonTimeout))
		return cluster.gateways["e1"].Runs() == 0 && runtime.NumGoroutine() < before+10
	}, 20*time.Second, 50*time.Millisecond)
	retained := heapBytes()
	cluster.gateways["e1"].Tick(time.Now().Add(10 * endedRetention))
	require.Greater(t, retained, memory+4<<20, "ended answers must be retained until they expire")
	require.Less(t, heapBytes(), memory+4<<20)
}

// heapBytes returns the bytes of allocated heap objects after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func TestCallerThatDoesNotReadIsDisconnected(t *testing.T) {
	cluster := newTestCluster(t, "e1")
	cluster.gateways["e1"].Limits.WriteTimeoutMS = 300
	large := strings.Repeat("x", 200<<10)
	cluster.addBackend("engine", "model-bench", (&fakeEngine{tokens: 150, corrupt: func(_ string, c *engine.Chunk) bool {
		if c.Choices[0].FinishReason == "" {
			c.Choices[0].Delta.Content = large
		}
		return true
	}}).ServeHTTP)
	server := cluster.serve("e1")
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	body := `{"model":"model-bench","stream":true,"messages":[{"role":"user","content":"x"}]}`
	_, err = io.WriteString(conn, "POST "+chatPath+" HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+accountKey+
		"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return cluster.gateways["e1"].InFlight() == 1 }, 10*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return cluster.gateways["e1"].InFlight() == 0 }, 20*time.Second, 20*time.Millisecond)
}

func TestNonIdempotentIsSentOnce(t *testing.T) {
	tests := map[string]struct {
		handler http.HandlerFunc
		outcome problem.Outcome
		runs    int64
	}{
		"closes after reading": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, problem.Unknown, 1},
		"says not run":         {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, problem.NotRun, 0},
		"foreign answer": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(engine.AttemptHeader, "other")
		}, problem.Unknown, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			cluster := newTestCluster(t, "e1")
			var sends atomic.Int64
			for _, id := range []string{"one", "two"} {
				cluster.addBackend(id, "desk-app", func(writer http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					sends.Add(1)
					test.handler(writer, r)
				})
			}
			request, err := http.NewRequest(http.MethodPost, cluster.serve("e1").URL+"/desk-app/corrections", strings.NewReader("{}"))
			require.NoError(t, err)
			request.Header.Set("Authorization", "Bearer "+accountKey)
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			defer response.Body.Close()
			data, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Contains(t, string(data), `"outcome":"`+string(test.outcome)+`"`)
			if test.runs > 0 {
				require.Equal(t, test.runs, sends.Load())
			}
		})
	}
}
