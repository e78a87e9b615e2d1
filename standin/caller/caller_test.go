package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	wire "papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/process/problem"
)

const whole = "id: r:0\ndata: {\"choices\":[{\"delta\":{\"content\":\"the\"}}],\"token_index\":0}\n\n" +
	"id: r:1\ndata: {\"choices\":[{\"delta\":{\"content\":\" law\"}}],\"token_index\":1}\n\n" +
	"id: r:2\ndata: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],\"token_index\":2,\"usage\":{\"completion_tokens\":2}}\n\n" +
	"data: [DONE]\n\n"

func TestChat(t *testing.T) {
	tests := map[string]struct {
		body  string
		check func(t *testing.T, answer Answer, err error)
	}{
		"whole": {whole, func(t *testing.T, answer Answer, err error) {
			require.NoError(t, err)
			require.Equal(t, "the law", answer.Text)
			require.Equal(t, 2, answer.Tokens)
			require.Equal(t, "r:2", answer.LastEventID)
			require.Equal(t, 2, answer.Usage.CompletionTokens)
		}},
		"without final marker": {whole[:len(whole)-len("data: [DONE]\n\n")], func(t *testing.T, answer Answer, err error) {
			require.ErrorIs(t, err, ErrTruncated)
			require.Equal(t, "the law", answer.Text)
		}},
		"fails on the way": {
			"id: r:0\ndata: {\"choices\":[{\"delta\":{\"content\":\"the\"}}]}\n\nevent: error\ndata: {\"kind\":\"backend_failed\",\"outcome\":\"failed\"}\n\n",
			func(t *testing.T, answer Answer, err error) {
				var refused *Refusal
				require.ErrorAs(t, err, &refused)
				require.Equal(t, problem.BackendFailed, refused.Kind)
				require.Equal(t, "the", answer.Text)
			},
		},
		"nonsense": {"data: {\n\n", func(t *testing.T, _ Answer, err error) {
			require.ErrorContains(t, err, "invalid")
		}},
		"refusal": {"", func(t *testing.T, _ Answer, err error) {
			var refused *Refusal
			require.ErrorAs(t, err, &refused)
			require.Equal(t, problem.NoBackend, refused.Kind)
			require.Equal(t, problem.NotRun, refused.Outcome)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				require.Equal(t, "Bearer k", r.Header.Get("Authorization"))
				if test.body == "" {
					problem.Write(w, problem.New(problem.NoBackend, "none"), "r")
					return
				}
				_, _ = w.Write([]byte(test.body))
			}))
			defer server.Close()
			c := New(http.DefaultClient, server.URL, "k")
			answer, err := c.Chat(context.Background(), Chat{Service: "s", Messages: []wire.Message{{Content: "x"}}})
			test.check(t, answer, err)
		})
	}
}
