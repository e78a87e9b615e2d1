package clock_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/process/clock/clocktest"
)

// TestSteady guards against elapsed times that are affected by a jump of the wall clock.
func TestSteady(t *testing.T) {
	now := time.Now()
	for name, jump := range map[string]time.Duration{"none": 0, "forward": 7 * time.Second, "back": -7 * time.Second} {
		t.Run(name, func(t *testing.T) {
			later := clocktest.Step(now.Add(2*time.Second), jump)
			require.Equal(t, jump+2*time.Second, later.Round(0).Sub(now.Round(0)), "the time of day has jumped")
			require.Equal(t, 2*time.Second, clock.Monotonic(later)-clock.Monotonic(now))
		})
	}
	require.InDelta(t, now.UnixNano(), int64(clock.Monotonic(now)), float64(time.Minute))
	plain := time.Unix(1_800_000_000, 0) // without a monotonic reading
	require.Equal(t, time.Second, clock.Monotonic(plain.Add(time.Second))-clock.Monotonic(plain))
}

// TestCalendar guards against calendar windows that move with a temporary jump of the wall clock.
func TestCalendar(t *testing.T) {
	day, boot := time.Unix(1_800_000_000, 0), time.Unix(500, 0)
	type look struct{ elapsed, jump, want time.Duration }
	for name, looks := range map[string][]look{
		"no jump":          {{time.Second, 0, time.Second}, {time.Hour, 0, time.Hour}},
		"forward and back": {{time.Second, 5 * time.Second, time.Second}, {20 * time.Second, 5 * time.Second, 20 * time.Second}, {30 * time.Second, 0, 30 * time.Second}},
		"back":             {{time.Second, -8 * time.Second, time.Second}, {30 * time.Second, -8 * time.Second, 30 * time.Second}},
		"permanent change": {
			{time.Second, 9 * time.Second, time.Second}, {70 * time.Second, 9 * time.Second, 79 * time.Second},
		},
		"drifts": {{time.Second, 100 * time.Millisecond, 1100 * time.Millisecond}, {2 * time.Second, 200 * time.Millisecond, 2200 * time.Millisecond}},
	} {
		t.Run(name, func(t *testing.T) {
			calendar := clock.NewCalendar(day, boot)
			for _, l := range looks {
				got := calendar.At(day.Add(l.elapsed+l.jump), boot.Add(l.elapsed))
				require.Equal(t, l.want, got.Sub(day), "after %s", l.elapsed)
			}
		})
	}
}
