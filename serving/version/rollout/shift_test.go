package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestShiftOfDoubtfulVersion guards against completing a version, and thus stopping its old
// servers, although its answers during the shift were doubtful.
func TestShiftOfDoubtfulVersion(t *testing.T) {
	const duration = 12 * time.Second
	good, doubtful := Finding{Verdict: Good}, Finding{Verdict: Undecided, Doubtful: true, Test: "failures"}
	early, late := 8*time.Second, settleDeadline(duration)
	for name, test := range map[string]struct {
		finding Finding
		elapsed time.Duration
		from    []string
		want    Phase
		write   bool
	}{
		"good, all applied":                   {good, early, []string{"v1"}, Completed, true},
		"doubtful, time left":                 {doubtful, early, []string{"v1"}, Shift, false},
		"doubtful at the last moment":         {doubtful, late, []string{"v1"}, Reverted, true},
		"few answers, old servers left":       {Finding{Verdict: Undecided}, late, []string{"v1"}, Shift, false},
		"few answers, there is no old server": {Finding{Verdict: Undecided}, early, nil, Completed, true},
	} {
		t.Run(name, func(t *testing.T) {
			record := Record{Service: "s", To: "v2", Order: 7, Phase: Shift, From: test.from, DurationMS: duration.Milliseconds()}
			s := &serviceInput{
				stored: Stored{Record: record}, hasRecord: true, versions: map[string]Servers{"v2": {Count: 2, Slots: 20}},
				reports: []Report{{Order: 7, Applied: Shift, InFlight: 1}},
			}
			decision := (&orderProgress{order: 7, elapsed: test.elapsed, finding: test.finding}).shift(s)
			require.Equal(t, test.want, decision.Record.Phase)
			require.Equal(t, test.write, decision.Write)
		})
	}
}
