package administration_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/connection/administration"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/version/publication"
	"papayaport.dev/serving/version/service"
)

const token = "let-me-in"

// fakeNode is a node with configurable results that records its calls.
type fakeNode struct {
	administration.Node
	result   publication.Result
	err      error
	requests []publication.Request
	drained  []string
}

func (n *fakeNode) Publish(_ context.Context, request publication.Request) (publication.Result, error) {
	n.requests = append(n.requests, request)
	return n.result, n.err
}

func (n *fakeNode) Publication(context.Context, publication.ID) (publication.Result, error) {
	return n.result, n.err
}

func (n *fakeNode) History(context.Context, uint64, int) ([]publication.Head, error) {
	return nil, n.err
}
func (n *fakeNode) Current() *publication.Version         { return nil }
func (n *fakeNode) Status() administration.Status         { return administration.Status{Instance: "entry-1"} }
func (n *fakeNode) Services() []administration.Service    { return nil }
func (n *fakeNode) Accounts() []administration.Account    { return nil }
func (n *fakeNode) Instances() []administration.Instance  { return nil }
func (n *fakeNode) Undrain(context.Context, string) error { return n.err }

func (n *fakeNode) Drain(_ context.Context, instance string) error {
	n.drained = append(n.drained, instance)
	return n.err
}

func serve(t *testing.T, node administration.Node, hooks administration.Hooks) *httptest.Server {
	log := logrus.New()
	log.SetOutput(io.Discard)
	tokens, err := administration.ParseTokens("tokens", []byte("# operators\nann "+service.KeyHash(token)+"\n"))
	require.NoError(t, err)
	server := httptest.NewServer(administration.New(node, tokens, hooks, log))
	t.Cleanup(server.Close)
	return server
}

func TestHandler(t *testing.T) {
	id := string(publication.NewID(4))
	good := `{"publication": "` + id + `", "files": {"a.json": "e30="}}`
	tests := map[string]struct {
		method, path, token, body string
		err                       error
		status                    int
		contains                  string
	}{
		"status":               {"GET", "/v1/status", token, "", nil, 200, `"instance":"entry-1"`},
		"no token":             {"GET", "/v1/status", "", "", nil, 401, "unauthenticated"},
		"wrong token":          {"GET", "/v1/status", "other", "", nil, 401, "unauthenticated"},
		"hash as token":        {"GET", "/v1/status", service.KeyHash(token), "", nil, 401, "unauthenticated"},
		"unknown path":         {"GET", "/v1/nothing", token, "", nil, 404, "unknown_route"},
		"empty lists":          {"GET", "/v1/services", token, "", nil, 200, `{"services":[]}`},
		"no version":           {"GET", "/v1/current", token, "", nil, 200, `"files":{}`},
		"history":              {"GET", "/v1/versions?limit=5", token, "", nil, 200, `{"versions":[]}`},
		"history limit":        {"GET", "/v1/versions?limit=many", token, "", nil, 400, "whole number"},
		"publish":              {"POST", "/v1/publications", token, good, nil, 200, `"version":4`},
		"publish as operator":  {"POST", "/v1/publications", token, strings.Replace(good, "{", `{"operator": "eve", `, 1), nil, 200, `"version":4`},
		"publish malformed":    {"POST", "/v1/publications", token, good[:20], nil, 400, "bad_request"},
		"publish with tail":    {"POST", "/v1/publications", token, good + "{}", nil, 400, "more text"},
		"publish unknown":      {"POST", "/v1/publications", token, `{"colour": 1}`, nil, 400, "colour"},
		"publish without id":   {"POST", "/v1/publications", token, `{"files": {"a.json": "e30="}}`, nil, 400, "publication id"},
		"publish nothing":      {"POST", "/v1/publications", token, `{"publication": "` + id + `"}`, nil, 400, "either files"},
		"publish and rollback": {"POST", "/v1/publications", token, strings.Replace(good, "{", `{"rollback_of": 1, `, 1), nil, 400, "either files"},
		"publish long note":    {"POST", "/v1/publications", token, strings.Replace(good, "{", `{"note": "`+strings.Repeat("x", 2000)+`", `, 1), nil, 400, "note"},
		"publish too much":     {"POST", "/v1/publications", token, `{"note": "` + strings.Repeat("x", administration.MaxBodyBytes) + `"}`, nil, 413, "body_too_large"},
		"conflict":             {"POST", "/v1/publications", token, good, problem.New(problem.VersionConflict, "by bob"), 409, `"winner":{"version":4`},
		"invalid file":         {"POST", "/v1/publications", token, good, problem.New(problem.InvalidFile, "bad"), 422, `"faults":[{"file":"a.json"`},
		"not known yet":        {"POST", "/v1/publications", token, good, problem.New(problem.NotKnownYet, "lost"), 202, `"outcome":"unknown"`},
		"publication":          {"GET", "/v1/publications/" + id, token, "", nil, 200, `"version":4`},
		"publication bad id":   {"GET", "/v1/publications/7", token, "", nil, 400, "publication id"},
		"drain":                {"POST", "/v1/drain", token, `{"instance": "engine-7"}`, nil, 200, `"instance":"entry-1"`},
		"drain refused":        {"POST", "/v1/drain", token, `{}`, problem.New(problem.UnknownRequest, "no such instance"), 404, "no such instance"},
		"drain malformed":      {"POST", "/v1/drain", token, ``, nil, 400, "bad_request"},
		"undrain":              {"POST", "/v1/undrain", token, `{}`, nil, 200, "entry-1"},
		"wrong method":         {"DELETE", "/v1/status", token, "", nil, 404, "unknown_route"},
		"internal error":       {"GET", "/v1/versions", token, "", errors.New("broken"), 500, "internal"},
		"metrics":              {"GET", "/metrics", "", "", nil, 200, "requests_total 3"},
		"live":                 {"GET", "/livez", "", "", nil, 200, "ok"},
		"ready":                {"GET", "/readyz", "", "", nil, 503, "no version"},
		"debug without token":  {"GET", "/debug/pprof/", "", "", nil, 401, "unauthenticated"},
		"debug":                {"GET", "/debug/pprof/", token, "", nil, 200, "goroutine"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			node := &fakeNode{err: test.err, result: publication.Result{
				Head:   publication.Head{Version: 4, Operator: "bob"},
				Faults: []service.Fault{{File: "a.json", Field: "name", Allowed: "a name"}},
			}}
			server := serve(t, node, administration.Hooks{
				Metrics: func(w io.Writer) { _, _ = io.WriteString(w, "requests_total 3\n") },
				Ready:   func() error { return errors.New("no version is in force") },
			})
			request, err := http.NewRequest(test.method, server.URL+test.path, strings.NewReader(test.body))
			require.NoError(t, err)
			if test.token != "" {
				request.Header.Set("Authorization", "Bearer "+test.token)
			}
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, test.status, response.StatusCode, string(body))
			require.Contains(t, string(body), test.contains)
			for _, sent := range node.requests {
				require.Equal(t, "ann", sent.Operator)
			}
		})
	}
}

