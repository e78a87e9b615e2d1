package sizing_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/clock/clocktest"
	"papayaport.dev/serving/process/sizing"
)

// TestIntake guards against a rate that follows the start and the end of a load too late: a
// server ordered late would finish booting only after the next reclaim.
func TestIntake(t *testing.T) {
	intake := sizing.NewTokenMeter()
	const rate = 10_000
	at := func(after time.Duration) time.Time { return start.Add(after) }
	for after := time.Duration(0); after < 10*time.Second; after += 100 * time.Millisecond {
		intake.Admitted(at(after), "llm", rate/10)
		if after >= 1500*time.Millisecond {
			require.InEpsilon(t, rate, intake.PerSecond(at(after))["llm"], 0.15, "after %v", after)
		}
	}
	require.InEpsilon(t, rate/2, intake.PerSecond(at(11500 * time.Millisecond))["llm"], 0.15)
	require.Zero(t, intake.PerSecond(at(20 * time.Second))["llm"])
	intake.Admitted(at(21*time.Second), "llm", 3*rate)
	require.InEpsilon(t, rate, intake.PerSecond(at(21 * time.Second))["llm"], 0.2, "one large prompt")
}

// TestIntakeOfAClockThatJumps guards against a wrong rate, and thus a wrong fleet size, after a
// step of the wall clock.
func TestIntakeOfAClockThatJumps(t *testing.T) {
	for name, jump := range map[string]time.Duration{"forward": 4 * time.Second, "back": -4 * time.Second} {
		t.Run(name, func(t *testing.T) {
			intake, now := sizing.NewTokenMeter(), time.Now()
			const rate = 10_000
			for after := time.Duration(0); after < 10*time.Second; after += 100 * time.Millisecond {
				at := now.Add(after)
				if after >= 5*time.Second {
					at = clocktest.Step(at, jump)
				}
				intake.Admitted(at, "llm", rate/10)
				if after >= 2*time.Second {
					require.InEpsilon(t, rate, intake.PerSecond(at)["llm"], 0.15, "after %v", after)
				}
			}
		})
	}
}
