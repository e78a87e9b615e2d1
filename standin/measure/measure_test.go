package measure

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	wire "papayaport.dev/serving/connection/engine"
	"papayaport.dev/standin/load"
	"papayaport.dev/standin/text"
)

func TestNeededCountsEveryBlockOnce(t *testing.T) {
	outcome := func(content string) load.Outcome {
		return load.Outcome{Arrival: load.Arrival{MaxTokens: 8, Messages: []wire.Message{{Role: "user", Content: content}}}}
	}
	filing := text.Filing(1, 1000)
	once, err := needed("m", []load.Outcome{outcome(filing + "one?")})
	require.NoError(t, err)
	twice, err := needed("m", []load.Outcome{outcome(filing + "one?"), outcome(filing + "two?")})
	require.NoError(t, err)
	require.Greater(t, once, int64(1000))
	require.InDelta(t, once, twice, 140)
}

func TestCostCountsBusyTimeOnly(t *testing.T) {
	m := &meter{}
	e := &metered{}
	at := time.Unix(0, 0)
	for _, step := range []struct {
		running int
		after   time.Duration
	}{{0, 0}, {1, 50}, {2, 50}, {0, 50}, {1, 5000}} {
		at = at.Add(step.after * time.Millisecond)
		m.addSample(e, wire.Load{Running: step.running}, at)
	}
	require.Equal(t, 300*time.Millisecond, e.busy)
}

func TestPageShowsSpreadAndFailures(t *testing.T) {
	o := Options{Policies: []string{"papayaport", "round_robin"}, Shapes: []string{"chats"}, Waves: []bool{true}}
	result := func(policy string, seed uint64, met, whole int) Result {
		r := Result{Case: Case{Policy: policy, Shape: "chats", Wave: true, Seed: seed}, Cost: 0.001, Computed: 500, Needed: 400}
		r.Requests, r.Met, r.Whole = 100, met, whole
		return r
	}
	var page strings.Builder
	require.NoError(t, writeReport(&page, o, []Result{result("papayaport", 1, 100, 100), result("papayaport", 2, 50, 99)}))
	require.Contains(t, page.String(), "| papayaport | 15.0 (10.0 to 20.0) | 75.0 (50.0 to 100.0) | 1000 (1000 to 1000) |")
	require.Contains(t, page.String(), "| round_robin | not run |")
	require.Contains(t, page.String(), "papayaport, chats, wave, seed 2: 99 of 100 complete and correct")
}
