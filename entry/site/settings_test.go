package site

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const goodSettings = `{
	"instance": "e", "region": "r", "failure_domain": "a", "failure_domains": ["a"], "callers": "10.0.0.1:1", "ready": "10.0.0.1:2",
	"peers": "10.0.0.1:3", "seed_peers": [], "store": "10.0.0.2:1", "cloud": "", "memory_mb": 284, "grace_s": 8, "lease_ms": 3000,
	"leaving_ms": 2000, "retry": {"ratio": 0.2, "window_s": 10, "allowance": 56},
	"quota": {"window_s": 8, "overrun": 0.1, "slack": 190000}, "usage": {"window_s": 5}`

func TestParse(t *testing.T) {
	for name, test := range map[string]struct {
		data   string
		faults []string
	}{
		"good":          {goodSettings + "}", nil},
		"unknown field": {goodSettings + `, "speed": 3}`, []string{"speed"}},
		"wrong level":   {goodSettings + `, "log_level": "loud"}`, []string{"log_level"}},
		"roll-outs":     {goodSettings + `, "rollout": {"exposure_share": 0.1, "exposure_slack": 50, "rollback_ms": 5000}}`, nil},
		"empty bounds of roll-outs": {
			goodSettings + `, "rollout": {}}`, []string{"rollout.exposure_share", "rollout.rollback_ms"},
		},
		"wrong bounds of roll-outs": {
			goodSettings + `, "rollout": {"exposure_share": 1.1, "exposure_slack": -1, "rollback_ms": -5}}`,
			[]string{"rollout.exposure_share", "rollout.exposure_slack", "rollout.rollback_ms"},
		},
		"all at once": {
			`{"instance": "", "callers": "here", "log_level": "loud"}`,
			[]string{"instance", "callers", "log_level", "memory_mb", "usage.window_s"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, faults := Parse("entry.json", []byte(test.data))
			if test.faults == nil {
				require.Empty(t, faults)
			}
			all := ""
			for _, fault := range faults {
				all += fault + "\n"
				require.Contains(t, fault, "entry.json")
			}
			for _, field := range test.faults {
				require.Contains(t, all, field)
			}
		})
	}
}

// TestScarcityEnabledByDefault guards the default of scarcity.enabled and its effect.
func TestScarcityEnabledByDefault(t *testing.T) {
	for name, test := range map[string]struct {
		data    string
		enabled bool
	}{
		"not named": {goodSettings + "}", true},
		"empty":     {goodSettings + `, "scarcity": {}}`, true},
		"on":        {goodSettings + `, "scarcity": {"enabled": true}}`, true},
		"off":       {goodSettings + `, "scarcity": {"enabled": false}}`, false},
	} {
		t.Run(name, func(t *testing.T) {
			set, faults := Parse("entry.json", []byte(test.data))
			require.Empty(t, faults)
			require.Equal(t, test.enabled, (&Site{settings: set}).newLoadShedder() != nil)
		})
	}
}

func TestBurstUsesAPartOfTheTolerance(t *testing.T) {
	q := QuotaSettings{WindowS: 8, Overrun: 0.1, Slack: 100}
	require.InDelta(t, 20+toleranceShare*(0.1*(10*8+20)+100), q.burst(10, 20), 1e-9)
}
