package sizing_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/sizing"
	"papayaport.dev/serving/version/deployment"
)

var start = time.Unix(1_800_000_000, 0)

func service() *deployment.Service {
	return &deployment.Service{
		Name: "model-bench", Engine: &deployment.Engine{Slots: 64},
		Sizing: &deployment.Sizing{Min: 1, Max: 6, ReclaimablePrice: 0.15},
	}
}

func counts(reclaimable, onDemand int) map[string]sizing.Count {
	each := sizing.Count{Reclaimable: reclaimable, OnDemand: onDemand}
	return map[string]sizing.Count{"a": each, "b": each, "c": each, "d": each}
}

// TestFleetLeftStanding answers a quiet fleet of on-demand servers: reclaimable ones are
// ordered first, and the on-demand ones given up once the others serve.
func TestFleetLeftStanding(t *testing.T) {
	p := sizing.New()
	in := sizing.Input{Service: service(), Live: counts(0, 3), InFlight: 30}
	for _, order := range p.Plan(start, in) {
		require.Equal(t, 1, order.Count, "%+v", order)
		p.Ordered(start, order, true)
	}
	require.Empty(t, p.Plan(start.Add(time.Second), in))
	in.Live = counts(1, 1)
	for _, order := range p.Plan(start.Add(5*time.Second), in) {
		require.False(t, order.Reclaimable)
		require.Zero(t, order.Count)
	}
}

// TestBurst answers many users at once: the count grows at once and shrinks only after a while.
func TestBurst(t *testing.T) {
	p := sizing.New()
	at := func(after time.Duration, inFlight int) (count int) {
		for _, order := range p.Plan(start.Add(after), sizing.Input{Service: service(), Live: counts(1, 0), InFlight: inFlight}) {
			if order.Reclaimable {
				count = order.Count
			}
			p.Ordered(start.Add(after), order, true)
		}
		return count
	}
	require.Equal(t, 1, at(0, 30))
	require.Equal(t, 3, at(time.Second, 160))
	require.Zero(t, at(5*time.Second, 30), "no order: the load may return")
	require.Equal(t, 1, at(17*time.Second, 30))
}

// TestWaveOfReclaims answers a failure domain whose reclaimable servers all went and
// can't be had again for a while: on-demand servers stand in, refused orders are repeated.
func TestWaveOfReclaims(t *testing.T) {
	p := sizing.New()
	in := sizing.Input{Service: service(), Live: counts(1, 0), InFlight: 30}
	for _, order := range p.Plan(start, in) {
		p.Ordered(start, order, true)
	}
	in.Live["b"] = sizing.Count{}
	again := start.Add(13 * time.Second)
	for _, order := range p.Plan(again, in) {
		p.Ordered(again, order, !(order.FailureDomain == "b" && order.Reclaimable))
	}
	require.Equal(t, []sizing.Order{{Service: "model-bench", FailureDomain: "b", Count: 1}}, p.Plan(again.Add(time.Second), in))
	var repeated bool
	for _, order := range p.Plan(again.Add(4*time.Second), in) {
		repeated = repeated || order.FailureDomain == "b" && order.Reclaimable
	}
	require.True(t, repeated)
}

// TestLossOfADomain answers the reclaim of a whole failure domain under load: what is
// ordered carries the load without any one domain.
func TestLossOfADomain(t *testing.T) {
	in := sizing.Input{Service: service(), Live: counts(1, 0), InFlight: 100, PrefillPerSecond: 70_000}
	total := 0
	for _, order := range sizing.New().Plan(start, in) {
		if order.Reclaimable && order.FailureDomain != "a" {
			total += order.Count
		}
	}
	require.GreaterOrEqual(t, total, sizing.Need(in))
}
