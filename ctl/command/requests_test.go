package command_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"papayaport.dev/ctl/command"
)

const recordedLog = "../requestlog/testdata/requests.log"

// TestRequests guards against tables that are missing or not selected, and against a log that can't
// be read without an error.
func TestRequests(t *testing.T) {
	for name, test := range map[string]struct {
		args     []string
		code     int
		contains []string
		without  string
	}{
		"all tables": {[]string{recordedLog}, command.Done, []string{"ACCOUNT", "ROUTE", "REASON", "FAILURE DOMAIN", "FROM (1s)", "account_limit", "2 lines skipped"}, ""},
		"one table":  {[]string{"--by", "reason", recordedLog}, command.Done, []string{"REASON", "answer_lost"}, "ROUTE"},
		"no file":    {[]string{"missing.log"}, command.NotDone, nil, "REASON"},
		"bad table":  {[]string{"--by", "weather", recordedLog}, command.BadUse, nil, "REASON"},
	} {
		t.Run(name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			require.Equal(t, test.code, command.Run(t.Context(), append([]string{"requests"}, test.args...), &out, &errOut), errOut.String())
			for _, text := range test.contains {
				require.Contains(t, out.String(), text)
			}
			if test.without != "" {
				require.NotContains(t, out.String(), test.without)
			}
		})
	}
}

// TestRequestsAsJSON guards against rows that scripts can't find.
func TestRequestsAsJSON(t *testing.T) {
	var out, errOut bytes.Buffer
	require.Equal(t, command.Done, command.Run(t.Context(), []string{"requests", "--json", "--by", "reason", recordedLog}, &out, &errOut), errOut.String())
	var document struct {
		Requests int              `json:"requests"`
		ByReason []map[string]any `json:"by_reason"`
	}
	require.NoError(t, json.Unmarshal(out.Bytes(), &document))
	require.Equal(t, 15, document.Requests)
	require.Equal(t, "answered", document.ByReason[0]["name"])
	require.InDelta(t, 6, document.ByReason[0]["answered"], 0)
}
