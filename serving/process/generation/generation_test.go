package generation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/generation"
)

var start = time.Unix(1_800_000_000, 0)

// TestMarker guards against instances that act or trust the store while holders of an earlier
// generation may still act.
func TestMarker(t *testing.T) {
	const ttl = 5 * time.Second
	for name, test := range map[string]struct {
		marker             generation.Marker
		after              time.Duration
		settled, acted     bool
		lostWithin10Second bool
	}{
		"no generations":    {generation.Marker{}, 0, true, false, false},
		"just begun":        {generation.Begin(2, start, false), 0, false, true, true},
		"leases may run":    {generation.Begin(2, start, false), 5900 * time.Millisecond, false, true, true},
		"leases have ended": {generation.Begin(2, start, false), 6 * time.Second, true, false, true},
		"long ago":          {generation.Begin(2, start, false), 11 * time.Second, true, false, false},
		"a slower clock":    {generation.Begin(2, start, false), -time.Second, false, true, true},
		"the first start":   {generation.Begin(1, start, true), 0, true, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			now := start.Add(test.after)
			require.Equal(t, test.settled, test.marker.SettlesIn(now, ttl) <= 0)
			require.Equal(t, test.acted, test.marker.ActedBefore(now, ttl))
			require.Equal(t, test.lostWithin10Second, test.marker.MayHaveLost(now, 10*time.Second))
		})
	}
}

// TestDecode guards against a marker of another generation that is taken for the present one's.
func TestDecode(t *testing.T) {
	data, err := generation.Begin(3, start, true).Encode()
	require.NoError(t, err)
	marker, err := generation.Decode(data)
	require.NoError(t, err)
	require.True(t, marker.Names(3))
	require.False(t, marker.Names(2))
	require.False(t, marker.Names(4))
	empty, err := generation.Decode(nil)
	require.NoError(t, err)
	require.True(t, empty.Names(0))
	_, err = generation.Decode([]byte("{"))
	require.Error(t, err)
}
