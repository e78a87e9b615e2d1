package command

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const goodSettings = `{
	"instance": "entry-a1", "region": "r", "failure_domain": "a",
	"callers": {"listen": "127.0.0.1:1"}, "peers": {"listen": "127.0.0.1:2"}, "administration": {"listen": "127.0.0.1:3"},
	"store": {"address": "http://127.0.0.1:4"}, "instances": {"address": "http://127.0.0.1:5"}}`

func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	good, bad := filepath.Join(dir, "good.json"), filepath.Join(dir, "bad.json")
	require.NoError(t, os.WriteFile(good, []byte(goodSettings), 0o600))
	require.NoError(t, os.WriteFile(bad, []byte(`{"instance": "", "log": {"level": "loud"}}`), 0o600))
	tests := map[string]struct {
		args []string
		code int
		out  string
		err  []string
	}{
		"version":            {[]string{"version"}, exitOK, "papayaport 0", nil},
		"good settings":      {[]string{"check-settings", good}, exitOK, "is good", nil},
		"bad settings":       {[]string{"check-settings", bad}, exitFailed, "", []string{"instance", "log.level", "store.address"}},
		"bad settings start": {[]string{"run", "--settings", bad}, exitFailed, "", []string{"nothing was started"}},
		"missing file":       {[]string{"run", "--settings", filepath.Join(dir, "none")}, exitUsage, "", []string{"no such file"}},
		"no command":         {nil, exitUsage, "", []string{"expected"}},
		"unknown flag":       {[]string{"run", "--speed", "3"}, exitUsage, "", []string{"--speed"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			require.Equal(t, test.code, Main(nil, test.args, &out, &errOut), errOut.String())
			require.Contains(t, out.String(), test.out)
			for _, text := range test.err {
				require.Contains(t, errOut.String(), text)
			}
		})
	}
}
