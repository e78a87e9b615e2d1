package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestShiftOfADoubtfulVersion guards against a version that is completed, so that its old
// servers are stopped, although what it answered in the shift speaks against it.
func TestShiftOfADoubtfulVersion(t *testing.T) {
	const duration = 12 * time.Second
	good, doubtful := Finding{Verdict: Good}, Finding{Verdict: Undecided, Doubtful: true, Test: "failures"}
	early, late := 8*time.Second, lastMoment(duration)
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
			l := &situation{
				stored: Stored{Record: record}, held: true, versions: map[string]Servers{"v2": {Count: 2, Slots: 20}},
				reports: []Report{{Order: 7, Applied: Shift, InFlight: 1}},
			}
			decision := (&course{order: 7, elapsed: test.elapsed, finding: test.finding}).shift(l)
			require.Equal(t, test.want, decision.Record.Phase)
			require.Equal(t, test.write, decision.Write)
		})
	}
}
