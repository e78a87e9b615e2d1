package reachability_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/reachability"
)

var start = time.Unix(1_800_000_000, 0)

// TestSuspicion guards against an instance that is taken for isolated because servers crash or fall
// silent, and against one that does not notice a partition.
func TestSuspicion(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	type detector = reachability.Detector
	twoFail := func(d *detector) { d.Unreached(at(0), "a"); d.Unreached(at(1), "b") }
	twoWait := func(d *detector) { d.Started(at(0)); d.Started(at(1)) }
	for name, test := range map[string]struct {
		happens  func(d *detector)
		now      int
		probed   bool
		probe    reachability.Probe
		isolated bool
	}{
		"nothing":                  {func(*detector) {}, 10_000, false, reachability.Probe{}, false},
		"one server":               {func(d *detector) { d.Unreached(at(0), "a"); d.Unreached(at(1), "a") }, 10, false, reachability.Probe{}, false},
		"two servers long ago":     {twoFail, 3500, false, reachability.Probe{}, false},
		"servers crash":            {twoFail, 10, true, reachability.Probe{Tried: 3, Open: 1}, false},
		"servers are busy":         {twoFail, 10, true, reachability.Probe{Tried: 3, Open: 3}, false},
		"a partition with resets":  {twoFail, 10, true, reachability.Probe{Tried: 3}, true},
		"open connections go on":   {func(d *detector) { twoFail(d); d.Reached(at(5)) }, 10, true, reachability.Probe{Tried: 3}, true},
		"no server is listed":      {twoFail, 10, true, reachability.Probe{}, false},
		"one silent request":       {func(d *detector) { d.Started(at(0)) }, 5000, false, reachability.Probe{}, false},
		"a short silence":          {twoWait, 1100, false, reachability.Probe{}, false},
		"silent servers":           {twoWait, 1300, true, reachability.Probe{Tried: 3, Open: 3, Answered: 1}, false},
		"a partition that hangs":   {twoWait, 1300, true, reachability.Probe{Tried: 3}, true},
		"busy servers":             {twoWait, 1300, true, reachability.Probe{Tried: 3, Open: 3}, false},
		"a proxy without a server": {twoWait, 2100, true, reachability.Probe{Tried: 3, Open: 3}, true},
		"a stream goes on":         {func(d *detector) { twoWait(d); d.Reached(at(900)) }, 1300, false, reachability.Probe{}, false},
		"no request in flight":     {func(d *detector) { twoWait(d); d.Ended() }, 5000, false, reachability.Probe{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := reachability.New()
			test.happens(d)
			require.Equal(t, test.probed, d.Step(at(test.now)))
			if test.probed {
				require.Equal(t, test.isolated, d.Probed(at(test.now), test.probe))
				require.False(t, d.Step(at(test.now+100)), "probes have an interval")
			}
			require.Equal(t, test.isolated, d.Isolated())
			require.Equal(t, test.isolated, d.Suspected(at(test.now+5000)))
		})
	}
}

// TestReturn guards against an isolation that ends by a single probe, or that begins and ends again and
// again.
func TestReturn(t *testing.T) {
	d, now := reachability.New(), start
	isolate := func() {
		d.Unreached(now, "a")
		d.Unreached(now, "b")
		for !d.Step(now) {
			now = now.Add(100 * time.Millisecond)
		}
		require.True(t, d.Probed(now, reachability.Probe{Tried: 3}))
	}
	end := func() (rounds int) {
		for d.Isolated() {
			now = now.Add(100 * time.Millisecond)
			if d.Step(now) {
				rounds++
				d.Probed(now, reachability.Probe{Tried: 3, Open: 2})
			}
			require.Less(t, rounds, 100)
		}
		return rounds
	}
	isolate()
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		if d.Step(now) {
			require.False(t, d.Probed(now, reachability.Probe{Tried: 3, Open: 1, Answered: 1}), "most servers are out of reach")
		}
	}
	for _, rounds := range []int{2, 4, 8, 16, 16} {
		require.Equal(t, rounds, end())
		require.True(t, d.Suspected(now), "servers may still be considered failed")
		isolate()
	}
	end()
	now = now.Add(time.Minute)
	isolate()
	require.Equal(t, 2, end(), "a new partition")
}