func TestParseTokens(t *testing.T) {
	hash := service.KeyHash("x")
	tests := map[string]struct {
		text  string
		count int
		fault string
	}{
		"empty":        {"", 0, ""},
		"two":          {"ann " + hash + "\n\n# none\n  bob\t" + hash, 2, ""},
		"one word":     {"ann", 0, "tokens: line 1"},
		"three words":  {"ann " + hash + " x", 0, "tokens: line 1"},
		"short hash":   {"ann abc", 0, "64 lower-case"},
		"capital hash": {"ann " + strings.ToUpper(hash), 0, "64 lower-case"},
		"name twice":   {"ann " + hash + "\nann " + hash, 0, "twice"},
		"two faults":   {"ann\nbob", 0, "tokens: line 2"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tokens, err := administration.ParseTokens("tokens", []byte(test.text))
			require.Len(t, tokens, test.count)
			require.Equal(t, test.fault != "", err != nil)
			if err != nil {
				require.ErrorContains(t, err, test.fault)
			}
		})
	}
}

// TestClientFailsOver guards against a change that is executed twice: the client may
// send it to the next instance only if the first one certainly did not execute it.
func TestClientFailsOver(t *testing.T) {
	lost := func(w http.ResponseWriter, _ *http.Request) {
		connection, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = connection.Close()
		}
	}
	refuses := func(kind problem.Kind) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { problem.Write(w, problem.New(kind, "no"), "") }
	}
	tests := map[string]struct {
		first          http.HandlerFunc
		kind           problem.Kind
		statusSucceeds bool
	}{
		"store unavailable there": {refuses(problem.StoreUnavailable), "", true},
		"leaving":                 {refuses(problem.Leaving), "", true},
		"conflict":                {refuses(problem.VersionConflict), problem.VersionConflict, false},
		"not known yet":           {refuses(problem.NotKnownYet), problem.NotKnownYet, false},
		"answer lost":             {lost, problem.NotKnownYet, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			first := httptest.NewServer(test.first)
			defer first.Close()
			node := &fakeNode{result: publication.Result{Head: publication.Head{Version: 4}}}
			second := serve(t, node, administration.Hooks{})
			client := administration.NewClient(&http.Client{Timeout: 5 * time.Second}, []string{first.URL, second.URL}, token)
			request := publication.Request{ID: publication.NewID(4), Files: map[string][]byte{"a": []byte("{}")}}
			result, err := client.Publish(context.Background(), request)
			if test.kind == "" {
				require.NoError(t, err)
				require.Equal(t, uint64(4), result.Head.Version)
			} else {
				var refused *administration.Refusal
				require.ErrorAs(t, err, &refused)
				require.Equal(t, test.kind, refused.Kind)
				require.Empty(t, node.requests)
			}
			status, err := client.Status(context.Background())
			require.Equal(t, test.statusSucceeds, err == nil)
			if test.statusSucceeds {
				require.Equal(t, "entry-1", status.Instance)
			}
		})
	}
}

func TestClientWithoutInstances(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	for name, addresses := range map[string][]string{"none": nil, "not listening": {closed.URL}} {
		t.Run(name, func(t *testing.T) {
			client := administration.NewClient(http.DefaultClient, addresses, token)
			_, err := client.Publish(context.Background(), publication.Request{ID: publication.NewID(1)})
			var refused *administration.Refusal
			require.Error(t, err)
			require.NotErrorAs(t, err, &refused)
		})
	}
}
