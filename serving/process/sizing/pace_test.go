package sizing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/sizing"
	"papayaport.dev/serving/version/deployment"
)

// TestPaceOfEngines measures engines of several speeds through 195 entry instances, each of
// which sees few prompts: some wait for others, a few are cached whole, short ones tell
// nothing.
func TestPaceOfEngines(t *testing.T) {
	for name, perMS := range map[string]float64{"slow": 30, "usual": 56, "fast": 101} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 20))
			var told []sizing.Reading
			for range 195 {
				pace := sizing.NewPace()
				for range 12 {
					tokens := 700 + random.IntN(6000)
					took := 5 + float64(tokens)/perMS + 15*random.ExpFloat64()
					if random.Float64() < 0.1 {
						took = 6
					}
					pace.Read("llm", tokens, time.Duration(took*float64(time.Millisecond)))
					pace.Read("llm", 100, 5*time.Millisecond)
				}
				told = append(told, pace.Measured()["llm"])
			}
			require.InEpsilon(t, 1000*perMS, sizing.FleetPace(told), 0.35)
		})
	}
	require.Zero(t, sizing.FleetPace(nil))
	require.Zero(t, sizing.FleetPace([]sizing.Reading{{TokensPerSecond: 90_000, Readings: 29}}), "too few")
}

// TestNeedFollowsThePace answers the pattern of a fleet whose engines read twice as fast as
// usual and stand half idle: the same load needs half of them, and more where they are slow.
func TestNeedFollowsThePace(t *testing.T) {
	need := func(pace float64) int {
		return sizing.Need(sizing.Input{
			Service: &deployment.Service{Engine: &deployment.Engine{Slots: 64}}, InFlight: 50,
			PrefillPerSecond: 360_000, ReadPerSecond: pace,
		})
	}
	require.Equal(t, 40, need(0), "not measured")
	require.Equal(t, 40, need(50_000))
	require.Equal(t, 20, need(100_000))
	require.Equal(t, 80, need(25_000))
}
